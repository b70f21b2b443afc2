//! Answers to callers.

use anvilhook_core::units::{Clock, Millis};
use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use http::{Response as HttpResponse, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use super::bodies::counted;
use super::requests::Exchange;
use super::resumption::Relay;
use super::{Flight, Gateway};
use crate::wires::Wire;

/// `Outcome` is how a request is answered.
pub(super) enum Outcome {
    /// An upstream's whole answer.
    Whole(WholeAnswer),
    /// An upstream's stream, of which the first event has come.
    Stream(Box<Relay>),
    /// An answer of the gateway's own.
    Own(OwnAnswer),
}

/// `WholeAnswer` is an upstream's answer, complete and checked.
#[derive(Clone, Debug)]
pub(super) struct WholeAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// `OwnAnswer` is an answer without an upstream's.
#[derive(Clone, Debug)]
pub(super) struct OwnAnswer {
    pub status: StatusCode,
    pub reason: &'static str,
    pub retry_after: Option<Millis>,
}

impl Outcome {
    /// Says that the request has not run and never will, and when to come back.
    pub fn refused(reason: &'static str, retry_after: Millis) -> Self {
        Outcome::Own(OwnAnswer::refused(reason, retry_after))
    }

    /// Says that the request failed, without a promise unless the status is one.
    pub fn failed(status: StatusCode, reason: &'static str) -> Self {
        Outcome::Own(OwnAnswer::failed(status, reason))
    }

    /// Says that the request failed and may have run.
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

    /// Returns why, for logs.
    pub fn reason(&self) -> &'static str {
        match self {
            Outcome::Whole(_) => "answered",
            Outcome::Stream(_) => "streaming",
            Outcome::Own(answer) => answer.reason,
        }
    }

    /// Returns when the caller is to come back, if it is.
    pub fn retry_after(&self) -> Option<Millis> {
        match self {
            Outcome::Own(answer) => answer.retry_after,
            Outcome::Whole(_) | Outcome::Stream(_) => None,
        }
    }

    /// Makes the answer for the caller. Its request counts as in flight until the answer has left the
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
    /// Says that the request has not run and never will, and when to come back.
    pub fn refused(reason: &'static str, retry_after: Millis) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after) }
    }

    /// Says that the request failed, without a promise unless the status is one.
    pub fn failed(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    fn into_response(self) -> Response {
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

/// Has the caller's connection closed after an answer, so that it goes to another instance.
pub(super) fn close_after(answer: &mut Response) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
