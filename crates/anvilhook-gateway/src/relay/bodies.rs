//! Response bytes that count their request as in flight until the connection has written them.

use bytes::Bytes;

/// `Counted` is a part of a response, together with the guard that counts its request as in flight.
struct Counted<F> {
    bytes: Bytes,
    _flight: F,
}

impl<F> AsRef<[u8]> for Counted<F> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that retain `flight` until they are dropped.
///
/// A connection buffers up to a few hundred kilobytes for a caller that reads slowly, and drops them once
/// they are written. If the request ended as soon as its last bytes are buffered, an instance that stops
/// would find nothing in flight and exit, and the caller would miss the end of the answer.
pub(super) fn counted<F: Send + 'static>(bytes: Bytes, flight: F) -> Bytes {
    Bytes::from_owner(Counted { bytes, _flight: flight })
}
