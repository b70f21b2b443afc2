//! The rates beyond which the platform refuses.

use anvilhook_core::units::Millis;

/// The length of a rate's window.
const WINDOW: Millis = Millis::from_secs(1);

/// `RateLimits` is what the table service carries in a second; calls past that are refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimits {
    /// Rows written in a second.
    pub writes_per_s: u32,
    /// Reads in a second; a scan counts as one.
    pub reads_per_s: u32,
}

impl Default for RateLimits {
    fn default() -> Self {
        Self { writes_per_s: 400, reads_per_s: 2_000 }
    }
}

/// `RateWindow` counts what was taken in the present window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateWindow {
    started_at: Millis,
    taken: u32,
}

impl RateWindow {
    /// Takes `amount` if the window still holds it. An amount larger than the whole limit passes in
    /// a fresh window, because it could pass in none otherwise.
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
