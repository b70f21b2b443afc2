//! What an operator asks an instance for: its metrics, and the requests under which engines have ended.

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::quarantine::{EngineEnd, SuspectStatus};
use anvilhook_core::units::{Clock, Millis};
use http::{Method, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::relay::Gateway;
use crate::wires::Wire;

/// The path of the suspected requests; one of them follows it to be lifted.
const QUARANTINE_PATH: &str = "/quarantine";

/// `Suspected` is a request under which engines have ended, as an operator sees it.
#[derive(Serialize)]
struct Suspected {
    fingerprint: Fingerprint,
    /// Whether it is sent to no engine any more.
    is_quarantined: bool,
    ends: Vec<Ended>,
}

/// `Ended` is an engine that ended under a request.
#[derive(Serialize)]
struct Ended {
    /// The short form of its id and start, as in the line `engine_ended`.
    incarnation: u32,
    age_ms: u64,
}

/// `Refused` is why an operator's request is not carried out.
#[derive(Serialize)]
struct Refused {
    error: &'static str,
}

impl Ended {
    fn new(end: &EngineEnd, now: Millis) -> Self {
        Self { incarnation: end.engine, age_ms: (now - end.at).0 }
    }
}

/// Answers an operator: `GET /quarantine` lists the suspected requests, `DELETE /quarantine/FINGERPRINT`
/// lifts one here and at all instances, and all else is answered with the metrics.
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
    let suspected = suspects.map(|(fingerprint, standing, ends)| Suspected {
        fingerprint,
        is_quarantined: standing == SuspectStatus::Quarantined,
        ends: ends.iter().map(|end| Ended::new(end, now)).collect(),
    });
    json(StatusCode::OK, &suspected.collect::<Vec<_>>())
}

fn lift<W: Wire, C: Clock>(gateway: &Gateway<W, C>, path: &str) -> Response {
    let Ok(fingerprint) = path.trim_start_matches('/').parse::<Fingerprint>() else {
        return refuse(StatusCode::BAD_REQUEST, "fingerprint: 32 hexadecimal digits expected");
    };
    // The others may hold what this instance has not heard of, and are told in any case.
    match gateway.lift(fingerprint) {
        true => json(StatusCode::OK, &fingerprint),
        false => refuse(StatusCode::NOT_FOUND, "fingerprint: nothing speaks against it here"),
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
