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

use std::collections::{HashMap, VecDeque};

use crate::clearances::Clearances;
use crate::fingerprints::Fingerprint;
use crate::part_trials::is_part_trial;
use crate::units::{Millis, WallTime};

/// The maximum number of ends stored for one suspect.
const MAX_ENDS: usize = 8;

/// The number of ends from which suspects that share them are tried separately.
const SEPARATE_TRIAL_ENDS: usize = 2;

/// How long each turn of a suspect at an upstream lasts.
const TRIAL_TURN: Millis = Millis(4_000);

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
            memory: Millis::from_secs(600),
            clearance: Millis::from_secs(60),
            max_suspects: 4_096,
        }
    }
}

/// `SuspectStatus` is the status of a request or a part in the quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// There is no evidence against it.
    Clear,
    /// This many engines ended while they ran it, too few to decide.
    Suspected(usize),
    /// It must be sent to no engine.
    Quarantined,
}

/// `EngineEnd` is the end of an engine that ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineEnd {
    /// The hash of the engine's id and start.
    pub engine: u32,
    /// When it was recorded.
    pub at: Millis,
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
///     tracker.record_end(request, EngineEnd { engine, at: Millis(0) }, Millis(0));
/// }
/// assert_eq!(tracker.status(request, Millis(1)), SuspectStatus::Quarantined);
/// tracker.record_success(request, Millis(2));
/// assert_eq!(tracker.status(request, Millis(3)), SuspectStatus::Clear);
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

/// `Suspect` is the evidence against a request or a part.
#[derive(Clone, Debug, Default)]
struct Suspect {
    ends: Vec<EngineEnd>,
    /// When an engine last ended under it, or when it last arrived while quarantined.
    seen_at: Millis,
    /// The engine whose end caused the quarantine, if it is quarantined.
    quarantined_by: Option<u32>,
}

impl Suspect {
    /// Returns whether this suspect explains the end of an engine, so that the end is no evidence against
    /// others. The end that caused the quarantine is not explained yet: anything else that ran at that engine
    /// may be the cause as well.
    fn explains(&self, end: &EngineEnd, newest: u32) -> bool {
        self.quarantined_by.is_some_and(|engine| engine != newest) && self.ended_under(end.engine)
    }

    fn ended_under(&self, engine: u32) -> bool {
        self.ends.iter().any(|end| end.engine == engine)
    }

    /// Returns whether all engines that ended under `other` also ended under this suspect, so that neither is more
    /// likely to be the cause. The newest end may still be unrecorded here.
    fn is_as_suspect_as(&self, other: &Suspect, newest: Option<u32>) -> bool {
        other.ends.iter().all(|end| newest == Some(end.engine) || self.ended_under(end.engine))
    }
}

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

/// `EndOutcome` is the outcome of recording an end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndOutcome {
    /// The end was already known, or the request's runs complete successfully.
    Ignored,
    /// The end counts; the request is suspected.
    Counted,
    /// This end causes the request's quarantine.
    Quarantined,
    /// The request was already quarantined and explains the end.
    Explained,
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
            Some(suspect) => SuspectStatus::Suspected(suspect.ends.len()),
        }
    }

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

    /// Returns how many engines must have ended under a request to quarantine it.
    ///
    /// Where engines end without the request more than half as often as under it, the request may only have
    /// run alongside the cause. All recent ends since the first one under the request are compared.
    pub fn needed_ends(&self, request: Fingerprint, now: Millis) -> usize {
        let own = self.ends(request, now);
        let since = own.iter().map(|end| end.at).min().unwrap_or(now);
        let is_own = |end: &EngineEnd| own.iter().any(|one| one.engine == end.engine);
        let others = self.ended.iter().filter(|end| end.at >= since && !is_own(end)).count();
        if others * 2 > own.len() { self.options.ends_among_others } else { self.options.ends }
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
        let is_known = suspect.ends.iter().any(|known| known.engine == end.engine);
        let is_full = suspect.ends.len() >= MAX_ENDS;
        if is_known || (is_full && !was_quarantined) {
            return EndOutcome::Ignored;
        }
        if is_full {
            // The newest ends must stay known: otherwise they would count against what ran alongside.
            suspect.ends.remove(0);
        }
        suspect.ends.push(end);
        suspect.seen_at = now;
        self.explain_away(end.engine);
        if !request.is_part() {
            self.reconsider_parts(request);
        }
        if was_quarantined {
            return EndOutcome::Explained;
        }
        let needed = self.needed_ends(request, now);
        let weight = self.weight(request, Some(end.engine));
        match self.suspects.get_mut(&request) {
            Some(suspect) if weight >= needed => {
                suspect.quarantined_by = Some(end.engine);
                if request.is_part() {
                    self.reconsider_requests();
                }
                EndOutcome::Quarantined
            }
            Some(_) => EndOutcome::Counted,
            None => EndOutcome::Ignored,
        }
    }

    /// Returns how much evidence there is against a suspect, in engine ends that nothing else explains.
    pub fn evidence(&self, suspect: Fingerprint, now: Millis) -> usize {
        self.suspect(suspect, now).map_or(0, |_| self.weight(suspect, None))
    }

    /// Returns the evidence against a suspect. `newest` is the engine that has just ended, whose end may not be
    /// recorded against all that ran there yet.
    fn weight(&self, suspect: Fingerprint, newest: Option<u32>) -> usize {
        match self.suspects.get(&suspect) {
            None => 0,
            Some(own) if suspect.is_part() => self.weight_of_part(own, newest),
            Some(own) => self.weight_of_request(own, newest),
        }
    }

    /// Returns the evidence against a request. A quarantined part explains the ends at which the request only ran
    /// alongside it, unless the request ran at all of them.
    fn weight_of_request(&self, own: &Suspect, newest: Option<u32>) -> usize {
        let parts = self.quarantined().filter(|(suspect, _)| suspect.is_part());
        let parts = parts.map(|(_, part)| part);
        let causes: Vec<_> = parts.filter(|part| !own.is_as_suspect_as(part, newest)).collect();
        let is_explained =
            |end: &&EngineEnd| causes.iter().any(|cause| cause.ended_under(end.engine));
        own.ends.iter().filter(|end| !is_explained(end)).count()
    }

    /// Returns the evidence against a part.
    ///
    /// A single request that ended engines accuses its parts as well, which other requests share. So all ends under
    /// one quarantined request count once, and there is no evidence if one request ran at all the engines that ended
    /// under the part.
    fn weight_of_part(&self, own: &Suspect, newest: Option<u32>) -> usize {
        let mut requests = self.suspects.iter().filter(|(suspect, _)| !suspect.is_part());
        if requests.any(|(_, request)| request.is_as_suspect_as(own, newest)) {
            return 0;
        }
        let causes = self.quarantined().filter(|(suspect, _)| !suspect.is_part());
        let causes: Vec<_> = causes.map(|(_, request)| request).collect();
        let is_explained =
            |end: &&EngineEnd| causes.iter().any(|cause| cause.ended_under(end.engine));
        let explained = own.ends.iter().filter(is_explained).count();
        let explaining =
            causes.iter().filter(|cause| own.ends.iter().any(|end| cause.ended_under(end.engine)));
        own.ends.len() - explained + explaining.count().min(explained)
    }

    fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let quarantined = self.suspects.iter().filter(|(_, one)| one.quarantined_by.is_some());
        quarantined.map(|(suspect, one)| (*suspect, one))
    }

    /// Removes the ends that a quarantined suspect explains from all other suspects of its kind. `newest` is the engine
    /// that has just ended.
    ///
    /// Otherwise a request that only ran alongside a quarantined one at several engines would be quarantined
    /// next. A part that ran at all of these engines is as likely to be the cause as a quarantined part. A request
    /// explains no ends for parts: several requests may end engines because of the part that they share.
    fn explain_away(&mut self, newest: u32) {
        let quarantined: Vec<_> =
            self.quarantined().map(|(cause, suspect)| (cause, suspect.clone())).collect();
        if quarantined.is_empty() {
            return;
        }
        self.suspects.retain(|fingerprint, suspect| {
            if suspect.quarantined_by.is_none() {
                let is_part = fingerprint.is_part();
                let may_explain = |(cause, of): &&(Fingerprint, Suspect)| {
                    cause.is_part() == is_part
                        && !(is_part && suspect.is_as_suspect_as(of, Some(newest)))
                };
                let causes: Vec<_> = quarantined.iter().filter(may_explain).collect();
                suspect.ends.retain(|end| !causes.iter().any(|(_, one)| one.explains(end, newest)));
            }
            !suspect.ends.is_empty()
        });
    }

    /// Ends the quarantine of requests that only ran alongside a part that is quarantined now.
    fn reconsider_requests(&mut self) {
        let requests = self.quarantined().filter(|(suspect, _)| !suspect.is_part());
        let is_explained = |(_, request): &(Fingerprint, &Suspect)| {
            self.weight_of_request(request, None) < self.options.ends
        };
        let explained: Vec<_> = requests.filter(is_explained).map(|(request, _)| request).collect();
        for request in explained {
            self.suspects.entry(request).and_modify(|request| request.quarantined_by = None);
        }
    }

    /// Ends the quarantine of parts whose ends a request alone explains. Updates arrive in any order, so the part may
    /// have been quarantined before the ends of the request were known.
    fn reconsider_parts(&mut self, request: Fingerprint) {
        let Some(own) = self.suspects.get(&request).cloned() else { return };
        let parts = self.suspects.iter_mut().filter(|(one, _)| one.is_part());
        for (_, part) in parts.filter(|(_, part)| own.is_as_suspect_as(part, None)) {
            part.quarantined_by = None;
        }
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
    /// let end = EngineEnd { engine: 1, at: Millis(10) };
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
