//! Quarantine of what makes engines terminate, so that it is sent to no more of them: poison requests, and prompt
//! parts under which every request is one.
//!
//! A poison request arrives again under a new id at any instance. Each time it terminates an engine together
//! with everything that runs there. It is recognized by its [`Fingerprint`]. All requests that ran at an
//! engine when it terminated are equally suspect; a run that completes successfully clears a request that
//! only ran alongside the cause.
//!
//! A part is suspect if an engine terminated that was about to write the output of a request with it, and any run
//! with the part that has written output clears it. Parts of common traffic are therefore always clear, and what
//! remains is the cause and rare parts that arrived with it.
//!
//! Several engines may end at one moment for another reason: a rack, a host, a rollout. They are evidence enough to
//! stop sending what ran there, but not to refuse it for good: only the end of an engine under a later run is. So a
//! suspect is first on trial, one run at a time over all instances, and also a quarantined one is run again from
//! time to time.

mod evidence;
mod suspects;
mod trials;

use std::collections::{HashMap, VecDeque};

use crate::clearances::Clearances;
use crate::fingerprints::Fingerprint;
use crate::units::Millis;

use suspects::Suspect;
pub use suspects::{EndOutcome, EngineEnd, SuspectStatus};
pub use trials::TrialSlot;

/// The maximum number of ends stored for one suspect.
const MAX_ENDS: usize = 12;

/// The maximum number of recently terminated engines that are remembered.
const MAX_ENDED: usize = 256;

/// `QuarantineOptions` sets when a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineOptions {
    /// How many engine processes must have ended under a request if at least two thirds of all recent
    /// engine ends happened under it.
    pub ends: usize,
    /// How many must have ended under it otherwise. Where engines also end for other reasons, some requests
    /// happen to run at several of them.
    pub ends_among_others: usize,
    /// How many of the ends must be independent of each other.
    pub independent_ends: usize,
    /// How long a suspicion or a quarantine lasts after the last end or arrival.
    pub memory: Millis,
    /// How long a successful run clears a request of ends that are reported meanwhile.
    pub clearance: Millis,
    /// The maximum number of suspects, of requests with a recorded successful run, and of parts with one.
    pub max_suspects: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            ends: 3,
            ends_among_others: 5,
            independent_ends: 3,
            memory: Millis::from_secs(600),
            clearance: Millis::from_secs(60),
            max_suspects: 4_096,
        }
    }
}

/// `QuarantineTracker` tracks suspected requests and parts from the observations of this instance and its peers.
///
/// ```
/// use anvilhook_core::fingerprints::Fingerprint;
/// use anvilhook_core::quarantine::{EngineEnd, QuarantineTracker, QuarantineOptions, SuspectStatus};
/// use anvilhook_core::units::Millis;
///
/// let request = Fingerprint(7);
/// let mut tracker = QuarantineTracker::new(QuarantineOptions::default());
/// for engine in 1..=3 {
///     let (at, began_at) = (Millis(10), Millis(10));
///     tracker.record_end(request, EngineEnd { engine, at, began_at }, at);
/// }
/// assert_eq!(tracker.status(request, Millis(11)), SuspectStatus::Quarantined);
/// tracker.record_success(request, Millis(12));
/// assert_eq!(tracker.status(request, Millis(13)), SuspectStatus::Clear);
/// ```
#[derive(Debug)]
pub struct QuarantineTracker {
    options: QuarantineOptions,
    suspects: HashMap<Fingerprint, Suspect>,
    /// The requests that have recently run successfully.
    successes: Clearances,
    /// The parts with which requests have recently written output. They are stored apart, so that many different
    /// requests can't displace them.
    part_successes: Clearances,
    /// The engines that ended recently, whatever ran there.
    ended: VecDeque<EngineEnd>,
    /// When suspects were cleared. Peers that have not received the clearance still forward earlier ends.
    cleared: HashMap<Fingerprint, Millis>,
}

impl QuarantineTracker {
    /// Creates a tracker without suspects.
    pub fn new(options: QuarantineOptions) -> Self {
        let clearances = || Clearances::new(options.clearance, options.max_suspects);
        Self {
            options,
            suspects: HashMap::new(),
            successes: clearances(),
            part_successes: clearances(),
            ended: VecDeque::new(),
            cleared: HashMap::new(),
        }
    }

    /// Returns the status of a request.
    pub fn status(&self, request: Fingerprint, now: Millis) -> SuspectStatus {
        match self.suspect(request, now) {
            None => SuspectStatus::Clear,
            Some(suspect) if suspect.quarantined_by.is_some() => SuspectStatus::Quarantined,
            Some(suspect) if suspect.is_on_trial => SuspectStatus::OnTrial,
            Some(suspect) => SuspectStatus::Suspected(suspect.ends.len()),
        }
    }

    fn record_ended(&mut self, end: EngineEnd, now: Millis) {
        let is_old = |one: &EngineEnd| one.at + self.options.clearance <= now;
        while self.ended.front().is_some_and(is_old) || self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        if !self.ended.iter().any(|one| one.engine == end.engine) {
            self.ended.push_back(end);
        }
    }

    /// Returns the ends that are evidence against a request.
    pub fn ends(&self, request: Fingerprint, now: Millis) -> &[EngineEnd] {
        self.suspect(request, now).map_or(&[], |suspect| &suspect.ends)
    }

    fn suspect(&self, request: Fingerprint, now: Millis) -> Option<&Suspect> {
        self.suspects.get(&request).filter(|suspect| self.is_current(suspect, now))
    }

    /// Records that an engine has ended while it ran a request. Each start of an engine has another hash, so
    /// several ends of one engine count separately.
    pub fn record_end(&mut self, request: Fingerprint, end: EngineEnd, now: Millis) -> EndOutcome {
        self.expire(now);
        self.record_ended(end, now);
        let is_cleared = self.cleared.get(&request).is_some_and(|at| end.at <= *at);
        if is_cleared || self.has_recent_success(request, now) {
            return EndOutcome::Ignored;
        }
        if !self.suspects.contains_key(&request) {
            self.make_room();
        }
        let suspect = self.suspects.entry(request).or_default();
        let was_quarantined = suspect.quarantined_by.is_some();
        if !suspect.add_end(end) {
            return EndOutcome::Ignored;
        }
        if suspect.ends.len() > MAX_ENDS {
            // The newest ends must stay known: otherwise they would count against what ran alongside.
            suspect.ends.remove(0);
        }
        suspect.seen_at = now;
        // The run on trial has shown its result.
        suspect.trial = None;
        self.explain_away(end.engine);
        if !request.is_part() {
            self.reconsider_parts(request);
        }
        if was_quarantined {
            return EndOutcome::Explained;
        }
        self.judge(request, end.engine, now)
    }

    /// Decides on a suspect after the end of the engine `newest` has been recorded against it.
    fn judge(&mut self, request: Fingerprint, newest: u32, now: Millis) -> EndOutcome {
        let needed = self.needed_ends(request, now);
        let weight = self.weight(request, Some(newest));
        let independent_ends = self.options.independent_ends;
        let Some(suspect) = self.suspects.get_mut(&request) else { return EndOutcome::Ignored };
        if weight < needed && !suspect.is_on_trial {
            return EndOutcome::Counted;
        }
        suspect.is_on_trial = true;
        if weight < needed || suspect.independent_ends() < independent_ends {
            return EndOutcome::OnTrial;
        }
        suspect.quarantined_by = Some(newest);
        if request.is_part() {
            self.reconsider_requests();
        }
        EndOutcome::Quarantined
    }

    /// Records a successful run of a request, which clears it. Returns whether it was suspected.
    pub fn record_success(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.successes.record(request, now);
        self.lift(request, now)
    }

    /// Records that a run of a request with this part has written output, which clears the part. Returns whether it
    /// was suspected.
    ///
    /// ```
    /// use anvilhook_core::fingerprints::Fingerprint;
    /// use anvilhook_core::quarantine::{EndOutcome, EngineEnd, QuarantineOptions, QuarantineTracker};
    /// use anvilhook_core::units::Millis;
    ///
    /// let part = Fingerprint::of_part("assistant", "small", 7);
    /// let mut tracker = QuarantineTracker::new(QuarantineOptions::default());
    /// assert!(!tracker.record_part_success(part, Millis(0)));
    /// let end = EngineEnd { engine: 1, at: Millis(10), began_at: Millis(5) };
    /// assert_eq!(tracker.record_end(part, end, Millis(10)), EndOutcome::Ignored);
    /// ```
    pub fn record_part_success(&mut self, part: Fingerprint, now: Millis) -> bool {
        self.part_successes.record(part, now);
        self.lift(part, now)
    }

    /// Returns whether a run of the request, or with the part, succeeded so recently that new ends are ignored.
    pub fn has_recent_success(&self, suspect: Fingerprint, now: Millis) -> bool {
        self.successes.is_clear(suspect, now) || self.part_successes.is_clear(suspect, now)
    }

    /// Records that a quarantined request has arrived again, which prolongs its quarantine.
    pub fn record_arrival(&mut self, request: Fingerprint, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.seen_at = now;
        }
    }

    /// Removes the evidence against a request, after a successful run or on an operator's order. Returns
    /// whether there was any.
    pub fn lift(&mut self, request: Fingerprint, now: Millis) -> bool {
        let is_known = self.suspects.remove(&request).is_some();
        if is_known && self.cleared.len() < self.options.max_suspects {
            self.cleared.insert(request, now);
        }
        is_known
    }

    /// Returns the suspected requests with the ends that are evidence against them.
    pub fn suspects(&self, now: Millis) -> impl Iterator<Item = (Fingerprint, &[EngineEnd])> {
        let current = self.suspects.iter().filter(move |(_, one)| self.is_current(one, now));
        current.map(|(request, suspect)| (*request, suspect.ends.as_slice()))
    }

    fn is_current(&self, suspect: &Suspect, now: Millis) -> bool {
        suspect.seen_at + self.options.memory > now
    }

    fn expire(&mut self, now: Millis) {
        let memory = self.options.memory;
        self.suspects.retain(|_, suspect| suspect.seen_at + memory > now);
        self.cleared.retain(|_, at| *at + memory > now);
    }

    /// Removes the suspect with the least evidence if there is no room for another one.
    fn make_room(&mut self) {
        if self.suspects.len() < self.options.max_suspects {
            return;
        }
        let weight = |suspect: &Suspect| (suspect.ends.len(), suspect.seen_at);
        let least = self.suspects.iter().min_by_key(|(_, suspect)| weight(suspect));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }
}
