//! Whole answers that are too large to be handed to the caller's connection at once.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use anvilhook_core::units::Clock;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::Flight;
use crate::wires::Wire;

/// The size above which an answer is handed over in pieces, and the size of a piece, in bytes. What is
/// smaller finds room in the buffers of its connection.
const PIECE_BYTES: usize = 64 << 10;

/// Returns whether an answer is to be handed over in pieces.
pub(super) fn is_large(bytes: &Bytes) -> bool {
    bytes.len() > PIECE_BYTES
}

/// `Pieces` is a whole answer that is handed over as fast as its caller reads.
///
/// Its request counts as in flight until the last piece. If it were over once the answer lies in the
/// buffer of its connection, an instance that stops would find nothing in flight and end, and a caller
/// that reads slowly would get a part.
pub(super) struct Pieces<W: Wire, C: Clock> {
    rest: Bytes,
    _flight: Flight<W, C>,
}

impl<W: Wire, C: Clock> Pieces<W, C> {
    /// Makes the pieces of an answer.
    pub fn new(bytes: Bytes, flight: Flight<W, C>) -> Self {
        Self { rest: bytes, _flight: flight }
    }
}

impl<W: Wire, C: Clock> Body for Pieces<W, C> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let size = PIECE_BYTES.min(self.rest.len());
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(size)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
