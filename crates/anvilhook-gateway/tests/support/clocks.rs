//! A clock that follows the runtime's timers.

use anvilhook_core::units::{Clock, Millis};
use tokio::time::Instant;

/// `TimerClock` reads the time of the runtime's timers, which a test may pause. Intervals then depend
/// on that time only, and not on the load of the machine.
#[derive(Clone, Copy, Debug)]
pub struct TimerClock {
    started_at: Instant,
}

impl TimerClock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self { started_at: Instant::now() }
    }
}

impl Clock for TimerClock {
    fn now(&self) -> Millis {
        Millis(self.started_at.elapsed().as_millis() as u64)
    }
}
