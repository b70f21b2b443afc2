//! Receives the answers of upstreams and records whether they are sound.

use anvilhook_core::connection_admission::Direction;
use anvilhook_core::units::Clock;
use anvilhook_http::Stage;
use anvilhook_http::collecting::{BodyBounds, CollectError, collect_body_within};
use anvilhook_http::counted;
use http::StatusCode;
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use volo_http::body::Body;
use volo_http::response::Response;

use super::Gateway;
use super::answers::WholeAnswer;
use super::failures::{Failed, FailureSignal};
use super::requests::{Exchange, end_to_end};
use crate::fleets::Upstream;
use crate::wires::Wire;

/// The maximum size of an answer that is collected before it is forwarded, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 16 << 20;

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Collects a whole answer. Only signed answers are forwarded, failures included.
    pub(super) async fn collect(
        &self,
        exchange: &Exchange,
        answer: Response,
    ) -> Result<WholeAnswer, Failed> {
        let names = self.wire().headers();
        let (parts, body) = answer.into_parts();
        if !parts.headers.contains_key(&names.signature) {
            return Err(Failed::may_have_run("unsigned_answer"));
        }
        let body = self.collect_body(exchange, body).await?;
        self.record_relayed(body.len());
        let headers = passed_on(&parts.headers);
        Ok(WholeAnswer { status: parts.status, headers, body })
    }

    /// Records a sound answer, or the sound beginning of a stream.
    pub(super) fn record_sound_answer(&self, upstream: &Upstream, status: StatusCode) {
        // An engine's own failures have been recorded with the head.
        if upstream.entry.role.is_none() || !status.is_server_error() {
            upstream.state.ejection().record_success(self.now());
        }
    }

    /// Records an answer that turned out not to be one after its head.
    ///
    /// An upstream whose answers break at once seems idle, and would attract more and more requests.
    pub(super) fn record_broken_answer(
        &self,
        exchange: &Exchange,
        upstream: &Upstream,
        stage: &'static str,
        failed: &Failed,
    ) {
        if failed.signal != FailureSignal::PathBroken {
            upstream.state.ejection().record_failure(self.now());
        }
        self.log_failed(exchange, upstream, stage, failed);
    }

    /// Records bytes that arrive from an upstream and are forwarded to a caller.
    pub(super) fn record_relayed(&self, bytes: usize) {
        self.record_bytes(Direction::Inbound, bytes);
        self.record_bytes(Direction::Outbound, bytes);
    }

    /// Collects a whole body within the time that is left to the caller.
    pub(super) async fn collect_body(
        &self,
        exchange: &Exchange,
        body: Body,
    ) -> Result<bytes::Bytes, Failed> {
        let timeout = exchange.time_left(self.now());
        let bounds = BodyBounds::new(MAX_ANSWER_BYTES, timeout);
        let mut room = self.inner.answer_memory.begin();
        let step = Stage::Body.as_str();
        match collect_body_within(body, &bounds, &mut room).await {
            Ok(body) => Ok(counted(body, room)),
            Err(CollectError::TimedOut) => Err(Failed { step, ..Failed::timed_out("answer_late") }),
            Err(CollectError::NoRoom) => {
                Err(Failed { step, ..Failed::may_have_run("no_answer_memory") })
            }
            Err(_) => Err(Failed { step, ..Failed::broken("answer_cut") }),
        }
    }
}

/// Returns whether the end of an answer is marked, by a length or a last chunk. Otherwise it ends with its connection.
pub(super) fn has_marked_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the headers of an upstream's answer that are forwarded.
pub(super) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers, &[])
}
