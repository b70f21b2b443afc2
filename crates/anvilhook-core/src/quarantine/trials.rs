//! Tries suspects that share their evidence separately, to learn which of them is the cause.

use super::suspects::{Suspect, TrialRun};
use super::{EngineEnd, QuarantineTracker, SuspectStatus};
use crate::fingerprints::Fingerprint;
use crate::part_trials::is_part_trial;
use crate::units::{Millis, WallTime};

/// The number of ends from which suspects that share them are tried separately.
const SEPARATE_TRIAL_ENDS: usize = 2;

/// How long each turn of a suspect at an upstream lasts.
const TRIAL_TURN: Millis = Millis(4_000);

/// How long a run on trial may take to show whether its engine ends. Only then another one is begun.
const TRIAL_RUN_TIME: Millis = Millis(4_000);

/// The numbers of engines that may end under a part and under a request before the intervals between its trials
/// become long.
const FEW_PART_ENDS: usize = 5;
const FEW_REQUEST_ENDS: usize = 3;

/// The shortest interval between the end of an engine under a quarantined suspect and its next trial, while few
/// engines have ended, and afterwards. Each further end doubles it, up to the longest one.
const FIRST_INTERVAL: Millis = Millis::from_secs(10);
const LATER_INTERVAL: Millis = Millis::from_secs(60);
const LONGEST_INTERVAL: Millis = Millis::from_secs(3_600);

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
    ///     let (at, began_at) = (Millis(0), Millis(0));
    ///     tracker.record_end(Fingerprint(request), EngineEnd { engine, at, began_at }, at);
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

    /// Returns whether a request may be sent although it, or a part of its prompt, is on trial or quarantined, to learn
    /// whether that is the cause. `request` is a hash of the request's id that is uniformly distributed over requests.
    ///
    /// One request at a time is tried over all instances: see [`is_part_trial`] for how one is chosen, and
    /// [`record_trial`](Self::record_trial) for how the others learn of it. A quarantined suspect is tried at growing
    /// intervals, since a sound one would be refused for good otherwise.
    pub fn may_try(&self, suspect: Fingerprint, request: u64, now: Millis) -> bool {
        let Some(own) = self.suspect(suspect, now) else { return true };
        if let Some(trial) = own.trial.filter(|trial| trial.began_at + TRIAL_RUN_TIME > now) {
            return trial.request == request;
        }
        let due_at = own.trial_due_at(suspect.is_part());
        due_at <= now && is_part_trial(now - due_at, request)
    }

    /// Records that a request is sent to learn whether a suspect is the cause. If two instances begin a trial at the
    /// same moment, that of the request with the lower hash goes on. Returns whether the trial was unknown.
    pub fn record_trial(&mut self, suspect: Fingerprint, request: u64, at: Millis) -> bool {
        let Some(own) = self.suspects.get_mut(&suspect) else { return false };
        let is_current = |known: &TrialRun| known.began_at + TRIAL_RUN_TIME > at;
        if own.trial.is_some_and(|known| is_current(&known) && known.request <= request) {
            return false;
        }
        let waited = at - own.trial_due_at(suspect.is_part());
        own.trial = Some(TrialRun { request, began_at: at, waited });
        true
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

impl Suspect {
    /// Returns the time from which the suspect may be tried, and from which the share of the tried requests grows. After
    /// a trial without a result it goes on with the share at which that one was chosen.
    fn trial_due_at(&self, is_part: bool) -> Millis {
        match self.trial {
            Some(trial) => trial.began_at + TRIAL_RUN_TIME - trial.waited,
            None => {
                let newest = self.ends.iter().map(|end| end.at).max().unwrap_or_default();
                newest + trial_interval(self, is_part)
            }
        }
    }
}

/// Returns how long after the last evidence a suspect may be tried again.
fn trial_interval(suspect: &Suspect, is_part: bool) -> Millis {
    if suspect.quarantined_by.is_none() {
        return Millis::ZERO;
    }
    let (ends, few) = (suspect.ends.len(), if is_part { FEW_PART_ENDS } else { FEW_REQUEST_ENDS });
    let (first, doublings) = match ends.checked_sub(few) {
        None => (FIRST_INTERVAL, ends.saturating_sub(FEW_REQUEST_ENDS)),
        Some(further) => (LATER_INTERVAL, further),
    };
    Millis(first.0 << doublings).min(LONGEST_INTERVAL)
}
