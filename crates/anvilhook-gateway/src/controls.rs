//! Answers the requests of operators: the metrics, and the requests and prompt parts during which engines have
//! terminated.

use std::sync::Arc;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::quarantine::{EngineEnd, SuspectStatus};
use anvilhook_core::units::{Clock, Millis};
use http::{Method, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::prompts::SharedPart;
use crate::relay::Gateway;
use crate::wires::Wire;

/// The path of the suspects. A fingerprint is appended to it to lift that quarantine.
const QUARANTINE_PATH: &str = "/quarantine";

/// `Suspected` is a request or a prompt part during which engines have terminated, in the form shown to operators.
#[derive(Serialize)]
struct Suspected {
    fingerprint: Fingerprint,
    /// Whether it is a part.
    is_part: bool,
    /// The part, if its name is known.
    part: Option<SuspectedPart>,
    /// Whether it is quarantined, that is, the request or all requests with the part are sent to no engine.
    is_quarantined: bool,
    /// Whether it is on trial, that is, sent to one engine at a time.
    is_on_trial: bool,
    ends: Vec<Ended>,
}

/// `SuspectedPart` is a prompt part.
#[derive(Serialize)]
struct SuspectedPart {
    service: Arc<str>,
    model: Arc<str>,
    /// Its id, in hexadecimal.
    id: String,
}

impl From<SharedPart> for SuspectedPart {
    fn from(part: SharedPart) -> Self {
        Self { service: part.service, model: part.model, id: format!("{:x}", part.id) }
    }
}

/// `Ended` is an engine that terminated while it ran a request.
#[derive(Serialize)]
struct Ended {
    /// The hash of the engine's id and start time, as in the event `engine_ended`.
    incarnation: u32,
    age_ms: u64,
}

/// `Refused` is the body of an answer that refuses an operator's request.
#[derive(Serialize)]
struct Refused {
    error: &'static str,
}

impl Ended {
    fn new(end: &EngineEnd, now: Millis) -> Self {
        Self { incarnation: end.engine, age_ms: (now - end.at).0 }
    }
}

/// Answers an operator's request: `GET /quarantine` lists the suspected requests and parts, `DELETE
/// /quarantine/FINGERPRINT` lifts a quarantine at all instances, and any other path returns the
/// metrics.
pub fn answer<W: Wire, C: Clock>(gateway: &Gateway<W, C>, req: &Request) -> Response {
    match req.uri().path().strip_prefix(QUARANTINE_PATH) {
        Some("" | "/") if req.method() == Method::GET => list(gateway),
        Some(path) if req.method() == Method::DELETE => lift(gateway, path),
        Some(_) => refuse(StatusCode::METHOD_NOT_ALLOWED, "method: GET or DELETE expected"),
        None => Response::new(Body::from(gateway.metrics_text())),
    }
}

fn list<W: Wire, C: Clock>(gateway: &Gateway<W, C>) -> Response {
    let now = gateway.now();
    let suspects = gateway.suspects().list(now).into_iter();
    let suspected = suspects.map(|(fingerprint, status, ends)| Suspected {
        fingerprint,
        is_part: fingerprint.is_part(),
        part: gateway.suspects().part(fingerprint).map(SuspectedPart::from),
        is_quarantined: status == SuspectStatus::Quarantined,
        is_on_trial: status == SuspectStatus::OnTrial,
        ends: ends.iter().map(|end| Ended::new(end, now)).collect(),
    });
    json(StatusCode::OK, &suspected.collect::<Vec<_>>())
}

fn lift<W: Wire, C: Clock>(gateway: &Gateway<W, C>, path: &str) -> Response {
    let Ok(fingerprint) = path.trim_start_matches('/').parse::<Fingerprint>() else {
        return refuse(StatusCode::BAD_REQUEST, "fingerprint: 32 hexadecimal digits expected");
    };
    // Peers may have recorded ends that this instance has not received, so they are notified in any case.
    match gateway.lift(fingerprint) {
        true => json(StatusCode::OK, &fingerprint),
        false => {
            refuse(StatusCode::NOT_FOUND, "fingerprint: no engine end is recorded against it here")
        }
    }
}

fn refuse(status: StatusCode, error: &'static str) -> Response {
    json(status, &Refused { error })
}

fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Body::from(text));
    *answer.status_mut() = status;
    answer
}
