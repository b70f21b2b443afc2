//! What one instance knows of one upstream.

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

/// No slot of the prefix index.
const NO_SLOT: u32 = u32::MAX;

/// `Work` is what a request asks of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of output that are expected.
    pub output: Tokens,
    /// Whether its deadline is tight: it would end late on an engine that reads prompts all the
    /// while.
    pub tight: bool,
}

impl Work {
    /// Makes the work of a request, whose deadline is tight if the time left is too short for its
    /// output beside prompts that are being read.
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

/// `SentTotals` sums up all work that this instance has ever sent to an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentTotals {
    /// Requests.
    pub requests: u64,
    /// Their prompts, without what caches were believed to hold.
    pub prompt: Tokens,
    /// Their expected outputs.
    pub output: Tokens,
}

impl SentTotals {
    /// Returns what has been sent since earlier sums; nothing where the sums began anew.
    pub fn since(&self, earlier: &SentTotals) -> SentTotals {
        SentTotals {
            requests: self.requests.saturating_sub(earlier.requests),
            prompt: Tokens(self.prompt.0.saturating_sub(earlier.prompt.0)),
            output: Tokens(self.output.0.saturating_sub(earlier.output.0)),
        }
    }
}

/// `SentSince` is what an instance says it has sent to an engine since a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentSince {
    /// The engine's start that the report belongs to.
    pub boot: u64,
    /// The report's number.
    pub seq: u64,
    /// What was sent since.
    pub sent: SentTotals,
}

impl SentSince {
    /// Returns what this tells beyond what the same instance told before. Of the same report, sums
    /// that come again would otherwise count again, and the engine would look ever busier.
    pub fn beyond(&self, earlier: Option<&SentSince>) -> SentTotals {
        let same = earlier.filter(|old| (old.boot, old.seq) == (self.boot, self.seq));
        self.sent.since(&same.map(|old| old.sent).unwrap_or_default())
    }
}

/// `UpstreamState` is what this instance knows of an upstream. It is shared by all route tables that
/// name the upstream, so that replacing a table loses no count.
#[derive(Debug)]
pub struct UpstreamState {
    name: UpstreamName,
    address: SocketAddr,
    zone: ZoneName,
    leaving: AtomicBool,
    retired: AtomicBool,
    open_requests: AtomicU64,
    load: LoadView,
    // Requests, prompt tokens and output tokens ever sent.
    sent: [AtomicU64; 3],
    ejection: Ejection,
    cache_slot: AtomicU32,
    // The time of the last choice, for callers that count work in without saying when.
    chosen_at: AtomicU64,
}

impl UpstreamState {
    /// Makes the state of an upstream of which nothing is known yet.
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

    /// Returns where the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the upstream's availability zone.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Says whether the upstream is leaving. A leaving upstream is given no new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Says that the upstream is no longer declared as this state describes it. It is given no new
    /// work ever again, whatever `set_leaving` says later.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    /// Returns whether the upstream may be given new work.
    pub fn takes_work(&self) -> bool {
        !self.leaving.load(Ordering::Acquire) && !self.retired.load(Ordering::Acquire)
    }

    /// Counts a request of this instance in, before it is sent. It counts as sent when the upstream
    /// was last chosen; `begin_at` is more exact.
    pub fn begin(&self, work: Work) {
        self.begin_at(work, Millis(self.chosen_at.load(Ordering::Relaxed)));
    }

    /// Counts a request of this instance in, before it is sent. The work's prompt should be what
    /// the engine has to read, without what its cache is believed to hold.
    pub fn begin_at(&self, work: Work, now: Millis) {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        self.load.record(work, now);
        let [requests, prompt, output] = &self.sent;
        requests.fetch_add(1, Ordering::Relaxed);
        prompt.fetch_add(work.prompt.0, Ordering::Relaxed);
        output.fetch_add(work.output.0, Ordering::Relaxed);
    }

    /// Returns the sums of all work that this instance has sent. A reader may see a request without
    /// its tokens; the next reading has them.
    pub fn sent(&self) -> SentTotals {
        let [requests, prompt, output] =
            self.sent.each_ref().map(|sum| sum.load(Ordering::Relaxed));
        SentTotals { requests, prompt: Tokens(prompt), output: Tokens(output) }
    }

    /// Counts a request of this instance out, when it has ended one way or the other.
    pub fn end(&self, _work: Work) {
        self.open_requests.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns how many requests of this instance are in flight at the upstream.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Applies a load report, which is `report.age` old, and returns whether it was. A report older
    /// than the last one changes nothing.
    ///
    /// A report that says that the engine is leaving is obeyed; that it is no longer leaving is for
    /// whoever called `set_leaving` to say.
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

    /// Records work that a peer says it sent at about `at`.
    pub fn record_peer_work(&self, work: Work, at: Millis) {
        self.load.record(work, at);
    }

    /// Records all the work that a peer says it sent at about `at`.
    pub fn record_peer_sent(&self, sent: &SentTotals, at: Millis) {
        self.load.record_sums(sent, at);
    }

    /// Returns the load that the upstream is believed to have now.
    pub fn load(&self, now: Millis) -> Load {
        self.load.estimate(now)
    }

    /// Returns the role that the engine is believed to have.
    pub fn role(&self) -> Role {
        self.load.role()
    }

    /// Sets the role that the engine is known to have, before a report says so.
    pub fn set_role(&self, role: Role) {
        self.load.set_role(role);
    }

    /// Returns the record of the upstream's failures.
    pub fn ejection(&self) -> &Ejection {
        &self.ejection
    }

    /// Says under which slot of the prefix index the engine's cache is known.
    pub fn set_cache_slot(&self, slot: CacheSlot) {
        self.cache_slot.store(u32::from(slot.0), Ordering::Release);
    }

    /// Returns the slot of the prefix index, if one is set.
    pub fn cache_slot(&self) -> Option<CacheSlot> {
        let slot = self.cache_slot.load(Ordering::Acquire);
        u16::try_from(slot).ok().map(CacheSlot)
    }

    pub(super) fn note_chosen(&self, now: Millis) {
        self.chosen_at.store(now.0, Ordering::Relaxed);
    }
}
