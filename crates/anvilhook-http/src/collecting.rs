//! Collects bodies within bounds of bytes, time and pieces.

use std::fmt;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::Poll;

use anvilhook_core::units::Millis;
use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;

use crate::errors::{CallError, Stage};

/// The number of pieces that a body may have regardless of their size, and the minimum mean size of more, in bytes.
/// Each piece costs about as much time as a kilobyte.
const MAX_SMALL_PIECES: usize = 16_384;
const MIN_MEAN_PIECE: usize = 64;

/// The sizes of the first and the other segments of a body whose length is not known, in bytes.
const FIRST_SEGMENT: usize = 4 << 10;
const SEGMENT: usize = 16 << 10;

/// The maximum time of a body that is only bounded by its pauses.
pub const MAX_TRANSFER_TIME: Millis = Millis::from_secs(60);

/// `BodyBounds` bounds the collection of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// The maximum size, in bytes.
    pub max_bytes: usize,
    /// The maximum time until the body is complete.
    pub timeout: Millis,
    /// The maximum pause between two pieces.
    pub idle_timeout: Millis,
}

impl BodyBounds {
    /// Creates bounds for the size, in bytes, and for the time.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_http::collecting::BodyBounds;
    ///
    /// assert_eq!(BodyBounds::new(1_024, Millis(500)).idle_timeout, Millis(500));
    /// ```
    pub fn new(max_bytes: usize, timeout: Millis) -> Self {
        Self { max_bytes, timeout, idle_timeout: timeout }
    }
}

/// `CollectError` is why a body was not collected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CollectError {
    /// It is larger than the bound.
    TooLarge(usize),
    /// It is in too many small pieces.
    Fragmented,
    /// There is no room for more of it.
    NoRoom,
    /// Its sender broke it off, or it is malformed.
    Broken(String),
    /// It paused for too long, or was not complete in time.
    TimedOut,
}

impl fmt::Display for CollectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CollectError::TooLarge(max_bytes) => write!(f, "larger than {max_bytes} bytes"),
            CollectError::Fragmented => f.write_str("too many small pieces"),
            CollectError::NoRoom => f.write_str("no room for more"),
            CollectError::Broken(cause) => f.write_str(cause),
            CollectError::TimedOut => f.write_str("timeout"),
        }
    }
}

impl std::error::Error for CollectError {}

impl From<CollectError> for CallError {
    fn from(err: CollectError) -> Self {
        match err {
            CollectError::TimedOut => CallError::timed_out(Stage::Body),
            err => CallError::broken(Stage::Body, err),
        }
    }
}

/// `Room` limits the bytes that are held by several bodies together.
pub trait Room {
    /// Takes room for `bytes` more bytes of buffers, before they are allocated. Returns false if there is none.
    fn try_take(&mut self, bytes: usize) -> bool;

    /// Returns the room of a buffer of `bytes` bytes, which has been freed.
    fn give_back(&mut self, _bytes: usize) {}

    /// Returns whether the body must give up its room. Its task is woken when that happens.
    fn is_revoked(&self) -> bool {
        false
    }

    /// Records that the body is complete, so that its room is not revoked any more.
    fn complete(&mut self) {}
}

/// `Unlimited` has room for any number of bytes.
#[derive(Clone, Copy, Debug)]
pub struct Unlimited;

impl Room for Unlimited {
    fn try_take(&mut self, _bytes: usize) -> bool {
        true
    }
}

/// Returns whether bytes arrive in so many small pieces that their size does not bound the work.
///
/// ```
/// use anvilhook_http::collecting::is_fragmented;
///
/// assert!(!is_fragmented(100, 100));
/// assert!(is_fragmented(20_000, 20_000));
/// assert!(!is_fragmented(20_000, 20_000 * 64));
/// ```
pub fn is_fragmented(pieces: usize, bytes: usize) -> bool {
    pieces > MAX_SMALL_PIECES && bytes < pieces * MIN_MEAN_PIECE
}

/// Collects an answer's body of at most `max_bytes`, waiting at most `timeout`.
///
/// # Errors
///
/// A `CallError` of stage `Body` if the body is truncated, larger than `max_bytes`, in too many small pieces, or not
/// complete within `timeout`.
pub async fn collect_body(
    body: Body,
    max_bytes: usize,
    timeout: Millis,
) -> Result<Bytes, CallError> {
    let bounds = BodyBounds::new(max_bytes, timeout);
    Ok(collect_body_within(body, &bounds, &mut Unlimited).await?)
}

/// Collects an answer's body of at most `max_bytes`, which a slow link may transfer for a long time.
///
/// # Errors
///
/// A `CallError` of stage `Body` if the body is truncated, larger than `max_bytes`, in too many small pieces, pauses for
/// longer than `idle_timeout`, or is not complete within [`MAX_TRANSFER_TIME`].
pub async fn collect_body_with_idle_timeout(
    body: Body,
    max_bytes: usize,
    idle_timeout: Millis,
) -> Result<Bytes, CallError> {
    let bounds = BodyBounds { idle_timeout, ..BodyBounds::new(max_bytes, MAX_TRANSFER_TIME) };
    Ok(collect_body_within(body, &bounds, &mut Unlimited).await?)
}

/// Collects a body within bounds, as long as there is room for it.
///
/// The pieces are copied into one buffer: a piece of one byte could otherwise keep a whole read buffer in memory. The room
/// for a body of known length is taken before its first byte is awaited, so that what can't be collected is refused at
/// once and no buffer has to grow.
///
/// # Errors
///
/// Any [`CollectError`].
pub async fn collect_body_within(
    body: Body,
    bounds: &BodyBounds,
    room: &mut impl Room,
) -> Result<Bytes, CollectError> {
    let mut body = pin!(body);
    let mut whole = Buffer::try_new(body.size_hint().exact(), bounds, room)?;
    let (mut pieces, mut length) = (0, 0);
    let ends_at = Instant::now() + bounds.timeout.as_duration();
    while let Some(piece) = next_piece(body.as_mut(), bounds, ends_at, room).await? {
        pieces += 1;
        length += piece.len();
        if length > bounds.max_bytes {
            return Err(CollectError::TooLarge(bounds.max_bytes));
        }
        if is_fragmented(pieces, length) {
            return Err(CollectError::Fragmented);
        }
        whole.try_append(&piece, room)?;
    }
    room.complete();
    Ok(whole.join(room))
}

/// `Buffer` is the buffer of a body, whose room is taken before it is allocated.
///
/// A body of known length has one segment. Others have many of the same size: a buffer that grows by being replaced leaves
/// gaps in the heap, which took as much memory again.
struct Buffer {
    segments: Vec<BytesMut>,
    taken: usize,
}

impl Buffer {
    /// Creates the buffer of a body whose length may be known.
    fn try_new(
        length: Option<u64>,
        bounds: &BodyBounds,
        room: &mut impl Room,
    ) -> Result<Self, CollectError> {
        let length = usize::try_from(length.unwrap_or(0)).unwrap_or(usize::MAX);
        if length > bounds.max_bytes {
            return Err(CollectError::TooLarge(bounds.max_bytes));
        }
        let mut buffer = Self { segments: Vec::new(), taken: 0 };
        if length > 0 {
            buffer.try_grow(length, room)?;
        }
        Ok(buffer)
    }

    fn try_append(&mut self, mut piece: &[u8], room: &mut impl Room) -> Result<(), CollectError> {
        while !piece.is_empty() {
            if self.space() == 0 {
                let is_first = self.segments.is_empty();
                self.try_grow(if is_first { FIRST_SEGMENT } else { SEGMENT }, room)?;
            }
            let (now, later) = piece.split_at(piece.len().min(self.space()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            piece = later;
        }
        Ok(())
    }

    /// Returns how many bytes the last segment still takes.
    fn space(&self) -> usize {
        self.segments.last().map_or(0, |last| last.capacity() - last.len())
    }

    fn try_grow(&mut self, bytes: usize, room: &mut impl Room) -> Result<(), CollectError> {
        if !room.try_take(bytes) {
            return Err(CollectError::NoRoom);
        }
        self.taken += bytes;
        self.segments.push(BytesMut::with_capacity(bytes));
        Ok(())
    }

    /// Returns the whole body. Each segment is freed once it has been copied, so that this takes no more room.
    fn join(mut self, room: &mut impl Room) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let length = self.segments.iter().map(BytesMut::len).sum();
        let mut whole = BytesMut::with_capacity(length);
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        room.give_back(self.taken - length);
        whole.freeze()
    }
}

/// Returns the next piece of a body, empty if it has no data, or `None` at the end.
async fn next_piece(
    mut body: Pin<&mut Body>,
    bounds: &BodyBounds,
    ends_at: Instant,
    room: &impl Room,
) -> Result<Option<Bytes>, CollectError> {
    let until = ends_at.min(Instant::now() + bounds.idle_timeout.as_duration());
    let mut frame = body.frame();
    let frame = poll_fn(|cx| {
        if room.is_revoked() {
            return Poll::Ready(Err(CollectError::NoRoom));
        }
        Pin::new(&mut frame).poll(cx).map(Ok)
    });
    match timeout_at(until, frame).await {
        Ok(Err(err)) => Err(err),
        Ok(Ok(None)) => Ok(None),
        Ok(Ok(Some(Ok(frame)))) => Ok(Some(frame.into_data().unwrap_or_default())),
        Ok(Ok(Some(Err(err)))) => Err(CollectError::Broken(err.to_string())),
        Err(_elapsed) => Err(CollectError::TimedOut),
    }
}
