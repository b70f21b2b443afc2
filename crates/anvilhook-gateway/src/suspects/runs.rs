//! Interrupted runs of engines that may have terminated.

use std::collections::HashMap;

use anvilhook_core::fingerprints::Fingerprint;

/// The maximum number of runs of one engine that are stored until it is known whether it has terminated.
const MAX_RUNS: usize = 256;

/// `Interruption` is how a run at an engine was interrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interruption {
    /// The connection broke.
    Broken,
    /// The engine stopped sending.
    Silent,
}

/// `InterruptedRuns` holds the interrupted runs of engines that are being checked, by engine, because it is
/// unknown whether they have terminated.
#[derive(Debug, Default)]
pub(super) struct InterruptedRuns(HashMap<u32, Vec<(Fingerprint, Interruption)>>);

impl InterruptedRuns {
    /// Records an interrupted run. Returns whether it is the first one of its engine.
    pub fn record(&mut self, engine: u32, request: Fingerprint, how: Interruption) -> bool {
        let is_first = !self.0.contains_key(&engine);
        let runs = self.0.entry(engine).or_default();
        if runs.len() < MAX_RUNS && !runs.contains(&(request, how)) {
            runs.push((request, how));
        }
        is_first
    }

    /// Returns the engines at which the connection of a request's run broke.
    pub fn broken_under(&self, request: Fingerprint) -> impl Iterator<Item = u32> {
        let is_broken =
            move |runs: &[(Fingerprint, _)]| runs.contains(&(request, Interruption::Broken));
        self.0.iter().filter(move |(_, runs)| is_broken(runs)).map(|(engine, _)| *engine)
    }

    /// Returns whether the connection of at least one of an engine's runs broke.
    pub fn has_broken(&self, engine: u32) -> bool {
        let runs = self.0.get(&engine);
        runs.is_some_and(|runs| runs.iter().any(|(_, how)| *how == Interruption::Broken))
    }

    /// Removes and returns the runs of an engine, as its check has ended.
    pub fn take(&mut self, engine: u32) -> Vec<(Fingerprint, Interruption)> {
        self.0.remove(&engine).unwrap_or_default()
    }
}
