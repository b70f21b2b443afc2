//! Relays a stream from an engine to the caller, and resumes it on another engine if it breaks.

use std::io;
use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::counted;
use bytes::Bytes;
use futures_util::stream;
use http::header::HeaderMap;
use http::{Response as HttpResponse, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use sync_wrapper::SyncStream;
use volo_http::body::Body;
use volo_http::response::Response;

use super::answers::STREAM_CUT;
use super::calls::Forwarded;
use super::collecting::{has_marked_end, passed_on};
use super::failures::{Failed, FailureSignal};
use super::prompts::Opened;
use super::requests::Exchange;
use super::{Flight, Gateway};
use crate::events::{RequestEvent, emit};
use crate::fleets::{Entry, Upstream};
use crate::loads::Held;
use crate::metrics::NameLabel;
use crate::streams::{EventSplitter, StreamEvent};
use crate::suspects::{MIN_WRITING_TIME, Progress};
use crate::wires::Wire;

/// How long a stream that can be resumed may send nothing before its engine is checked.
const EVENT_TIMEOUT: Millis = Millis(1_500);

/// How long a stream must run until its request counts as completed successfully, whatever happens after.
const TRIAL_TIME: Millis = Millis(2_000);

/// The cause of a failure of a stream that has sent nothing in time but is not known to be broken.
const STREAM_SILENT: &str = "stream_silent";

/// The maximum number of bytes that are forwarded after the caller's deadline.
const PAST_LIMIT_BYTES: usize = 64 << 10;

/// The cause logged for a stream that is ended because it runs past its caller's deadline.
const OUT_OF_TIME: &str = "out_of_time";

/// The outcome logged for a stream that another run continues.
const RESUMED: &str = "resumed";

/// `Relay` is an upstream's stream whose first event has been received.
pub(super) struct Relay {
    status: StatusCode,
    headers: HeaderMap,
    body: Body,
    splitter: EventSplitter,
    next: Option<StreamEvent>,
    last_id: Option<u64>,
    held: Held,
    /// Whether the stream arrives over this instance's own path.
    is_direct: bool,
    /// Whether the answer's end is marked, by a length or a last chunk. Otherwise it ends with its connection, as it
    /// does when the engine terminates.
    has_marked_end: bool,
    /// When the run's first event was received.
    first_event_at: Option<Millis>,
    /// Whether the run has written output for long enough to clear the parts of its prompt.
    has_written: bool,
}

/// `Piece` is the next element of a stream.
enum Piece {
    Event(StreamEvent),
    End,
}

impl Relay {
    /// Waits for the first event of an answer.
    pub async fn open<W: Wire, C: Clock>(
        gateway: &Gateway<W, C>,
        exchange: &Exchange,
        answer: Response,
        mut held: Held,
        resume_after: Option<u64>,
    ) -> Result<Relay, Failed> {
        let (parts, body) = answer.into_parts();
        if !parts.headers.contains_key(&gateway.wire().headers().signature) {
            return Err(Failed::may_have_run("unsigned_answer"));
        }
        held.reading_done();
        let is_direct = parts.extensions.get::<Forwarded>().is_none();
        let has_marked_end = is_direct && has_marked_end(&parts.headers);
        let mut relay = Relay {
            status: parts.status,
            headers: passed_on(&parts.headers),
            body,
            splitter: EventSplitter::new(),
            next: None,
            last_id: resume_after,
            held,
            is_direct,
            has_marked_end,
            first_event_at: None,
            has_written: false,
        };
        let mut first = relay.read(gateway, exchange).await;
        while let Err(failed) = &first
            && failed.cause == STREAM_SILENT
            && gateway.is_worked_on(exchange, relay.held.upstream()).await
        {
            first = relay.read(gateway, exchange).await;
        }
        match first {
            Ok(Piece::Event(event)) => {
                relay.next = Some(event);
                Ok(relay)
            }
            // A stream that is resumed after its last event has no more events.
            Ok(Piece::End) if resume_after.is_some() => Ok(relay),
            Ok(Piece::End) => Err(Failed::broken("empty_stream")),
            Err(failed) => Err(failed),
        }
    }

    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Creates the caller's response, which relays the stream to its end.
    pub fn into_response<W: Wire, C: Clock>(
        mut self,
        gateway: Gateway<W, C>,
        exchange: Exchange,
        flight: Flight<W, C>,
    ) -> Response {
        let headers = std::mem::take(&mut self.headers);
        let status = self.status;
        let relayed = RelayedStream {
            began_at: gateway.now(),
            last_event_at: gateway.now(),
            longest_pause: Millis::ZERO,
            relay: self,
            gateway,
            exchange,
            outcome: "left",
            has_lasted: false,
            past_limit: 0,
            flight: Arc::new(flight),
        };
        let frames = stream::unfold(Some(relayed), |relayed| async move {
            let mut relayed = relayed?;
            match relayed.next().await {
                Ok(Some(bytes)) => {
                    relayed.record_event();
                    let bytes = counted(bytes, Arc::clone(&relayed.flight));
                    Some((Ok(Frame::data(bytes)), Some(relayed)))
                }
                Ok(None) => {
                    relayed.outcome = "whole";
                    relayed.relay.record_end(&relayed.gateway, &relayed.exchange);
                    relayed.gateway.record_completed_run(&relayed.exchange);
                    None
                }
                Err(err) => {
                    relayed.outcome = "cut";
                    Some((Err(err.into()), None))
                }
            }
        });
        let mut answer = HttpResponse::new(Body::from_stream(SyncStream::new(frames)));
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        answer
    }

    /// Records that an event has been received.
    fn record_output<W: Wire, C: Clock>(&mut self, gateway: &Gateway<W, C>, exchange: &Exchange) {
        let now = gateway.now();
        let first_at = *self.first_event_at.get_or_insert(now);
        if !self.has_written && now - first_at >= MIN_WRITING_TIME {
            self.has_written = true;
            gateway.record_output(exchange);
        }
    }

    /// Records that the stream has ended as it does when it is complete.
    fn record_end<W: Wire, C: Clock>(&self, gateway: &Gateway<W, C>, exchange: &Exchange) {
        if self.has_written || self.first_event_at.is_none() {
            return;
        }
        if self.has_marked_end {
            gateway.record_output(exchange);
        } else if self.is_direct {
            gateway.record_unmarked_end(exchange, self.held.upstream());
        }
    }

    /// Reads the next event that the caller has not received yet.
    async fn read<W: Wire, C: Clock>(
        &mut self,
        gateway: &Gateway<W, C>,
        exchange: &Exchange,
    ) -> Result<Piece, Failed> {
        loop {
            while let Some(event) = self.splitter.next_event() {
                let is_known = event.id.is_some() && event.id <= self.last_id;
                if !is_known {
                    self.last_id = event.id.or(self.last_id);
                    self.record_output(gateway, exchange);
                    return Ok(Piece::Event(event));
                }
            }
            if self.splitter.is_too_large() {
                return Err(Failed::may_have_run("event_too_large"));
            }
            let time_left = exchange.time_left(gateway.now());
            let can_resume = exchange.is_repeatable();
            let wait = if can_resume { EVENT_TIMEOUT.min(time_left) } else { time_left };
            let upstream = Arc::clone(self.held.upstream());
            let frame = tokio::select! {
                biased;
                frame = tokio::time::timeout(wait.as_duration(), self.body.frame()) => frame,
                () = gateway.path_breaks(&upstream, 0.0, can_resume), if self.is_direct => {
                    return Err(Failed::path_broken());
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        gateway.record_relayed(data.len());
                        self.splitter.push(data);
                    }
                }
                Ok(None) if self.splitter.is_empty() => return Ok(Piece::End),
                Ok(None) => return Err(Failed::broken("event_cut")),
                Ok(Some(Err(_))) => return Err(Failed::broken(STREAM_CUT)),
                Err(_elapsed) => return Err(Failed::timed_out(STREAM_SILENT)),
            }
        }
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Returns whether an upstream that sends nothing for a request may still work on it.
    ///
    /// An engine may defer a run for seconds when it is short of slots or memory. Abandoning the run then
    /// would truncate an answer that was going to be complete, or have the request run twice at once, and at
    /// full load would use up the retry budget on requests that are merely queued.
    pub(super) async fn is_worked_on(&self, exchange: &Exchange, upstream: &Upstream) -> bool {
        let time_left = exchange.time_left(self.now());
        if time_left == Millis::ZERO {
            return false;
        }
        // An upstream that has asked for a pause or has an exhausted request limit must not be queried, but it
        // is alive.
        if !self.may_call(upstream) {
            return true;
        }
        // A frozen engine does not answer this call either, so the call is bounded by the caller's deadline.
        let report = self.wire().report();
        let asked = self.own_call(upstream, &report);
        let Ok(Some(answer)) = tokio::time::timeout(time_left.as_duration(), asked).await else {
            return false;
        };
        // An engine that has restarted under its id answers, but no longer has the run.
        let Ok(report) = self.wire().engine_report(&answer.body) else { return true };
        let is_other_start = upstream.entry.has_other_start(report.born);
        let is_current = !is_other_start && !self.has_started_again(upstream);
        is_current && report.may_work_on(&exchange.id)
    }
}

/// `RelayedStream` is a relay together with its request and the state of the response.
struct RelayedStream<W: Wire, C: Clock> {
    relay: Relay,
    gateway: Gateway<W, C>,
    exchange: Exchange,
    outcome: &'static str,
    /// The bytes that were forwarded after the caller's deadline.
    past_limit: usize,
    began_at: Millis,
    last_event_at: Millis,
    longest_pause: Millis,
    /// Whether the stream has run long enough to count as completed successfully.
    has_lasted: bool,
    flight: Arc<Flight<W, C>>,
}

impl<W: Wire, C: Clock> Drop for RelayedStream<W, C> {
    fn drop(&mut self) {
        let took_ms = (self.gateway.now() - self.exchange.arrived_at).0;
        let is_stopped = self.outcome == "left" && self.gateway.has_ended();
        let outcome = if is_stopped { "stopped" } else { self.outcome };
        let request = &*self.exchange.id;
        let longest_pause_ms = self.longest_pause.0;
        self.learn_output(took_ms);
        emit(&RequestEvent::StreamEnded { request, outcome, longest_pause_ms, took_ms });
    }
}

impl<W: Wire, C: Clock> RelayedStream<W, C> {
    /// Updates the estimate of output times, if the stream was complete and not resumed.
    fn learn_output(&self, took_ms: u64) {
        let Some(prompt) = &self.exchange.prompt else { return };
        if self.outcome == "whole" && self.exchange.runs == 1 {
            let first_ms = (self.began_at - self.exchange.arrived_at).0;
            let output_ms = took_ms.saturating_sub(first_ms) as f64;
            let speeds = &self.gateway.inner.speeds;
            speeds.record_output(&self.exchange.service, prompt.max_output, output_ms);
        }
    }

    /// Records that an event is sent to the caller.
    fn record_event(&mut self) {
        let now = self.gateway.now();
        self.longest_pause = self.longest_pause.max(now - self.last_event_at);
        self.last_event_at = now;
        // A request that terminates engines does so when it starts. A stream that has run for a while is
        // harmless, and requests with the same fingerprint need not wait for its end.
        if !self.has_lasted && now - self.began_at >= TRIAL_TIME {
            self.has_lasted = true;
            self.exchange.trial = None;
            self.gateway.record_completed_run(&self.exchange);
        }
    }

    /// Returns the next bytes for the caller, `None` at the end of the stream. An error closes the caller's
    /// connection, so that the answer does not look complete.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        if let Some(event) = self.relay.next.take() {
            return Ok(Some(event.bytes));
        }
        loop {
            match self.relay.read(&self.gateway, &self.exchange).await {
                Ok(Piece::Event(event)) => return self.enforce_limit(event.bytes).map(Some),
                Ok(Piece::End) => return Ok(None),
                Err(failed) if failed.cause == STREAM_SILENT => {
                    let upstream = self.relay.held.upstream();
                    if !self.gateway.is_worked_on(&self.exchange, upstream).await {
                        return self.resume(&failed).await;
                    }
                }
                Err(failed) => return self.resume(&failed).await,
            }
        }
    }

    fn log_broken(&self, upstream: &Entry, failed: &Failed, outcome: &'static str) {
        let now_at = &self.relay.held.upstream().entry;
        emit(&RequestEvent::StreamBroken {
            request: &self.exchange.id,
            upstream: &upstream.id,
            version: upstream.version.as_deref(),
            resumed_at: (outcome == RESUMED).then_some(now_at.version.as_deref()).flatten(),
            fingerprint: self.exchange.fingerprint,
            last_event: self.relay.last_id,
            cause: failed.cause,
            outcome,
        });
        let label = NameLabel { name: outcome.to_owned() };
        self.gateway.metrics().broken_streams.get_or_create(&label).inc();
    }

    /// Returns an event's bytes, or an error if too many bytes were forwarded after the caller's deadline.
    ///
    /// The deadline by itself only ends the wait for an event: a stream whose events are always available
    /// would run past it indefinitely, and an instance that stops relies on the deadline. A short stream that
    /// was received completely in time is still forwarded to its end.
    fn enforce_limit(&mut self, bytes: Bytes) -> io::Result<Bytes> {
        if self.exchange.time_left(self.gateway.now()) == Millis::ZERO {
            self.past_limit += bytes.len();
        }
        if self.past_limit <= PAST_LIMIT_BYTES {
            return Ok(bytes);
        }
        let upstream = self.relay.held.upstream();
        self.log_broken(&upstream.entry, &Failed::may_have_run(OUT_OF_TIME), "not_allowed");
        Err(io::Error::other(OUT_OF_TIME))
    }

    async fn resume(&mut self, failed: &Failed) -> io::Result<Option<Bytes>> {
        let gateway = self.gateway.clone();
        let upstream = self.relay.held.upstream();
        if failed.signal != FailureSignal::PathBroken {
            upstream.state.ejection().record_failure(gateway.now());
        }
        let progress = if self.relay.has_written { Progress::Writing } else { Progress::Starting };
        gateway.record_failure_signal(&self.exchange, upstream, failed, progress);
        let last_id = self.relay.last_id;
        let route = &self.exchange.route;
        let is_allowed = self.exchange.is_repeatable()
            && !gateway.has_ended()
            && !gateway.fleet().has_other_software(upstream)
            && self.exchange.runs < route.max_attempts
            && self.exchange.time_left(gateway.now()) > Millis::ZERO
            && last_id.is_some();
        let upstream = upstream.entry.clone();
        if !is_allowed {
            self.log_broken(&upstream, failed, "not_allowed");
            return Err(io::Error::other(failed.cause));
        }
        // The previous run is ended before another one begins. The caller has received events, so its wait
        // limit counts from the last one.
        self.relay.body = Body::empty();
        self.exchange.waits_since = self.last_event_at;
        let time_left = self.exchange.time_left(gateway.now());
        let opening =
            gateway.open_stream(&mut self.exchange, last_id, vec![Arc::clone(&upstream.id)]);
        let opened = tokio::time::timeout(time_left.as_duration(), opening).await;
        let Ok(Ok(Opened::Stream(relay))) = opened else {
            self.log_broken(&upstream, failed, "not_resumed");
            return Err(io::Error::other(failed.cause));
        };
        self.relay = *relay;
        self.log_broken(&upstream, failed, RESUMED);
        Ok(self.relay.next.take().map(|event| event.bytes))
    }
}
