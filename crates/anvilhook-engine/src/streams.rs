//! Reads the events of a streamed answer: each event once and in order, up to the closing event.

use std::future::Future;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::Millis;
use anvilhook_http::{CallError, Stage};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body_util::{LengthLimitError, Limited};
use volo_http::body::Body;
use volo_http::client::sse::{SseEvent, SseReader};
use volo_http::response::Response;

use crate::errors::{Error, Result};
use crate::wire::DONE;

/// The maximum time to wait for the end of the body after the closing event.
const FINISH_TIMEOUT: Millis = Millis(200);

/// `StreamItem` is one step of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem {
    /// The next event.
    Event {
        /// Its number, from 1 without gaps.
        number: u64,
        /// Its data.
        data: String,
    },
    /// The closing event: the answer is complete.
    Done,
}

/// `EventSource` yields the events of one attempt.
pub trait EventSource: Send + 'static {
    /// Waits at most `timeout` for the next event.
    ///
    /// # Errors
    ///
    /// After an error this source yields no more events. The events that it yielded before are
    /// valid, and the stream may be resumed after them.
    fn next(&mut self, timeout: Millis) -> impl Future<Output = Result<StreamItem>> + Send;

    /// Reads the rest of the body after the closing event, so that the connection can be reused.
    fn finish(self) -> impl Future<Output = ()> + Send;
}

/// `EventStream` is the HTTP binding's `EventSource`.
pub struct EventStream {
    reader: SseReader<Limited<Body>>,
    attempt: String,
    last: u64,
    max_bytes: usize,
}

impl EventStream {
    /// Creates a source of the events in an answer's body. Events up to number `after` are skipped.
    ///
    /// # Errors
    ///
    /// `Error::InvalidAnswer` if the answer is not an event stream, or is one whose regular end can't
    /// be distinguished from truncation.
    pub fn try_new(
        answer: Response,
        attempt: AttemptId,
        after: u64,
        max_bytes: usize,
    ) -> Result<Self> {
        // At the end of the body, the reader returns a partial event as if it were complete. In a
        // body that is ended by closing the connection, truncation would then forward half an event.
        let headers = answer.headers();
        if !headers.contains_key(TRANSFER_ENCODING) && !headers.contains_key(CONTENT_LENGTH) {
            return Err(Error::invalid_answer("the end of its stream is not marked"));
        }
        let limited = answer.map(|body| Limited::new(body, max_bytes));
        let reader = SseReader::into_sse(limited).map_err(Error::invalid_answer)?;
        Ok(Self { reader, attempt: attempt.to_string(), last: after, max_bytes })
    }

    async fn read(&mut self, timeout: Millis) -> Result<SseEvent> {
        match tokio::time::timeout(timeout.as_duration(), self.reader.read()).await {
            Ok(Ok(Some(event))) => Ok(event),
            Ok(Ok(None)) => Err(Error::invalid_answer("its stream ends without a closing event")),
            Ok(Err(err)) if err.is::<LengthLimitError>() => {
                Err(Error::TooLarge { max_bytes: self.max_bytes })
            }
            Ok(Err(err)) => Err(CallError::broken(Stage::Body, err).into()),
            Err(_elapsed) => Err(CallError::timed_out(Stage::Body).into()),
        }
    }
}

impl EventSource for EventStream {
    async fn next(&mut self, timeout: Millis) -> Result<StreamItem> {
        loop {
            let event = self.read(timeout).await?;
            let Some(data) = event.data else { continue };
            if data == DONE {
                return Ok(StreamItem::Done);
            }
            let number = event.id.and_then(|id| id.parse::<u64>().ok());
            let Some(number) = number else {
                return Err(Error::invalid_answer("an event has no number"));
            };

            // Skips an event that was already read.
            if number <= self.last {
                continue;
            }
            // A gap in the numbers means that an event was lost. The caller must resume the stream
            // after the last event that it received.
            if number != self.last + 1 {
                return Err(Error::invalid_answer("an event is missing"));
            }
            // Every chunk contains its attempt's id, which detects a stream of another attempt.
            if !data.contains(&self.attempt) {
                return Err(Error::invalid_answer("an event belongs to another attempt"));
            }
            self.last = number;
            return Ok(StreamItem::Event { number, data });
        }
    }

    async fn finish(mut self) {
        // The outcome is ignored: the answer is complete, and a connection whose body has not ended
        // is closed.
        let _ = self.read(FINISH_TIMEOUT).await;
    }
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EventStream")
            .field("attempt", &self.attempt)
            .field("last", &self.last)
            .finish_non_exhaustive()
    }
}
