//! The durations that determine how long leases hold.

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};
use crate::units::Millis;

/// The maximum by which a challenger measures a span longer than the holder does because of rounding. Both
/// read their clocks in whole milliseconds, which causes an error of up to one millisecond each.
const ROUNDING: Millis = Millis(2);

/// The shortest timeout that is sufficient for a call to an engine.
const MIN_CALL_TIMEOUT: Millis = Millis(100);

/// Parts per million, the unit of clock rate differences.
const MILLION: u64 = 1_000_000;

/// `LeaseOptions` sets the durations of leases. All instances must use the same.
///
/// ```
/// use anvilhook_core::leases::LeaseOptions;
/// use anvilhook_core::units::Millis;
///
/// let options = LeaseOptions::default();
/// assert!(options.check().is_ok());
/// assert!(options.challenge_after(Millis(9_000)) > Millis(9_000));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseOptions {
    /// How long the session holds after a renewal.
    pub length_ms: Millis,
    /// The time between two renewals.
    pub renew_every_ms: Millis,
    /// How long before the end of its lease a holder stops giving orders. An order that is given just
    /// before must arrive while the lease holds, so calls to engines use `call_timeout`.
    pub guard_ms: Millis,
    /// The maximum difference between the rates of any two instances' clocks, in parts per million.
    pub clock_rate_bound_ppm: u64,
    /// How long a challenger waits in addition to the length and the clock rate bound.
    pub margin_ms: Millis,
}

impl LeaseOptions {
    /// Checks that the durations are consistent.
    ///
    /// # Errors
    ///
    /// `Error::BadField` naming the first field that breaks its rule.
    pub fn check(&self) -> Result<()> {
        if self.length_ms == Millis::ZERO {
            return Err(Error::bad_field("lease.length_ms", "more than 0"));
        }
        if self.guard_ms >= self.length_ms {
            return Err(Error::bad_field("lease.guard_ms", "less than length_ms"));
        }
        if self.call_timeout() < MIN_CALL_TIMEOUT {
            let expected = "at least 250, so that a call to an engine fits into it";
            return Err(Error::bad_field("lease.guard_ms", expected));
        }
        if self.renew_every_ms + self.guard_ms >= self.length_ms {
            let expected = "less than length_ms - guard_ms, so that renewals come in time";
            return Err(Error::bad_field("lease.renew_every_ms", expected));
        }
        if self.clock_rate_bound_ppm >= MILLION {
            return Err(Error::bad_field("lease.clock_rate_bound_ppm", "less than 1000000"));
        }
        Ok(())
    }

    /// Returns the timeout of calls to engines. It applies once to the head of an answer and once
    /// to the rest.
    ///
    /// If it could be set separately, a long timeout could let an order that was given just before the
    /// guard interval arrive after a successor has begun: an engine would change against its holder's
    /// will. It is derived from the guard interval, so that a whole call always ends within it, with a
    /// fifth to spare for clocks and scheduling.
    ///
    /// ```
    /// use anvilhook_core::leases::LeaseOptions;
    ///
    /// let options = LeaseOptions::default();
    /// assert!(options.call_timeout() + options.call_timeout() < options.guard_ms);
    /// ```
    pub fn call_timeout(&self) -> Millis {
        Millis(self.guard_ms.0.saturating_mul(2) / 5)
    }

    /// Returns how long a challenger must see a row of the given length unchanged before it may
    /// end it.
    pub fn challenge_after(&self, length: Millis) -> Millis {
        // Rounded up, because during a missing millisecond both could act.
        let drift = length.0.saturating_mul(self.clock_rate_bound_ppm).div_ceil(MILLION);
        length + Millis(drift) + ROUNDING + self.margin_ms
    }
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            length_ms: Millis(9_000),
            renew_every_ms: Millis(3_000),
            guard_ms: Millis(2_500),
            clock_rate_bound_ppm: 1_000,
            margin_ms: Millis(500),
        }
    }
}
