//! Builds the answers to callers.

use anvilhook_core::Verdict;
use anvilhook_core::attempts::RequestId;
use anvilhook_core::units::Millis;
use anvilhook_engine::WholeAnswer;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use volo_http::body::Body;

use super::headers::{REQUEST_HEADER, VERDICT_HEADER, end_to_end};
use crate::proxy::{Code, Failure};

/// `FailureBody` is the JSON document that a caller receives when its request failed.
#[derive(Clone, Debug, Serialize)]
struct FailureBody<'a> {
    error: FailureDetails<'a>,
}

/// `FailureDetails` describes the failure.
#[derive(Clone, Debug, Serialize)]
struct FailureDetails<'a> {
    code: &'static str,
    message: &'a str,
    verdict: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<Millis>,
    request: RequestId,
}

/// Returns the JSON document that reports a failure to the caller.
pub fn failure_body(failure: &Failure, request: RequestId) -> String {
    let error = FailureDetails {
        code: failure.code.as_str(),
        message: &failure.message,
        verdict: failure.verdict,
        retry_after_ms: failure.retry_after,
        request,
    };
    serde_json::to_string(&FailureBody { error }).unwrap_or_default()
}

/// Returns the answer to a request that failed.
pub fn failed(failure: &Failure, request: RequestId) -> Response<Body> {
    let mut answer = Response::new(Body::from(failure_body(failure, request)));
    *answer.status_mut() = failure.code.status();
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(VERDICT_HEADER, HeaderValue::from_static(failure.verdict.as_str()));
    if let Some(after) = failure.retry_after {
        // The header is in whole seconds; rounded down, it could make the caller retry too early.
        headers.insert(RETRY_AFTER, HeaderValue::from(after.0.div_ceil(1_000)));
    }
    set_request_id(headers, request);
    answer
}

/// Returns the answer to a request for which there is no memory, before anything of it is known.
pub fn refused_for_memory() -> Response<Body> {
    const RETRY_AFTER_TIME: Millis = Millis(1_000);
    let failure = Failure::not_run(Code::TooManyOpen, "there is no memory for the request");
    let mut rng: ChaCha8Rng = rand::make_rng();
    failed(&failure.retry_after(RETRY_AFTER_TIME), RequestId::random(&mut rng))
}

/// Returns an upstream's answer as the answer to the caller.
pub fn answered(answer: WholeAnswer, request: RequestId) -> Response<Body> {
    let mut headers = end_to_end(&answer.headers);
    // An error status of an upstream does not show whether the request ran.
    if is_error(answer.status) {
        let verdict = Verdict::MayHaveRun.as_str();
        headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict));
    }
    set_request_id(&mut headers, request);
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers;
    response
}

/// Sets the header with the request's id.
pub fn set_request_id(headers: &mut HeaderMap, request: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        headers.insert(REQUEST_HEADER, value);
    }
}

fn is_error(status: StatusCode) -> bool {
    status.is_client_error() || status.is_server_error()
}
