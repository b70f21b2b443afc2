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

/// How many instances must have got an error within [`REPORT_AGE`] for all to eject an upstream.
/// Three agree by chance only where a good part of a busy upstream's requests fail.
const REPORTERS: usize = 3;

/// How long a report of an error counts.
const REPORT_AGE: Millis = Millis(500);

/// For how long all eject an upstream at first, and at most. If it fails again within [`RELAPSE_TIME`]
/// after that, it is ejected for twice as long as before.
const FIRST_EJECTION: Millis = Millis(1_000);
const LONGEST_EJECTION: Millis = Millis(4_000);
const RELAPSE_TIME: Millis = Millis(2_000);

/// The most upstreams of a service that are ejected at a time because of errors, as a share. Where
/// more of them fail, the rest could not take their work, and some answers are better than none.
const MOST_EJECTED_SHARE: f64 = 0.25;

/// Returns whether one more of so many upstreams may be ejected, beside those that are.
///
/// ```
/// use anvilhook_core::ejections::may_eject;
///
/// assert!(may_eject(9, 1));
/// assert!(!may_eject(9, 2));
/// assert!(!may_eject(3, 0));
/// ```
pub fn may_eject(upstreams: usize, ejected: usize) -> bool {
    (ejected + 1) as f64 <= upstreams as f64 * MOST_EJECTED_SHARE
}

/// `ErrorReports` is what several instances report of one upstream's errors.
///
/// The load that this answers: an upstream that answers each request at once with an error, while it
/// says that it is well. It always seems idle, and draws the requests of hundreds of instances, of which
/// each meets it too seldom to eject it. Answers that are lost or late are no errors: there the
/// upstream has done its work, and seems busy meanwhile.
///
/// ```
/// use anvilhook_core::ejections::ErrorReports;
/// use anvilhook_core::units::Millis;
///
/// let mut reports = ErrorReports::default();
/// assert_eq!(reports.record(1, Millis(100)), None);
/// assert_eq!(reports.record(1, Millis(110)), None, "one alone");
/// assert_eq!(reports.record(2, Millis(120)), None);
/// assert_eq!(reports.record(3, Millis(130)), Some(Millis(1_000)));
/// assert_eq!(reports.record(4, Millis(140)), None, "it is ejected by then");
/// ```
#[derive(Debug, Default)]
pub struct ErrorReports {
    reporters: HashMap<u64, Millis>,
    ejected_until: Millis,
    ejection: Millis,
}

impl ErrorReports {
    /// Notes that an instance has got an error. Returns for how long all are to eject the upstream, if
    /// so.
    pub fn record(&mut self, reporter: u64, now: Millis) -> Option<Millis> {
        if now < self.ejected_until {
            return None;
        }
        self.reporters.retain(|_, at| *at + REPORT_AGE > now);
        self.reporters.insert(reporter, now);
        if self.reporters.len() < REPORTERS {
            return None;
        }
        self.reporters.clear();
        let is_relapse =
            self.ejected_until > Millis::ZERO && now < self.ejected_until + RELAPSE_TIME;
        let next = if is_relapse { self.ejection * 2 } else { FIRST_EJECTION };
        self.ejection = next.min(LONGEST_EJECTION);
        self.ejected_until = now + self.ejection;
        Some(self.ejection)
    }
}
