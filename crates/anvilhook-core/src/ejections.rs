//! Outlier ejection: an upstream that keeps failing gets no work for a while, and then gets it back
//! gradually.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::units::Millis;

/// The share of its usual work that an upstream gets at the moment when its ejection ends.
const FIRST_SHARE: f64 = 0.1;

/// The maximum number of times that the ejection's length is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// `EjectionOptions` sets when an upstream is ejected and how it returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionOptions {
    /// The number of consecutive failures that eject an upstream.
    pub failures: u32,
    /// The length of the first ejection. Each further one is twice as long, until the upstream has
    /// fully returned.
    pub ejection: Millis,
    /// The time over which the share of a returning upstream grows from a tenth to the whole.
    pub slow_return: Millis,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self { failures: 3, ejection: Millis::from_secs(2), slow_return: Millis::from_secs(10) }
    }
}

/// `Ejection` tracks the failures of one upstream as seen by one instance.
///
/// It covers what load reports don't show: an upstream that still reports an empty queue while its
/// answers fail would attract more and more requests, since failing is fast. The caller limits how many
/// upstreams may be ejected at once, as `RouteTable` does.
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
    consecutive_failures: AtomicU32,
    consecutive_ejections: AtomicU32,
    // The end of the last ejection; zero if there was none.
    until: AtomicU64,
}

impl Ejection {
    /// Creates the tracker of an upstream that has not failed.
    pub fn new(options: &EjectionOptions) -> Self {
        Self {
            options: *options,
            consecutive_failures: AtomicU32::new(0),
            consecutive_ejections: AtomicU32::new(0),
            until: AtomicU64::new(0),
        }
    }

    /// Records an answer, or a refusal that shows that the upstream is alive.
    pub fn record_success(&self, now: Millis) {
        self.consecutive_failures.store(0, Ordering::Release);
        if self.share(now) >= 1.0 {
            self.consecutive_ejections.store(0, Ordering::Release);
        }
    }

    /// Records a failed attempt. Ejects the upstream after too many consecutive failures.
    pub fn record_failure(&self, now: Millis) {
        let failures = self.consecutive_failures.fetch_add(1, Ordering::AcqRel) + 1;
        // One failure is enough while the upstream returns: it has not yet shown that it is healthy.
        let allowed = if self.share(now) < 1.0 { 1 } else { self.options.failures };
        if failures < allowed || self.is_ejected(now) {
            return;
        }
        let doublings =
            self.consecutive_ejections.fetch_add(1, Ordering::AcqRel).min(MAX_DOUBLINGS);
        let length = Millis(self.options.ejection.0 << doublings);
        self.until.store((now + length).0.max(1), Ordering::Release);
        self.consecutive_failures.store(0, Ordering::Release);
    }

    /// Ends the ejection and forgets the failures, which turned out not to be the upstream's.
    pub fn clear(&self) {
        self.consecutive_failures.store(0, Ordering::Release);
        self.consecutive_ejections.store(0, Ordering::Release);
        self.until.store(0, Ordering::Release);
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

/// How many instances must have received an error within [`REPORT_AGE`] for all to eject an upstream.
/// Three report errors at the same time by chance only if many of a busy upstream's requests fail.
const REPORTERS: usize = 3;

/// How long a reported error counts.
const REPORT_AGE: Millis = Millis(500);

/// How long all instances eject an upstream at first, and at most. If it fails again within
/// [`RELAPSE_TIME`] after the ejection, it is ejected for twice as long as before.
const FIRST_EJECTION: Millis = Millis(1_000);
const MAX_EJECTION: Millis = Millis(4_000);
const RELAPSE_TIME: Millis = Millis(2_000);

/// The maximum share of a service's upstreams that are ejected at a time because of errors. Where more
/// of them fail, the rest could not take over their work, and some answers are better than none.
const MAX_EJECTED_SHARE: f64 = 0.25;

/// Returns whether one more of `upstreams` may be ejected in addition to those that already are.
///
/// ```
/// use anvilhook_core::ejections::may_eject;
///
/// assert!(may_eject(9, 1));
/// assert!(!may_eject(9, 2));
/// assert!(!may_eject(3, 0));
/// ```
pub fn may_eject(upstreams: usize, ejected: usize) -> bool {
    (ejected + 1) as f64 <= upstreams as f64 * MAX_EJECTED_SHARE
}

/// `ErrorReports` collects the errors of one upstream that several instances report.
///
/// Designed for: an upstream that answers each request at once with an error while it reports that it is
/// healthy. It always seems idle and attracts the requests of hundreds of instances, but each instance
/// calls it too rarely to eject it alone. Answers that are lost or late don't count as errors: there the
/// upstream has done its work and seems busy meanwhile.
///
/// ```
/// use anvilhook_core::ejections::ErrorReports;
/// use anvilhook_core::units::Millis;
///
/// let mut reports = ErrorReports::default();
/// assert_eq!(reports.record(1, Millis(100)), None);
/// assert_eq!(reports.record(1, Millis(110)), None, "one instance is not enough");
/// assert_eq!(reports.record(2, Millis(120)), None);
/// assert_eq!(reports.record(3, Millis(130)), Some(Millis(1_000)));
/// assert_eq!(reports.record(4, Millis(140)), None, "it is already ejected");
/// ```
#[derive(Debug, Default)]
pub struct ErrorReports {
    reporters: HashMap<u64, Millis>,
    ejected_until: Millis,
    ejection: Millis,
}

impl ErrorReports {
    /// Records that an instance has received an error. Returns how long all instances are to eject the
    /// upstream, if they are.
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
        self.ejection = next.min(MAX_EJECTION);
        self.ejected_until = now + self.ejection;
        Some(self.ejection)
    }
}
