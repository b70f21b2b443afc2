//! Splits the bytes of an answer into numbered events.

use anvilhook_http::collecting::is_fragmented;
use bytes::{Bytes, BytesMut};

/// The maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// `StreamEvent` is one whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The event's number, if it has one.
    pub id: Option<u64>,
    /// The event as received, including the empty line that ends it.
    pub bytes: Bytes,
}

/// `EventSplitter` splits bytes that arrive in pieces of any size into events.
///
/// An engine that crashes may stop in the middle of an event. A truncated event is never forwarded, because
/// the caller could not distinguish it from a whole one.
///
/// ```
/// use anvilhook_gateway::streams::EventSplitter;
///
/// let mut splitter = EventSplitter::new();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next_event().unwrap().id, Some(1));
/// assert!(splitter.next_event().is_none());
/// assert!(!splitter.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    searched: usize,
    /// The number of pieces since the last event.
    pieces: usize,
}

impl EventSplitter {
    /// Creates an empty splitter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pieces += 1;
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.event_end()?;
        self.searched = 0;
        self.pieces = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(StreamEvent { id: event_id(&bytes), bytes })
    }

    /// Returns whether no bytes remain.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns whether the remaining bytes exceed the maximum size of an event, or arrive in too many small pieces.
    pub fn is_too_large(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES || is_fragmented(self.pieces, self.buf.len())
    }

    fn event_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let tail = &self.buf[from..];
        for (at, byte) in tail.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let rest = &tail[at + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(from + at + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(from + at + 3);
            }
        }
        self.searched = self.buf.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
