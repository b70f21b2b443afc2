//! Bytes of bodies that hold a guard until they are dropped.

use bytes::Bytes;

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
pub(super) fn counted<G: Send + 'static>(bytes: Bytes, guard: G) -> Bytes {
    Bytes::from_owner(Counted { bytes, _guard: guard })
}
