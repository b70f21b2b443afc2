//! The state of an upstream as this instance knows it: its load, its failures and its speed.

mod held;
mod roles;
mod work;

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use anvilhook_core::ejections::{Ejection, EjectionOptions, ErrorReports};
use anvilhook_core::orders::Role;
use anvilhook_core::paths::Path;
use anvilhook_core::reading_backlogs::ReadingBacklog;
use anvilhook_core::slow_starts::{Closing, SlowStart};
use anvilhook_core::speeds::{Learning, UpstreamSpeed};
use anvilhook_core::units::Millis;

use crate::paths::UpstreamPath;
use crate::request_limits::RequestLimit;
use crate::wires::Load;

use work::MAX_LOAD_AGE;

pub use held::Held;
pub use roles::{RoleChange, RoleObservation};
pub use work::{PeerLoad, Work};

/// The number of consecutive refused handles after which an engine of either stage is skipped, and for
/// how long.
const REFUSED_HANDLES: u32 = 2;
const NO_HANDLES_TIME: Millis = Millis(800);

/// For how long it is published that an upstream leaves, so that the loss of a datagram does no harm.
const LEAVING_PUBLISH_TIME: Millis = Millis(1_000);

/// For how long an error is published to the other instances.
const ERROR_PUBLISH_TIME: Millis = Millis(200);

/// `UpstreamState` is what this instance knows about an upstream in addition to its entry. It is retained
/// when the entry changes.
#[derive(Debug)]
pub struct UpstreamState {
    in_flight: AtomicU32,
    reading_us: AtomicU64,
    fetching_us: AtomicU64,
    ejection: Ejection,
    path: UpstreamPath,
    is_gone: AtomicBool,
    /// Whether this instance itself observed that the upstream is gone.
    is_observed_gone: AtomicBool,
    /// When the host is assumed to refuse connections, and to how many instances it is open afterwards.
    slow_start: SlowStart,
    /// Until when the host is assumed to refuse connections, by this instance's own observation only.
    own_closed_until: AtomicU64,
    /// When this instance first learnt that the upstream leaves, from the upstream or from another
    /// instance. Zero if it has not.
    leaving_at: AtomicU64,
    /// When the upstream itself first reported to this instance that it leaves. Zero if it has not.
    own_leaving_at: AtomicU64,
    /// Until when the upstream accepts no requests from this instance.
    paused_until: AtomicU64,
    request_limit: RequestLimit,
    errors: Mutex<ErrorReports>,
    own_error_at: AtomicU64,
    refused_handles: AtomicU32,
    no_handles_until: AtomicU64,
    unavailable_until: AtomicU64,
    own_unavailable_until: AtomicU64,
    role_change: Mutex<Option<RoleChange>>,
    observed_role: Mutex<Option<RoleObservation>>,
    slowness: AtomicU64,
    speed: Mutex<UpstreamSpeed>,
    reported: Mutex<Option<(Load, Millis)>>,
    /// When the upstream last refused a request while it reported that it was full. Zero if it has not.
    full_at: AtomicU64,
    /// The loads of peers in the order in which they were received, so that no evaluation has to sort them.
    peers: Mutex<Vec<(u64, PeerLoad)>>,
    /// Whether each peer's reading work is reduced by the age of its own report, instead of all of it as
    /// one queue. The setting is shared with the other upstreams of the fleet.
    has_separate_backlogs: Arc<AtomicBool>,
}

impl UpstreamState {
    /// Creates the state of an upstream about which nothing is known.
    pub(crate) fn new(has_separate_backlogs: Arc<AtomicBool>) -> Self {
        let options =
            EjectionOptions { failures: 3, ejection: Millis(1_000), slow_return: Millis(2_000) };
        Self {
            in_flight: AtomicU32::new(0),
            reading_us: AtomicU64::new(0),
            fetching_us: AtomicU64::new(0),
            ejection: Ejection::new(&options),
            path: UpstreamPath::default(),
            is_gone: AtomicBool::new(false),
            is_observed_gone: AtomicBool::new(false),
            slow_start: SlowStart::default(),
            own_closed_until: AtomicU64::new(0),
            leaving_at: AtomicU64::new(0),
            own_leaving_at: AtomicU64::new(0),
            paused_until: AtomicU64::new(0),
            request_limit: RequestLimit::default(),
            errors: Mutex::default(),
            own_error_at: AtomicU64::new(0),
            refused_handles: AtomicU32::new(0),
            no_handles_until: AtomicU64::new(0),
            unavailable_until: AtomicU64::new(0),
            own_unavailable_until: AtomicU64::new(0),
            role_change: Mutex::default(),
            observed_role: Mutex::default(),
            slowness: AtomicU64::new(1f64.to_bits()),
            speed: Mutex::default(),
            reported: Mutex::default(),
            full_at: AtomicU64::new(0),
            peers: Mutex::default(),
            has_separate_backlogs,
        }
    }

    /// Creates the state of an upstream that is listed as new.
    pub(crate) fn listed(has_separate_backlogs: Arc<AtomicBool>, now: Millis) -> Self {
        Self { slow_start: SlowStart::listed(now), ..Self::new(has_separate_backlogs) }
    }

    /// Returns the record of failures.
    pub fn ejection(&self) -> &Ejection {
        &self.ejection
    }

    /// Returns this instance's own path to the upstream.
    pub fn path(&self) -> &UpstreamPath {
        &self.path
    }

    /// Returns whether the upstream may be tried: it is not ejected for recent failures, its host is not known to
    /// refuse connections, and this or another instance reaches it.
    pub fn is_healthy(&self, now: Millis) -> bool {
        !self.ejection.is_ejected(now)
            && self.slow_start.closed_until(now).is_none()
            && self.path.current() != Path::Unreachable
    }

    /// Returns when the upstream is closed, and to how many instances it is open afterwards.
    pub fn slow_start(&self) -> &SlowStart {
        &self.slow_start
    }

    /// Records that the upstream's host refused this instance, or that several instances received its errors
    /// (with the length of the closed time). Returns the closed time that begins, if any.
    pub fn close(&self, length: Option<Millis>, now: Millis) -> Option<Closing> {
        let closing = self.slow_start.close(length, now);
        // Published also if another instance was first, whose own datagrams may be lost.
        if let Some(until) = self.slow_start.closed_until(now) {
            self.own_closed_until.fetch_max(until.0, Ordering::AcqRel);
        }
        closing
    }

    /// Records until when the upstream's host is assumed to refuse connections. Returns whether that is
    /// later than known before.
    pub fn mark_closed(&self, until: Millis, is_own: bool) -> bool {
        if is_own {
            self.own_closed_until.fetch_max(until.0, Ordering::AcqRel);
        }
        self.slow_start.extend(until)
    }

    /// Records that an instance received an error from the upstream. This instance's own errors are
    /// published to the others. If enough instances have received one, returns for how long all instances
    /// skip the upstream.
    pub fn record_error(&self, instance: u64, is_own: bool, now: Millis) -> Option<Millis> {
        if is_own {
            self.own_error_at.store(now.0, Ordering::Release);
        }
        self.errors.lock().expect("no panic under this lock").record(instance, now)
    }

    /// Returns whether this instance received an error recently enough to publish it to the others.
    pub fn has_recent_own_error(&self, now: Millis) -> bool {
        let error_at = self.own_error_at.load(Ordering::Acquire);
        error_at > 0 && now < Millis(error_at) + ERROR_PUBLISH_TIME
    }

    /// Returns until when the host is assumed to refuse connections, by this instance's own observation.
    pub fn own_closed_until(&self) -> Millis {
        Millis(self.own_closed_until.load(Ordering::Acquire))
    }

    /// Records that the upstream is gone because another one answers at its address. `is_own` marks an
    /// observation by this instance.
    pub fn mark_gone(&self, is_own: bool) {
        self.is_gone.store(true, Ordering::Release);
        self.is_observed_gone.fetch_or(is_own, Ordering::AcqRel);
    }

    /// Returns whether this instance itself observed that the upstream is gone.
    pub fn is_observed_gone(&self) -> bool {
        self.is_observed_gone.load(Ordering::Acquire)
    }

    /// Returns whether the upstream is known to be gone, even if it is still listed.
    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Acquire)
    }

    /// Records that the upstream reports that it leaves; `is_own` if it reported so to this instance.
    /// Returns whether that was unknown. Only a later start of the upstream revokes it.
    pub fn mark_leaving(&self, is_own: bool, now: Millis) -> bool {
        let at = now.0.max(1);
        if is_own {
            let _ =
                self.own_leaving_at.compare_exchange(0, at, Ordering::AcqRel, Ordering::Acquire);
        }
        self.leaving_at.compare_exchange(0, at, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Returns whether the upstream is known to be leaving, regardless of its entry.
    pub fn says_leaving(&self) -> bool {
        self.leaving_at.load(Ordering::Acquire) > 0
    }

    /// Returns whether the upstream reported to this instance that it leaves, recently enough to publish it
    /// to the others.
    pub fn has_recent_own_leaving(&self, now: Millis) -> bool {
        let at = self.own_leaving_at.load(Ordering::Acquire);
        at > 0 && now < Millis(at) + LEAVING_PUBLISH_TIME
    }

    /// Records that the upstream accepts no requests from this instance until a time. Returns whether that
    /// extends the pause; a later report never shortens it.
    pub fn pause(&self, until: Millis) -> bool {
        self.paused_until.fetch_max(until.0, Ordering::AcqRel) < until.0
    }

    /// Returns until when the upstream accepts no requests from this instance, if that time is not over.
    pub fn paused_until(&self, now: Millis) -> Option<Millis> {
        let until = Millis(self.paused_until.load(Ordering::Acquire));
        (until > now).then_some(until)
    }

    /// Returns the request limit that the upstream names.
    pub fn request_limit(&self) -> &RequestLimit {
        &self.request_limit
    }

    /// Returns whether the state must be retained while the upstream's entry is temporarily missing.
    pub(crate) fn is_lasting(&self) -> bool {
        let was_paused = self.paused_until.load(Ordering::Acquire) > 0;
        self.says_leaving() || self.is_gone() || was_paused || self.request_limit.is_limited()
    }

    /// Records that the upstream accepts no work until a time because it changes its role.
    pub fn mark_away(&self, until: Millis) {
        self.unavailable_until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Records that the upstream accepts no work until a time, because of a change that this instance ordered
    /// or that the upstream itself reported.
    pub fn mark_own_away(&self, until: Millis) {
        self.mark_away(until);
        self.own_unavailable_until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Returns until when the upstream accepts no work, by this instance's own observation.
    ///
    /// Times received from other instances are not forwarded: each transmission adds its own delay, and slow
    /// instances would keep an engine out of use forever.
    pub fn own_away_until(&self) -> Millis {
        Millis(self.own_unavailable_until.load(Ordering::Acquire))
    }

    /// Returns whether the upstream accepts no work because it changes its role.
    pub fn is_away(&self, now: Millis) -> bool {
        now.0 < self.unavailable_until.load(Ordering::Acquire)
    }

    /// Records that the engine has been ordered to change its role. Of two orders the later one applies.
    pub fn record_role_change(&self, change: RoleChange) {
        let mut known = self.role_change.lock().expect("no panic under this lock");
        if known.is_none_or(|known| known.role != change.role || known.until < change.until) {
            *known = Some(change);
        }
    }

    /// Returns the engine's change of role that is in progress. `listed` is the role that its entry shows.
    pub fn role_change(&self, now: Millis, listed: Option<Role>) -> Option<RoleChange> {
        let known = *self.role_change.lock().expect("no panic under this lock");
        known.filter(|change| change.until > now && Some(change.role) != listed)
    }

    /// Records an observed role of the engine. Of two observations the one with the later report applies.
    pub fn observe_role(&self, observation: RoleObservation) {
        let mut known = self.observed_role.lock().expect("no panic under this lock");
        if known.is_none_or(|known| known.sequence <= observation.sequence) {
            *known = Some(observation);
        }
    }

    /// Returns the observed role unless the engine's report number `sequence` is more recent.
    pub fn observed_role(&self, sequence: u64) -> Option<RoleObservation> {
        let known = *self.observed_role.lock().expect("no panic under this lock");
        known.filter(|known| known.sequence >= sequence)
    }

    /// Records whether a KV handle that this engine issued or was to fetch was accepted.
    ///
    /// An engine whose handles expire at once still reads prompts successfully, and an engine that has begun
    /// to change its role refuses every handle. All requests sent to such an engine would be refused and use
    /// up the retry budget. A refusal counts against both engines, since either may be the cause; the next
    /// accepted handle clears the one that is not.
    pub fn record_handle(&self, is_taken: bool, now: Millis) {
        if is_taken {
            self.refused_handles.store(0, Ordering::Release);
        } else if self.refused_handles.fetch_add(1, Ordering::AcqRel) + 1 >= REFUSED_HANDLES {
            let until = now + NO_HANDLES_TIME;
            self.no_handles_until.fetch_max(until.0, Ordering::AcqRel);
        }
    }

    /// Returns whether the engine is skipped because handles were recently refused.
    pub fn has_bad_handles(&self, now: Millis) -> bool {
        now.0 < self.no_handles_until.load(Ordering::Acquire)
    }

    /// Returns how many times longer than predicted the upstream takes to read prompts. Used while the policy
    /// `learnt_speeds` is off.
    pub fn slowness(&self) -> f64 {
        f64::from_bits(self.slowness.load(Ordering::Acquire))
    }

    /// Updates the slowness with a prompt that took `took_ms` where `expected_ms` were predicted.
    ///
    /// Without it, an engine that has become slow would get its full share of the work and delay all of it.
    /// A prompt may also take long because of requests that this instance does not know of, so the estimate
    /// rises slowly and falls fast.
    pub fn record_reading(&self, expected_ms: f64, took_ms: f64) {
        const GROWTH: f64 = 0.1;
        const FALL: f64 = 0.5;
        let seen = (took_ms / expected_ms.max(1.0)).clamp(1.0, 6.0);
        let before = self.slowness();
        let weight = if seen > before { GROWTH } else { FALL };
        let next = before * (1.0 - weight) + seen * weight;
        self.slowness.store(next.to_bits(), Ordering::Release);
    }

    /// Returns how many times longer than the mean of its service the upstream's work currently takes, by
    /// the times that its work took and by its own recent report.
    pub fn slowness_at(&self, now: Millis) -> f64 {
        self.speed.lock().expect("no panic under this lock").slowness(now)
    }

    /// Updates the speed with work that took `slowness` times longer than the mean.
    pub fn record_speed(&self, slowness: f64, learning: Learning, now: Millis) {
        self.speed.lock().expect("no panic under this lock").record(slowness, learning, now);
    }

    /// Records the load that the upstream reported.
    pub fn record_load(&self, load: Load, now: Millis) {
        if let Some(percent) = load.work_percent {
            self.speed.lock().expect("no panic under this lock").record_report(percent, now);
        }
        *self.reported.lock().expect("no panic under this lock") = Some((load, now));
    }

    /// Records that the upstream refused a request while it reported that it was full.
    pub fn mark_full(&self, now: Millis) {
        self.full_at.store(now.0.max(1), Ordering::Release);
    }

    /// Returns whether the upstream is full: it refused a request, and no later report shows free slots.
    pub fn is_full(&self, now: Millis) -> bool {
        let full_at = self.full_at.load(Ordering::Acquire);
        if full_at == 0 || Millis(full_at) + MAX_LOAD_AGE < now {
            return false;
        }
        let reported = *self.reported.lock().expect("no panic under this lock");
        reported.is_none_or(|(load, _)| load.is_full())
    }

    /// Records the work that a peer has in flight at the upstream.
    ///
    /// Peers without requests there, and peers whose load is out of date, are removed. Each process has a
    /// new number, so the list would otherwise grow with every restart.
    pub fn record_peer(&self, peer: u64, load: PeerLoad) {
        let mut peers = self.peers.lock().expect("no panic under this lock");
        peers.retain(|(number, other)| *number != peer && other.is_current(load.at));
        if load.work.in_flight > 0 {
            let position = peers.partition_point(|(_, other)| other.at <= load.at);
            peers.insert(position, (peer, load));
        }
    }

    /// Returns how many peers are recorded with requests in flight at the upstream.
    pub fn peer_count(&self) -> usize {
        self.peers.lock().expect("no panic under this lock").len()
    }

    /// Returns the upstream's work for this instance's own requests.
    pub fn own_work(&self) -> Work {
        Work {
            in_flight: self.in_flight.load(Ordering::Acquire),
            reading_ms: self.reading_us.load(Ordering::Acquire) as f64 / 1e3,
            fetching_ms: self.fetching_us.load(Ordering::Acquire) as f64 / 1e3,
        }
    }

    /// Returns the estimated work of the upstream for requests of this instance's availability zone.
    pub fn near_work(&self, now: Millis) -> Work {
        self.work_with(now, |peer| !peer.is_far)
    }

    /// Returns the estimated work of the upstream for all instances' requests.
    pub fn work(&self, now: Millis) -> Work {
        let mut work = self.work_with(now, |_| true);
        let reported = *self.reported.lock().expect("no panic under this lock");
        if let Some((load, at)) = reported
            && at + MAX_LOAD_AGE >= now
        {
            work.in_flight = work.in_flight.max(load.running.saturating_add(load.waiting));
        }
        work
    }

    fn work_with(&self, now: Millis, counts: impl Fn(&PeerLoad) -> bool) -> Work {
        let mut work = self.own_work();
        // The engine continues to read between updates. Without deducting that, requests that wait here
        // for a busy engine would wait until the next update reports it idle.
        let mut backlog = ReadingBacklog::default();
        let mut separate_ms = 0.0;
        let peers = self.peers.lock().expect("no panic under this lock");
        let current = peers.iter().map(|(_, peer)| peer);
        for peer in current.filter(|peer| peer.is_current(now) && counts(peer)) {
            work.in_flight = work.in_flight.saturating_add(peer.work.in_flight);
            work.fetching_ms += peer.work.fetching_ms;
            backlog.add_report(peer.work.reading_ms, peer.at);
            separate_ms += (peer.work.reading_ms - (now - peer.at).0 as f64).max(0.0);
        }
        let is_separate = self.has_separate_backlogs.load(Ordering::Relaxed);
        work.reading_ms += if is_separate { separate_ms } else { backlog.left_ms(now) };
        work
    }
}
