//! Builds the answers that are sent to callers.

use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::collecting::{BodyBounds, MAX_TRANSFER_TIME, collect_body_within};
use anvilhook_http::counted;
use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use http::{Response as HttpResponse, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use super::collecting::MAX_ANSWER_BYTES;
use super::requests::Exchange;
use super::resumption::Relay;
use super::{Flight, Gateway};
use crate::wires::Wire;

/// The reason in the answer to a request whose stream broke.
pub(super) const STREAM_CUT: &str = "stream_cut";

/// `Outcome` is how a request is answered.
pub(super) enum Outcome {
    /// A complete answer from an upstream.
    Whole(WholeAnswer),
    /// A stream from an upstream, whose first event has been received.
    Stream(Box<Relay>),
    /// An answer that the gateway itself produced.
    Own(OwnAnswer),
}

/// `WholeAnswer` is an upstream's answer, complete and checked.
#[derive(Clone, Debug)]
pub(super) struct WholeAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// `OwnAnswer` is an answer that the gateway produces without an upstream.
#[derive(Clone, Debug)]
pub(super) struct OwnAnswer {
    pub status: StatusCode,
    pub reason: &'static str,
    pub retry_after: Option<Millis>,
}

impl Outcome {
    /// Creates an answer that reports that the request has not run and never will, and when to retry.
    pub fn refused(reason: &'static str, retry_after: Millis) -> Self {
        Outcome::Own(OwnAnswer::refused(reason, retry_after))
    }

    /// Creates an answer that reports that the request has not run and never will, and that the same request would not
    /// be served later either.
    pub fn refused_for_good(reason: &'static str) -> Self {
        Self::failed(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    /// Creates an answer that reports a failed request. Only the status may indicate whether it has run.
    pub fn failed(status: StatusCode, reason: &'static str) -> Self {
        Outcome::Own(OwnAnswer::failed(status, reason))
    }

    /// Creates an answer that reports that the request failed and may have run.
    pub fn may_have_run(reason: &'static str) -> Self {
        Self::failed(StatusCode::BAD_GATEWAY, reason)
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        match self {
            Outcome::Whole(answer) => answer.status,
            Outcome::Stream(relay) => relay.status(),
            Outcome::Own(answer) => answer.status,
        }
    }

    /// Returns the reason for logs.
    pub fn reason(&self) -> &'static str {
        match self {
            Outcome::Whole(_) => "answered",
            Outcome::Stream(_) => "streaming",
            Outcome::Own(answer) => answer.reason,
        }
    }

    /// Returns the time after which the caller should retry, if it should.
    pub fn retry_after(&self) -> Option<Millis> {
        match self {
            Outcome::Own(answer) => answer.retry_after,
            Outcome::Whole(_) | Outcome::Stream(_) => None,
        }
    }

    /// Creates the response for the caller. The request counts as in flight until the response has left the
    /// process.
    pub fn into_response<W: Wire, C: Clock>(
        self,
        gateway: &Gateway<W, C>,
        exchange: Option<Exchange>,
        flight: Flight<W, C>,
    ) -> Response {
        match self {
            Outcome::Whole(answer) => answer.into_response(flight),
            Outcome::Own(answer) => answer.into_response(),
            Outcome::Stream(relay) => {
                let exchange = exchange.expect("a stream belongs to a request");
                relay.into_response(gateway.clone(), exchange, flight)
            }
        }
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Collects a stream for a caller whose version of HTTP has no chunks. Such a caller could not distinguish the
    /// break of the stream from its end. An answer with a length is returned as it is.
    pub(super) async fn collect_for_caller(&self, answer: Response) -> Response {
        if answer.headers().contains_key(CONTENT_LENGTH) {
            return answer;
        }
        let flight = self.begin_flight();
        let (parts, body) = answer.into_parts();
        let bounds = BodyBounds::new(MAX_ANSWER_BYTES, MAX_TRANSFER_TIME);
        let mut room = self.inner.answer_memory.begin();
        match collect_body_within(body, &bounds, &mut room).await {
            Ok(body) => {
                let (status, headers) = (parts.status, parts.headers);
                WholeAnswer { status, headers, body: counted(body, room) }.into_response(flight)
            }
            Err(_) => OwnAnswer::failed(StatusCode::BAD_GATEWAY, STREAM_CUT).into_response(),
        }
    }
}

impl WholeAnswer {
    fn into_response<W: Wire, C: Clock>(self, flight: Flight<W, C>) -> Response {
        let len = self.body.len();
        let mut answer = HttpResponse::new(Body::from(counted(self.body, flight)));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = self.headers;
        answer.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(len));
        answer
    }
}

impl OwnAnswer {
    /// Creates an answer that reports that the request has not run and never will, and when to retry.
    pub fn refused(reason: &'static str, retry_after: Millis) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after) }
    }

    /// Creates an answer that reports a failed request. Only the status may indicate whether it has run.
    pub fn failed(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Creates the answer to a request with an invalid header or body.
    pub fn invalid(reason: &'static str) -> Self {
        Self::failed(StatusCode::BAD_REQUEST, reason)
    }

    /// Creates the response for the caller.
    pub fn into_response(self) -> Response {
        let mut answer = HttpResponse::new(Body::from(Bytes::from_static(self.reason.as_bytes())));
        *answer.status_mut() = self.status;
        if self.status == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                answer.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        answer
    }
}

/// Closes the caller's connection after this answer, so that the caller connects to another instance.
pub(super) fn close_after(answer: &mut Response) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
