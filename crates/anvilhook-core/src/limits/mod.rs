//! Account limits over many instances.
//!
//! A limit counts over all instances, but no instance may ask another before it admits a request.
//! So each holds a share of it. The shares follow the demand that the instances tell each other by
//! digests, and add up to no more than the limit, except for at most
//! `LimitOptions::max_overshoot` after a change of demand or a loss of messages. One open request
//! is always allowed at each instance, so a limit of fewer open requests than there are instances
//! counts as one for each.

mod accounts;
mod shares;

pub use accounts::{AccountLimiter, LimitRefusal, LimitedBy};
pub use shares::{AccountDemand, AccountShare, PeerDemand, ShareAllocator};

use crate::units::Millis;

/// `LimitOptions` says how shares move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitOptions {
    /// How long a greater share is held back. It must exceed the time that a digest takes to reach
    /// all instances, because an instance may only take what the others have had time to give up.
    pub settle: Millis,
    /// The age at which a peer's digest no longer counts as heard.
    pub stale_after: Millis,
    /// How much of its rate an account can save up.
    pub burst: Millis,
}

impl LimitOptions {
    /// Returns the longest time for which the shares may add up to more than the limit: until a
    /// silent peer is noticed, until the others have heard of it, and until a share has settled.
    pub fn max_overshoot(&self) -> Millis {
        self.stale_after + self.stale_after + self.settle
    }
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self { settle: Millis(2_000), stale_after: Millis(3_000), burst: Millis(5_000) }
    }
}
