//! The events of a streamed answer, with the planned fault applied.

use std::sync::Arc;

use anvilhook_engine::wire::{ChatChunk, ChatDelta, ChatText, DONE};
use futures_util::{Stream, stream};
use volo_http::error::BoxError;
use volo_http::server::response::sse::Event;

use super::hubs::{Progress, Reader};
use super::ledgers::AttemptEnd;
use super::texts::token_text;
use crate::faults::{Connection, Fault, FaultPlan, Front, break_off};

/// `Feed` yields the events of one attempt after a given number.
pub(super) struct Feed {
    reader: Reader,
    front: Front,
    connection: Arc<Connection>,
    plan: Option<FaultPlan>,
    /// The number of the last event yielded.
    last: u64,
    /// The number of events yielded by this feed, repetitions not counted.
    yielded: u64,
    progress: Progress,
    /// The number of an event to yield a second time.
    repeated: Option<u64>,
    closed: bool,
}

impl Feed {
    pub(super) fn new(
        reader: Reader,
        front: Front,
        connection: Arc<Connection>,
        plan: Option<FaultPlan>,
        after: u64,
    ) -> Self {
        Self {
            reader,
            front,
            connection,
            plan,
            last: after,
            yielded: 0,
            progress: Progress::default(),
            repeated: None,
            closed: false,
        }
    }

    /// Turns the feed into a stream of events.
    pub(super) fn into_events(self) -> impl Stream<Item = Result<Event, BoxError>> + Send + Sync {
        stream::unfold(self, |mut feed| async move {
            let event = feed.next().await?;
            Some((event, feed))
        })
    }

    async fn next(&mut self) -> Option<Result<Event, BoxError>> {
        if self.closed {
            return None;
        }
        if let Some(number) = self.repeated.take() {
            return Some(Ok(self.chunk(number)));
        }
        if let Some(err) = self.fail_midstream().await {
            self.closed = true;
            return Some(Err(err));
        }
        if self.progress.produced <= self.last && self.progress.end.is_none() {
            self.progress = self.reader.wait_beyond(self.last).await;
        }
        self.front.wait_while_paused().await;
        self.connection.block_if_silent().await;
        if self.progress.produced > self.last {
            return Some(Ok(self.next_chunk()));
        }
        self.close()
    }

    /// Applies the planned fault if enough events have been yielded. Returns the error that ends
    /// the stream.
    async fn fail_midstream(&self) -> Option<BoxError> {
        let plan = self.plan.filter(|plan| plan.events <= self.yielded)?;
        match plan.fault {
            Fault::ResetAfterFirstByte | Fault::SilentMidAnswer | Fault::CutShort => {
                Some(break_off(&self.connection, plan.fault).await)
            }
            _ => None,
        }
    }

    fn next_chunk(&mut self) -> Event {
        self.last += 1;
        self.yielded += 1;
        if self.plan.is_some_and(|plan| plan.fault == Fault::Duplicate) {
            self.repeated = Some(self.last);
        }
        self.chunk(self.last)
    }

    /// Ends the stream: with its closing event if the output is complete, with an error otherwise.
    fn close(&mut self) -> Option<Result<Event, BoxError>> {
        self.closed = true;
        match self.progress.end {
            Some(AttemptEnd::Finished | AttemptEnd::Prefilled) => {
                let is_omitted = self.plan.is_some_and(|plan| plan.fault == Fault::NoClosingEvent);
                (!is_omitted).then(|| Ok(Event::new().data(DONE)))
            }
            _ => {
                // The error makes the server drop its handle on the socket. The second handle must
                // be closed as well, or the connection stays open.
                self.connection.close();
                Some(Err(BoxError::from("the attempt was dropped")))
            }
        }
    }

    fn chunk(&self, number: u64) -> Event {
        let prompt = &self.reader.prompt;
        let is_last = number == prompt.output.0;
        let chunk = ChatChunk {
            id: prompt.attempt.to_string(),
            model: prompt.model.clone(),
            choices: vec![ChatDelta {
                index: 0,
                delta: ChatText { content: token_text(prompt.digest, number) },
                finish_reason: is_last.then(|| "length".to_owned()),
            }],
        };
        let data = serde_json::to_string(&chunk).unwrap_or_default();
        Event::new().id(number.to_string()).data(data)
    }
}
