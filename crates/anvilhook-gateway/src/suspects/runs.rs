//! Interrupted runs of engines that may have terminated.

use std::collections::HashMap;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::units::Millis;

use crate::prompts::SharedPart;

/// The maximum number of runs of one engine that are stored until it is known whether it has terminated.
const MAX_RUNS: usize = 256;

/// How long a run must have written output to show that its prompt does not make engines terminate. An engine may send
/// the first events before it terminates.
pub(crate) const MIN_WRITING_TIME: Millis = Millis(500);

/// `Interruption` is how a run at an engine was interrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interruption {
    /// The connection broke.
    Broken,
    /// The engine stopped sending.
    Silent,
}

/// `Progress` is how far a run had come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The engine was only to read the prompt (prefill).
    Reading,
    /// The engine was to generate, and had not yet written output for [`MIN_WRITING_TIME`].
    Starting,
    /// The engine had written output for that long.
    Writing,
}

/// `InterruptedRun` is a run that was interrupted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InterruptedRun {
    /// The request.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<SharedPart>,
    /// How it was interrupted.
    pub how: Interruption,
    /// How far it had come.
    pub progress: Progress,
    /// When it began.
    pub began_at: Millis,
    /// When it was interrupted.
    pub interrupted_at: Millis,
}

/// `InterruptedRuns` holds the interrupted runs of engines that are being checked, by engine, because it is
/// unknown whether they have terminated.
#[derive(Debug, Default)]
pub(super) struct InterruptedRuns(HashMap<u32, Vec<InterruptedRun>>);

impl InterruptedRuns {
    /// Records an interrupted run. Returns whether it is the first one of its engine.
    pub fn record(&mut self, engine: u32, run: InterruptedRun) -> bool {
        let is_first = !self.0.contains_key(&engine);
        let runs = self.0.entry(engine).or_default();
        if runs.len() < MAX_RUNS && !runs.contains(&run) {
            runs.push(run);
        }
        is_first
    }

    /// Returns the engines at which the connection of a request's run broke.
    pub fn broken_under(&self, request: Fingerprint) -> impl Iterator<Item = u32> {
        let is_broken = move |runs: &[InterruptedRun]| {
            runs.iter().any(|run| run.request == request && run.how == Interruption::Broken)
        };
        self.0.iter().filter(move |(_, runs)| is_broken(runs)).map(|(engine, _)| *engine)
    }

    /// Returns whether the engine of any run with this part may have terminated when its output was about to be written.
    pub fn has_starting_part(&self, part: Fingerprint) -> bool {
        let runs = self.0.values().flatten().filter(|run| run.progress == Progress::Starting);
        { runs }.any(|run| run.parts.iter().any(|one| one.fingerprint == part))
    }

    /// Returns whether the connection of at least one of an engine's runs broke.
    pub fn has_broken(&self, engine: u32) -> bool {
        let runs = self.0.get(&engine);
        runs.is_some_and(|runs| runs.iter().any(|run| run.how == Interruption::Broken))
    }

    /// Removes and returns the runs of an engine, as its check has ended.
    pub fn take(&mut self, engine: u32) -> Vec<InterruptedRun> {
        self.0.remove(&engine).unwrap_or_default()
    }
}
