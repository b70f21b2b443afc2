//! Whole answers with the faults that meet them.

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

/// How long a part of an answer is given to leave the process before its connection fails. A
/// reset discards what has not left.
const PART_LEAVES_WITHIN: Millis = Millis(20);

/// `WholeAnswer` is an answer before any fault.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The content's type.
    pub content_type: &'static str,
    /// The content.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Makes an answer of a JSON document.
    pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(buf) => Self { status, content_type: "application/json", body: Bytes::from(buf) },
            Err(err) => Self::text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }

    /// Makes an answer of plain text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let body = Bytes::from(text.into());
        Self { status, content_type: "text/plain; charset=utf-8", body }
    }
}

/// `FaultyAnswers` answers one request under the fault that meets it, if any does.
#[derive(Clone, Debug)]
pub struct FaultyAnswers {
    /// The attempt whose id is echoed.
    pub attempt: AttemptId,
    /// The fault.
    pub plan: Option<FaultPlan>,
    /// The request's connection.
    pub connection: Arc<Connection>,
}

impl FaultyAnswers {
    /// Returns the fault.
    pub fn fault(&self) -> Option<Fault> {
        self.plan.map(|plan| plan.fault)
    }

    /// Lets a request pass that is to run, and returns the answer of one that is not.
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
                let once = self.raw(&answer);
                self.connection.send_raw(&[once.as_slice(), once.as_slice()].concat());
                std::future::pending().await
            }
            _ => self.echo(self.part(&answer, fault)),
        }
    }

    /// Carries out a fault before the first byte. Returns nothing if the fault is another.
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

    /// Says that the request was refused before running.
    pub fn refusal(&self, reason: &str) -> Response<Body> {
        let mut answer = answers::text(StatusCode::SERVICE_UNAVAILABLE, reason);
        answer.headers_mut().insert(REFUSED_HEADER, HeaderValue::from_static("true"));
        self.echo(answer)
    }

    /// Adds the echo of the attempt's id, or what the fault puts in its place.
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

    /// Announces the whole answer and sends its first half.
    fn part(&self, answer: &WholeAnswer, fault: Fault) -> Response<Body> {
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

    fn raw(&self, answer: &WholeAnswer) -> Vec<u8> {
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

/// Echoes the id of a call that no fault meets, if it carries one.
pub(crate) fn echo(headers: &HeaderMap, answer: Response<Body>) -> Response<Body> {
    let Some(attempt) = attempt_in(headers) else { return answer };
    FaultyAnswers { attempt, plan: None, connection: Arc::default() }.echo(answer)
}

pub(crate) fn attempt_in(headers: &HeaderMap) -> Option<AttemptId> {
    headers.get(ATTEMPT_HEADER)?.to_str().ok()?.parse().ok()
}

/// Has a connection fail amid an answer. Returns the error that ends the answer's body.
pub(crate) async fn break_off(connection: &Connection, fault: Fault) -> BoxError {
    if fault == Fault::SilentMidAnswer {
        return std::future::pending().await;
    }
    tokio::time::sleep(PART_LEAVES_WITHIN.as_duration()).await;
    if fault == Fault::ResetAfterFirstByte {
        connection.reset();
    } else {
        connection.close();
    }
    BoxError::from("cut short by a switch")
}

fn plain(answer: &WholeAnswer) -> Response<Body> {
    let mut plain = Response::new(Body::from(answer.body.clone()));
    *plain.status_mut() = answer.status;
    let content_type = HeaderValue::from_static(answer.content_type);
    plain.headers_mut().insert(CONTENT_TYPE, content_type);
    plain
}
