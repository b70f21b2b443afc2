//! Tries suspects that share their evidence separately, to learn which of them is the cause.

use super::{EngineEnd, QuarantineTracker, SuspectStatus};
use crate::fingerprints::Fingerprint;
use crate::part_trials::is_part_trial;
use crate::units::{Millis, WallTime};

/// The number of ends from which suspects that share them are tried separately.
const SEPARATE_TRIAL_ENDS: usize = 2;

/// How long each turn of a suspect at an upstream lasts.
const TRIAL_TURN: Millis = Millis(4_000);

/// `TrialSlot` is a suspect's turn among all suspects that ran at the same engines when they ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrialSlot {
    index: usize,
    count: usize,
}

impl TrialSlot {
    /// Returns whether the suspect may be tried at an upstream now. All instances must use the same number
    /// `upstream` for the upstream, and agree on `time`.
    ///
    /// ```
    /// use anvilhook_core::fingerprints::Fingerprint;
    /// use anvilhook_core::quarantine::{EngineEnd, QuarantineTracker, QuarantineOptions};
    /// use anvilhook_core::units::{Millis, WallTime};
    ///
    /// let mut tracker = QuarantineTracker::new(QuarantineOptions::default());
    /// for (engine, request) in [(1, 7), (1, 8), (2, 7), (2, 8)] {
    ///     tracker.record_end(Fingerprint(request), EngineEnd { engine, at: Millis(0) }, Millis(0));
    /// }
    /// let allowed = |request, time| {
    ///     let slot = tracker.trial_slot(Fingerprint(request), Millis(0)).unwrap();
    ///     [0, 1].map(|upstream| slot.allows(upstream, WallTime(time)))
    /// };
    /// assert_eq!((allowed(7, 0), allowed(8, 0)), ([true, false], [false, true]));
    /// assert_eq!(allowed(7, 3_000), [false, false]);
    /// assert_eq!((allowed(7, 4_000), allowed(8, 4_000)), ([false, true], [true, false]));
    /// ```
    pub fn allows(&self, upstream: u64, time: WallTime) -> bool {
        let turn = upstream.wrapping_add(time.0 / TRIAL_TURN.0);
        // A run that begins late in its turn would continue into the next suspect's turn.
        let is_early = time.0 % TRIAL_TURN.0 < TRIAL_TURN.0 / 2;
        is_early && turn % self.count as u64 == self.index as u64
    }
}

impl QuarantineTracker {
    /// Returns the trial slot of a suspect that has rivals: other suspects that ran at all the engines which
    /// ended under it, so that further ends would quarantine them together. Returns `None` if it may be
    /// tried anywhere.
    ///
    /// If a service has two upstreams, both end each time, and a request that was tried alongside the cause
    /// collects as many ends. All instances that know the same ends separate such suspects in the same way:
    /// each suspect has its turn at each upstream, even if only one upstream is left.
    pub fn trial_slot(&self, request: Fingerprint, now: Millis) -> Option<TrialSlot> {
        let rivals = self.rivals(request, now);
        let index = rivals.iter().position(|rival| *rival == request)?;
        (rivals.len() > 1).then_some(TrialSlot { index, count: rivals.len() })
    }

    /// Returns the suspects that ran at all the engines which ended under `request`, itself included, in an
    /// order that is the same at all instances. Returns none if too few engines have ended under it.
    pub fn rivals(&self, request: Fingerprint, now: Millis) -> Vec<Fingerprint> {
        let own = self.ends(request, now);
        if own.len() < SEPARATE_TRIAL_ENDS {
            return Vec::new();
        }
        let ran_there = |ends: &[EngineEnd]| {
            own.iter().all(|own| ends.iter().any(|end| end.engine == own.engine))
        };
        let is_open = |rival| self.status(rival, now) != SuspectStatus::Quarantined;
        let rivals = self.suspects(now).filter(|(_, ends)| ran_there(ends));
        let mut rivals: Vec<_> =
            rivals.map(|(rival, _)| rival).filter(|one| is_open(*one)).collect();
        rivals.sort_unstable();
        rivals
    }

    /// Returns whether a request may be sent although it contains a quarantined part, to learn whether that part is
    /// the cause: all engines that ended under the part also ended under something that the request does not contain.
    ///
    /// `parts` are the parts of the request, and `draw` is a number that is uniformly distributed over requests. See
    /// [`is_part_trial`] for how many requests are tried.
    pub fn may_try_part(
        &self,
        part: Fingerprint,
        parts: &[Fingerprint],
        draw: u64,
        now: Millis,
    ) -> bool {
        let Some(suspect) = self.suspect(part, now) else { return true };
        let newest = suspect.ends.iter().map(|end| end.at).max().unwrap_or(now);
        if !is_part_trial(now - newest, draw) {
            return false;
        }
        let is_other = |other: &Fingerprint| *other != part && !parts.contains(other);
        let mut others = self.suspects.iter().filter(|(other, _)| is_other(other));
        others
            .any(|(_, other)| self.is_current(other, now) && other.is_as_suspect_as(suspect, None))
    }
}
