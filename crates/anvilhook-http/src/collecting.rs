//! Collects the bodies of answers within bounds of bytes, time and pieces.

use std::fmt;
use std::pin::{Pin, pin};

use anvilhook_core::units::Millis;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;

use crate::errors::{CallError, Stage};

/// The number of pieces that a body may have regardless of their size, and the minimum mean size of more, in bytes.
/// Each piece costs about as much time as a kilobyte.
const MAX_SMALL_PIECES: usize = 16_384;
const MIN_MEAN_PIECE: usize = 64;

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
    /// Whether the rest of a body for which there is no room is received and discarded. A sender that does not read
    /// before it has sent the whole body gets its answer only then.
    pub discards: bool,
}

impl BodyBounds {
    /// Creates bounds for the size, in bytes, and for the time. A body for which there is no room is broken off.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_http::collecting::BodyBounds;
    ///
    /// assert_eq!(BodyBounds::new(1_024, Millis(500)).idle_timeout, Millis(500));
    /// ```
    pub fn new(max_bytes: usize, timeout: Millis) -> Self {
        Self { max_bytes, timeout, idle_timeout: timeout, discards: false }
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
    /// Takes room for `bytes` more bytes of a body. Returns false if there is none.
    fn try_take(&mut self, bytes: usize) -> bool;

    /// Returns all room of a body that is discarded.
    fn release(&mut self);
}

/// `Unlimited` has room for any number of bytes.
#[derive(Clone, Copy, Debug)]
pub struct Unlimited;

impl Room for Unlimited {
    fn try_take(&mut self, _bytes: usize) -> bool {
        true
    }

    fn release(&mut self) {}
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

/// Collects an answer's body within bounds, as long as there is room for it.
///
/// The pieces are copied into one buffer: a piece of one byte could otherwise keep a whole read buffer in memory.
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
    let mut whole = BytesMut::new();
    let (mut pieces, mut length, mut has_room) = (0, 0, true);
    let ends_at = Instant::now() + bounds.timeout.as_duration();
    while let Some(piece) = next_piece(body.as_mut(), bounds, ends_at).await? {
        pieces += 1;
        length += piece.len();
        if length > bounds.max_bytes {
            return Err(CollectError::TooLarge(bounds.max_bytes));
        }
        if is_fragmented(pieces, length) {
            return Err(CollectError::Fragmented);
        }
        if has_room && !room.try_take(piece.len()) {
            if !bounds.discards {
                return Err(CollectError::NoRoom);
            }
            has_room = false;
            whole = BytesMut::new();
            room.release();
        }
        if has_room {
            whole.extend_from_slice(&piece);
        }
    }
    if has_room { Ok(whole.freeze()) } else { Err(CollectError::NoRoom) }
}

/// Returns the next piece of a body, empty if it has no data, or `None` at the end.
async fn next_piece(
    mut body: Pin<&mut Body>,
    bounds: &BodyBounds,
    ends_at: Instant,
) -> Result<Option<Bytes>, CollectError> {
    let until = ends_at.min(Instant::now() + bounds.idle_timeout.as_duration());
    match timeout_at(until, body.frame()).await {
        Ok(None) => Ok(None),
        Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        Ok(Some(Err(err))) => Err(CollectError::Broken(err.to_string())),
        Err(_elapsed) => Err(CollectError::TimedOut),
    }
}
