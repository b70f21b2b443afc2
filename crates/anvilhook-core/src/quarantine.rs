//! Poison requests: those under which engines end, and which are to be sent to no more of them.
//!
//! A poison request comes again under a new id, at any instance, and takes an engine away each time with
//! all that runs beside it. It is known by its [`Fingerprint`]. All that ran at an engine as it ended are
//! suspects alike; a run that ends well tells those apart that only ran beside it.

use std::collections::{HashMap, VecDeque};

use crate::fingerprints::Fingerprint;
use crate::units::{Millis, WallTime};

/// The most ends that are held of one request.
const MAX_ENDS: usize = 8;

/// The ends from which on suspects that share them are tried apart.
const TRIED_APART_ENDS: usize = 2;

/// How long a suspect's turn at an upstream is.
const TRIAL_TURN: Millis = Millis(4_000);

/// The most engines that are remembered to have ended.
const MAX_ENDED: usize = 256;

/// `QuarantineOptions` says when a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineOptions {
    /// How many starts of engines must have ended under a request if most that end do so under it.
    pub ends: usize,
    /// How many must have otherwise: where engines end of themselves, some requests meet several of them.
    pub ends_among_others: usize,
    /// How long a suspicion or a quarantine lasts after the last end or arrival.
    pub memory: Millis,
    /// For how long a run that ended well clears a request of ends that are heard of meanwhile.
    pub clearance: Millis,
    /// The most requests that are suspected at a time, and the most whose runs are known to have ended well.
    pub most: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            ends: 3,
            ends_among_others: 5,
            memory: Millis::from_secs(600),
            clearance: Millis::from_secs(60),
            most: 4_096,
        }
    }
}

/// `SuspectStatus` is what is held of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// Nothing speaks against it.
    Clear,
    /// So many engines ended while they ran it, too few to tell.
    Suspected(usize),
    /// It is to be sent to no engine.
    Quarantined,
}

/// `EngineEnd` is the end of an engine under a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineEnd {
    /// The short form of the engine's id and start.
    pub engine: u32,
    /// When it was noted.
    pub at: Millis,
}

/// `QuarantineTracker` is what one instance holds of requests, by what it has seen itself and was told.
///
/// ```
/// use anvilhook_core::fingerprints::Fingerprint;
/// use anvilhook_core::quarantine::{EngineEnd, QuarantineTracker, QuarantineOptions, SuspectStatus};
/// use anvilhook_core::units::Millis;
///
/// let request = Fingerprint(7);
/// let mut book = QuarantineTracker::new(QuarantineOptions::default());
/// for engine in 1..=3 {
///     book.record_end(request, EngineEnd { engine, at: Millis(0) }, Millis(0));
/// }
/// assert_eq!(book.status(request, Millis(1)), SuspectStatus::Quarantined);
/// book.record_success(request, Millis(2));
/// assert_eq!(book.status(request, Millis(3)), SuspectStatus::Clear);
/// ```
#[derive(Debug)]
pub struct QuarantineTracker {
    options: QuarantineOptions,
    suspects: HashMap<Fingerprint, Suspect>,
    /// When runs ended well of late, by request and in order.
    well: HashMap<Fingerprint, Millis>,
    well_order: VecDeque<(Fingerprint, Millis)>,
    /// The engines that ended of late, whatever ran there.
    ended: VecDeque<EngineEnd>,
    /// When suspects were cleared. Ends of before are still told on by those who have not heard it.
    cleared: HashMap<Fingerprint, Millis>,
}

/// `Suspect` is what speaks against a request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    ends: Vec<EngineEnd>,
    /// When an engine last ended under it, or it last came while quarantined.
    seen_at: Millis,
    /// The engine by whose end it was quarantined, if it was.
    quarantined_by: Option<u32>,
}

impl Suspect {
    /// Returns whether its run explains the end of an engine, so that it speaks against no other request.
    /// Whatever also ran at the engine by which it was quarantined may be the cause as well.
    fn explains(&self, end: &EngineEnd, newest: u32) -> bool {
        self.quarantined_by.is_some_and(|engine| engine != newest)
            && self.ends.iter().any(|own| own.engine == end.engine)
    }
}

/// `TrialSlot` is where a suspect is tried among others that ran at the same engines as they ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrialSlot {
    index: usize,
    count: usize,
}

impl TrialSlot {
    /// Returns whether it may be tried at an upstream now. `upstream` is a number that all instances have for
    /// the upstream, and `time` one that they agree on.
    ///
    /// ```
    /// use anvilhook_core::fingerprints::Fingerprint;
    /// use anvilhook_core::quarantine::{EngineEnd, QuarantineTracker, QuarantineOptions};
    /// use anvilhook_core::units::{Millis, WallTime};
    ///
    /// let mut book = QuarantineTracker::new(QuarantineOptions::default());
    /// for (engine, request) in [(1, 7), (1, 8), (2, 7), (2, 8)] {
    ///     book.record_end(Fingerprint(request), EngineEnd { engine, at: Millis(0) }, Millis(0));
    /// }
    /// let allowed = |request, time| {
    ///     let place = book.trial_slot(Fingerprint(request), Millis(0)).unwrap();
    ///     [0, 1].map(|upstream| place.allows(upstream, WallTime(time)))
    /// };
    /// assert_eq!((allowed(7, 0), allowed(8, 0)), ([true, false], [false, true]));
    /// assert_eq!(allowed(7, 3_000), [false, false]);
    /// assert_eq!((allowed(7, 4_000), allowed(8, 4_000)), ([false, true], [true, false]));
    /// ```
    pub fn allows(&self, upstream: u64, time: WallTime) -> bool {
        let turn = upstream.wrapping_add(time.0 / TRIAL_TURN.0);
        // What begins late in its turn would still run in the next one's.
        let is_early = time.0 % TRIAL_TURN.0 < TRIAL_TURN.0 / 2;
        is_early && turn % self.count as u64 == self.index as u64
    }
}

/// `EndOutcome` is what became of an end that was noted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndOutcome {
    /// It was known, or the request's runs end well.
    Ignored,
    /// It counts; the request is suspected.
    Counted,
    /// It is the one by which the request is quarantined.
    Quarantined,
    /// The request was quarantined before, and explains the end.
    Explained,
}

impl QuarantineTracker {
    /// Makes a book that suspects nothing.
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            suspects: HashMap::new(),
            well: HashMap::new(),
            well_order: VecDeque::new(),
            ended: VecDeque::new(),
            cleared: HashMap::new(),
        }
    }

    /// Returns what is held of a request.
    pub fn status(&self, request: Fingerprint, now: Millis) -> SuspectStatus {
        match self.suspect(request, now) {
            None => SuspectStatus::Clear,
            Some(suspect) if suspect.quarantined_by.is_some() => SuspectStatus::Quarantined,
            Some(suspect) => SuspectStatus::Suspected(suspect.ends.len()),
        }
    }

    /// Returns where a suspect is to be tried that the next ends would quarantine beside others: those that
    /// ran at all the engines which ended under it. `None` if it may be tried anywhere.
    ///
    /// Of a service with two upstreams both go each time, and whatever was tried beside the cause meets as
    /// many ends. All instances that know the same ends keep such suspects apart alike: each has its turn at
    /// each upstream, also if only one is left.
    pub fn trial_slot(&self, request: Fingerprint, now: Millis) -> Option<TrialSlot> {
        let rivals = self.rivals(request, now);
        let index = rivals.iter().position(|rival| *rival == request)?;
        (rivals.len() > 1).then_some(TrialSlot { index, count: rivals.len() })
    }

    /// Returns the suspects that ran at all the engines which ended under one of them, itself included, in
    /// an order that all instances have; none if few have.
    pub fn rivals(&self, request: Fingerprint, now: Millis) -> Vec<Fingerprint> {
        let own = self.ends(request, now);
        if own.len() < TRIED_APART_ENDS {
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
    /// Where engines end without a request about as they do under it, it may only have been near. All that
    /// end since the first one under it are weighed.
    pub fn needed_ends(&self, request: Fingerprint, now: Millis) -> usize {
        let own = self.ends(request, now);
        let since = own.iter().map(|end| end.at).min().unwrap_or(now);
        let is_own = |end: &EngineEnd| own.iter().any(|one| one.engine == end.engine);
        let others = self.ended.iter().filter(|end| end.at >= since && !is_own(end)).count();
        if others * 2 > own.len() { self.options.ends_among_others } else { self.options.ends }
    }

    fn note_ended(&mut self, end: EngineEnd, now: Millis) {
        let is_old = |one: &EngineEnd| one.at + self.options.clearance <= now;
        while self.ended.front().is_some_and(is_old) || self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        if !self.ended.iter().any(|one| one.engine == end.engine) {
            self.ended.push_back(end);
        }
    }

    /// Returns the ends that speak against a request.
    pub fn ends(&self, request: Fingerprint, now: Millis) -> &[EngineEnd] {
        self.suspect(request, now).map_or(&[], |suspect| &suspect.ends)
    }

    fn suspect(&self, request: Fingerprint, now: Millis) -> Option<&Suspect> {
        self.suspects.get(&request).filter(|suspect| self.is_current(suspect, now))
    }

    /// Notes that an engine has ended while it ran a request. Engines that end several times do so under
    /// other short forms.
    pub fn record_end(&mut self, request: Fingerprint, end: EngineEnd, now: Millis) -> EndOutcome {
        self.expire(now);
        self.note_ended(end, now);
        let is_cleared = self.cleared.get(&request).is_some_and(|at| end.at <= *at);
        if is_cleared || self.has_recent_success(request, now) {
            return EndOutcome::Ignored;
        }
        if !self.suspects.contains_key(&request) {
            self.make_room();
        }
        let suspect = self.suspects.entry(request).or_default();
        let is_known = suspect.ends.iter().any(|known| known.engine == end.engine);
        if is_known || suspect.ends.len() >= MAX_ENDS {
            return EndOutcome::Ignored;
        }
        suspect.ends.push(end);
        suspect.seen_at = now;
        let was_quarantined = suspect.quarantined_by.is_some();
        self.explain_away(end.engine);
        if was_quarantined {
            return EndOutcome::Explained;
        }
        let needed = self.needed_ends(request, now);
        match self.suspects.get_mut(&request) {
            Some(suspect) if suspect.ends.len() >= needed => {
                suspect.quarantined_by = Some(end.engine);
                EndOutcome::Quarantined
            }
            Some(_) => EndOutcome::Counted,
            None => EndOutcome::Ignored,
        }
    }

    /// Takes the ends that quarantined requests explain from all others. `newest` is the engine that has
    /// just ended.
    ///
    /// What only ran beside such a request at several engines would be quarantined after it.
    fn explain_away(&mut self, newest: u32) {
        let quarantined: Vec<_> =
            self.suspects.values().filter(|one| one.quarantined_by.is_some()).cloned().collect();
        if quarantined.is_empty() {
            return;
        }
        let is_explained =
            |end: &EngineEnd| quarantined.iter().any(|cause| cause.explains(end, newest));
        self.suspects.retain(|_, suspect| {
            if suspect.quarantined_by.is_none() {
                suspect.ends.retain(|end| !is_explained(end));
            }
            !suspect.ends.is_empty()
        });
    }

    /// Notes that a request's run has ended well, which clears it. Returns whether it was suspected.
    pub fn record_success(&mut self, request: Fingerprint, now: Millis) -> bool {
        while let Some((oldest, at)) = self.well_order.front().copied()
            && (at + self.options.clearance <= now || self.well_order.len() >= self.options.most)
        {
            self.well_order.pop_front();
            if self.well.get(&oldest) == Some(&at) {
                self.well.remove(&oldest);
            }
        }
        self.well.insert(request, now);
        self.well_order.push_back((request, now));
        self.lift(request, now)
    }

    /// Returns whether a run of the request has ended well so shortly ago that it is beyond suspicion.
    pub fn has_recent_success(&self, request: Fingerprint, now: Millis) -> bool {
        self.well.get(&request).is_some_and(|at| *at + self.options.clearance > now)
    }

    /// Notes that a quarantined request has come again, which makes its quarantine last.
    pub fn record_arrival(&mut self, request: Fingerprint, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.seen_at = now;
        }
    }

    /// Forgets what speaks against a request, as an operator wishes. Returns whether anything did.
    pub fn lift(&mut self, request: Fingerprint, now: Millis) -> bool {
        let is_known = self.suspects.remove(&request).is_some();
        if is_known && self.cleared.len() < self.options.most {
            self.cleared.insert(request, now);
        }
        is_known
    }

    /// Returns the suspected requests with the ends that speak against them.
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

    /// Forgets the suspect with the least against it if there is no room for another one.
    fn make_room(&mut self) {
        if self.suspects.len() < self.options.most {
            return;
        }
        let weight = |suspect: &Suspect| (suspect.ends.len(), suspect.seen_at);
        let least = self.suspects.iter().min_by_key(|(_, suspect)| weight(suspect));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }
}
