//! Checks of a request's head that hold for all servers, whatever they serve.

use std::convert::Infallible;

use http::StatusCode;
use http::header::{CONNECTION, HOST, HeaderValue};
use motore::service::Service;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::answers;

/// `HeadChecks` refuses requests whose heads are read differently by different readers.
///
/// A request that names two hosts would be routed by the one and served upstream for the other. The
/// library passes such heads on, and HTTP has a server refuse them.
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

    async fn call(&self, cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        if req.headers().get_all(HOST).iter().nth(1).is_some() {
            return Ok(refusal("more than one host"));
        }
        self.inner.call(cx, req).await
    }
}

/// Returns the answer to a request that can't be read for certain. Where the next one begins on its
/// connection is as doubtful.
fn refusal(reason: &str) -> Response {
    let mut answer = answers::text(StatusCode::BAD_REQUEST, reason);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
