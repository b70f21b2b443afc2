//! Streamed answers: resumed where they break, each event handed to the caller once and in order.

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

/// How many events may wait for a slow caller. Beyond it the engine's connection is not read, so
/// that a slow caller can't fill the instance's memory.
const EVENTS_AHEAD: usize = 16;

/// How long a stream's last word is offered to a caller that has stopped reading.
const LAST_EVENT_PATIENCE: Millis = Millis(1_000);

/// `Started` is a streamed answer whose first step has come.
pub(super) enum Started<S> {
    /// Events follow.
    Stream {
        /// The first step.
        first: StreamItem,
        /// The further ones.
        events: S,
    },
    /// The upstream answered whole instead.
    Whole(WholeAnswer),
}

/// `SendStreamed` sends attempts whose answers are streams, and waits for the first event: until it
/// has gone to the caller, another engine may answer instead.
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
        // The declared bound is on the first event; the head has used up a part of it.
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

/// `StreamStart` is how a streamed answer begins for the caller.
pub enum StreamStart<C: Clock, U: Upstreams> {
    /// Events follow.
    Stream(CallerStream<C, U>),
    /// The upstream answered whole instead, for instance that the request is malformed.
    Whole(WholeAnswer),
}

/// `CallerStream` hands the events of a stream to its caller.
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
    /// The caller has the whole answer.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The answer could not be brought to its end, and the caller was told so.
    Failed(Failure),
}

impl<C: Clock, U: Upstreams> Proxy<C, U> {
    /// Has a request answered by a stream, up to and including its first event.
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
        mpsc::channel(EVENTS_AHEAD)
    }

    /// Hands on all events, resuming the stream where it breaks, until it is whole, can't be
    /// brought to its end, or the caller has gone.
    pub async fn pump(mut self, tx: mpsc::Sender<Event>) -> StreamEnd {
        loop {
            let item = tokio::select! {
                biased;
                // The engine's work is cancelled when `running` is dropped.
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
                    // Without the closing event the caller can tell that the answer isn't whole.
                    let body = crate::front::failure_body(&failure, self.req.id);
                    let event = Event::new().event("error").data(body);
                    let _ = hand_over(&tx, event, LAST_EVENT_PATIENCE).await;
                    return StreamEnd::Failed(failure);
                }
            };
            if let Err(stalled) = hand_over(&tx, event, self.proxy.time_left(&self.req)).await {
                return self.stalled(stalled);
            }
        }
    }

    async fn close(mut self, tx: &mpsc::Sender<Event>) -> StreamEnd {
        self.running.ended();
        self.proxy.record(&self.running, true);
        let event = Event::new().data(DONE);
        let sent = hand_over(tx, event, self.proxy.time_left(&self.req)).await;
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

    /// Returns the next step, over a new connection if the present one fails.
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
                // A stream that breaks is rare; without the box its state would lie in every stream.
                None => match Box::pin(self.resume(between)).await {
                    Ok(()) => continue,
                    Err(err) => err,
                },
            };
            // Dropping the events closes their connection, which may have gone silent.
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
        // The engine has begun long ago, so the head comes as soon as an event would.
        bounds.first_byte = bounds.first_byte.min(between);
        bounds.max_answer_bytes = bounds.max_answer_bytes.saturating_sub(self.delivered_bytes);
        let engine = self.running.upstream().address();
        let attempt = self.running.attempt();
        let resuming = self.proxy.upstreams.resume(engine, attempt, self.delivered, bounds);
        self.events = Some(resuming.await?);
        self.req.service.metrics.resumes.inc();
        Ok(())
    }

    /// Returns the failure if it makes no sense to resume once more.
    fn check_resumable(&self, err: &Error, resumes: u32) -> Result<(), Failure> {
        let (id, engine) = (self.req.id, self.running.upstream().name());
        log::info!(
            request:% = id, upstream:% = engine;
            "stream broken after event {}: {err}", self.delivered
        );
        // A refusal is the engine's own word that it can't go on with the stream, and what is too
        // large stays so.
        let is_final = matches!(err, Error::Refused { .. } | Error::TooLarge { .. });
        if is_final || resumes > self.proxy.options.max_resumes {
            // Events have been delivered, so the engine did run at least a part.
            return Err(Failure::of_attempt(err, Verdict::MayHaveRun));
        }
        Ok(())
    }
}

/// `Stalled` says why an event could not be handed over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stalled {
    /// The caller went away.
    Gone,
    /// The caller stays connected and has not read in time.
    NotReading,
}

/// Hands an event over, at most `timeout` long: a caller that stays connected and doesn't read must
/// not hold an engine's place past its deadline.
async fn hand_over(tx: &mpsc::Sender<Event>, event: Event, timeout: Millis) -> Result<(), Stalled> {
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
