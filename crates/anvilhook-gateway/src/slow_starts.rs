//! Decides which upstreams that are new, reopening or full this instance passes over.

use std::sync::Arc;

use anvilhook_core::slow_starts::Candidates;
use anvilhook_core::units::Millis;

use crate::fleets::Upstream;
use crate::hashes::hash_of;

/// `Openings` identifies this instance among those to which upstreams are opened.
#[derive(Clone, Copy, Debug)]
pub struct Openings {
    /// The number of this instance.
    pub instance: u64,
    /// The number of all instances.
    pub instances: usize,
}

impl Openings {
    /// Returns whether any of the upstreams may be passed over.
    pub(crate) fn may_pass_over<'u>(
        upstreams: impl Iterator<Item = &'u Arc<Upstream>>,
        now: Millis,
    ) -> bool {
        let counted = upstreams.fold(Candidates::default(), |mut counted, upstream| {
            if upstream.state.slow_start().is_starting(now) {
                counted.starting += 1;
            } else {
                counted.settled += 1;
                counted.with_room += usize::from(!upstream.state.is_full(now));
            }
            counted
        });
        counted.may_pass_over()
    }

    /// Returns whether an upstream is open to this instance and not known to be full.
    pub(crate) fn is_open(&self, upstream: &Upstream, now: Millis) -> bool {
        let slow_start = upstream.state.slow_start();
        let is_open = !slow_start.is_starting(now) || {
            let hash = hash_of(&(self.instance, upstream.hash, slow_start.closings()));
            slow_start.is_open_to(hash, self.instances, now)
        };
        is_open && !upstream.state.is_full(now)
    }
}
