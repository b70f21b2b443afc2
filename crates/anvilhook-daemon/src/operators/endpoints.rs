//! The frame that all handlers of the API share: it authenticates the caller, reads the request,
//! runs the handler, and converts a refusal into an answer.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use anvilhook_api::{Code, Refusal, RefusalBody};
use anvilhook_core::units::Millis;
use anvilhook_http::collecting::{BodyBounds, CollectError};
use anvilhook_http::{answers, collect_request};
use bytes::Bytes;
use http::header::{HeaderValue, WWW_AUTHENTICATE};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use motore::service::Service;
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::extract::{FromContext, Query};
use volo_http::server::param::PathParamsVec;

use super::credentials::{Credentials, Operator};
use crate::settings::OperatorRights;

/// The maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The longest wait for a request's body.
const BODY_TIMEOUT: Millis = Millis::from_secs(10);

/// The maximum length of a refusal's message, in characters.
const MAX_MESSAGE_CHARS: usize = 1_000;

/// The result of a handler. The refusal is boxed because it is large and rare.
pub(super) type Answer<T = Response> = Result<T, Box<Refusal>>;

/// `Parameters` are the query parameters of all calls.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Parameters {
    /// The first revision to return, or, for a watch, the revision after which changes are sent.
    pub from: Option<u64>,
    /// The maximum number of entries to return.
    pub limit: Option<usize>,
    /// The revision that a change was based on.
    pub base: Option<u64>,
}

/// `Call` is a request whose caller is authenticated.
pub(super) struct Call {
    pub operator: Operator,
    pub params: PathParamsVec,
    pub parameters: Parameters,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Call {
    /// Returns a path parameter by its name in the route.
    pub(super) fn param(&self, name: &str) -> &str {
        let found = self.params.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the text of a header.
    pub(super) fn header(&self, name: &str) -> Answer<Option<&str>> {
        let Some(value) = self.headers.get(name) else { return Ok(None) };
        let text = value.to_str().map_err(|_| bad_request(format!("{name}: expected plain text")));
        text.map(Some)
    }
}

/// `Endpoint` runs a handler with shared state for callers that have the given rights.
pub(super) struct Endpoint<A, F> {
    pub api: Arc<A>,
    pub rights: OperatorRights,
    pub run: F,
}

/// `Authoriser` is shared state that has the callers' credentials.
pub(super) trait Authoriser {
    /// Returns the callers' credentials.
    fn credentials(&self) -> &Credentials;
}

impl<A, F, Fut> Service<ServerContext, Request> for Endpoint<A, F>
where
    A: Authoriser + Send + Sync + 'static,
    F: Fn(Arc<A>, Call) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Answer> + Send,
{
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let answered = async {
            let call = self.receive(cx, req).await?;
            (self.run)(Arc::clone(&self.api), call).await
        };
        Ok(answered.await.unwrap_or_else(|refusal| refuse(*refusal)))
    }
}

impl<A: Authoriser, F> Endpoint<A, F> {
    async fn receive(&self, cx: &mut ServerContext, req: Request) -> Answer<Call> {
        let (mut parts, body) = req.into_parts();
        // The caller is authenticated before any other part of the request is read.
        let operator = self.api.credentials().authorise(&parts.headers, self.rights)?.clone();
        let parameters = read_parameters(cx, &mut parts).await?;
        let body = read_body(&parts, body).await?;
        let params = cx.params().clone();
        Ok(Call { operator, params, parameters, headers: parts.headers, body })
    }
}

async fn read_parameters(cx: &mut ServerContext, parts: &mut Parts) -> Answer<Parameters> {
    if parts.uri.query().is_none() {
        return Ok(Parameters::default());
    }
    match Query::<Parameters>::from_context(cx, parts).await {
        Ok(Query(parameters)) => Ok(parameters),
        Err(err) => Err(bad_request(format!("query: expected from, limit or base: {err}"))),
    }
}

async fn read_body(parts: &Parts, body: Body) -> Answer<Bytes> {
    let bounds = BodyBounds::new(MAX_BODY_BYTES, BODY_TIMEOUT);
    let collected = collect_request(&parts.extensions, body, &bounds).await;
    collected.map_err(|err| match err {
        CollectError::TooLarge(_) => {
            let message = format!("body: expected at most {MAX_BODY_BYTES} bytes");
            Box::new(Refusal::new(Code::TooLarge, message))
        }
        CollectError::TimedOut => bad_request(format!("body: expected it within {BODY_TIMEOUT}")),
        CollectError::NoRoom => {
            Box::new(Refusal::new(Code::Unavailable, "body: there is no memory for it"))
        }
        CollectError::Fragmented | CollectError::Broken(_) => {
            bad_request(format!("body: expected a complete body: {err}"))
        }
    })
}

/// Creates the refusal of a malformed request.
pub(super) fn bad_request(message: impl Into<String>) -> Box<Refusal> {
    Box::new(Refusal::new(Code::BadRequest, message))
}

/// Creates the refusal of a request for something that does not exist.
pub(super) fn not_found(message: impl Into<String>) -> Box<Refusal> {
    Box::new(Refusal::new(Code::NotFound, message))
}

/// Answers with a JSON document.
pub(super) fn ok<T: Serialize>(value: &T) -> Response {
    answers::json(StatusCode::OK, value)
}

/// Answers with a refusal.
pub(super) fn refuse(mut refusal: Refusal) -> Response {
    let code = refusal.code;
    // A message about an invalid value repeats the value, which can be as large as the body.
    if let Some((end, _)) = refusal.message.char_indices().nth(MAX_MESSAGE_CHARS) {
        refusal.message.truncate(end);
    }
    let mut answer = answers::json(code.status(), &RefusalBody { error: refusal });
    if code == Code::Unauthenticated {
        answer.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    answer
}
