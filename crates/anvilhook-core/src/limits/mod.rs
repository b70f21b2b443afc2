//! Account limits over many instances.
//!
//! A limit applies to all instances together, but no instance may ask another before it admits a request.
//! So each instance holds a share of the limit. The shares follow the demand that the instances send each
//! other in digests. They add up to no more than the limit, except for at most
//! `LimitOptions::max_overshoot` after a change of demand or a loss of messages. One open request is
//! always allowed at each instance, so a limit of fewer open requests than there are instances counts as
//! one for each.

mod accounts;
mod shares;

pub use accounts::{AccountLimiter, LimitRefusal, LimitedBy};
pub use shares::{AccountDemand, AccountShare, PeerDemand, ShareAllocator};

use crate::units::Millis;

/// `LimitOptions` sets how shares change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitOptions {
    /// How long an increase of a share is delayed. It must exceed the time that a digest takes to reach
    /// all instances, because an instance may only use what the others have had time to release.
    pub settle: Millis,
    /// The age from which a peer's digest counts as missing.
    pub stale_after: Millis,
    /// How much of its rate an account can save up for a burst.
    pub burst: Millis,
}

impl LimitOptions {
    /// Returns the longest time for which the shares may add up to more than the limit: the time until
    /// a missing peer is noticed, until the others have received that, and until a share has settled.
    pub fn max_overshoot(&self) -> Millis {
        self.stale_after + self.stale_after + self.settle
    }
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self { settle: Millis(2_000), stale_after: Millis(3_000), burst: Millis(5_000) }
    }
}
