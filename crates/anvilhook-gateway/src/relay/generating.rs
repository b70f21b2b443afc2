//! Sends a request to an engine that generates the output as a stream.

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;
use http::HeaderValue;
use http::header::HeaderName;
use volo_http::response::Response;

use super::Gateway;
use super::attempts::Sending;
use super::failures::Failed;
use super::handles::KvHandle;
use super::limits::{LIMITED, LimitWait, ShareWait};
use super::places::Stage;
use super::prompts::{Job, Opened, REFUSED_PAUSE, TryResult};
use super::requests::Exchange;
use super::resumption::Relay;
use super::stopping::STOPPING;
use super::waiting::Wait;
use crate::fleets::Upstream;
use crate::loads::Held;
use crate::placements::Generator;
use crate::suspects::Progress;
use crate::wires::Wire;

/// The interval at which an engine is asked whether it still works on a request whose stream has not begun
/// and which could be resent.
const FIRST_EVENT_CHECK_INTERVAL: Millis = Millis(1_800);

/// `GenerateWork` is the predicted work of an engine until the first event, with the data that is logged.
#[derive(Clone, Debug)]
struct GenerateWork {
    wait: Wait,
    reading_ms: f64,
    fetching_ms: f64,
    first_event_ms: f64,
    source: Option<Arc<str>>,
}

impl GenerateWork {
    /// The work of an upstream that is not a model engine.
    const NONE: GenerateWork = GenerateWork {
        wait: Wait::NONE,
        reading_ms: 0.0,
        fetching_ms: 0.0,
        first_event_ms: 0.0,
        source: None,
    };
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Sends a request to the engine that generates the output, with a KV handle if there is one. The handle is left
    /// for another engine if nothing was sent.
    pub(super) async fn generate(
        &self,
        exchange: &mut Exchange,
        job: &mut Job<'_>,
        generator: Generator,
        handle: &mut Option<KvHandle<W, C>>,
        wait: Wait,
    ) -> TryResult<Opened> {
        let work = match &*handle {
            Some(handle) => GenerateWork {
                wait,
                reading_ms: 0.0,
                fetching_ms: generator.fetching_ms,
                first_event_ms: generator.fetched_ms,
                source: Some(Arc::clone(&handle.upstream().entry.id)),
            },
            None => GenerateWork {
                wait,
                reading_ms: generator.reading_ms,
                fetching_ms: 0.0,
                first_event_ms: generator.direct_ms,
                source: None,
            },
        };
        // All streams have the same priority at an engine. A more urgent one would preempt a running
        // stream, whose prompt the engine would then read again (prefill) at half its speed while all its
        // other streams stall.
        let mut extra = Vec::new();
        if let Some(handle) = &*handle {
            extra.push((self.wire().headers().kv_source.clone(), handle.source()));
        }
        let upstream = generator.upstream;
        let opened = self.open_at(exchange, &upstream, work, extra, job.resume_after).await?;
        let is_unsent = matches!(&opened, Err(failed) if failed.is_unsent());
        if let Some(mut handle) = handle.take_if(|_| !is_unsent) {
            let is_refused = matches!(&opened, Err(failed) if failed.is_refusal);
            let reader = handle.upstream();
            for engine in [reader, &upstream] {
                engine.state.record_handle(!is_refused, self.now());
            }
            if is_refused {
                // Either engine may be the cause, so the next attempt avoids both.
                job.avoid.push(Arc::clone(&reader.entry.id));
            }
            if opened.is_ok() {
                handle.mark_used();
            }
        }
        match &opened {
            Err(failed) if failed.may_retry_upstream() => {}
            Ok(Opened::Answer(_)) | Err(_) => job.avoid.push(Arc::clone(&upstream.entry.id)),
            Ok(_) => self.record_cached(&upstream.entry.id, &job.prompt.parts, job.engine),
        }
        Ok(opened)
    }

    /// Opens a stream of a service whose upstreams are not model engines.
    pub(super) async fn stream_plainly(
        &self,
        exchange: &mut Exchange,
        resume_after: Option<u64>,
        avoid: &mut Vec<Arc<str>>,
    ) -> TryResult<Opened> {
        let mut share_wait = ShareWait::default();
        let upstream = loop {
            if self.has_moved(exchange) {
                return Ok(Err(Failed::not_sent("moved")));
            }
            if resume_after.is_none() && self.may_be_interrupted(exchange) {
                return Err(self.abandoned_outcome(exchange, STOPPING, Millis::ZERO));
            }
            let avoided = self.avoided(exchange, avoid, &share_wait);
            if let Some(upstream) = self.choose_plain(exchange, &avoided) {
                break upstream;
            }
            match self.wait_for_share(exchange, avoid, &mut share_wait).await {
                LimitWait::TryAgain => {}
                LimitWait::Refuse(soonest) => {
                    return Err(self.abandoned_outcome(exchange, LIMITED, soonest));
                }
                LimitWait::NotLimited => {
                    return match self.refuse_without_software(exchange) {
                        Some(refusal) => Err(refusal),
                        None => Ok(Err(Failed::not_sent("no_upstream"))),
                    };
                }
            }
        };
        avoid.push(Arc::clone(&upstream.entry.id));
        let opening =
            self.open_at(exchange, &upstream, GenerateWork::NONE, Vec::new(), resume_after);
        let opened = opening.await;
        if matches!(&opened, Ok(Err(failed)) if failed.may_retry_upstream()) {
            avoid.pop();
        }
        opened
    }

    /// Waits until an engine no longer works on a request that it has not answered.
    async fn wait_until_lost(&self, exchange: &Exchange, upstream: &Upstream) {
        loop {
            tokio::time::sleep(FIRST_EVENT_CHECK_INTERVAL.as_duration()).await;
            if !self.is_worked_on(exchange, upstream).await {
                return;
            }
        }
    }

    /// Sends a request to an upstream and waits for the first event of its stream.
    async fn open_at(
        &self,
        exchange: &mut Exchange,
        upstream: &Arc<Upstream>,
        work: GenerateWork,
        mut extra: Vec<(HeaderName, HeaderValue)>,
        resume_after: Option<u64>,
    ) -> TryResult<Opened> {
        if let Some(refusal) = self.check_quarantine(exchange) {
            return Err(refusal);
        }
        if let Some(failed) = self.check_start(exchange, upstream).await {
            self.log_failed(exchange, upstream, "generate", &failed);
            return Ok(Err(failed));
        }
        let Some(arrival) = self.admit_attempt(&exchange.service, &mut exchange.was_sent) else {
            return Err(self.abandoned_outcome(exchange, "retry_budget", REFUSED_PAUSE));
        };
        self.record_sent_work(exchange);
        // The caller may have received events by an earlier request.
        let continued = exchange.continued.as_ref();
        let received = resume_after.or(continued.and_then(|stream| stream.last_event));
        if let Some(event) = received {
            extra.push((self.wire().headers().last_event_id.clone(), HeaderValue::from(event)));
        }
        let time_left = exchange.time_left(self.now());
        let can_repeat =
            exchange.is_repeatable() && exchange.runs + 1 < exchange.route.max_attempts;
        let started_at = self.now();
        exchange.attempt_began_at = started_at;
        let held = Held::with_work(Arc::clone(upstream), work.reading_ms, work.fetching_ms);
        let held = held.waking(self.freed_signal(exchange, Stage::Generating));
        exchange.place = None;
        let in_flight = upstream.state.work(self.now()).in_flight;
        if upstream.role().is_some() && in_flight * 2 > upstream.entry.slots {
            self.peers().announce_slot();
        }
        let connection = if exchange.runs > 0 { Connection::New } else { Connection::Pooled };
        let sending = Sending {
            upstream,
            extra,
            connection,
            head_timeout: time_left,
            may_repeat: can_repeat,
            role: upstream.role().map(|_| Role::Decode),
            stage: "generate",
            predicted_ms: work.first_event_ms,
            work_ms: work.reading_ms + work.fetching_ms,
            wait: work.wait,
            source: work.source,
            lane: None,
        };
        let sent = tokio::select! {
            sent = self.send(exchange, sending) => sent,
            () = self.wait_until_lost(exchange, upstream), if can_repeat => {
                let failed = Failed::timed_out("no_answer_in_time");
                upstream.state.ejection().record_failure(self.now());
                self.log_failed(exchange, upstream, "generate", &failed);
                Err(failed)
            }
        };
        let result = match sent {
            Ok(answer) => self.receive_opening(exchange, upstream, answer, held, received).await,
            Err(failed) => Err(failed),
        };
        let took = self.now() - started_at;
        exchange.tried.push(format!("{}({}ms)", upstream.entry.id, took.0));
        exchange.end_run(&result);
        if matches!(&result, Ok(Opened::Stream(_))) {
            let is_known = self.knows_software(exchange, upstream).await;
            self.record_origin(exchange, upstream, is_known);
        }
        if result.is_ok() {
            self.count_usage(exchange, self.now());
        }
        if let Err(failed) = &result {
            self.record_failure_signal(exchange, upstream, failed, Progress::Starting);
            self.refund_attempt(&exchange.service, &mut exchange.was_sent, arrival, failed);
        }
        Ok(result)
    }

    /// Receives the first event of a stream, or a whole answer that is none.
    async fn receive_opening(
        &self,
        exchange: &Exchange,
        upstream: &Arc<Upstream>,
        answer: Response,
        held: Held,
        received: Option<u64>,
    ) -> Result<Opened, Failed> {
        let opened = if answer.status().is_success() {
            let relay = Relay::open(self, exchange, answer, held, received).await;
            relay.map(|relay| Opened::Stream(Box::new(relay)))
        } else {
            self.collect(exchange, answer).await.map(Opened::Answer)
        };
        match &opened {
            Ok(opened) => self.record_sound_answer(upstream, opened.status()),
            Err(failed) => self.record_broken_answer(exchange, upstream, "first_event", failed),
        }
        let is_stream = matches!(&opened, Ok(Opened::Stream(_)));
        if is_stream && self.is_other_software(exchange, upstream) {
            return Err(Failed::may_have_run("software_replaced"));
        }
        opened
    }
}
