//! Having an engine read a prompt and keep its KV cache for another.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;
use http::HeaderValue;

use super::Gateway;
use super::attempts::{Arrival, Failed, Sending};
use super::handles::KvHandle;
use super::prompts::{Job, REFUSED_PAUSE, Tried};
use super::requests::Exchange;
use super::waiting::Wait;
use crate::fleets::Upstream;
use crate::loads::Held;
use crate::peers::SIGNIFICANT_CHANGE_MS;
use crate::placements::Reader;
use crate::speeds::EngineWork;
use crate::wires::Wire;

/// The least time that an engine is given to read a prompt, and how much longer than predicted.
const MIN_READING_TIMEOUT: Millis = Millis(700);
const READING_PATIENCE: f64 = 4.0;

/// The longest backlog at which the time taken says how fast an engine is, in milliseconds.
const IDLE_BACKLOG_MS: f64 = 5.0;

/// The least work that says how fast an engine is; the rest is mostly the way there and back.
const TELLING_MS: f64 = 40.0;

/// What the way to an engine and back takes, in milliseconds.
const ROUND_TRIP_MS: f64 = 2.0;

/// `ReaderWork` is what was predicted of a reading.
struct ReaderWork {
    /// The tokens that the engine held.
    cached: u32,
    reading_ms: f64,
    /// Whether it fetched a part from another engine first.
    is_fetched: bool,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Has an engine read the prompt and keep what it has read.
    pub(super) async fn read_prompt(
        &self,
        exchange: &mut Exchange,
        job: &mut Job<'_>,
        reader: Reader,
        wait: Wait,
    ) -> Tried<KvHandle<W, C>> {
        if let Some(withheld) = self.withheld(exchange) {
            return Err(withheld);
        }
        let Some(arrival) = self.may_send(&exchange.service, &mut exchange.has_read) else {
            return Err(self.given_up(exchange, "retry_budget", REFUSED_PAUSE));
        };
        let names = self.wire().headers();
        let mut extra =
            vec![(names.stage.clone(), self.wire().prefill_stage()), self.urgency(exchange)];
        if let Some(other) = &reader.fetch_from {
            let address = other.entry.address.to_string();
            let value = HeaderValue::try_from(address).expect("addresses are visible text");
            extra.push((names.kv_fetch.clone(), value));
        }
        let upstream = reader.upstream;
        let reader_work = ReaderWork {
            cached: reader.cached,
            reading_ms: reader.reading_ms,
            is_fetched: reader.fetch_from.is_some(),
        };
        let held = Held::with_work(Arc::clone(&upstream), reader.reading_ms, reader.fetching_ms);
        if reader.reading_ms >= f64::from(SIGNIFICANT_CHANGE_MS) {
            // Prompts that come in the same moment at several instances would otherwise all go to the
            // engine that was idle before, and wait for each other there.
            self.peers().announce();
        }
        let slack = Millis((reader.total_ms * READING_PATIENCE) as u64);
        let started_at = self.now();
        let sending = Sending {
            upstream: &upstream,
            extra,
            connection: if arrival == Arrival::First {
                Connection::Pooled
            } else {
                Connection::New
            },
            head_timeout: MIN_READING_TIMEOUT + slack,
            role: Some(Role::Prefill),
            stage: "read",
            predicted_ms: reader.total_ms,
            work_ms: reader.reading_ms + reader.fetching_ms,
            wait,
            source: reader.fetch_from.as_ref().map(|other| Arc::clone(&other.entry.id)),
        };
        let read = self.finish_reading(exchange, sending).await;
        drop(held);
        if reader.reading_ms >= f64::from(SIGNIFICANT_CHANGE_MS) {
            // What waits for this engine at other instances would learn only with the next digest
            // that it is free, and the engine would stand idle meanwhile.
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
                if reader.backlog_ms < IDLE_BACKLOG_MS {
                    self.learn_reading(exchange, job, &upstream, &reader_work, took);
                }
                self.record_cached(&upstream.entry.id, &job.prompt.parts, job.engine);
                Ok(Ok(KvHandle::new(self.clone(), upstream, handle)))
            }
            Err(failed) => {
                job.avoid.push(Arc::clone(&upstream.entry.id));
                self.note_ending(exchange, &upstream, &failed);
                self.take_back(&exchange.service, &mut exchange.has_read, arrival, &failed);
                // Reading a prompt is not running the request.
                Ok(Err(Failed { verdict: Verdict::NotRun, ..failed }))
            }
        }
    }

    /// Learns from a reading that found its engine idle: how fast the service's engines read, and
    /// whether this one is slower.
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
        if work.reading_ms > TELLING_MS {
            state.record_reading(work.reading_ms / state.slowness(), took_ms);
        }
    }

    async fn finish_reading(
        &self,
        exchange: &Exchange,
        sending: Sending<'_>,
    ) -> Result<String, Failed> {
        let answer = self.send(exchange, sending).await?;
        if !answer.status().is_success() {
            return Err(Failed::may_have_run("reading_failed"));
        }
        let (_, body) = answer.into_parts();
        let body = self.collect_body(exchange, body).await?;
        self.wire().prefill_handle(&body).map_err(|_| Failed::may_have_run("unreadable_handle"))
    }
}
