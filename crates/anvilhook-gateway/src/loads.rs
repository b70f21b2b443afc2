//! What this instance has learnt of an upstream: its load, its failures, its speed.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use anvilhook_core::ejections::{Ejection, EjectionOptions, ErrorReports};
use anvilhook_core::orders::Role;
use anvilhook_core::units::Millis;

use crate::fleets::Upstream;
use crate::wires::Load;

/// The handles refused in a row after which an engine of either stage is left alone for a while, and
/// that while.
const REFUSED_HANDLES: u32 = 2;
const NO_HANDLES_TIME: Millis = Millis(800);

/// How long an upstream's or a peer's word about load is worth anything.
const LOAD_AGE: Millis = Millis(400);

/// The same for what other availability zones tell, which comes over two instances more.
const FAR_LOAD_AGE: Millis = Millis(800);

/// For how long the others are told that an upstream leaves, so that a lost datagram does not lose it.
const LEAVING_NEWS: Millis = Millis(1_000);

/// For how long the others are told of an error.
const ERROR_NEWS: Millis = Millis(200);

/// `Work` is what requests in flight ask of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompts being read, in milliseconds of work.
    pub reading_ms: f64,
    /// KV caches being fetched, in milliseconds of the engine's link.
    pub fetching_ms: f64,
}

/// `PeerLoad` is what another instance has in flight at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// What its requests ask of the upstream.
    pub work: Work,
    /// When it was heard.
    pub at: Millis,
    /// Whether it is what all instances of other availability zones have in flight, as one of them tells
    /// now and then.
    pub is_far: bool,
}

impl PeerLoad {
    /// Returns whether it is worth anything.
    fn is_current(&self, now: Millis) -> bool {
        self.at + if self.is_far { FAR_LOAD_AGE } else { LOAD_AGE } >= now
    }
}

/// `RoleChange` is a change of role that an engine has been ordered to make.
///
/// It first ends what runs, for as long as that takes, and refuses all else until it is done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The role that it takes.
    pub role: Role,
    /// When it is over at the latest, should the list never show it.
    pub until: Millis,
    /// Whether this instance has given the order.
    pub is_own: bool,
}

/// `RoleObservation` is the role that an engine has shown by its own answers.
///
/// While the table is away the list goes on showing the role before a change. Requests that are placed
/// by it go to engines that refuse them, and spend the retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleObservation {
    /// The role.
    pub role: Role,
    /// The number of the engine's report that was listed then. A later report says more.
    pub sequence: u64,
    /// Whether this instance has observed it.
    pub is_own: bool,
}

/// `UpstreamState` is what this instance has learnt of an upstream. It outlives changes of the
/// upstream's entry.
#[derive(Debug)]
pub struct UpstreamState {
    in_flight: AtomicU32,
    reading_us: AtomicU64,
    fetching_us: AtomicU64,
    ejection: Ejection,
    is_gone: AtomicBool,
    /// Whether that was learnt by this instance.
    is_observed_gone: AtomicBool,
    /// Until when its host refuses connections, and the same by what this instance has met.
    closed_until: AtomicU64,
    own_closed: AtomicU64,
    /// When this instance learnt first that it leaves, by its own word or by another instance's; zero if it
    /// has not.
    leaving_at: AtomicU64,
    /// The same by an answer to this instance itself.
    own_leaving_at: AtomicU64,
    /// Until when it wants nothing of this instance.
    paused_until: AtomicU64,
    errors: Mutex<ErrorReports>,
    own_error_at: AtomicU64,
    refused_handles: AtomicU32,
    no_handles_until: AtomicU64,
    away_until: AtomicU64,
    own_away: AtomicU64,
    role_change: Mutex<Option<RoleChange>>,
    observed_role: Mutex<Option<RoleObservation>>,
    slowness: AtomicU64,
    told: Mutex<Option<(Load, Millis)>>,
    peers: Mutex<HashMap<u64, PeerLoad>>,
}

impl UpstreamState {
    /// Makes the state of an upstream of which nothing is known.
    pub(crate) fn new() -> Self {
        let options =
            EjectionOptions { failures: 3, ejection: Millis(1_000), slow_return: Millis(2_000) };
        Self {
            in_flight: AtomicU32::new(0),
            reading_us: AtomicU64::new(0),
            fetching_us: AtomicU64::new(0),
            ejection: Ejection::new(&options),
            is_gone: AtomicBool::new(false),
            is_observed_gone: AtomicBool::new(false),
            closed_until: AtomicU64::new(0),
            own_closed: AtomicU64::new(0),
            leaving_at: AtomicU64::new(0),
            own_leaving_at: AtomicU64::new(0),
            paused_until: AtomicU64::new(0),
            errors: Mutex::default(),
            own_error_at: AtomicU64::new(0),
            refused_handles: AtomicU32::new(0),
            no_handles_until: AtomicU64::new(0),
            away_until: AtomicU64::new(0),
            own_away: AtomicU64::new(0),
            role_change: Mutex::default(),
            observed_role: Mutex::default(),
            slowness: AtomicU64::new(1f64.to_bits()),
            told: Mutex::default(),
            peers: Mutex::default(),
        }
    }

    /// Returns the record of failures.
    pub fn ejection(&self) -> &Ejection {
        &self.ejection
    }

    /// Returns whether it may be tried: it has not failed of late, and takes connections.
    pub fn is_healthy(&self, now: Millis) -> bool {
        let is_closed = now.0 < self.closed_until.load(Ordering::Acquire);
        !self.ejection.is_ejected(now) && !is_closed
    }

    /// Notes that the upstream's host refuses connections. Returns whether that is news.
    pub fn mark_closed(&self, until: Millis, is_own: bool) -> bool {
        if is_own {
            self.own_closed.fetch_max(until.0, Ordering::AcqRel);
        }
        self.closed_until.fetch_max(until.0, Ordering::AcqRel) < until.0
    }

    /// Notes that an instance has got an error of the upstream; this instance's own are told the others.
    /// Returns for how long all are to leave the upstream alone, if enough instances have got one.
    pub fn record_error(&self, instance: u64, is_own: bool, now: Millis) -> Option<Millis> {
        if is_own {
            self.own_error_at.store(now.0, Ordering::Release);
        }
        self.errors.lock().expect("no panic under this lock").record(instance, now)
    }

    /// Returns whether this instance got an error so shortly ago that the others are told.
    pub fn has_recent_own_error(&self, now: Millis) -> bool {
        let error_at = self.own_error_at.load(Ordering::Acquire);
        error_at > 0 && now < Millis(error_at) + ERROR_NEWS
    }

    /// Returns until when the host refuses connections, by what this instance itself has met.
    pub fn own_closed_until(&self) -> Millis {
        Millis(self.own_closed.load(Ordering::Acquire))
    }

    /// Notes that another upstream answers at the address, so that this one is gone.
    pub fn mark_gone(&self, is_own: bool) {
        self.is_gone.store(true, Ordering::Release);
        self.is_observed_gone.fetch_or(is_own, Ordering::AcqRel);
    }

    /// Returns whether this instance itself has learnt that the upstream is gone.
    pub fn is_observed_gone(&self) -> bool {
        self.is_observed_gone.load(Ordering::Acquire)
    }

    /// Returns whether the upstream is known to be gone though it is still listed.
    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Acquire)
    }

    /// Notes that the upstream says that it leaves; `is_own` if it has told this instance itself. Returns
    /// whether that is news. Nothing takes it back but a later start of the upstream.
    pub fn mark_leaving(&self, is_own: bool, now: Millis) -> bool {
        let at = now.0.max(1);
        if is_own {
            let _ =
                self.own_leaving_at.compare_exchange(0, at, Ordering::AcqRel, Ordering::Acquire);
        }
        self.leaving_at.compare_exchange(0, at, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Returns whether the upstream is known to be leaving, whatever the list says.
    pub fn says_leaving(&self) -> bool {
        self.leaving_at.load(Ordering::Acquire) > 0
    }

    /// Returns whether the upstream told this instance so shortly ago that the others are told.
    pub fn has_recent_own_leaving(&self, now: Millis) -> bool {
        let at = self.own_leaving_at.load(Ordering::Acquire);
        at > 0 && now < Millis(at) + LEAVING_NEWS
    }

    /// Notes that the upstream wants nothing of this instance until a time. Returns whether that is news; no
    /// later word shortens it.
    pub fn pause(&self, until: Millis) -> bool {
        self.paused_until.fetch_max(until.0, Ordering::AcqRel) < until.0
    }

    /// Returns until when the upstream wants nothing of this instance, if that is not over.
    pub fn paused_until(&self, now: Millis) -> Option<Millis> {
        let until = Millis(self.paused_until.load(Ordering::Acquire));
        (until > now).then_some(until)
    }

    /// Returns whether anything is known that must outlive a lapse of the upstream's entry.
    pub(crate) fn is_lasting(&self) -> bool {
        self.says_leaving() || self.is_gone() || self.paused_until.load(Ordering::Acquire) > 0
    }

    /// Notes that the upstream takes no work until a time, because it changes its role.
    pub fn mark_away(&self, until: Millis) {
        self.away_until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Notes the same by what this instance has ordered, or was told by the upstream itself.
    pub fn mark_own_away(&self, until: Millis) {
        self.mark_away(until);
        self.own_away.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Returns until when the upstream is away by what this instance knows itself.
    ///
    /// What it has from others is not told on: each telling adds the time on the way, and slow
    /// instances would hold an engine away for ever.
    pub fn own_away_until(&self) -> Millis {
        Millis(self.own_away.load(Ordering::Acquire))
    }

    /// Returns whether the upstream is away for a change of its role.
    pub fn is_away(&self, now: Millis) -> bool {
        now.0 < self.away_until.load(Ordering::Acquire)
    }

    /// Notes that the engine has been ordered to change its role. Of two orders the later counts.
    pub fn record_role_change(&self, change: RoleChange) {
        let mut known = self.role_change.lock().expect("no panic under this lock");
        if known.is_none_or(|known| known.role != change.role || known.until < change.until) {
            *known = Some(change);
        }
    }

    /// Returns the change of role that is under way at an engine that is listed with a role.
    pub fn role_change(&self, now: Millis, listed: Option<Role>) -> Option<RoleChange> {
        let known = *self.role_change.lock().expect("no panic under this lock");
        known.filter(|change| change.until > now && Some(change.role) != listed)
    }

    /// Notes the role that the engine has shown. Of two observations that of the later report counts.
    pub fn observe_role(&self, observation: RoleObservation) {
        let mut known = self.observed_role.lock().expect("no panic under this lock");
        if known.is_none_or(|known| known.sequence <= observation.sequence) {
            *known = Some(observation);
        }
    }

    /// Returns the observation of a role that is newer than the report with a number.
    pub fn observed_role(&self, sequence: u64) -> Option<RoleObservation> {
        let known = *self.observed_role.lock().expect("no panic under this lock");
        known.filter(|known| known.sequence >= sequence)
    }

    /// Notes what became of a KV handle that this engine gave, or was to fetch.
    ///
    /// An engine whose handles lapse at once answers each reading well, and an engine that has begun
    /// to change its role refuses each handle; every request there would be refused and spend the
    /// retry budget. Either side of a refusal may be the cause: the other one's next handle clears
    /// it.
    pub fn record_handle(&self, is_taken: bool, now: Millis) {
        if is_taken {
            self.refused_handles.store(0, Ordering::Release);
        } else if self.refused_handles.fetch_add(1, Ordering::AcqRel) + 1 >= REFUSED_HANDLES {
            let until = now + NO_HANDLES_TIME;
            self.no_handles_until.fetch_max(until.0, Ordering::AcqRel);
        }
    }

    /// Returns whether the engine's handles were refused of late.
    pub fn has_bad_handles(&self, now: Millis) -> bool {
        now.0 < self.no_handles_until.load(Ordering::Acquire)
    }

    /// Returns how many times slower than predicted the upstream reads prompts.
    pub fn slowness(&self) -> f64 {
        f64::from_bits(self.slowness.load(Ordering::Acquire))
    }

    /// Learns from a prompt that took `took_ms` where `expected_ms` were predicted.
    ///
    /// An engine that has turned slow would keep its share of the work and make all of it late. A
    /// prompt may also take long because of others that this instance has not heard of, so the
    /// belief grows slowly and falls fast.
    pub fn record_reading(&self, expected_ms: f64, took_ms: f64) {
        const GROWTH: f64 = 0.1;
        const FALL: f64 = 0.5;
        let seen = (took_ms / expected_ms.max(1.0)).clamp(1.0, 6.0);
        let before = self.slowness();
        let weight = if seen > before { GROWTH } else { FALL };
        let next = before * (1.0 - weight) + seen * weight;
        self.slowness.store(next.to_bits(), Ordering::Release);
    }

    /// Notes what the upstream said of its load.
    pub fn record_load(&self, load: Load, now: Millis) {
        *self.told.lock().expect("no panic under this lock") = Some((load, now));
    }

    /// Notes what a peer has in flight here.
    ///
    /// Whoever has nothing here, or was not heard for a while, takes no room: processes come and go,
    /// each under a number of its own.
    pub fn record_peer(&self, peer: u64, load: PeerLoad) {
        let mut peers = self.peers.lock().expect("no panic under this lock");
        peers.retain(|_, other| other.is_current(load.at));
        if load.work.in_flight > 0 {
            peers.insert(peer, load);
        } else {
            peers.remove(&peer);
        }
    }

    /// Returns how many peers are believed to have something in flight here.
    pub fn peer_count(&self) -> usize {
        self.peers.lock().expect("no panic under this lock").len()
    }

    /// Returns what this instance's own requests ask of the upstream.
    pub fn own_work(&self) -> Work {
        Work {
            in_flight: self.in_flight.load(Ordering::Acquire),
            reading_ms: self.reading_us.load(Ordering::Acquire) as f64 / 1e3,
            fetching_ms: self.fetching_us.load(Ordering::Acquire) as f64 / 1e3,
        }
    }

    /// Returns the estimate of what the requests of this instance's availability zone ask of the upstream.
    pub fn near_work(&self, now: Millis) -> Work {
        self.work_with(now, |peer| !peer.is_far)
    }

    /// Returns the estimate of what all instances' requests ask of the upstream.
    pub fn work(&self, now: Millis) -> Work {
        let mut work = self.work_with(now, |_| true);
        let told = *self.told.lock().expect("no panic under this lock");
        if let Some((load, at)) = told
            && at + LOAD_AGE >= now
        {
            work.in_flight = work.in_flight.max(load.running.saturating_add(load.waiting));
        }
        work
    }

    fn work_with(&self, now: Millis, counts: impl Fn(&PeerLoad) -> bool) -> Work {
        let mut work = self.own_work();
        let peers = self.peers.lock().expect("no panic under this lock");
        for peer in peers.values().filter(|peer| peer.is_current(now) && counts(peer)) {
            work.in_flight = work.in_flight.saturating_add(peer.work.in_flight);
            // The engine goes on reading while nothing is heard. Without that, what waits here
            // for a busy engine would wait until the next word of its end.
            let since_heard_ms = (now - peer.at).0 as f64;
            work.reading_ms += (peer.work.reading_ms - since_heard_ms).max(0.0);
            work.fetching_ms += peer.work.fetching_ms;
        }
        work
    }
}

/// `Held` counts a request in at an upstream, until it is dropped.
#[derive(Debug)]
pub struct Held {
    upstream: Arc<Upstream>,
    reading_us: u64,
    fetching_us: u64,
}

impl Held {
    /// Counts a request in that asks for nothing beyond its place.
    pub fn new(upstream: Arc<Upstream>) -> Self {
        Self::with_work(upstream, 0.0, 0.0)
    }

    /// Counts a request in, with what is to be read and fetched for it, in milliseconds.
    pub fn with_work(upstream: Arc<Upstream>, reading_ms: f64, fetching_ms: f64) -> Self {
        let (reading_us, fetching_us) = ((reading_ms * 1e3) as u64, (fetching_ms * 1e3) as u64);
        upstream.state.in_flight.fetch_add(1, Ordering::AcqRel);
        upstream.state.reading_us.fetch_add(reading_us, Ordering::AcqRel);
        upstream.state.fetching_us.fetch_add(fetching_us, Ordering::AcqRel);
        Self { upstream, reading_us, fetching_us }
    }

    /// Returns the upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Notes that the prompt has been read and fetched.
    pub fn reading_done(&mut self) {
        let reading_us = std::mem::take(&mut self.reading_us);
        let fetching_us = std::mem::take(&mut self.fetching_us);
        self.upstream.state.reading_us.fetch_sub(reading_us, Ordering::AcqRel);
        self.upstream.state.fetching_us.fetch_sub(fetching_us, Ordering::AcqRel);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.reading_done();
        self.upstream.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
