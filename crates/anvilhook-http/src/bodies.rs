//! Bodies that record whether the library has begun to send them, or that hold a guard until they are sent.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use volo_http::body::Body;

/// `SendProgress` records whether a request has been passed to a connection. Clones share the state.
///
/// ```
/// use anvilhook_http::SendProgress;
///
/// assert!(!SendProgress::default().has_begun());
/// ```
#[derive(Clone, Debug, Default)]
pub struct SendProgress(Arc<AtomicBool>);

impl SendProgress {
    /// Returns whether any byte of the request may have been written to a connection.
    pub fn has_begun(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Wraps a request's body so that its use by a connection is recorded here.
    pub(crate) fn track(&self, body: Body) -> Body {
        Body::from_body(TrackedBody { body, progress: self.clone() })
    }
}

/// `TrackedBody` records the first use of a body.
///
/// A connection looks at the body of a request when it takes the request, before it writes the
/// head: it asks whether the body is empty, and else for its first frame. Nothing asks earlier.
struct TrackedBody {
    body: Body,
    progress: SendProgress,
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.progress.0.store(true, Ordering::Release);
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.progress.0.store(true, Ordering::Release);
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// `GuardedBody` is a body that holds a guard until it has been sent or dropped.
#[derive(Debug)]
pub struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin + Send + Sync + 'static> GuardedBody<G> {
    /// Returns a body that holds `guard` until it has been sent or dropped.
    pub fn wrap(body: Body, guard: G) -> Body {
        Body::from_body(Self { body, _guard: guard })
    }
}

impl<G: Unpin> http_body::Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
