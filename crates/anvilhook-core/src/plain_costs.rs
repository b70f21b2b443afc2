//! Predicts when a plain upstream, which is not a model engine, would complete a request.
//!
//! All terms are in milliseconds, so that a slow upstream, a queue and another availability zone can be
//! compared. Counting the requests in flight alone sends as many of them to a slow upstream as to others
//! until it is full.
//!
//! Designed for: five upstreams of 6 slots, spread unevenly over three zones; requests of 15 or 60 ms of work
//! with objectives of 120 and 300 ms; and an upstream that takes five times as long for 6 s.

use crate::speeds::LowQuantile;

/// The time of a request that is expected before any was measured, in milliseconds.
const EXPECTED_MS: f64 = 20.0;

/// The bounds of the learnt time of a request, in milliseconds.
const MIN_MS: f64 = 0.5;
const MAX_MS: f64 = 10_000.0;

/// The weight of a request in the mean time, once many have been measured.
const WEIGHT: f64 = 0.05;

/// The maximum factor between the time of a request that is learnt from and the mean. A greater factor was
/// caused by work that this instance does not know of.
const MAX_FACTOR: f64 = 2.5;

/// The delay of reaching another availability zone before it was measured, and its bounds, in milliseconds.
const EXPECTED_FAR_MS: f64 = 4.0;
const MIN_FAR_MS: f64 = 1.0;
const MAX_FAR_MS: f64 = 100.0;

/// The delay by requests in flight at an upstream with free slots: the share of a request's time that it
/// costs if all slots are taken. Some of the requests of other instances are not known yet, and the next
/// request may find no slot.
const BUSY_SHARE: f64 = 1.0;

/// The weight of the requests queued beyond the slots. It is more than 1, since requests of other instances
/// that are not reported yet join the queue as well.
const QUEUED_WEIGHT: f64 = 2.0;

/// The share of a far upstream's slots that instances of other zones are assumed to have taken since its
/// load was last reported here. With a lower value, all zones choose the upstream that was idle a moment ago;
/// with a higher one, requests queue in their own zone while others have free slots.
const UNREPORTED_SLOT_SHARE: f64 = 0.5;

/// The maximum difference between instances in the predicted time at an idle upstream, as a share of the
/// time. It is less than the cost of one request in flight at an upstream of 10 slots.
const SPREAD_SHARE: f64 = 0.04;

/// `PlainTime` learns the time of a service's requests at an upstream of mean speed.
#[derive(Clone, Debug)]
pub struct PlainTime {
    mean_ms: f64,
    count: u32,
    /// The decaying mean of the logarithms of the slowness of the upstreams that answered.
    mean_log_slowness: f64,
    far_ms: f64,
    near_low_ms: Option<f64>,
    near: LowQuantile,
    far: LowQuantile,
}

impl Default for PlainTime {
    fn default() -> Self {
        Self {
            mean_ms: EXPECTED_MS,
            count: 0,
            mean_log_slowness: 0.0,
            far_ms: EXPECTED_FAR_MS,
            near_low_ms: None,
            near: LowQuantile::default(),
            far: LowQuantile::default(),
        }
    }
}

impl PlainTime {
    /// Learns from a request that found a free slot and took `took_ms`, at an upstream whose work takes
    /// `slowness` times longer than the mean as far as it is known. Returns how many times longer than the
    /// mean the request took.
    ///
    /// ```
    /// use anvilhook_core::plain_costs::PlainTime;
    ///
    /// let mut time = PlainTime::default();
    /// for _ in 0..40 {
    ///     time.record(60.0, 1.0, false);
    ///     time.record(66.0, 1.0, true);
    /// }
    /// assert!((time.mean_ms() - 60.0).abs() < 1.0);
    /// assert!((time.far_ms() - 6.0).abs() < 1.0);
    /// assert!((time.record(300.0, 1.0, false) - 5.0).abs() < 0.2);
    /// ```
    pub fn record(&mut self, took_ms: f64, slowness: f64, is_far: bool) -> f64 {
        if !(took_ms.is_finite() && slowness.is_finite() && slowness > 0.0) {
            return 1.0;
        }
        let relative = slowness / self.mean_log_slowness.exp();
        self.mean_log_slowness += WEIGHT * (slowness.ln() - self.mean_log_slowness);
        let zone_ms = if is_far { self.far_ms } else { 0.0 };
        let work_ms = (took_ms - zone_ms).max(MIN_MS);
        self.record_zone(took_ms / relative, is_far);
        let before_ms = if self.count == 0 { work_ms / relative } else { self.mean_ms };
        let seen_ms = (work_ms / relative).min(before_ms * MAX_FACTOR);
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.mean_ms = (self.mean_ms + weight * (seen_ms - self.mean_ms)).clamp(MIN_MS, MAX_MS);
        work_ms / before_ms
    }

    /// Returns the mean time of a request, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns the delay of reaching an upstream in another availability zone, in milliseconds.
    pub fn far_ms(&self) -> f64 {
        self.far_ms
    }

    fn record_zone(&mut self, took_ms: f64, is_far: bool) {
        if !is_far {
            self.near_low_ms = self.near.record(took_ms).or(self.near_low_ms);
        } else if let (Some(far_ms), Some(near_ms)) = (self.far.record(took_ms), self.near_low_ms) {
            self.far_ms = (far_ms - near_ms).clamp(MIN_FAR_MS, MAX_FAR_MS);
        }
    }
}

/// `PlainLoad` is what determines when an upstream would complete one more request.
#[derive(Clone, Copy, Debug)]
pub struct PlainLoad {
    /// The requests in flight there.
    pub in_flight: u32,
    /// The requests that it runs at once.
    pub slots: u32,
    /// How many times longer than the mean its work takes.
    pub slowness: f64,
    /// Whether it is in another availability zone.
    pub is_far: bool,
    /// A number from 0 to 1 that differs between instances. Without it, all instances would choose the same
    /// one of several idle upstreams.
    pub spread: f64,
}

impl PlainLoad {
    /// Returns the predicted time until the upstream completes one more request, in milliseconds.
    ///
    /// ```
    /// use anvilhook_core::plain_costs::{PlainLoad, PlainTime};
    ///
    /// let time = PlainTime::default();
    /// let idle = PlainLoad { in_flight: 0, slots: 6, slowness: 1.0, is_far: false, spread: 0.0 };
    /// let cost = |load: PlainLoad| load.completion_ms(&time);
    /// assert_eq!(cost(idle), 20.0);
    /// assert!(cost(PlainLoad { slowness: 5.0, ..idle }) > cost(PlainLoad { in_flight: 9, ..idle }));
    /// assert!(cost(PlainLoad { in_flight: 9, ..idle }) > cost(PlainLoad { is_far: true, ..idle }));
    /// ```
    pub fn completion_ms(&self, time: &PlainTime) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let work_ms = time.mean_ms * self.slowness;
        let unreported = if self.is_far { (slots * UNREPORTED_SLOT_SHARE).ceil() } else { 0.0 };
        let in_flight = f64::from(self.in_flight) + unreported;
        let queued = (in_flight + 1.0 - slots).max(0.0);
        let busy = (in_flight.min(slots) * BUSY_SHARE + queued * QUEUED_WEIGHT) / slots;
        let zone_ms = if self.is_far { time.far_ms } else { 0.0 };
        work_ms * (1.0 + busy + self.spread.clamp(0.0, 1.0) * SPREAD_SHARE) + zone_ms
    }
}
