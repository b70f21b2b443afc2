//! Bytes of answers that count their request in until their connection has written them.

use bytes::Bytes;

/// `Counted` is a part of an answer, with what counts its request in.
struct Counted<F> {
    bytes: Bytes,
    _flight: F,
}

impl<F> AsRef<[u8]> for Counted<F> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that keep `flight` until they are dropped.
///
/// A connection keeps what its caller is slow to read, up to some hundred kilobytes, and drops it once it
/// is written. If the request were over as soon as its last bytes lie there, an instance that stops would
/// find nothing in flight and end, and the caller would get all but the end of the answer.
pub(super) fn counted<F: Send + 'static>(bytes: Bytes, flight: F) -> Bytes {
    Bytes::from_owner(Counted { bytes, _flight: flight })
}
