//! Serves the calls that other instances can't send to upstreams themselves.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use anvilhook_core::units::Clock;
use http::{Response as HttpResponse, StatusCode};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use super::messages::ForwardOutcome;
use crate::relay::Gateway;
use crate::wires::Wire;

/// The maximum number of calls that are forwarded for other instances at the same time. More would delay this
/// instance's own callers.
const MAX_SERVED: usize = 256;

/// `ServedCalls` counts the calls that are being forwarded for other instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServedCalls(Arc<AtomicUsize>);

/// `ServedCall` counts one call until it is dropped.
#[derive(Debug)]
pub(crate) struct ServedCall(ServedCalls);

impl ServedCalls {
    /// Counts one more call. Returns `None` if there are too many.
    pub fn begin(&self) -> Option<ServedCall> {
        let call = ServedCall(self.clone());
        let before = self.0.fetch_add(1, Ordering::AcqRel);
        (before < MAX_SERVED).then_some(call)
    }

    /// Returns the number of calls.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for ServedCall {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the router that forwards the calls of other instances.
pub fn forwarding_router<W: Wire, C: Clock>(gateway: Gateway<W, C>) -> Router {
    Router::new().fallback(move |req: Request| {
        let gateway = gateway.clone();
        async move { gateway.serve_forwarded(req).await }
    })
}

/// Returns the answer to a call that no upstream has answered.
pub(crate) fn unanswered(outcome: ForwardOutcome) -> Response {
    let mut answer = HttpResponse::new(Body::empty());
    *answer.status_mut() = match outcome {
        ForwardOutcome::Reached => StatusCode::OK,
        _ => StatusCode::BAD_GATEWAY,
    };
    outcome.write(answer.headers_mut());
    answer
}
