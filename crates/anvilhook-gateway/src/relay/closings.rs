//! Closes upstreams for a while, at all instances.

use anvilhook_core::ejections::may_eject;
use anvilhook_core::slow_starts::Closing;
use anvilhook_core::units::{Clock, Millis};

use super::Gateway;
use crate::events::{UpstreamEvent, emit};
use crate::fleets::Upstream;
use crate::slow_starts::Openings;
use crate::wires::Wire;

/// How long no instance uses an upstream whose host refuses connections, with the policy `slow_start` off;
/// otherwise [`SlowStart::close`](anvilhook_core::slow_starts::SlowStart::close) sets the time. An upstream
/// that restarts is listed after about this time, and one that was full accepts connections again by then.
pub(super) const CLOSED_PAUSE: Millis = Millis(800);

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Records that an instance has received an error from an engine. Once several instances have, all of
    /// them eject the engine for a while, unless too many engines are ejected already.
    pub fn record_engine_error(&self, upstream: &Upstream, instance: u64, is_own: bool) {
        let now = self.now();
        let Some(pause) = upstream.state.record_error(instance, is_own, now) else { return };
        let view = self.fleet().view();
        let all = view.of_service(&upstream.entry.service);
        let ejected = all.iter().filter(|one| !one.state.is_healthy(now)).count();
        if !may_eject(all.len(), ejected) {
            return;
        }
        // Peers that have received the same reports publish the ejection too.
        self.close_upstream(upstream, Some(pause), "");
    }

    /// Marks an upstream as unused for a while, and publishes it to peers. `length` is for how long, if it does
    /// not follow from its earlier refusals. `request` is the id of the request that caused it, empty if it
    /// was not a single request.
    pub(super) fn close_upstream(
        &self,
        upstream: &Upstream,
        length: Option<Millis>,
        request: &str,
    ) {
        let now = self.now();
        let closing = if self.policy().slow_start {
            upstream.state.close(length, now)
        } else {
            let length = length.unwrap_or(CLOSED_PAUSE);
            let is_later = upstream.state.mark_closed(now + length, true);
            is_later.then_some(Closing { length, count: 1, previous: None })
        };
        if let Some(Closing { length, count, previous }) = closing {
            self.peers().announce();
            emit(&UpstreamEvent::UpstreamClosed {
                upstream: &upstream.entry.id,
                request,
                for_ms: length.0,
                count,
                previous_ms: previous.map(|previous| previous.0),
            });
        }
    }

    /// Returns this instance among those to which upstreams are opened, if slow start is active.
    pub(super) fn openings(&self) -> Option<Openings> {
        self.policy().slow_start.then(|| Openings {
            instance: self.peers().number(),
            instances: self.peers().instances(),
        })
    }
}
