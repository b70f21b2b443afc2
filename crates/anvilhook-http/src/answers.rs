//! Helpers for handlers that build answers.

use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use serde::Serialize;
use volo_http::body::Body;

/// Returns an answer with a JSON document.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(buf) => with_type(status, "application/json", buf),
        Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("cannot encode answer: {err}")),
    }
}

/// Returns an answer with plain text.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    with_type(status, "text/plain; charset=utf-8", text.into().into_bytes())
}

fn with_type(status: StatusCode, content_type: &'static str, buf: Vec<u8>) -> Response<Body> {
    let mut answer = Response::new(Body::from(buf));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}
