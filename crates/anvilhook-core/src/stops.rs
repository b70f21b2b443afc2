//! Decides which requests an instance that is stopping still accepts, and when it ends.
//!
//! Load balancers notice a stop only after some time, and callers go on using their open connections,
//! so requests arrive until the process has terminated. If an accepted request is still running at that
//! moment, its answer is truncated, although its caller could have gone to another instance at once.

use crate::units::Millis;

/// The safety factor on the expected time of a request, and the maximum time before its output begins, in
/// milliseconds. A request may take longer than the slowest recent ones and must still be complete
/// before its instance terminates.
const EXPECTED_TIME_FACTOR: f64 = 1.25;
const MAX_BEFORE_OUTPUT_MS: f64 = 1_500.0;

/// How long a stopping instance accepts requests by expectation. Load balancers need that long to notice that it is
/// not ready.
pub const NOTICE_TIME: Millis = Millis(2_300);

/// How long before its end a stopping instance stops accepting requests.
const FINISH_TIME: Millis = Millis(2_500);

/// How long before the end of the grace period the process ends in any case.
const STOP_MARGIN: Millis = Millis(900);

/// How long requests in flight still get the answers that arrived while the instance was suspended.
const LATE_ANSWER_TIME: Millis = Millis(50);

/// `Stop` is the schedule of an instance's stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// When every load balancer has noticed the stop.
    pub noticed_at: Millis,
    /// When the instance terminates, even if requests are in flight.
    pub ends_at: Millis,
}

/// `StopEnd` is when the work of a stopping instance ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopEnd {
    /// Not yet.
    Later,
    /// After this time, in which answers that have arrived are passed on.
    After(Millis),
    /// At once.
    Now,
}

/// `Acceptance` indicates whether a stopping instance accepts a request, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// Accepted: the caller's own limit ends before the instance terminates.
    Bounded,
    /// Accepted: the request is expected to complete in time, and not every load balancer has noticed
    /// the stop yet.
    Expected,
    /// Refused: the answer could be truncated when the instance terminates.
    Refused,
}

impl Acceptance {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Acceptance::Bounded => "bounded",
            Acceptance::Expected => "expected",
            Acceptance::Refused => "refused",
        }
    }
}

impl Stop {
    /// Plans the stop of an instance that is killed `grace` after `signalled_at`, when the signal to stop was sent.
    ///
    /// ```
    /// use anvilhook_core::stops::Stop;
    /// use anvilhook_core::units::Millis;
    ///
    /// let stop = Stop::plan(Millis(1_000), Millis(8_000));
    /// assert_eq!(stop.ends_at, Millis(8_100));
    /// ```
    pub fn plan(signalled_at: Millis, grace: Millis) -> Self {
        Self {
            noticed_at: signalled_at + NOTICE_TIME,
            ends_at: signalled_at + (grace - STOP_MARGIN),
        }
    }

    /// Returns until when requests are accepted.
    ///
    /// With too few other instances, connections keep arriving. A request accepted too late would be truncated by
    /// the end of the process, so the last part of the time only completes running requests.
    pub fn accepts_until(&self) -> Millis {
        self.ends_at - FINISH_TIME
    }

    /// Decides whether the instance's work ends at `now`. `checked_at` is when this was decided before, if it was.
    ///
    /// An instance that was suspended until after its end has not read the answers that arrived meanwhile.
    pub fn end(&self, checked_at: Option<Millis>, now: Millis) -> StopEnd {
        if now < self.ends_at {
            return StopEnd::Later;
        }
        let was_suspended =
            checked_at.is_none_or(|checked_at| now - checked_at >= LATE_ANSWER_TIME);
        if was_suspended { StopEnd::After(LATE_ANSWER_TIME) } else { StopEnd::Now }
    }

    /// Decides whether to accept a request whose caller's limit ends at `limit_at`. `expected_ms` is the
    /// expected duration of the request, or `None` if it is unknown.
    ///
    /// The duration is never certain: an engine may be slow or stuck, or this instance may not have
    /// observed it yet. Only the caller's own limit bounds a request. The expectation counts only until
    /// every load balancer has noticed the stop. After that a refusal costs the caller one round trip,
    /// whereas a wrong expectation costs the answer.
    ///
    /// ```
    /// use anvilhook_core::stops::{Stop, Acceptance};
    /// use anvilhook_core::units::Millis;
    ///
    /// let stop = Stop { noticed_at: Millis(2_000), ends_at: Millis(7_000) };
    /// let (short, long) = (Millis(4_500), Millis(9_000));
    /// assert_eq!(stop.decide(Millis(3_000), short, None), Acceptance::Bounded);
    /// assert_eq!(stop.decide(Millis(3_000), long, Some(100.0)), Acceptance::Refused);
    /// assert_eq!(stop.decide(Millis(1_000), long, Some(100.0)), Acceptance::Expected);
    /// assert_eq!(stop.decide(Millis(1_000), long, None), Acceptance::Refused);
    /// ```
    pub fn decide(&self, now: Millis, limit_at: Millis, expected_ms: Option<f64>) -> Acceptance {
        if limit_at <= self.ends_at {
            return Acceptance::Bounded;
        }
        let is_expected = expected_ms.is_some_and(|ms| self.completes_in_time(now, ms));
        if now < self.noticed_at && is_expected {
            Acceptance::Expected
        } else {
            Acceptance::Refused
        }
    }

    /// Returns whether a request that begins now and is expected to take `expected_ms` completes before
    /// the instance terminates.
    fn completes_in_time(&self, now: Millis, expected_ms: f64) -> bool {
        expected_ms * EXPECTED_TIME_FACTOR + MAX_BEFORE_OUTPUT_MS <= self.time_left(now).0 as f64
    }

    /// Returns the time until the instance terminates.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.ends_at - now
    }
}

/// The interval at which an instance checks that there is no signal to stop.
pub const SIGNAL_CHECK_INTERVAL: Millis = Millis(50);

/// `SignalWatch` estimates when a signal was sent. The system does not report it, and a process that was suspended, or
/// that has little CPU time, handles a signal long after that. So the task that handles the signal also checks
/// repeatedly that there is none, every [`SIGNAL_CHECK_INTERVAL`].
///
/// ```
/// use anvilhook_core::stops::SignalWatch;
/// use anvilhook_core::units::Millis;
///
/// let mut watch = SignalWatch::new(Millis::ZERO);
/// watch.record_check(Millis(50));
/// watch.record_check(Millis(100));
/// assert_eq!(watch.sent_at(Millis(120)), Millis(120));
/// assert_eq!(watch.sent_at(Millis(2_100)), Millis(150));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SignalWatch {
    last_check: Millis,
    check_before: Millis,
}

impl SignalWatch {
    /// Starts when the signal's handler is installed.
    pub fn new(now: Millis) -> Self {
        Self { last_check: now, check_before: now }
    }

    /// Records that there was no signal at a check.
    pub fn record_check(&mut self, now: Millis) {
        self.check_before = self.last_check;
        self.last_check = now;
    }

    /// Returns when a signal was sent that is handled at `now`, at most two check intervals too late.
    ///
    /// If the checks are on time, that is `now`: an ordinary stop uses its whole grace period.
    pub fn sent_at(&self, now: Millis) -> Millis {
        now.min(self.check_before + SIGNAL_CHECK_INTERVAL * 2)
    }

    /// Returns the time before `now` in which the signal may have been sent.
    ///
    /// The last check does not exclude an earlier signal: right after a suspension it can run before the signal is
    /// delivered. The check before it does.
    pub fn unchecked(&self, now: Millis) -> Millis {
        now - self.check_before
    }
}
