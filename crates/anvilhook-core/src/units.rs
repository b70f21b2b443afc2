//! Units of time and amounts, and the clocks that decisions use.

use std::fmt;
use std::ops::{Add, AddAssign, Mul, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// `Millis` is a point on a clock or a span of time, in milliseconds.
///
/// Subtraction saturates at zero, because a span between two clock readings is never negative.
///
/// ```
/// use anvilhook_core::units::Millis;
///
/// assert_eq!(Millis(1_500) - Millis(500), Millis::from_secs(1));
/// assert_eq!(Millis(1) - Millis(2), Millis::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// An empty span, or the start of a clock.
    pub const ZERO: Millis = Millis(0);

    /// The greatest value, for a deadline that is never reached.
    pub const MAX: Millis = Millis(u64::MAX);

    /// Returns a span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Converts the span to the standard library's duration.
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Millis) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_sub(rhs.0))
    }
}

impl Mul<u64> for Millis {
    type Output = Millis;

    fn mul(self, rhs: u64) -> Millis {
        Millis(self.0.saturating_mul(rhs))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// `Clock` returns a monotonic time. Only differences between two readings of one clock are meaningful.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the time since the clock's start.
    fn now(&self) -> Millis;
}

/// `SystemClock` is the machine's monotonic clock. It starts at zero when it is created.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started_at: Instant,
}

impl SystemClock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self { started_at: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(self.started_at.elapsed().as_millis() as u64)
    }
}

/// `BootClock` is the machine's clock since its boot. Unlike `SystemClock` it also counts the time for
/// which the machine was suspended. With `SystemClock`, a lease that expired during a suspension would
/// still seem valid, and orders would be given under it.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started_at: Millis,
}

impl BootClock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self { started_at: since_boot() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Millis {
        since_boot() - self.started_at
    }
}

fn since_boot() -> Millis {
    // Every Linux machine has this clock, and no decision is possible without it.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the machine has a clock since boot");
    let nanos = u64::try_from(time.tv_nsec()).unwrap_or_default();
    Millis::from_secs(u64::try_from(time.tv_sec()).unwrap_or_default()) + Millis(nanos / 1_000_000)
}

/// `ManualClock` changes only when it is advanced. Clones share one time.
///
/// ```
/// use anvilhook_core::units::{Clock, ManualClock, Millis};
///
/// let clock = ManualClock::new();
/// clock.advance(Millis(20));
/// assert_eq!(clock.now(), Millis(20));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    now: Arc<AtomicU64>,
}

impl ManualClock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Millis) {
        self.now.fetch_add(by.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::SeqCst))
    }
}

/// `WallTime` is a wall-clock time in milliseconds since the Unix epoch. It is shown to people in audit
/// entries and status, and used for reports by wall-clock time. One machine's clock may be wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WallTime(pub u64);

/// `Tokens` counts tokens of a prompt or an output.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Add for Tokens {
    type Output = Tokens;

    fn add(self, rhs: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Tokens {
    type Output = Tokens;

    fn sub(self, rhs: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(rhs.0))
    }
}

/// `Revision` is the number of a state of the whole configuration. It only grows.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}
