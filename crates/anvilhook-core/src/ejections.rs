//! Outlier ejection: an upstream that keeps failing gets no work for a while, and then returns
//! slowly.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::units::Millis;

/// The share of its work that an upstream gets at the moment when its ejection ends.
const FIRST_SHARE: f64 = 0.1;

/// The most times that the ejection's length is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// `EjectionOptions` says when an upstream is ejected and how it returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionOptions {
    /// The number of failures in a row that eject an upstream.
    pub failures: u32,
    /// The length of the first ejection. Each further one is twice as long, until an upstream has
    /// fully returned.
    pub ejection: Millis,
    /// The time over which a returning upstream's share grows from a tenth to the whole.
    pub slow_return: Millis,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self { failures: 3, ejection: Millis::from_secs(2), slow_return: Millis::from_secs(10) }
    }
}

/// `Ejection` is the record of one upstream's failures, kept by one instance.
///
/// It covers what load reports don't show: an upstream that still reports an empty queue while its
/// answers fail would draw ever more requests, since failing is fast. How many upstreams may be out
/// at once is for the caller to bound, as `RouteTable` does.
///
/// ```
/// use anvilhook_core::ejections::{Ejection, EjectionOptions};
/// use anvilhook_core::units::Millis;
///
/// let ejection = Ejection::new(&EjectionOptions { failures: 1, ..Default::default() });
/// ejection.record_failure(Millis(0));
/// assert_eq!(ejection.share(Millis(1_999)), 0.0);
/// assert_eq!(ejection.share(Millis(12_000)), 1.0);
/// ```
#[derive(Debug)]
pub struct Ejection {
    options: EjectionOptions,
    failures_in_row: AtomicU32,
    ejections_in_row: AtomicU32,
    // The end of the last ejection; zero if there was none.
    until: AtomicU64,
}

impl Ejection {
    /// Makes the record of an upstream that has not failed.
    pub fn new(options: &EjectionOptions) -> Self {
        Self {
            options: *options,
            failures_in_row: AtomicU32::new(0),
            ejections_in_row: AtomicU32::new(0),
            until: AtomicU64::new(0),
        }
    }

    /// Counts an answer, or a refusal by which the upstream shows that it is alive.
    pub fn record_success(&self, now: Millis) {
        self.failures_in_row.store(0, Ordering::Release);
        if self.share(now) >= 1.0 {
            self.ejections_in_row.store(0, Ordering::Release);
        }
    }

    /// Counts a failed attempt. Ejects the upstream if there were too many in a row.
    pub fn record_failure(&self, now: Millis) {
        let failures = self.failures_in_row.fetch_add(1, Ordering::AcqRel) + 1;
        // One failure is enough while it returns: it has not yet shown that it is well.
        let allowed = if self.share(now) < 1.0 { 1 } else { self.options.failures };
        if failures < allowed || self.is_ejected(now) {
            return;
        }
        let doublings = self.ejections_in_row.fetch_add(1, Ordering::AcqRel).min(MAX_DOUBLINGS);
        let length = Millis(self.options.ejection.0 << doublings);
        self.until.store((now + length).0.max(1), Ordering::Release);
        self.failures_in_row.store(0, Ordering::Release);
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now.0 < self.until.load(Ordering::Acquire)
    }

    /// Returns the share, from 0 to 1, of its usual work that the upstream should get.
    pub fn share(&self, now: Millis) -> f64 {
        let until = self.until.load(Ordering::Acquire);
        if until == 0 {
            return 1.0;
        }
        if now.0 < until {
            return 0.0;
        }
        let grown = (now.0 - until) as f64 / self.options.slow_return.0.max(1) as f64;
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * grown).min(1.0)
    }
}

/// How many instances must have met a failure within [`REPORT_AGE`] for all to leave an upstream alone.
/// One that is itself cut off meets failures everywhere; three agree by chance only where each tenth
/// request of a busy upstream fails.
const REPORTERS: usize = 3;

/// How long a report of a failure counts.
const REPORT_AGE: Millis = Millis(500);

/// For how long an upstream is left alone by all at first; each further time within
/// [`RELAPSE_TIME`] twice as long.
const ALONE_TIME: Millis = Millis(1_000);
const RELAPSE_TIME: Millis = Millis(5_000);

/// `FailureReports` is what several instances report of one upstream's failures.
///
/// The load that this answers: an upstream that answers each request at once with an error, while it
/// says that it is well. It always seems idle, and draws the requests of hundreds of instances, of which
/// each meets it too seldom to leave it alone.
///
/// ```
/// use anvilhook_core::ejections::FailureReports;
/// use anvilhook_core::units::Millis;
///
/// let mut reports = FailureReports::default();
/// assert_eq!(reports.record(1, Millis(100)), None);
/// assert_eq!(reports.record(1, Millis(110)), None, "it may be cut off");
/// assert_eq!(reports.record(2, Millis(120)), None);
/// assert_eq!(reports.record(3, Millis(130)), Some(Millis(1_000)));
/// ```
#[derive(Debug, Default)]
pub struct FailureReports {
    reporters: HashMap<u64, Millis>,
    times_in_row: u32,
    last_at: Millis,
}

impl FailureReports {
    /// Notes that an instance has met a failure. Returns for how long all are to leave the upstream
    /// alone, if so.
    pub fn record(&mut self, reporter: u64, now: Millis) -> Option<Millis> {
        self.reporters.retain(|_, at| *at + REPORT_AGE > now);
        self.reporters.insert(reporter, now);
        if self.reporters.len() < REPORTERS {
            return None;
        }
        self.reporters.clear();
        let is_relapse = self.times_in_row > 0 && now < self.last_at + RELAPSE_TIME;
        self.times_in_row = if is_relapse { self.times_in_row + 1 } else { 1 };
        self.last_at = now;
        Some(Millis(ALONE_TIME.0 << (self.times_in_row - 1).min(MAX_DOUBLINGS)))
    }
}
