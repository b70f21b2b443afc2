//! Tracks suspects: requests that engines were running when they terminated, and the prompt parts of those whose
//! output was about to be written.
//!
//! This instance records its own observations, queues them as updates for the other instances, and applies
//! updates from them.

mod parts;
mod runs;
mod updates;

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::quarantine::{
    EndOutcome, EngineEnd, QuarantineOptions, QuarantineTracker, SuspectStatus, TrialSlot,
};
use anvilhook_core::units::Millis;

use crate::events::{UpstreamEvent, emit};
use crate::hashes::hash_of;
use crate::prompts::SharedPart;

use parts::PartNames;
use runs::InterruptedRuns;
use updates::UpdateQueue;

pub(crate) use runs::MIN_WRITING_TIME;
pub use runs::{InterruptedRun, Interruption, Progress};
pub use updates::{SuspectEvent, SuspectUpdate};

/// The span over which instances spread their updates that a request has completed successfully.
const CLEARANCE_SPREAD: Millis = Millis(2_000);

/// The maximum number of requests whose recorded ends are published repeatedly while they are suspected, and
/// the minimum number of ends of each.
const MAX_ACTIVE: usize = 6;
const MIN_ACTIVE_ENDS: usize = 2;

/// The maximum number of ends of each that are published repeatedly: as many as it takes to quarantine it.
const MAX_ACTIVE_ENDS: usize = 5;

/// The maximum number of parts that are accused of one engine's end.
const MAX_ACCUSED_PARTS: usize = 64;

/// `Suspects` holds the suspected requests, and the engines with interrupted runs that are being checked.
#[derive(Debug)]
pub struct Suspects {
    tracker: Mutex<QuarantineTracker>,
    examined: Mutex<InterruptedRuns>,
    /// The suspects that run now, each at one engine.
    trials: Mutex<HashSet<Fingerprint>>,
    updates: Mutex<UpdateQueue>,
    part_names: Mutex<PartNames>,
    /// Whether anything may be recorded. Usually nothing is, and the locks need not be taken.
    has_any: AtomicBool,
}

/// `ConfirmedEnd` is the recorded end of an engine.
#[derive(Debug)]
pub struct ConfirmedEnd {
    /// The runs of this instance that it interrupted.
    pub runs: Vec<InterruptedRun>,
    /// The requests that ran there and the accused parts, each with the outcome of recording the end against it.
    pub outcomes: Vec<(Fingerprint, EndOutcome)>,
}

/// `HeldPart` is a prompt part for which a request must not be sent.
#[derive(Clone, Debug)]
pub(crate) struct HeldPart {
    /// The part.
    pub part: SharedPart,
    /// Whether it is quarantined. Otherwise it is on trial, and requests with it may be sent later.
    pub is_quarantined: bool,
}

/// `Trial` is a suspect's run. Until it is dropped, no other run of the same request begins at this instance.
#[derive(Debug)]
pub(crate) struct Trial {
    suspects: Arc<Suspects>,
    request: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        lock(&self.suspects.trials).remove(&self.request);
    }
}

impl Suspects {
    /// Creates a tracker without suspects.
    pub fn new() -> Self {
        Self {
            tracker: Mutex::new(QuarantineTracker::new(QuarantineOptions::default())),
            examined: Mutex::default(),
            trials: Mutex::default(),
            updates: Mutex::default(),
            part_names: Mutex::default(),
            has_any: AtomicBool::new(false),
        }
    }

    /// Returns the status of a request, and how many more engines may terminate while running it until it is
    /// quarantined. Engines that are being checked after a broken connection count as terminated.
    pub(crate) fn status(&self, request: Fingerprint, now: Millis) -> (SuspectStatus, usize) {
        if !self.has_any.load(Ordering::Acquire) {
            return (SuspectStatus::Clear, usize::MAX);
        }
        let tracker = lock(&self.tracker);
        let known = tracker.status(request, now);
        let is_decided = matches!(known, SuspectStatus::OnTrial | SuspectStatus::Quarantined);
        if is_decided || tracker.has_recent_success(request, now) {
            return (known, usize::MAX);
        }
        let ends = tracker.ends(request, now);
        let is_new = |engine: &u32| !ends.iter().any(|end| end.engine == *engine);
        let examined = lock(&self.examined);
        let broken = examined.broken_under(request).filter(is_new);
        match tracker.evidence(request, now) + broken.count() {
            0 => (SuspectStatus::Clear, usize::MAX),
            ends => {
                let left = tracker.needed_ends(request, now).saturating_sub(ends);
                (SuspectStatus::Suspected(ends), left)
            }
        }
    }

    /// Returns the slot in which a suspect is to be tried, if it must be tried apart from other suspects.
    pub(crate) fn trial_slot(&self, request: Fingerprint, now: Millis) -> Option<TrialSlot> {
        lock(&self.tracker).trial_slot(request, now)
    }

    /// Returns the recorded engine ends of a request.
    pub fn ends(&self, request: Fingerprint, now: Millis) -> Vec<EngineEnd> {
        lock(&self.tracker).ends(request, now).to_vec()
    }

    /// Returns the suspected requests, each with its status and its recorded engine ends.
    pub fn list(&self, now: Millis) -> Vec<(Fingerprint, SuspectStatus, Vec<EngineEnd>)> {
        let tracker = lock(&self.tracker);
        let suspects = tracker.suspects(now);
        suspects.map(|(one, ends)| (one, tracker.status(one, now), ends.to_vec())).collect()
    }

    /// Begins a suspect's run. Returns `None` if a run of it or of one of its rivals is in progress. Rivals
    /// ran at the same engines when these terminated, so it is unknown which of them is the cause.
    pub(crate) fn begin_trial(
        self: &Arc<Self>,
        request: Fingerprint,
        now: Millis,
    ) -> Option<Trial> {
        let rivals = lock(&self.tracker).rivals(request, now);
        let mut trials = lock(&self.trials);
        if rivals.iter().any(|rival| trials.contains(rival)) || !trials.insert(request) {
            return None;
        }
        Some(Trial { suspects: Arc::clone(self), request })
    }

    /// Records that a run was interrupted at an engine. Returns whether the engine was not being checked
    /// before.
    pub fn record_interruption(&self, engine: u32, run: InterruptedRun) -> bool {
        self.has_any.store(true, Ordering::Release);
        lock(&self.examined).record(engine, run)
    }

    /// Returns whether the connection of at least one of an engine's runs broke.
    pub(crate) fn has_broken(&self, engine: u32) -> bool {
        lock(&self.examined).has_broken(engine)
    }

    /// Ends the check of an engine that has not terminated.
    pub(crate) fn dismiss(&self, engine: u32) {
        lock(&self.examined).take(engine);
    }

    /// Ends the check of an engine that has terminated, records the end against the requests that ran there,
    /// and queues updates for the other instances.
    pub fn confirm_end(&self, engine: u32, now: Millis) -> ConfirmedEnd {
        let runs = lock(&self.examined).take(engine);
        let at = runs.iter().map(|run| run.interrupted_at).min().unwrap_or(now);
        let began_at = runs.iter().map(|run| run.began_at).min().unwrap_or(at).min(at);
        let end = EngineEnd { engine, at, began_at };
        let mut requests: Vec<_> = runs.iter().map(|run| run.request).collect();
        requests.sort_unstable();
        requests.dedup();
        // The parts come first: if not all updates can be sent, those on parts matter to more requests.
        let mut suspects = self.accused_parts(&runs, now);
        suspects.extend(requests);
        let mut tracker = lock(&self.tracker);
        let outcomes: Vec<_> = suspects
            .into_iter()
            .map(|suspect| (suspect, tracker.record_end(suspect, end, now)))
            .collect();
        drop(tracker);
        for (request, _) in outcomes.iter().filter(|(_, outcome)| *outcome != EndOutcome::Ignored) {
            self.queue(SuspectUpdate::ended(*request, &end, now), now);
        }
        ConfirmedEnd { runs, outcomes }
    }

    /// Returns the parts that may have made an engine terminate: those of the runs whose output it was about to
    /// write, except the parts with which others have recently written output.
    fn accused_parts(&self, runs: &[InterruptedRun], now: Millis) -> Vec<Fingerprint> {
        let tracker = lock(&self.tracker);
        let mut names = lock(&self.part_names);
        let starting = runs.iter().filter(|run| run.progress == Progress::Starting);
        let parts = starting.flat_map(|run| &run.parts);
        let mut accused = Vec::new();
        for part in parts.filter(|part| !tracker.has_recent_success(part.fingerprint, now)) {
            if accused.len() < MAX_ACCUSED_PARTS && !accused.contains(&part.fingerprint) {
                names.record(part);
                accused.push(part.fingerprint);
            }
        }
        accused
    }

    /// Records that a run has written output, which clears the parts of its prompt.
    pub(crate) fn record_output(&self, parts: impl Iterator<Item = SharedPart>, now: Millis) {
        for part in parts {
            let request = part.fingerprint;
            if lock(&self.tracker).record_part_success(request, now) {
                self.queue(SuspectUpdate { request, fate: SuspectEvent::RanWell }, now);
            }
        }
    }

    /// Returns the first of a prompt's parts for which a request must not be sent, if there is any: it is on trial or
    /// quarantined, and the request is not one of those that are tried.
    pub(crate) fn held_part(
        &self,
        request: &str,
        parts: impl Iterator<Item = SharedPart>,
        now: Millis,
    ) -> Option<HeldPart> {
        if !self.has_any.load(Ordering::Acquire) {
            return None;
        }
        let parts: Vec<SharedPart> = parts.collect();
        let fingerprints: Vec<Fingerprint> = parts.iter().map(|part| part.fingerprint).collect();
        let mut tracker = lock(&self.tracker);
        let mut tried = Vec::new();
        for part in parts {
            let suspect = part.fingerprint;
            let status = tracker.status(suspect, now);
            let is_quarantined = status == SuspectStatus::Quarantined;
            if !is_quarantined && status != SuspectStatus::OnTrial {
                continue;
            }
            let draw = hash_of(&(suspect, request));
            let is_examined = lock(&self.examined).has_starting_part(suspect);
            if !is_examined && tracker.may_try(suspect, draw, now) {
                tried.push((suspect, draw));
            } else if is_examined || !tracker.may_try_part(suspect, &fingerprints, draw, now) {
                return Some(HeldPart { part, is_quarantined });
            }
        }
        for (suspect, draw) in tried {
            self.begin_trial_run(&mut tracker, suspect, (request, draw), now);
        }
        None
    }

    /// Returns whether a request that is on trial or quarantined may be sent to learn whether it is the cause, and
    /// records that it is if so.
    pub(crate) fn may_try(&self, suspect: Fingerprint, request: &str, now: Millis) -> bool {
        let mut tracker = lock(&self.tracker);
        let draw = hash_of(&(suspect, request));
        let is_examined = lock(&self.examined).broken_under(suspect).next().is_some();
        let may_try = !is_examined && tracker.may_try(suspect, draw, now);
        if may_try {
            self.begin_trial_run(&mut tracker, suspect, (request, draw), now);
        }
        may_try
    }

    fn begin_trial_run(
        &self,
        tracker: &mut QuarantineTracker,
        suspect: Fingerprint,
        (request, draw): (&str, u64),
        now: Millis,
    ) {
        if tracker.record_trial(suspect, draw, now) {
            emit(&UpstreamEvent::TrialBegun { request, fingerprint: suspect });
            let fate = SuspectEvent::Tried { request: draw, age_ms: 0 };
            self.queue(SuspectUpdate { request: suspect, fate }, now);
        }
    }

    /// Records that a request with a held part has arrived. Returns whether the part's name was unknown.
    pub(crate) fn record_part_arrival(&self, part: &SharedPart, now: Millis) -> bool {
        self.record_arrival(part.fingerprint, now);
        lock(&self.part_names).record(part)
    }

    /// Returns the part with this fingerprint, if its name is known.
    pub(crate) fn part(&self, suspect: Fingerprint) -> Option<SharedPart> {
        lock(&self.part_names).get(suspect).cloned()
    }

    /// Records that a run of a request has completed successfully.
    pub(crate) fn record_success(&self, request: Fingerprint, now: Millis) {
        if lock(&self.tracker).record_success(request, now) {
            self.queue(SuspectUpdate { request, fate: SuspectEvent::RanWell }, now);
        }
    }

    /// Records that a quarantined request has arrived again.
    pub(crate) fn record_arrival(&self, request: Fingerprint, now: Millis) {
        lock(&self.tracker).record_arrival(request, now);
    }

    /// Lifts a quarantine at this and the other instances. Returns whether the request was suspected.
    pub fn lift(&self, request: Fingerprint, now: Millis) -> bool {
        let is_known = lock(&self.tracker).lift(request, now);
        self.queue(SuspectUpdate { request, fate: SuspectEvent::Lifted }, now);
        is_known
    }

    /// Applies an update from another instance; `own` is this instance's number. Returns whether the update
    /// quarantines the request.
    pub(crate) fn apply(&self, update: &SuspectUpdate, own: u64, now: Millis) -> bool {
        let request = update.request;
        let mut tracker = lock(&self.tracker);
        match update.fate {
            SuspectEvent::RanWell => {
                tracker.record_success(request, now);
                drop(tracker);
                lock(&self.updates).remove_unsent(update);
                false
            }
            SuspectEvent::Lifted => {
                tracker.lift(request, now);
                false
            }
            SuspectEvent::Ended { .. } if tracker.has_recent_success(request, now) => {
                drop(tracker);
                // The sender does not know that the request completed successfully. Hundreds of instances may
                // know it, so each waits for a different time: once the first one has sent its update, the
                // others need not.
                let delay = Millis(hash_of(&(own, request)) % CLEARANCE_SPREAD.0);
                self.queue_at(
                    SuspectUpdate { request, fate: SuspectEvent::RanWell },
                    now,
                    now + delay,
                );
                false
            }
            SuspectEvent::Tried { request: run, age_ms } => {
                tracker.record_trial(request, run, now - Millis(u64::from(age_ms)));
                false
            }
            SuspectEvent::Ended { engine, age_ms, ran_ms } => {
                self.has_any.store(true, Ordering::Release);
                let at = now - Millis(u64::from(age_ms));
                // An unknown beginning makes the end depend on all earlier ones, so that it alone refuses nothing
                // for good.
                let began_at = ran_ms.map_or(Millis::ZERO, |ran_ms| at - Millis(ran_ms.into()));
                let end = EngineEnd { engine, at, began_at };
                tracker.record_end(request, end, now) == EndOutcome::Quarantined
            }
        }
    }

    fn queue(&self, update: SuspectUpdate, now: Millis) {
        self.queue_at(update, now, now);
    }

    fn queue_at(&self, update: SuspectUpdate, recorded_at: Millis, due_at: Millis) {
        lock(&self.updates).add(update, recorded_at, due_at);
    }

    /// Takes the updates that are to be sent now, at most `max`.
    pub(crate) fn take_due(&self, max: usize, now: Millis) -> Vec<SuspectUpdate> {
        lock(&self.updates).take_due(max, now)
    }

    /// Returns updates with the recorded ends of the requests that have the most of them.
    pub(crate) fn active_updates(&self, now: Millis) -> Vec<SuspectUpdate> {
        let tracker = lock(&self.tracker);
        let mut worst: Vec<_> =
            tracker.suspects(now).filter(|(_, ends)| ends.len() >= MIN_ACTIVE_ENDS).collect();
        worst.sort_by_key(|(request, ends)| (std::cmp::Reverse(ends.len()), *request));
        worst.truncate(MAX_ACTIVE);
        let newest = |ends: &[EngineEnd]| ends.len().saturating_sub(MAX_ACTIVE_ENDS);
        let updates =
            |(request, ends): (_, &[EngineEnd])| ended_updates(request, &ends[newest(ends)..], now);
        worst.into_iter().flat_map(updates).collect()
    }

    /// Returns updates with the recorded ends of all suspected requests, for an instance that has just
    /// started.
    pub(crate) fn all_updates(&self, now: Millis) -> Vec<SuspectUpdate> {
        let tracker = lock(&self.tracker);
        tracker
            .suspects(now)
            .flat_map(|(request, ends)| ended_updates(request, ends, now))
            .collect()
    }

    /// Returns how many requests and parts are suspected and quarantined.
    pub fn counts(&self, now: Millis) -> SuspectCounts {
        let suspected = self.list(now);
        let mut counts = SuspectCounts { suspected: suspected.len(), ..SuspectCounts::default() };
        for (suspect, status, _) in suspected {
            match (status, suspect.is_part()) {
                (SuspectStatus::Quarantined, true) => counts.quarantined_parts += 1,
                (SuspectStatus::Quarantined, false) => counts.quarantined_requests += 1,
                (SuspectStatus::OnTrial, _) => counts.on_trial += 1,
                (SuspectStatus::Clear | SuspectStatus::Suspected(_), _) => {}
            }
        }
        counts
    }
}

/// `SuspectCounts` is how many requests and parts are suspected and quarantined.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SuspectCounts {
    /// All suspects, including quarantined ones.
    pub suspected: usize,
    /// The quarantined requests.
    pub quarantined_requests: usize,
    /// The quarantined parts.
    pub quarantined_parts: usize,
    /// The requests and parts that are on trial.
    pub on_trial: usize,
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new()
    }
}

fn ended_updates(request: Fingerprint, ends: &[EngineEnd], now: Millis) -> Vec<SuspectUpdate> {
    ends.iter().map(|end| SuspectUpdate::ended(request, end, now)).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic under this lock")
}
