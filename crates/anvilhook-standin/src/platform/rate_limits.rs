//! The rate limits of the platform's table.

use anvilhook_core::units::Millis;

/// The length of a rate limit's window.
const WINDOW: Millis = Millis::from_secs(1);

/// `RateLimits` sets the rates beyond which the table service refuses calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimits {
    /// The rows written per second.
    pub writes_per_s: u32,
    /// The reads per second; a scan counts as one.
    pub reads_per_s: u32,
}

impl Default for RateLimits {
    fn default() -> Self {
        Self { writes_per_s: 400, reads_per_s: 2_000 }
    }
}

/// `RateWindow` counts the usage within the current window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateWindow {
    started_at: Millis,
    taken: u32,
}

impl RateWindow {
    /// Takes `amount` and returns true if it fits into the current window. An amount above the
    /// whole limit is accepted in an unused window, because otherwise it could never be accepted.
    pub(super) fn take(&mut self, now: Millis, amount: u32, limit: u32) -> bool {
        if now - self.started_at >= WINDOW {
            *self = RateWindow { started_at: now, taken: 0 };
        }
        let fits = self.taken == 0 || self.taken.saturating_add(amount) <= limit;
        if fits && limit > 0 {
            self.taken = self.taken.saturating_add(amount);
        }
        fits && limit > 0
    }
}
