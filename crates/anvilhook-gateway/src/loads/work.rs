//! The work of an upstream, as this and other instances report it.

use anvilhook_core::units::Millis;

/// How long a load report from an upstream or a peer is valid.
pub(super) const MAX_LOAD_AGE: Millis = Millis(400);

/// How long a load update from another availability zone is valid. It passes through two more instances.
const MAX_FAR_LOAD_AGE: Millis = Millis(800);

/// `Work` is the work of an upstream for requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests in flight.
    pub in_flight: u32,
    /// The time to read (prefill) the prompts that are not read yet, in milliseconds of the engine's work.
    pub reading_ms: f64,
    /// The time to fetch the KV caches that have not been fetched yet, in milliseconds of the engine's link.
    pub fetching_ms: f64,
}

/// `PeerLoad` is the work that another instance, or all of another zone's, have in flight at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// The work of the upstream for these requests.
    pub work: Work,
    /// When this load was received.
    pub at: Millis,
    /// Whether this is the sum over the instances of other availability zones, which one instance
    /// publishes periodically.
    pub is_far: bool,
}

impl PeerLoad {
    /// Returns whether this load is recent enough to be used.
    pub(super) fn is_current(&self, now: Millis) -> bool {
        self.at + if self.is_far { MAX_FAR_LOAD_AGE } else { MAX_LOAD_AGE } >= now
    }
}
