//! The state that one instance stores about one upstream.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use super::loads::{Load, LoadView};
use crate::caches::CacheSlot;
use crate::ejections::{Ejection, EjectionOptions};
use crate::names::{UpstreamName, ZoneName};
use crate::orders::Role;
use crate::reports::LoadReport;
use crate::roles::PoolShape;
use crate::units::{Millis, Tokens};

/// Marks an upstream without a slot in the prefix index.
const NO_SLOT: u32 = u32::MAX;

/// `Work` is the work that a request needs from an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// The expected number of output tokens.
    pub output: Tokens,
    /// Whether its deadline is tight: the request would miss it on an engine that reads prompts all
    /// the time.
    pub tight: bool,
}

impl Work {
    /// Creates the work of a request. Its deadline is tight if the remaining time is too short to
    /// generate the output on an engine that reads prompts at the same time.
    ///
    /// ```
    /// use anvilhook_core::routing::Work;
    /// use anvilhook_core::units::{Millis, Tokens};
    ///
    /// let (prompt, output) = (Tokens(300), Tokens(200));
    /// assert!(Work::new(prompt, output, Millis::from_secs(9)).tight);
    /// assert!(!Work::new(prompt, output, Millis::from_secs(60)).tight);
    /// ```
    pub fn new(prompt: Tokens, output: Tokens, time_left: Millis) -> Self {
        let busy_ms = PoolShape::default().mixed_step_ms() * output.0 as f64;
        Self { prompt, output, tight: busy_ms >= time_left.0 as f64 }
    }
}

/// `SentTotals` sums all work that this instance has ever sent to an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentTotals {
    /// The number of requests.
    pub requests: u64,
    /// Their prompt tokens, except those that were assumed to be cached.
    pub prompt: Tokens,
    /// Their expected output tokens.
    pub output: Tokens,
}

impl SentTotals {
    /// Returns the work sent since the earlier sums; zero for sums that started again at zero.
    pub fn since(&self, earlier: &SentTotals) -> SentTotals {
        SentTotals {
            requests: self.requests.saturating_sub(earlier.requests),
            prompt: Tokens(self.prompt.0.saturating_sub(earlier.prompt.0)),
            output: Tokens(self.output.0.saturating_sub(earlier.output.0)),
        }
    }
}

/// `SentSince` is the work that an instance has sent to an engine since a load report, as it reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentSince {
    /// The number of the engine's start that the load report belongs to.
    pub boot: u64,
    /// The number of the load report.
    pub seq: u64,
    /// The work sent since.
    pub sent: SentTotals,
}

impl SentSince {
    /// Returns the work that is not contained in the earlier report of the same instance. Sums
    /// since the same load report that arrive again would otherwise be counted again, and the engine
    /// would appear busier and busier.
    pub fn added_since(&self, earlier: Option<&SentSince>) -> SentTotals {
        let same = earlier.filter(|old| (old.boot, old.seq) == (self.boot, self.seq));
        self.sent.since(&same.map(|old| old.sent).unwrap_or_default())
    }
}

/// `UpstreamState` is the state that this instance stores about an upstream. All route tables that
/// contain the upstream share it, so that replacing a table loses no count.
#[derive(Debug)]
pub struct UpstreamState {
    name: UpstreamName,
    address: SocketAddr,
    zone: ZoneName,
    leaving: AtomicBool,
    retired: AtomicBool,
    open_requests: AtomicU64,
    load: LoadView,
    // The numbers of requests, prompt tokens and output tokens ever sent.
    sent: [AtomicU64; 3],
    ejection: Ejection,
    cache_slot: AtomicU32,
    // The time of the last choice, for callers that record work without a time.
    chosen_at: AtomicU64,
}

impl UpstreamState {
    /// Creates the state of an upstream of which nothing is known yet.
    pub fn new(name: UpstreamName, address: SocketAddr, zone: ZoneName) -> Self {
        Self {
            name,
            address,
            zone,
            leaving: AtomicBool::new(false),
            retired: AtomicBool::new(false),
            open_requests: AtomicU64::new(0),
            load: LoadView::new(),
            sent: Default::default(),
            ejection: Ejection::new(&EjectionOptions::default()),
            cache_slot: AtomicU32::new(NO_SLOT),
            chosen_at: AtomicU64::new(0),
        }
    }

    /// Returns the upstream's name.
    pub fn name(&self) -> &UpstreamName {
        &self.name
    }

    /// Returns the address on which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the upstream's availability zone.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Sets whether the upstream is leaving. A leaving upstream gets no new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Records that the upstream is no longer declared as this state describes it. It never gets new
    /// work again, even after `set_leaving(false)`.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    /// Returns whether the upstream may get new work.
    pub fn takes_work(&self) -> bool {
        !self.leaving.load(Ordering::Acquire) && !self.retired.load(Ordering::Acquire)
    }

    /// Records a request of this instance before it is sent. The time of the upstream's last choice
    /// is taken as the time of sending; `begin_at` is more exact.
    pub fn begin(&self, work: Work) {
        self.begin_at(work, Millis(self.chosen_at.load(Ordering::Relaxed)));
    }

    /// Records a request of this instance before it is sent at `now`. The work's prompt should
    /// contain only what the engine has to read, without the tokens that are assumed to be cached.
    pub fn begin_at(&self, work: Work, now: Millis) {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        self.load.record(work, now);
        let [requests, prompt, output] = &self.sent;
        requests.fetch_add(1, Ordering::Relaxed);
        prompt.fetch_add(work.prompt.0, Ordering::Relaxed);
        output.fetch_add(work.output.0, Ordering::Relaxed);
    }

    /// Returns the sums of all work that this instance has sent. A call may return a request without
    /// its tokens; the next call includes them.
    pub fn sent(&self) -> SentTotals {
        let [requests, prompt, output] =
            self.sent.each_ref().map(|sum| sum.load(Ordering::Relaxed));
        SentTotals { requests, prompt: Tokens(prompt), output: Tokens(output) }
    }

    /// Records that a request of this instance has ended, successfully or not.
    pub fn end(&self, _work: Work) {
        self.open_requests.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns how many requests of this instance are in flight at the upstream.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Applies a load report, which is `report.age` old, and returns whether it was applied. A report
    /// older than the last one changes nothing.
    ///
    /// If the report says that the engine is leaving, the upstream is marked as leaving. A report
    /// never clears that mark; only `set_leaving` does.
    pub fn apply_report(&self, report: &LoadReport, now: Millis) -> bool {
        let is_applied = self.load.apply(report, now);
        if is_applied && report.leaving {
            self.set_leaving(true);
        }
        is_applied
    }

    /// Returns whether any load report has been applied.
    pub fn has_report(&self) -> bool {
        self.load.has_report()
    }

    /// Records work that a peer sent at about `at`, as it reports.
    pub fn record_peer_work(&self, work: Work, at: Millis) {
        self.load.record(work, at);
    }

    /// Records the sums of work that a peer sent at about `at`, as it reports.
    pub fn record_peer_sent(&self, sent: &SentTotals, at: Millis) {
        self.load.record_sums(sent, at);
    }

    /// Returns the estimated current load of the upstream.
    pub fn load(&self, now: Millis) -> Load {
        self.load.estimate(now)
    }

    /// Returns the last known role of the engine.
    pub fn role(&self) -> Role {
        self.load.role()
    }

    /// Sets the role that the engine is known to have, before a report contains it.
    pub fn set_role(&self, role: Role) {
        self.load.set_role(role);
    }

    /// Returns the record of the upstream's failures.
    pub fn ejection(&self) -> &Ejection {
        &self.ejection
    }

    /// Sets the slot of the prefix index that holds the engine's cache.
    pub fn set_cache_slot(&self, slot: CacheSlot) {
        self.cache_slot.store(u32::from(slot.0), Ordering::Release);
    }

    /// Returns the slot of the prefix index, if one is set.
    pub fn cache_slot(&self) -> Option<CacheSlot> {
        let slot = self.cache_slot.load(Ordering::Acquire);
        u16::try_from(slot).ok().map(CacheSlot)
    }

    pub(super) fn record_chosen(&self, now: Millis) {
        self.chosen_at.store(now.0, Ordering::Relaxed);
    }
}
