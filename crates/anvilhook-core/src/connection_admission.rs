//! Decides whether an instance accepts a new connection or closes it unread.
//!
//! Designed for: a load balancer that for seconds hands most new connections of an availability zone or a region to one
//! instance, whose processor or link can't read them all. A caller whose connection is closed unread tries another
//! instance at once, also with a request that may run once at most; a caller whose request waits unread loses a second,
//! and one whose request is read late is served late or not at all.

use std::collections::VecDeque;

use crate::units::Millis;

/// The interval at which the lag is measured.
pub const SAMPLE_INTERVAL: Millis = Millis(25);

/// The lag from which a measurement counts as late.
const LATE: Millis = Millis(100);

/// The span over which lag counts, and the share of it that must have passed in late measurements.
const LAG_SPAN: Millis = Millis(2_000);
const LAG_SHARE: f64 = 0.5;

/// How many measurements must have been late within [`LATE_MEMORY`]. A process that was suspended once has a single one.
const MIN_LATE: usize = 2;
const LATE_MEMORY: Millis = Millis(10_000);

/// The span over which bytes count.
const SPAN: Millis = Millis(1_000);

/// The share of the link that may be used over [`SPAN`]. Beyond it, packets queue up.
const LINK_SHARE: f64 = 0.8;

/// `Direction` is a direction of the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From callers and upstreams to this instance.
    Inbound,
    /// From this instance to callers and upstreams.
    Outbound,
}

/// `Admission` is the decision on a new connection.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Admission {
    /// It is accepted.
    Accepted,
    /// It is closed, as events are handled late.
    Lagging,
    /// It is closed, as the link is nearly full.
    LinkFull,
    /// It is closed, as there is no room for it.
    Full,
}

impl Admission {
    /// Returns the text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Admission::Accepted => "accepted",
            Admission::Lagging => "lagging",
            Admission::LinkFull => "link_full",
            Admission::Full => "full",
        }
    }
}

/// `ConnectionAdmission` decides on new connections by what the instance measures about itself.
///
/// ```
/// use anvilhook_core::connection_admission::{Admission, ConnectionAdmission};
/// use anvilhook_core::units::Millis;
///
/// let mut admission = ConnectionAdmission::new(None);
/// for at in [400, 800, 1_200] {
///     admission.record_lag(Millis(375), Millis(at));
/// }
/// assert_eq!(admission.decide(Millis(1_250)), Admission::Lagging);
/// assert_eq!(admission.decide(Millis(2_500)), Admission::Accepted);
/// ```
#[derive(Debug)]
pub struct ConnectionAdmission {
    link_bytes: Option<f64>,
    /// The late measurements: when each was made, and its lag.
    late: VecDeque<(Millis, Millis)>,
    inbound: ByteWindow,
    outbound: ByteWindow,
}

impl ConnectionAdmission {
    /// Creates the decision for an instance whose link has the given bandwidth in megabits a second, if it is known.
    pub fn new(link_mbps: Option<f64>) -> Self {
        const BYTES_PER_MEGABIT: f64 = 125_000.0;
        let link_bytes = link_mbps.map(|mbps| mbps * BYTES_PER_MEGABIT * SPAN.as_secs_f64());
        Self {
            link_bytes,
            late: VecDeque::new(),
            inbound: ByteWindow::default(),
            outbound: ByteWindow::default(),
        }
    }

    /// Records how much later than scheduled an event was handled.
    pub fn record_lag(&mut self, lag: Millis, now: Millis) {
        if lag >= LATE {
            self.late.push_back((now, lag));
        }
        self.expire(now);
    }

    /// Records bytes that were transferred.
    pub fn record_bytes(&mut self, direction: Direction, bytes: usize, now: Millis) {
        match direction {
            Direction::Inbound => self.inbound.add(bytes, now),
            Direction::Outbound => self.outbound.add(bytes, now),
        }
    }

    /// Decides on a new connection.
    pub fn decide(&mut self, now: Millis) -> Admission {
        self.expire(now);
        if self.late.len() >= MIN_LATE && self.late_share(now) >= LAG_SHARE {
            return Admission::Lagging;
        }
        let used = self.inbound.sum(now).max(self.outbound.sum(now)) as f64;
        match self.link_bytes {
            Some(link_bytes) if used > link_bytes * LINK_SHARE => Admission::LinkFull,
            _ => Admission::Accepted,
        }
    }

    /// Returns the share of [`LAG_SPAN`] that has passed in late measurements.
    fn late_share(&self, now: Millis) -> f64 {
        let from = now - LAG_SPAN;
        let overlap = |(at, lag): &(Millis, Millis)| *at - (*at - *lag).max(from);
        let late: u64 = self.late.iter().map(|one| overlap(one).0).sum();
        late as f64 / LAG_SPAN.0 as f64
    }

    fn expire(&mut self, now: Millis) {
        while self.late.front().is_some_and(|(at, _)| *at + LATE_MEMORY <= now) {
            self.late.pop_front();
        }
    }
}

/// `ByteWindow` sums the bytes of the last [`SPAN`], in steps.
#[derive(Debug, Default)]
struct ByteWindow {
    steps: VecDeque<(Millis, u64)>,
    sum: u64,
}

impl ByteWindow {
    /// The length of a step, which bounds how many there are.
    const STEP: Millis = Millis(20);

    fn add(&mut self, bytes: usize, now: Millis) {
        self.expire(now);
        self.sum += bytes as u64;
        match self.steps.back_mut() {
            Some((at, sum)) if now < *at + Self::STEP => *sum += bytes as u64,
            _ => self.steps.push_back((now, bytes as u64)),
        }
    }

    fn sum(&mut self, now: Millis) -> u64 {
        self.expire(now);
        self.sum
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, sum)) = self.steps.front().copied()
            && at + SPAN <= now
        {
            self.steps.pop_front();
            self.sum -= sum;
        }
    }
}
