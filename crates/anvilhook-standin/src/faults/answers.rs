//! Complete (not streamed) answers, with the planned faults applied.

use std::sync::Arc;

use anvilhook_core::attempts::{ATTEMPT_HEADER, AttemptId};
use anvilhook_core::units::Millis;
use anvilhook_engine::wire::REFUSED_HEADER;
use anvilhook_http::answers;
use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;
use volo_http::body::Body;
use volo_http::error::BoxError;

use super::connections::Connection;
use super::switches::{Fault, FaultPlan, When};

/// The time for a partial answer to leave the process before its connection fails. A reset discards
/// data that has not been sent.
const PARTIAL_SEND_TIME: Millis = Millis(20);

/// `WholeAnswer` is a complete answer, before a fault is applied to it.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The content type.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Creates an answer with a JSON document.
    pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(buf) => Self { status, content_type: "application/json", body: Bytes::from(buf) },
            Err(err) => Self::text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }

    /// Creates an answer with plain text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let body = Bytes::from(text.into());
        Self { status, content_type: "text/plain; charset=utf-8", body }
    }
}

/// `FaultyAnswers` answers one request and applies the fault planned for it, if there is one.
#[derive(Clone, Debug)]
pub struct FaultyAnswers {
    /// The attempt id to echo.
    pub attempt: AttemptId,
    /// The planned fault.
    pub plan: Option<FaultPlan>,
    /// The request's connection.
    pub connection: Arc<Connection>,
}

impl FaultyAnswers {
    /// Returns the planned fault.
    pub fn fault(&self) -> Option<Fault> {
        self.plan.map(|plan| plan.fault)
    }

    /// Applies a fault that prevents the request from running. Returns `None` if the request is to
    /// run, and otherwise its answer, if it has one.
    pub async fn before_run(&self) -> Option<Response<Body>> {
        let plan = self.plan.filter(|plan| plan.when == When::BeforeRun)?;
        self.before_first_byte(plan.fault).await
    }

    /// Answers a request that has run.
    pub async fn whole(&self, answer: WholeAnswer) -> Response<Body> {
        let Some(fault) = self.fault() else { return self.echo(plain(&answer)) };
        if let Some(refusal) = self.before_first_byte(fault).await {
            return refusal;
        }
        match fault {
            Fault::NoEcho | Fault::ForeignEcho => self.echo(plain(&answer)),
            Fault::Duplicate => {
                let once = self.raw_bytes(&answer);
                self.connection.send_raw(&[once.as_slice(), once.as_slice()].concat());
                std::future::pending().await
            }
            _ => self.echo(self.partial(&answer, fault)),
        }
    }

    /// Applies a fault that occurs before the first byte of the answer. Returns `None` for other
    /// faults, and never returns if the fault leaves the request without an answer.
    pub async fn before_first_byte(&self, fault: Fault) -> Option<Response<Body>> {
        match fault {
            Fault::ResetBeforeFirstByte => self.connection.reset(),
            Fault::CloseWithoutAnswer => self.connection.close(),
            Fault::HangBeforeFirstByte | Fault::Crash => {}
            Fault::OwnRefusal => return Some(self.refusal("refused by a switch")),
            Fault::BareRefusal => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Some(self.echo(answers::text(status, "refused without the header")));
            }
            _ => return None,
        }
        std::future::pending().await
    }

    /// Returns the answer that the request was refused before running.
    pub fn refusal(&self, reason: &str) -> Response<Body> {
        let mut answer = answers::text(StatusCode::SERVICE_UNAVAILABLE, reason);
        answer.headers_mut().insert(REFUSED_HEADER, HeaderValue::from_static("true"));
        self.echo(answer)
    }

    /// Adds the header that echoes the attempt's id, or what the fault sends instead of it.
    pub fn echo(&self, mut answer: Response<Body>) -> Response<Body> {
        if let Some(id) = self.echoed_id()
            && let Ok(value) = HeaderValue::from_str(&id.to_string())
        {
            answer.headers_mut().insert(ATTEMPT_HEADER, value);
        }
        answer
    }

    fn echoed_id(&self) -> Option<AttemptId> {
        match self.fault() {
            Some(Fault::NoEcho) => None,
            Some(Fault::ForeignEcho) => Some(AttemptId(!self.attempt.0)),
            _ => Some(self.attempt),
        }
    }

    /// Returns an answer that announces the full length and sends only the first half.
    fn partial(&self, answer: &WholeAnswer, fault: Fault) -> Response<Body> {
        let half = answer.body.slice(..answer.body.len() / 2);
        let first = Some((half, self.connection.clone()));
        let frames = stream::unfold(first, move |state| async move {
            match state {
                Some((half, connection)) if !half.is_empty() => {
                    Some((Ok(Frame::data(half)), Some((Bytes::new(), connection))))
                }
                Some((_, connection)) => {
                    let err = break_off(&connection, fault).await;
                    Some((Err(err), None))
                }
                None => None,
            }
        });
        let mut part = Response::new(Body::from_stream(frames));
        *part.status_mut() = answer.status;
        let headers = part.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(answer.content_type));
        headers.insert(CONTENT_LENGTH, HeaderValue::from(answer.body.len()));
        part
    }

    fn raw_bytes(&self, answer: &WholeAnswer) -> Vec<u8> {
        let mut buf = format!(
            "HTTP/1.1 {}\r\n{CONTENT_TYPE}: {}\r\n{CONTENT_LENGTH}: {}\r\n{ATTEMPT_HEADER}: {}\r\n\r\n",
            answer.status,
            answer.content_type,
            answer.body.len(),
            self.attempt,
        )
        .into_bytes();
        buf.extend_from_slice(&answer.body);
        buf
    }
}

/// Echoes the attempt's id of a call without a planned fault, if the call has one.
pub(crate) fn echo(headers: &HeaderMap, answer: Response<Body>) -> Response<Body> {
    let Some(attempt) = attempt_in(headers) else { return answer };
    FaultyAnswers { attempt, plan: None, connection: Arc::default() }.echo(answer)
}

pub(crate) fn attempt_in(headers: &HeaderMap) -> Option<AttemptId> {
    headers.get(ATTEMPT_HEADER)?.to_str().ok()?.parse().ok()
}

/// Makes a connection fail in the middle of an answer. Returns the error that ends the body, or
/// never returns if the connection only stops sending.
pub(crate) async fn break_off(connection: &Connection, fault: Fault) -> BoxError {
    if fault == Fault::SilentMidAnswer {
        return std::future::pending().await;
    }
    tokio::time::sleep(PARTIAL_SEND_TIME.as_duration()).await;
    if fault == Fault::ResetAfterFirstByte {
        connection.reset();
    } else {
        connection.close();
    }
    BoxError::from("truncated by a planned fault")
}

fn plain(answer: &WholeAnswer) -> Response<Body> {
    let mut plain = Response::new(Body::from(answer.body.clone()));
    *plain.status_mut() = answer.status;
    let content_type = HeaderValue::from_static(answer.content_type);
    plain.headers_mut().insert(CONTENT_TYPE, content_type);
    plain
}
