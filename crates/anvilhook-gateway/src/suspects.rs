//! Suspects: requests under which engines have ended, as this instance holds them and tells the others.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::quarantine::{
    EndOutcome, EngineEnd, QuarantineOptions, QuarantineTracker, SuspectStatus, TrialSlot,
};
use anvilhook_core::units::Millis;
use serde::{Deserialize, Serialize};

use crate::hashes::hash_of;

/// How long after it was first told news is told again, so that a lost datagram does not lose it.
const TOLD_AGAIN_AFTER: [Millis; 2] = [Millis(200), Millis(800)];

/// The span over which instances spread their word that a request runs well.
const CLEARANCE_SPREAD: Millis = Millis(2_000);

/// The most news that waits to be told. Older news is dropped for it.
const MAX_WAITING: usize = 512;

/// The most runs of one engine that are held until it is known whether it has ended.
const MAX_RUNS: usize = 256;

/// The most requests of which the instances are told again and again while they are suspected, and the least
/// ends that speak against each.
const MAX_STANDING: usize = 4;
const STANDING_ENDS: usize = 2;

/// `SuspectUpdate` is what one instance tells another of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectUpdate {
    /// The request.
    pub request: Fingerprint,
    /// What has become of it.
    pub fate: SuspectEvent,
}

/// `SuspectEvent` is what has become of a request's run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectEvent {
    /// An engine ended while it ran the request.
    Ended {
        /// The short form of the engine's id and start.
        engine: u32,
        /// How long ago that was noted, in milliseconds.
        age_ms: u32,
    },
    /// The run ended well.
    RanWell,
    /// An operator has lifted the quarantine.
    Lifted,
}

impl SuspectUpdate {
    fn ended(request: Fingerprint, end: &EngineEnd, now: Millis) -> Self {
        let age_ms = u32::try_from((now - end.at).0).unwrap_or(u32::MAX);
        Self { request, fate: SuspectEvent::Ended { engine: end.engine, age_ms } }
    }

    /// Returns whether another one says the same, whenever it was told.
    pub(crate) fn is_same(&self, other: &SuspectUpdate) -> bool {
        self.request == other.request
            && self.fate.after(Millis::MAX) == other.fate.after(Millis::MAX)
    }

    /// Returns the news as it is after a time.
    pub(crate) fn after(&self, time: Millis) -> Self {
        Self { request: self.request, fate: self.fate.after(time) }
    }
}

impl SuspectEvent {
    fn after(self, time: Millis) -> Self {
        match self {
            SuspectEvent::Ended { engine, age_ms } => {
                let time_ms = u32::try_from(time.0).unwrap_or(u32::MAX);
                SuspectEvent::Ended { engine, age_ms: age_ms.saturating_add(time_ms) }
            }
            fate @ (SuspectEvent::RanWell | SuspectEvent::Lifted) => fate,
        }
    }
}

/// `Interruption` is how a run at an engine broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interruption {
    /// The connection broke.
    Broken,
    /// Nothing came any more.
    Silent,
}

/// `Suspects` is the suspected requests, and the engines whose runs broke and that are looked at.
#[derive(Debug)]
pub struct Suspects {
    book: Mutex<QuarantineTracker>,
    /// What ran at engines of which it is not known yet whether they have ended.
    examined: Mutex<HashMap<u32, Vec<(Fingerprint, Interruption)>>>,
    /// The suspects that are on trial, each at one engine.
    trials: Mutex<HashSet<Fingerprint>>,
    news: Mutex<VecDeque<Waiting>>,
    /// Whether there may be anything to look up. Nearly always there is nothing.
    has_any: AtomicBool,
}

/// `Waiting` is news that is still to be told, first or again.
#[derive(Debug)]
struct Waiting {
    news: SuspectUpdate,
    noted_at: Millis,
    due_at: Millis,
    times_told: usize,
}

impl Waiting {
    /// Returns whether it says the same as another one's news, and nobody was told yet.
    fn is_untold(&self, news: &SuspectUpdate) -> bool {
        self.times_told == 0 && self.news.is_same(news)
    }
}

/// `Trial` is a suspect's run. Until it is dropped no other run of the same request begins here.
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
    /// Makes the suspects of an instance that has heard of none.
    pub fn new() -> Self {
        Self {
            book: Mutex::new(QuarantineTracker::new(QuarantineOptions::default())),
            examined: Mutex::default(),
            trials: Mutex::default(),
            news: Mutex::default(),
            has_any: AtomicBool::new(false),
        }
    }

    /// Returns what is held of a request, and how many more engines may end under it until it is
    /// quarantined. Engines that are still being looked at count as ended.
    pub(crate) fn status(&self, request: Fingerprint, now: Millis) -> (SuspectStatus, usize) {
        if !self.has_any.load(Ordering::Acquire) {
            return (SuspectStatus::Clear, usize::MAX);
        }
        let book = lock(&self.book);
        let known = book.status(request, now);
        if known == SuspectStatus::Quarantined || book.has_recent_success(request, now) {
            return (known, usize::MAX);
        }
        let ends = book.ends(request, now);
        let is_new = |engine: &u32| !ends.iter().any(|end| end.engine == *engine);
        let examined = lock(&self.examined);
        let broken = examined.iter().filter(|(engine, runs)| {
            is_new(engine) && runs.contains(&(request, Interruption::Broken))
        });
        match ends.len() + broken.count() {
            0 => (SuspectStatus::Clear, usize::MAX),
            ends => {
                let left = book.needed_ends(request, now).saturating_sub(ends);
                (SuspectStatus::Suspected(ends), left)
            }
        }
    }

    /// Returns where a suspect is to be tried, if it is to be tried apart from others.
    pub(crate) fn trial_slot(&self, request: Fingerprint, now: Millis) -> Option<TrialSlot> {
        lock(&self.book).trial_slot(request, now)
    }

    /// Returns the ends that speak against a request.
    pub fn ends(&self, request: Fingerprint, now: Millis) -> Vec<EngineEnd> {
        lock(&self.book).ends(request, now).to_vec()
    }

    /// Returns the suspected requests with what speaks against each.
    pub fn list(&self, now: Millis) -> Vec<(Fingerprint, SuspectStatus, Vec<EngineEnd>)> {
        let book = lock(&self.book);
        let suspects = book.suspects(now);
        suspects.map(|(one, ends)| (one, book.status(one, now), ends.to_vec())).collect()
    }

    /// Begins a suspect's run; `None` if one is under way, of it or of one that shared all its ends.
    pub(crate) fn begin_trial(
        self: &Arc<Self>,
        request: Fingerprint,
        now: Millis,
    ) -> Option<Trial> {
        let rivals = lock(&self.book).rivals(request, now);
        let mut trials = lock(&self.trials);
        if rivals.iter().any(|rival| trials.contains(rival)) || !trials.insert(request) {
            return None;
        }
        Some(Trial { suspects: Arc::clone(self), request })
    }

    /// Notes that a run broke off at an engine. Returns whether the engine is not looked at yet.
    pub fn record_interruption(
        &self,
        engine: u32,
        request: Fingerprint,
        how: Interruption,
    ) -> bool {
        self.has_any.store(true, Ordering::Release);
        let mut examined = lock(&self.examined);
        let is_first = !examined.contains_key(&engine);
        let runs = examined.entry(engine).or_default();
        if runs.len() < MAX_RUNS && !runs.contains(&(request, how)) {
            runs.push((request, how));
        }
        is_first
    }

    /// Returns whether the connection of one of an engine's runs broke.
    pub(crate) fn has_broken(&self, engine: u32) -> bool {
        let examined = lock(&self.examined);
        let runs = examined.get(&engine);
        runs.is_some_and(|runs| runs.iter().any(|(_, how)| *how == Interruption::Broken))
    }

    /// Ends the look at an engine that has not ended.
    pub(crate) fn dismiss(&self, engine: u32) {
        lock(&self.examined).remove(&engine);
    }

    /// Ends the look at an engine that has ended, and returns those that ran there with what became of
    /// each. The others are told.
    pub fn confirm_end(&self, engine: u32, now: Millis) -> Vec<(Fingerprint, EndOutcome)> {
        let mut runs = lock(&self.examined).remove(&engine).unwrap_or_default();
        runs.sort_unstable_by_key(|(request, _)| *request);
        runs.dedup_by_key(|(request, _)| *request);
        let mut book = lock(&self.book);
        let weighed: Vec<_> = runs
            .into_iter()
            .map(|(request, _)| {
                (request, book.record_end(request, EngineEnd { engine, at: now }, now))
            })
            .collect();
        drop(book);
        for (request, _) in weighed.iter().filter(|(_, weighed)| *weighed != EndOutcome::Ignored) {
            self.tell(SuspectUpdate::ended(*request, &EngineEnd { engine, at: now }, now), now);
        }
        weighed
    }

    /// Notes that a request's run has ended well.
    pub(crate) fn record_success(&self, request: Fingerprint, now: Millis) {
        if lock(&self.book).record_success(request, now) {
            self.tell(SuspectUpdate { request, fate: SuspectEvent::RanWell }, now);
        }
    }

    /// Notes that a quarantined request has come again.
    pub(crate) fn record_arrival(&self, request: Fingerprint, now: Millis) {
        lock(&self.book).record_arrival(request, now);
    }

    /// Lifts a quarantine, here and at the others. Returns whether anything spoke against the request.
    pub fn lift(&self, request: Fingerprint, now: Millis) -> bool {
        let is_known = lock(&self.book).lift(request, now);
        self.tell(SuspectUpdate { request, fate: SuspectEvent::Lifted }, now);
        is_known
    }

    /// Takes in what another instance tells; `own` is this instance's number. Returns whether the request
    /// is quarantined by it.
    pub(crate) fn apply(&self, news: &SuspectUpdate, own: u64, now: Millis) -> bool {
        let request = news.request;
        let mut book = lock(&self.book);
        match news.fate {
            SuspectEvent::RanWell => {
                book.record_success(request, now);
                drop(book);
                lock(&self.news).retain(|waiting| !waiting.is_untold(news));
                false
            }
            SuspectEvent::Lifted => {
                book.lift(request, now);
                false
            }
            SuspectEvent::Ended { .. } if book.has_recent_success(request, now) => {
                drop(book);
                // Whoever suspects it has not heard that it runs well. Hundreds may know that it does; the
                // first to say so spares the others.
                let delay = Millis(hash_of(&(own, request)) % CLEARANCE_SPREAD.0);
                self.tell_at(
                    SuspectUpdate { request, fate: SuspectEvent::RanWell },
                    now,
                    now + delay,
                );
                false
            }
            SuspectEvent::Ended { engine, age_ms } => {
                self.has_any.store(true, Ordering::Release);
                let end = EngineEnd { engine, at: now - Millis(u64::from(age_ms)) };
                book.record_end(request, end, now) == EndOutcome::Quarantined
            }
        }
    }

    fn tell(&self, news: SuspectUpdate, now: Millis) {
        self.tell_at(news, now, now);
    }

    fn tell_at(&self, news: SuspectUpdate, noted_at: Millis, due_at: Millis) {
        let mut waiting = lock(&self.news);
        if waiting.iter().any(|waiting| waiting.news.is_same(&news)) {
            return;
        }
        if waiting.len() >= MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back(Waiting { news, noted_at, due_at, times_told: 0 });
    }

    /// Takes the news that is to be told now, `most` at the most.
    pub(crate) fn take_due(&self, most: usize, now: Millis) -> Vec<SuspectUpdate> {
        let mut waiting = lock(&self.news);
        let mut due = Vec::new();
        for one in waiting.iter_mut().filter(|one| one.due_at <= now).take(most) {
            due.push(one.news.after(now - one.noted_at));
            let next = TOLD_AGAIN_AFTER.get(one.times_told);
            one.due_at = next.map_or(Millis::MAX, |after| now + *after);
            one.times_told += 1;
        }
        waiting.retain(|one| one.due_at < Millis::MAX);
        due
    }

    /// Returns what tells of the requests with the most against them.
    pub(crate) fn active_updates(&self, now: Millis) -> Vec<SuspectUpdate> {
        let book = lock(&self.book);
        let mut worst: Vec<_> =
            book.suspects(now).filter(|(_, ends)| ends.len() >= STANDING_ENDS).collect();
        worst.sort_by_key(|(request, ends)| (std::cmp::Reverse(ends.len()), *request));
        worst.truncate(MAX_STANDING);
        worst.into_iter().flat_map(|(request, ends)| ended_news(request, ends, now)).collect()
    }

    /// Returns what tells of all suspected requests, for an instance that has just started.
    pub(crate) fn all_updates(&self, now: Millis) -> Vec<SuspectUpdate> {
        let book = lock(&self.book);
        book.suspects(now).flat_map(|(request, ends)| ended_news(request, ends, now)).collect()
    }

    /// Returns how many requests are suspected and how many quarantined.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let suspected = self.list(now);
        let is_quarantined = |standing: &SuspectStatus| *standing == SuspectStatus::Quarantined;
        let quarantined = suspected.iter().filter(|(_, standing, _)| is_quarantined(standing));
        (suspected.len(), quarantined.count())
    }
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new()
    }
}

fn ended_news(request: Fingerprint, ends: &[EngineEnd], now: Millis) -> Vec<SuspectUpdate> {
    ends.iter().map(|end| SuspectUpdate::ended(request, end, now)).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic under this lock")
}
