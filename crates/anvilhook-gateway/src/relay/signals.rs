//! What an upstream reports about itself in the heads of its answers: that it leaves, asks for a pause, or limits
//! its requests.

use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::pauses::retry_after;
use http::StatusCode;
use http::header::HeaderMap;

use super::Gateway;
use crate::events::{UpstreamEvent, emit};
use crate::fleets::Upstream;
use crate::request_limits::LimitChange;
use crate::wires::Wire;

/// `AnswerSource` is what an upstream answered.
#[derive(Clone, Copy, Debug)]
pub(super) enum AnswerSource<'a> {
    /// A forwarded request.
    Request {
        /// Its id.
        id: &'a str,
        /// When it was sent.
        sent_at: Millis,
    },
    /// A call that the gateway itself made.
    OwnCall,
}

impl<'a> AnswerSource<'a> {
    /// Returns the id of the request, empty for the gateway's own call.
    fn request(self) -> &'a str {
        match self {
            AnswerSource::Request { id, .. } => id,
            AnswerSource::OwnCall => "",
        }
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Records what an upstream reports about itself in the head of an answer.
    pub(super) fn record_response(
        &self,
        upstream: &Upstream,
        source: AnswerSource<'_>,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        // Another upstream may have got the address since; its answer is then about itself.
        let named = headers.get(&self.wire().headers().instance);
        let named = named.and_then(|id| id.to_str().ok()).filter(|id| **id != *upstream.entry.id);
        let view;
        let upstream = match named {
            None => upstream,
            Some(id) => {
                view = self.fleet().view();
                let Some(other) = view.get(id) else { return };
                other
            }
        };
        let is_leaving = self.wire().says_leaving(headers);
        let is_new = is_leaving && self.mark_leaving(upstream);
        let pause = self.record_pause(upstream, status, headers);
        self.record_request_limit(upstream, source, headers);
        if is_new || pause.is_some() {
            let (upstream, status) = (&*upstream.entry.id, status.as_u16());
            let request = source.request();
            let pause_ms = pause.map(|pause| pause.0);
            emit(&UpstreamEvent::UpstreamTold { upstream, request, status, is_leaving, pause_ms });
        }
    }

    /// Records for how long an upstream asks this instance to send nothing. Returns that time if it changes
    /// the known state.
    fn record_pause(
        &self,
        upstream: &Upstream,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Option<Millis> {
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        match retry_after(headers) {
            Ok(pause) => pause.filter(|pause| upstream.state.pause(self.now() + *pause)),
            Err(err) => {
                emit(&UpstreamEvent::PauseIgnored {
                    upstream: &upstream.entry.id,
                    cause: err.to_string(),
                });
                None
            }
        }
    }

    /// Records the request limit that an upstream names in an answer, or that it names none.
    fn record_request_limit(
        &self,
        upstream: &Upstream,
        source: AnswerSource<'_>,
        headers: &HeaderMap,
    ) {
        let limit = upstream.state.request_limit();
        let change = match (self.wire().request_limit(headers), source) {
            (Ok(Some(per_s)), _) => limit.record_named(per_s, self.share_basis()),
            // Only a forwarded request's own answer is known to name a limit that is in force.
            (Ok(None), AnswerSource::Request { id, sent_at }) => {
                let echoed = headers.get(&self.wire().headers().request_id);
                let is_own = echoed.is_some_and(|echoed| echoed.as_bytes() == id.as_bytes());
                if is_own { limit.record_unnamed(sent_at) } else { None }
            }
            (Ok(None), AnswerSource::OwnCall) => None,
            (Err(err), _) => {
                let (upstream, cause) = (&*upstream.entry.id, err.to_string());
                return emit(&UpstreamEvent::RequestLimitIgnored { upstream, cause });
            }
        };
        let (per_s, before) = match change {
            Some(LimitChange::Named { per_s, before }) => (Some(per_s), before),
            Some(LimitChange::Ended { before }) => (None, Some(before)),
            None => return,
        };
        let (upstream, request) = (&*upstream.entry.id, source.request());
        emit(&UpstreamEvent::RequestLimit { upstream, request, per_s, before });
    }

    /// Records that an upstream has announced to this instance that it leaves, and publishes it to peers.
    /// Returns whether that is new.
    fn mark_leaving(&self, upstream: &Upstream) -> bool {
        let is_new = upstream.state.mark_leaving(true, self.now());
        if is_new {
            self.peers().announce();
        }
        is_new
    }
}
