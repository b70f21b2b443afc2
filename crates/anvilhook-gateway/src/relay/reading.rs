//! Sends a prompt to an engine that reads it (prefill) and retains its KV cache for another engine.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::orders::Role;
use anvilhook_core::speeds::{Learning, Reading};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;
use http::HeaderValue;
use volo_http::response::Response;

use super::Gateway;
use super::arrivals::Arrival;
use super::attempts::Sending;
use super::failures::Failed;
use super::handles::KvHandle;
use super::places::Stage;
use super::prompts::{Job, REFUSED_PAUSE, TryResult};
use super::requests::Exchange;
use super::waiting::Wait;
use crate::fleets::Upstream;
use crate::loads::Held;
use crate::peers::SIGNIFICANT_CHANGE_MS;
use crate::placements::Reader;
use crate::speeds::EngineWork;
use crate::suspects::Progress;
use crate::wires::Wire;

/// The timeout for reading a prompt: a minimum, to which a multiple of the predicted time is added.
const MIN_READING_TIMEOUT: Millis = Millis(700);
const READING_TIMEOUT_FACTOR: f64 = 4.0;

/// The maximum backlog at which the time taken shows the speed of an engine, in milliseconds.
const IDLE_BACKLOG_MS: f64 = 5.0;

/// The minimum work whose duration shows the speed of an engine, in milliseconds. The duration of less work
/// is mostly the network round trip.
const MIN_MEASURED_MS: f64 = 40.0;

/// The network round trip to an engine, in milliseconds.
const ROUND_TRIP_MS: f64 = 2.0;

/// `ReaderWork` is the predicted work of reading a prompt.
struct ReaderWork {
    /// The time of the prompts queued before this one, in milliseconds.
    backlog_ms: f64,
    /// The tokens that the engine's cache already held.
    cached: u32,
    reading_ms: f64,
    /// Whether the engine first fetches a part from another engine.
    is_fetched: bool,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Sends the prompt to an engine that reads it and retains its KV cache.
    pub(super) async fn read_prompt(
        &self,
        exchange: &mut Exchange,
        job: &mut Job<'_>,
        reader: Reader,
        wait: Wait,
    ) -> TryResult<KvHandle<W, C>> {
        if let Some(refusal) = self.check_quarantine(exchange) {
            return Err(refusal);
        }
        let Some(arrival) = self.admit_attempt(&exchange.service, &mut exchange.has_read) else {
            return Err(self.abandoned_outcome(exchange, "retry_budget", REFUSED_PAUSE));
        };
        self.record_sent_work(exchange);
        let names = self.wire().headers();
        let mut extra =
            vec![(names.stage.clone(), self.wire().prefill_stage()), self.urgency(exchange)];
        if let Some(other) = &reader.fetch_from {
            let address = other.entry.address.to_string();
            let value = HeaderValue::try_from(address).expect("addresses are visible text");
            extra.push((names.kv_fetch.clone(), value));
        }
        let upstream = reader.upstream;
        self.record_prompt(exchange, job.prompt, reader.reading_ms);
        let reader_work = ReaderWork {
            backlog_ms: reader.backlog_ms,
            cached: reader.cached,
            reading_ms: reader.reading_ms,
            is_fetched: reader.fetch_from.is_some(),
        };
        let held = Held::with_work(Arc::clone(&upstream), reader.reading_ms, reader.fetching_ms);
        let held = held.waking(self.freed_signal(exchange, Stage::Reading));
        exchange.place = None;
        if reader.reading_ms >= f64::from(SIGNIFICANT_CHANGE_MS) {
            // Otherwise, prompts that arrive at several instances at the same moment would all go to the
            // engine that was idle before, and queue up there.
            self.peers().announce();
        }
        let slack = Millis((reader.total_ms * READING_TIMEOUT_FACTOR) as u64);
        let started_at = self.now();
        exchange.attempt_began_at = started_at;
        let sending = Sending {
            upstream: &upstream,
            extra,
            connection: if arrival == Arrival::First {
                Connection::Pooled
            } else {
                Connection::New
            },
            head_timeout: MIN_READING_TIMEOUT + slack,
            may_repeat: true,
            role: Some(Role::Prefill),
            stage: "read",
            predicted_ms: reader.total_ms,
            work_ms: reader.reading_ms + reader.fetching_ms,
            wait,
            source: reader.fetch_from.as_ref().map(|other| Arc::clone(&other.entry.id)),
            lane: reader.lane,
        };
        let read = self.finish_reading(exchange, sending).await;
        drop(held);
        if reader.reading_ms >= f64::from(SIGNIFICANT_CHANGE_MS) {
            // Otherwise, other instances with requests queued for this engine would learn that it is free
            // only from the next digest, and the engine would be idle until then.
            self.peers().announce_in_full_mesh();
        }
        let took = self.now() - started_at;
        exchange
            .tried
            .push(format!("{}(read {}ms of {:.0})", upstream.entry.id, took.0, reader.total_ms));
        match read {
            Ok(handle) => {
                let work =
                    EngineWork { reading_ms: reader_work.reading_ms, ..EngineWork::default() };
                self.inner.speeds.record_work(&exchange.service, work, self.now());
                if self.policy().learnt_speeds {
                    self.observe_reading(exchange, job, &upstream, &reader_work, took);
                } else if reader.backlog_ms < IDLE_BACKLOG_MS {
                    self.learn_reading(exchange, job, &upstream, &reader_work, took);
                }
                self.record_cached(&upstream.entry.id, &job.prompt.parts, job.engine);
                Ok(Ok(KvHandle::new(self.clone(), upstream, handle)))
            }
            Err(failed) => {
                if !failed.may_retry_upstream() {
                    job.avoid.push(Arc::clone(&upstream.entry.id));
                }
                exchange.last_cause = Some(failed.cause);
                self.record_failure_signal(exchange, &upstream, &failed, Progress::Reading);
                self.refund_attempt(&exchange.service, &mut exchange.has_read, arrival, &failed);
                // Reading a prompt does not count as running the request.
                Ok(Err(Failed { verdict: Verdict::NotRun, ..failed }))
            }
        }
    }

    /// Updates the estimates from a prompt that an engine has read: the latency of readings, how fast the
    /// service's engines read, and how this engine compares with them. The time of a prompt of which a part
    /// was fetched shows none of these.
    fn observe_reading(
        &self,
        exchange: &Exchange,
        job: &Job<'_>,
        upstream: &Upstream,
        work: &ReaderWork,
        took: Millis,
    ) {
        if work.is_fetched {
            return;
        }
        let now = self.now();
        let reading = Reading {
            tokens: job.prompt.tokens,
            cached: work.cached,
            took_ms: took.0 as f64,
            backlog_ms: work.backlog_ms,
            slowness: upstream.state.slowness_at(now),
        };
        if let Some(slowness) = self.inner.speeds.observe_reading(&exchange.service, &reading) {
            upstream.state.record_speed(slowness, Learning::ENGINE, now);
        }
    }

    /// Updates the estimates from a prompt that an idle engine has read: how fast the service's engines read,
    /// and whether this engine is slower. The latency counts as work.
    fn learn_reading(
        &self,
        exchange: &Exchange,
        job: &Job<'_>,
        upstream: &Upstream,
        work: &ReaderWork,
        took: Millis,
    ) {
        let (state, took_ms) = (&upstream.state, took.0 as f64);
        if !work.is_fetched {
            let at_speed_ms = (took_ms - ROUND_TRIP_MS) / state.slowness();
            let speeds = &self.inner.speeds;
            speeds.record_reading(&exchange.service, job.prompt.tokens, work.cached, at_speed_ms);
        }
        if work.reading_ms > MIN_MEASURED_MS {
            state.record_reading(work.reading_ms / state.slowness(), took_ms);
        }
    }

    async fn finish_reading(
        &self,
        exchange: &Exchange,
        sending: Sending<'_>,
    ) -> Result<String, Failed> {
        let upstream = sending.upstream;
        let answer = self.send(exchange, sending).await?;
        let status = answer.status();
        if !status.is_success() {
            self.record_sound_answer(upstream, status);
            return Err(Failed::may_have_run("reading_failed"));
        }
        let handle = self.receive_handle(exchange, answer).await;
        match &handle {
            Ok(_) => self.record_sound_answer(upstream, status),
            Err(failed) => self.record_broken_answer(exchange, upstream, "read", failed),
        }
        handle
    }

    async fn receive_handle(
        &self,
        exchange: &Exchange,
        answer: Response,
    ) -> Result<String, Failed> {
        let body = self.collect_body(exchange, answer.into_body()).await?;
        self.wire().prefill_handle(&body).map_err(|_| Failed::may_have_run("unreadable_handle"))
    }
}
