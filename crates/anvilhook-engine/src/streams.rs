//! The events of a streamed answer: each once, in order, to the closing event.

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

/// How long the end of a connection's use is waited for after the closing event.
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
    /// The closing event: the answer is whole.
    Done,
}

/// `EventSource` yields the events of one attempt.
pub trait EventSource: Send + 'static {
    /// Waits for the next event, at most `timeout` long.
    ///
    /// # Errors
    ///
    /// An error means that this source yields nothing more. What it yielded before is good, and the
    /// stream may be resumed after it.
    fn next(&mut self, timeout: Millis) -> impl Future<Output = Result<StreamItem>> + Send;

    /// Reads on after the closing event, so that the connection can be used again.
    fn finish(self) -> impl Future<Output = ()> + Send;
}

/// `EventStream` is the HTTP binding's source of events.
pub struct EventStream {
    reader: SseReader<Limited<Body>>,
    attempt: String,
    last: u64,
    max_bytes: usize,
}

impl EventStream {
    /// Reads the events that come after number `after` from an answer's body.
    ///
    /// # Errors
    ///
    /// `Error::NotAnAnswer` if the answer is no stream of events, or one whose end can't be told
    /// from a cut.
    pub fn try_new(
        answer: Response,
        attempt: AttemptId,
        after: u64,
        max_bytes: usize,
    ) -> Result<Self> {
        // The reader takes a half event before the end of the body for a whole one. In a body that
        // ends with its connection, a cut would then hand on half an event.
        let headers = answer.headers();
        if !headers.contains_key(TRANSFER_ENCODING) && !headers.contains_key(CONTENT_LENGTH) {
            return Err(Error::not_an_answer("the end of its stream is not marked"));
        }
        let limited = answer.map(|body| Limited::new(body, max_bytes));
        let reader = SseReader::into_sse(limited).map_err(Error::not_an_answer)?;
        Ok(Self { reader, attempt: attempt.to_string(), last: after, max_bytes })
    }

    async fn read(&mut self, timeout: Millis) -> Result<SseEvent> {
        match tokio::time::timeout(timeout.as_duration(), self.reader.read()).await {
            Ok(Ok(Some(event))) => Ok(event),
            Ok(Ok(None)) => Err(Error::not_an_answer("its stream ends without a closing event")),
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
                return Err(Error::not_an_answer("an event has no number"));
            };

            // An event that was read before is a repetition and is left out.
            if number <= self.last {
                continue;
            }
            // A jump means that an event was lost; the stream must be read again from there.
            if number != self.last + 1 {
                return Err(Error::not_an_answer("an event is missing"));
            }
            // Every chunk names its attempt, so that crossed streams are noticed.
            if !data.contains(&self.attempt) {
                return Err(Error::not_an_answer("an event belongs to another attempt"));
            }
            self.last = number;
            return Ok(StreamItem::Event { number, data });
        }
    }

    async fn finish(mut self) {
        // Whatever comes now changes nothing: the answer is whole, and a connection whose body has
        // not ended is closed.
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
