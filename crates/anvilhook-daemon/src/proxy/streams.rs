//! Streamed answers. A broken stream is resumed, and each event is delivered to the caller exactly
//! once and in order.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::wire::DONE;
use anvilhook_engine::{Attempt, Error, EventSource, Opened, StreamItem, Upstreams, WholeAnswer};
use http::StatusCode;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use volo_http::server::response::sse::Event;

use super::attempts::{Answered, Proxy, Sending};
use super::cancels::Running;
use super::failures::Failure;
use super::requests::ProxyRequest;

/// How many events are buffered for a slow caller. When the buffer is full, the engine's connection
/// is not read, so that a slow caller can't fill the instance's memory.
const MAX_BUFFERED_EVENTS: usize = 16;

/// How long a failed stream waits for the caller to accept the error event.
const ERROR_EVENT_TIMEOUT: Millis = Millis(1_000);

/// `Started` is a streamed answer whose first item has arrived.
pub(super) enum Started<S> {
    /// Events follow.
    Stream {
        /// The first item.
        first: StreamItem,
        /// The source of the following items.
        events: S,
    },
    /// The upstream sent a non-streamed answer instead.
    Whole(WholeAnswer),
}

/// `SendStreamed` sends attempts whose answers are streams, and waits for the first event: until
/// that is delivered to the caller, the request can be retried at another engine.
struct SendStreamed<'a, C, U> {
    proxy: &'a Proxy<C, U>,
    req: &'a ProxyRequest,
}

impl<C: Clock, U: Upstreams> Sending for SendStreamed<'_, C, U> {
    type Answer = Started<U::Events>;

    async fn send(&self, attempt: &Attempt) -> Result<Self::Answer, Error> {
        let sent_at = self.proxy.clock.now();
        let mut events = match self.proxy.upstreams.open_stream(attempt).await? {
            Opened::Stream(events) => events,
            Opened::Whole(answer) => return Ok(Started::Whole(answer)),
        };
        // The declared limit covers the time up to the first event, and the wait for the head has
        // used a part of it.
        let spent = self.proxy.clock.now() - sent_at;
        let first = events.next(attempt.bounds.first_byte - spent).await?;
        Ok(Started::Stream { first, events })
    }

    fn status(answer: &Self::Answer) -> StatusCode {
        match answer {
            Started::Stream { .. } => StatusCode::OK,
            Started::Whole(answer) => answer.status,
        }
    }

    fn whole(answer: WholeAnswer) -> Self::Answer {
        Started::Whole(answer)
    }
}

/// `StreamStart` is the beginning of an answer to a request for a stream.
pub enum StreamStart<C: Clock, U: Upstreams> {
    /// Events follow.
    Stream(CallerStream<C, U>),
    /// The upstream sent a non-streamed answer instead, for example because the request is
    /// malformed.
    Whole(WholeAnswer),
}

/// `CallerStream` delivers the events of a stream to its caller.
pub struct CallerStream<C: Clock, U: Upstreams> {
    proxy: Arc<Proxy<C, U>>,
    req: Arc<ProxyRequest>,
    running: Running<U>,
    first: Option<StreamItem>,
    events: Option<U::Events>,
    delivered: u64,
    delivered_bytes: usize,
}

/// `StreamEnd` is how a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The caller received the complete answer.
    Whole,
    /// The caller disconnected.
    CallerGone,
    /// The answer could not be completed. Unless the caller stopped reading, it was sent an error
    /// event.
    Failed(Failure),
}

impl<C: Clock, U: Upstreams> Proxy<C, U> {
    /// Runs a request whose answer is a stream, and returns when its first event has arrived.
    ///
    /// # Errors
    ///
    /// A `Failure` with the verdict over all attempts.
    pub async fn answer_streamed(
        self: &Arc<Self>,
        req: &Arc<ProxyRequest>,
        rng: &mut ChaCha8Rng,
    ) -> Result<StreamStart<C, U>, Failure> {
        let sending = SendStreamed { proxy: self.as_ref(), req: req.as_ref() };
        let Answered { answer, mut running } = self.run(sending.req, &sending, rng).await?;
        match answer {
            Started::Stream { first, events } => Ok(StreamStart::Stream(CallerStream {
                proxy: Arc::clone(self),
                req: Arc::clone(req),
                running,
                first: Some(first),
                events: Some(events),
                delivered: 0,
                delivered_bytes: 0,
            })),
            Started::Whole(answer) => {
                running.ended();
                Ok(StreamStart::Whole(answer))
            }
        }
    }
}

impl<C: Clock, U: Upstreams> CallerStream<C, U> {
    /// Returns a channel for the caller's events.
    pub fn channel() -> (mpsc::Sender<Event>, mpsc::Receiver<Event>) {
        mpsc::channel(MAX_BUFFERED_EVENTS)
    }

    /// Delivers the events to the caller and resumes the stream when it breaks, until it is
    /// complete, has failed, or the caller has disconnected.
    pub async fn pump(mut self, tx: mpsc::Sender<Event>) -> StreamEnd {
        loop {
            let item = tokio::select! {
                biased;
                // Dropping `running` cancels the attempt at the engine.
                () = tx.closed() => return StreamEnd::CallerGone,
                item = self.next_item() => item,
            };
            let event = match item {
                Ok(StreamItem::Event { number, data }) => {
                    self.delivered = number;
                    self.delivered_bytes += data.len();
                    Event::new().id(number.to_string()).data(data)
                }
                Ok(StreamItem::Done) => return self.close(&tx).await,
                Err(failure) => {
                    // The closing `[DONE]` event is not sent, so the caller can see that the answer
                    // is incomplete even if the error event does not reach it.
                    let body = crate::front::failure_body(&failure, self.req.id);
                    let event = Event::new().event("error").data(body);
                    let _ = deliver(&tx, event, ERROR_EVENT_TIMEOUT).await;
                    return StreamEnd::Failed(failure);
                }
            };
            if let Err(stalled) = deliver(&tx, event, self.proxy.time_left(&self.req)).await {
                return self.stalled(stalled);
            }
        }
    }

    async fn close(mut self, tx: &mpsc::Sender<Event>) -> StreamEnd {
        self.running.ended();
        self.proxy.record(&self.running, true);
        let event = Event::new().data(DONE);
        let sent = deliver(tx, event, self.proxy.time_left(&self.req)).await;
        if let Some(events) = self.events.take() {
            tokio::spawn(events.finish());
        }
        match sent {
            Ok(()) => StreamEnd::Whole,
            Err(stalled) => self.stalled(stalled),
        }
    }

    fn stalled(&self, stalled: Stalled) -> StreamEnd {
        match stalled {
            Stalled::Gone => StreamEnd::CallerGone,
            Stalled::NotReading => {
                StreamEnd::Failed(self.proxy.deadline_exceeded(Verdict::MayHaveRun))
            }
        }
    }

    /// Returns the next item, and resumes the stream over a new connection if the current one
    /// fails.
    async fn next_item(&mut self) -> Result<StreamItem, Failure> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        let mut resumes = 0;
        loop {
            let time_left = self.proxy.time_left(&self.req);
            if time_left == Millis::ZERO {
                return Err(self.proxy.deadline_exceeded(Verdict::MayHaveRun));
            }
            let between = self.req.service.spec.between_events_ms.min(time_left);
            let err = match &mut self.events {
                Some(events) => match events.next(between).await {
                    Ok(item) => return Ok(item),
                    Err(err) => err,
                },
                // Resuming is rare; without the box, its future would enlarge every stream's task.
                None => match Box::pin(self.resume(between)).await {
                    Ok(()) => continue,
                    Err(err) => err,
                },
            };
            // Dropping the events closes their connection, which may have stopped responding.
            self.events = None;
            self.proxy.record(&self.running, false);
            resumes += 1;
            self.check_resumable(&err, resumes)?;
            if resumes > 1 {
                let pause = self.proxy.options.backoff.min(time_left);
                tokio::time::sleep(pause.as_duration()).await;
            }
        }
    }

    async fn resume(&mut self, between: Millis) -> Result<(), Error> {
        let time_left = self.proxy.time_left(&self.req);
        let mut bounds = self.proxy.bounds(&self.req, time_left);
        // The engine is already generating, so the head must arrive as fast as an event would.
        bounds.first_byte = bounds.first_byte.min(between);
        bounds.max_answer_bytes = bounds.max_answer_bytes.saturating_sub(self.delivered_bytes);
        let engine = self.running.upstream().address();
        let attempt = self.running.attempt();
        let resuming = self.proxy.upstreams.resume(engine, attempt, self.delivered, bounds);
        self.events = Some(resuming.await?);
        self.req.service.metrics.resumes.inc();
        Ok(())
    }

    /// Returns a failure if the stream must not be resumed again after `err`.
    fn check_resumable(&self, err: &Error, resumes: u32) -> Result<(), Failure> {
        let (id, engine) = (self.req.id, self.running.upstream().name());
        log::info!(
            request:% = id, upstream:% = engine;
            "stream broken after event {}: {err}", self.delivered
        );
        // After a refusal the engine can't continue the stream, and an answer that is too large
        // stays too large.
        let is_final = matches!(err, Error::Refused { .. } | Error::TooLarge { .. });
        if is_final || resumes > self.proxy.options.max_resumes {
            // Events have been received, so the engine ran at least a part of the request.
            return Err(Failure::of_attempt(err, Verdict::MayHaveRun));
        }
        Ok(())
    }
}

/// `Stalled` is the reason why an event could not be delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stalled {
    /// The caller disconnected.
    Gone,
    /// The caller is still connected but has not read in time.
    NotReading,
}

/// Delivers an event, waiting at most `timeout`: a caller that stays connected without reading must
/// not occupy an engine past the deadline.
async fn deliver(tx: &mpsc::Sender<Event>, event: Event, timeout: Millis) -> Result<(), Stalled> {
    let event = match tx.try_send(event) {
        Ok(()) => return Ok(()),
        Err(TrySendError::Closed(_event)) => return Err(Stalled::Gone),
        Err(TrySendError::Full(event)) => event,
    };
    match tokio::time::timeout(timeout.as_duration(), tx.send(event)).await {
        Ok(sent) => sent.map_err(|_closed| Stalled::Gone),
        Err(_elapsed) => Err(Stalled::NotReading),
    }
}
