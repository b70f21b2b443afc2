//! Checks the heads of requests, the same way for every server.

use std::convert::Infallible;

use http::header::{CONNECTION, HOST, HeaderValue};
use http::{Method, StatusCode, Uri};
use motore::service::Service;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::answers;

/// `HeadChecks` normalizes request heads for the handlers and refuses ambiguous ones.
///
/// A request with two `Host` headers could be routed by one of them and served by the upstream for
/// the other. The library passes such heads on, although HTTP requires a server to refuse them. A
/// target that is an absolute URI, as callers of a proxy send it, contains the host itself, and that
/// host takes precedence over the header.
pub(crate) struct HeadChecks<S> {
    inner: S,
}

impl<S> HeadChecks<S> {
    pub(crate) fn new(inner: S) -> Self {
        Self { inner }
    }
}

impl<S> Service<ServerContext, Request> for HeadChecks<S>
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible> + Send + Sync,
{
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, cx: &mut ServerContext, mut req: Request) -> Result<Response, Infallible> {
        // If this were forwarded, the connection could become a tunnel while the server expects an
        // answer on it.
        if req.method() == Method::CONNECT {
            return Ok(refusal(StatusCode::METHOD_NOT_ALLOWED, "no tunnels"));
        }
        if req.headers().get_all(HOST).iter().nth(1).is_some() {
            return Ok(refusal(StatusCode::BAD_REQUEST, "more than one host"));
        }
        if req.uri().scheme().is_some() && !take_host_from_target(&mut req) {
            return Ok(refusal(StatusCode::BAD_REQUEST, "bad target"));
        }
        self.inner.call(cx, req).await
    }
}

/// Moves the host of an absolute URI to the `Host` header and retains only the path and query as the
/// target. Returns false if the URI has no valid host.
///
/// The query of a URI without a path is not a valid target on its own, and a handler that forwarded it
/// would panic.
fn take_host_from_target(req: &mut Request) -> bool {
    let uri = req.uri();
    let Some(authority) = uri.authority() else { return false };
    let host = match authority.port() {
        Some(port) => format!("{}:{port}", authority.host()),
        None => authority.host().to_owned(),
    };
    let query = uri.query().map_or_else(String::new, |query| format!("?{query}"));
    let target = format!("{}{query}", uri.path());
    let (Ok(host), Ok(target)) = (HeaderValue::try_from(host), Uri::try_from(target)) else {
        return false;
    };
    req.headers_mut().insert(HOST, host);
    *req.uri_mut() = target;
    true
}

/// Returns the answer to an ambiguous request. It closes the connection, because it is uncertain where
/// the next request on it begins.
fn refusal(status: StatusCode, reason: &str) -> Response {
    let mut answer = answers::text(status, reason);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
