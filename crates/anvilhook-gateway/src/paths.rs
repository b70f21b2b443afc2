//! This instance's own network path to an upstream.

use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::units::Millis;

/// `UpstreamPath` is what this instance knows about its own path to an upstream.
#[derive(Debug, Default)]
pub struct UpstreamPath {
    /// When the upstream last answered over this path. Zero if it has not.
    contact_at: AtomicU64,
}

impl UpstreamPath {
    /// Records that the upstream has answered over this path.
    pub fn record_contact(&self, now: Millis) {
        self.contact_at.fetch_max(now.0.max(1), Ordering::AcqRel);
    }

    /// Returns the time since the upstream last answered over this path, `None` if it has not.
    pub fn contact_age(&self, now: Millis) -> Option<Millis> {
        let at = self.contact_at.load(Ordering::Acquire);
        (at > 0).then(|| now - Millis(at))
    }
}
