//! What an instance that stops may still take on.
//!
//! Load balancers notice a stop only after a while, and callers go on using the connections that they
//! keep open, so requests come until the process is gone. What is taken on and outlives the process is
//! cut in the middle of its answer, although its caller could have gone elsewhere at once.

use crate::units::Millis;

/// How much longer than the slowest of late a request may take, and what goes before an output at most,
/// in milliseconds, if it is to be whole before its instance ends.
const ENDING_FACTOR: f64 = 1.25;
const BEFORE_OUTPUT_MS: f64 = 1_500.0;

/// `Stop` is the course of an instance's stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// When everybody who spreads connections has noticed the stop.
    pub noticed_at: Millis,
    /// When the instance ends, whatever is in flight.
    pub ends_at: Millis,
}

/// `Acceptance` is whether an instance that stops takes a request on, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// It does: the caller's own limit is over before the instance ends.
    Bounded,
    /// It does: the request is expected to end in time, and not everybody knows of the stop yet.
    Expected,
    /// It does not: the instance's end could cut the answer.
    Refused,
}

impl Acceptance {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Acceptance::Bounded => "bounded",
            Acceptance::Expected => "expected",
            Acceptance::Refused => "refused",
        }
    }
}

impl Stop {
    /// Decides about a request whose caller's limit is at `limit_at`, and that is expected to take
    /// `expected_ms`, `None` if nothing is known of that.
    ///
    /// How long an engine takes is never certain: it may be slow, stand still, or be one of which this
    /// instance has seen nothing yet. Only the caller's own limit bounds a request. An expectation counts
    /// for as long as callers are still sent here; then a refusal costs them a round trip, and a wrong
    /// expectation the answer.
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
        let is_expected = expected_ms.is_some_and(|ms| self.ends_in_time(now, ms));
        if now < self.noticed_at && is_expected {
            Acceptance::Expected
        } else {
            Acceptance::Refused
        }
    }

    /// Returns whether a request that begins now and is expected to take `expected_ms` is whole before
    /// the end.
    fn ends_in_time(&self, now: Millis, expected_ms: f64) -> bool {
        expected_ms * ENDING_FACTOR + BEFORE_OUTPUT_MS <= self.time_left(now).0 as f64
    }

    /// Returns the time until the instance ends.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.ends_at - now
    }
}
