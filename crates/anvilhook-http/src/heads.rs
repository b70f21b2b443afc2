//! Checks of a request's head that hold for all servers, whatever they serve.

use std::convert::Infallible;

use http::header::{CONNECTION, HOST, HeaderValue};
use http::{Method, StatusCode, Uri};
use motore::service::Service;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::answers;

/// `HeadChecks` has handlers see one form of head, and refuses what different readers read differently.
///
/// A request that names two hosts would be routed by the one and served upstream for the other. The
/// library passes such heads on, and HTTP has a server refuse them. A target that is a whole URI, as
/// callers of a proxy send it, names the host by itself, which goes before the header.
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
        // A server that passed this on would have a tunnel where it expects answers.
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

/// Puts the host of a target that is a whole URI into the header, and leaves the path and query as the
/// target. Returns false if there is no such host.
///
/// The query of a URI without a path is by itself no target, and a handler that sends it on would end
/// with a panic.
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

/// Returns the answer to a request that can't be read for certain. Where the next one begins on its
/// connection is as doubtful.
fn refusal(status: StatusCode, reason: &str) -> Response {
    let mut answer = answers::text(status, reason);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
