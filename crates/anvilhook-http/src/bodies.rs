//! Bodies that record whether the library has begun to send them, or that hold a guard until they are sent or dropped.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use volo_http::body::Body;

/// The states of a request: not passed to a connection yet, passed to one, or withdrawn before.
const UNSENT: u8 = 0;
const BEGUN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// `SendProgress` records whether a request has been passed to a connection. Clones share the state.
///
/// ```
/// use anvilhook_http::SendProgress;
///
/// let progress = SendProgress::default();
/// assert!(!progress.has_begun());
/// assert!(progress.withdraw());
/// ```
#[derive(Clone, Debug, Default)]
pub struct SendProgress(Arc<AtomicU8>);

impl SendProgress {
    /// Returns whether any byte of the request may have been written to a connection.
    pub fn has_begun(&self) -> bool {
        self.0.load(Ordering::Acquire) == BEGUN
    }

    /// Withdraws the request, unless a connection has taken it. Returns whether it is withdrawn: no connection
    /// will send it.
    ///
    /// On a runtime with several threads, a connection could take the request between a question and the end of the
    /// call. Here one of the two comes first.
    pub fn withdraw(&self) -> bool {
        let (order, failed) = (Ordering::AcqRel, Ordering::Acquire);
        match self.0.compare_exchange(UNSENT, WITHDRAWN, order, failed) {
            Ok(_) => true,
            Err(state) => state == WITHDRAWN,
        }
    }

    /// Records that a connection takes the request. Returns false if it is withdrawn.
    fn take(&self) -> bool {
        let (order, failed) = (Ordering::AcqRel, Ordering::Acquire);
        let taken = self.0.compare_exchange(UNSENT, BEGUN, order, failed);
        !matches!(taken, Err(WITHDRAWN))
    }

    fn is_withdrawn(&self) -> bool {
        self.0.load(Ordering::Acquire) == WITHDRAWN
    }

    /// Wraps a request's body so that its use by a connection is recorded here.
    pub(crate) fn track(&self, body: Body) -> Body {
        Body::from_body(TrackedBody { body, progress: self.clone() })
    }
}

/// `TrackedBody` records the first use of a body.
///
/// A connection looks at the body of a request when it takes the request, before it writes the
/// head: it asks whether the body is empty, and else for its first frame. Nothing asks earlier. The body of a
/// withdrawn request has an unknown length and fails, so that the connection closes before it sends the head.
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
        if !self.progress.take() {
            return Poll::Ready(Some(Err(io::Error::other("the request is withdrawn").into())));
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.progress.take() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.progress.is_withdrawn() { SizeHint::default() } else { self.body.size_hint() }
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

/// `Counted` is a body or a part of one, together with a guard that counts it.
struct Counted<G> {
    bytes: Bytes,
    _guard: G,
}

impl<G> AsRef<[u8]> for Counted<G> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that retain `guard` until they are dropped: a request's place among those in flight, or a body's part of
/// the memory.
///
/// A connection buffers up to a few hundred kilobytes for a caller that reads slowly, and drops them once
/// they are written. If the request ended as soon as its last bytes are buffered, an instance that stops
/// would find nothing in flight and exit, and the caller would miss the end of the answer.
pub fn counted<G: Send + 'static>(bytes: Bytes, guard: G) -> Bytes {
    Bytes::from_owner(Counted { bytes, _guard: guard })
}
