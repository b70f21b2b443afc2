//! Requests to model engines: the prompt is read, then the output is generated as a stream.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;
use http::HeaderValue;
use http::header::HeaderName;

use super::Gateway;
use super::answers::{Outcome, WholeAnswer};
use super::attempts::{Failed, Sending};
use super::handles::KvHandle;
use super::requests::Exchange;
use super::resumption::Relay;
use crate::configs::EngineSpec;
use crate::fleets::Upstream;
use crate::loads::Held;
use crate::placements::{Generator, Placer, Plan, Reader, Request};
use crate::prompts::{Part, Prompt};
use crate::wires::Wire;

/// The most sendings of one request after the first, refusals included.
const MAX_REPEATS: u32 = 2;

/// When a caller is to come back if no engine took its request.
const REFUSED_PAUSE: Millis = Millis(700);

/// The least time that an engine is given to read a prompt, and how much longer than predicted.
const MIN_READING_TIMEOUT: Millis = Millis(700);
const READING_PATIENCE: f64 = 4.0;

/// How long the first event of a stream that can be sent again may take.
const FIRST_EVENT_TIMEOUT: Millis = Millis(1_800);

/// The longest backlog at which the time taken says how fast an engine is, in milliseconds.
const IDLE_BACKLOG_MS: f64 = 5.0;

/// The least work that says how fast an engine is; the rest is mostly the way there and back.
const TELLING_MS: f64 = 40.0;

/// The least size of a prompt of whose caching the peers are told.
pub(super) const TOLD_TOKENS: u32 = 1_000;

/// `Opened` is what the attempts to open a stream came to.
pub(super) enum Opened {
    /// The first event has come.
    Stream(Box<Relay>),
    /// The upstream answered something else, whole.
    Answer(WholeAnswer),
}

/// `GenerateWork` is what generating asks of an engine before the first event.
#[derive(Clone, Debug, Default)]
struct GenerateWork {
    reading_ms: f64,
    fetching_ms: f64,
    first_event_ms: f64,
    source: Option<Arc<str>>,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    pub(super) async fn serve_prompt(&self, exchange: &mut Exchange) -> Outcome {
        self.inner.budget.record_request(&exchange.service, self.now());
        match self.open_stream(exchange, None, Vec::new()).await {
            Ok(Opened::Stream(relay)) => Outcome::Stream(relay),
            Ok(Opened::Answer(answer)) => Outcome::Whole(answer),
            Err(outcome) => outcome,
        }
    }

    /// Opens a stream, after the event `resume_after` if one is given. The engines in `avoid` are
    /// asked only where no other can go on.
    pub(super) async fn open_stream(
        &self,
        exchange: &mut Exchange,
        resume_after: Option<u64>,
        mut avoid: Vec<Arc<str>>,
    ) -> Result<Opened, Outcome> {
        let mut repeats = 0;
        loop {
            let failed = match self.try_stream(exchange, resume_after, &mut avoid).await? {
                Ok(opened) => return Ok(opened),
                Err(failed) => failed,
            };
            let is_spent = exchange.runs >= exchange.route.max_attempts;
            let is_final = failed.verdict != Verdict::NotRun
                && (!exchange.route.repeats.is_repeatable() || is_spent);
            repeats += 1;
            if is_final || repeats > MAX_REPEATS {
                return Err(self.given_up(exchange, failed.cause, REFUSED_PAUSE));
            }
        }
    }

    /// Makes one try at opening a stream. The outer error is final.
    async fn try_stream(
        &self,
        exchange: &mut Exchange,
        resume_after: Option<u64>,
        avoid: &mut Vec<Arc<str>>,
    ) -> Result<Result<Opened, Failed>, Outcome> {
        let Some(config) = self.config() else {
            return Err(self.given_up(exchange, "no_configuration", REFUSED_PAUSE));
        };
        exchange.refresh(&config);
        let engine = config.service(&exchange.service).and_then(|spec| spec.engine.clone());
        let prompt = exchange.prompt.clone();
        let (Some(engine), Some(prompt)) = (engine, prompt) else {
            return Ok(self.stream_plainly(exchange, resume_after, avoid).await);
        };
        let mut plan = self.plan(exchange, &engine, &prompt, avoid);
        if plan.is_none() && resume_after.is_some() {
            avoid.clear();
            plan = self.plan(exchange, &engine, &prompt, avoid);
        }
        let Some(plan) = plan else {
            return Err(self.given_up(exchange, "no_engine", REFUSED_PAUSE));
        };
        let time_left = exchange.time_left(self.now());
        if plan.first_token_ms() > time_left.0 as f64 {
            return Err(self.given_up(exchange, "overload", REFUSED_PAUSE));
        }
        let handle = match plan {
            Plan::Direct(generator) => {
                return self
                    .generate(exchange, &engine, &prompt, generator, None, resume_after, avoid)
                    .await;
            }
            Plan::Split(reader) => {
                match self.read_prompt(exchange, &engine, &prompt, reader, avoid).await? {
                    Ok(handle) => handle,
                    Err(failed) => return Ok(Err(failed)),
                }
            }
        };

        // The engine that generates is chosen by what is believed after the wait for the reading.
        let generator = self.with_placer(|placer| {
            let placed = self.placed(exchange, &engine, &prompt, avoid);
            placer.generator(&placed, handle.upstream())
        });
        let Some(generator) = generator else {
            return Err(self.given_up(exchange, "no_engine", REFUSED_PAUSE));
        };
        self.generate(exchange, &engine, &prompt, generator, Some(handle), resume_after, avoid)
            .await
    }

    fn plan(
        &self,
        exchange: &Exchange,
        engine: &EngineSpec,
        prompt: &Prompt,
        avoid: &[Arc<str>],
    ) -> Option<Plan> {
        self.with_placer(|placer| placer.plan(&self.placed(exchange, engine, prompt, avoid)))
    }

    fn placed<'a>(
        &self,
        exchange: &'a Exchange,
        engine: &'a EngineSpec,
        prompt: &'a Prompt,
        avoid: &'a [Arc<str>],
    ) -> Request<'a> {
        let body_bytes = exchange.body.len();
        Request { service: &exchange.service, engine, prompt, body_bytes, avoid }
    }

    fn with_placer<T>(&self, f: impl FnOnce(&Placer<'_>) -> T) -> T {
        let view = self.fleet().view();
        f(&Placer {
            view: &view,
            caches: &self.inner.caches,
            speed: &self.inner.options.speed,
            zone: &self.inner.options.zone,
            now: self.now(),
        })
    }

    fn urgency(&self, exchange: &Exchange) -> (HeaderName, HeaderValue) {
        const LEAST_URGENT: u8 = 9;
        let rank = exchange.route.priority.min(LEAST_URGENT);
        (self.wire().headers().priority.clone(), HeaderValue::from(u16::from(rank)))
    }

    /// Has an engine read the prompt and keep what it has read.
    async fn read_prompt(
        &self,
        exchange: &mut Exchange,
        engine: &EngineSpec,
        prompt: &Prompt,
        reader: Reader,
        avoid: &mut Vec<Arc<str>>,
    ) -> Result<Result<KvHandle<W, C>, Failed>, Outcome> {
        // The first such call of a request is no extra arrival.
        let is_first = !std::mem::replace(&mut exchange.has_read, true);
        if !is_first && !self.inner.budget.try_take(&exchange.service, self.now()) {
            return Err(self.given_up(exchange, "retry_budget", REFUSED_PAUSE));
        }
        let names = self.wire().headers();
        let mut extra =
            vec![(names.stage.clone(), self.wire().prefill_stage()), self.urgency(exchange)];
        if let Some(other) = &reader.fetch_from {
            let address = other.entry.address.to_string();
            let value = HeaderValue::try_from(address).expect("addresses are visible text");
            extra.push((names.kv_fetch.clone(), value));
        }
        let upstream = reader.upstream;
        let held = Held::with_work(Arc::clone(&upstream), reader.reading_ms, reader.fetching_ms);
        let backlog_ms = reader.backlog_ms;
        let slack = Millis((reader.total_ms * READING_PATIENCE) as u64);
        let started_at = self.now();
        let sending = Sending {
            upstream: &upstream,
            extra,
            connection: if is_first { Connection::Pooled } else { Connection::New },
            head_timeout: MIN_READING_TIMEOUT + slack,
            stage: "read",
            predicted_ms: reader.total_ms,
            source: reader.fetch_from.as_ref().map(|other| Arc::clone(&other.entry.id)),
        };
        let read = self.finish_reading(exchange, sending).await;
        drop(held);
        let took = self.now() - started_at;
        exchange
            .tried
            .push(format!("{}(read {}ms of {:.0})", upstream.entry.id, took.0, reader.total_ms));
        match read {
            Ok(handle) => {
                if backlog_ms < IDLE_BACKLOG_MS && reader.reading_ms > TELLING_MS {
                    let took_ms = (self.now() - started_at).0 as f64;
                    let expected_ms = reader.reading_ms / upstream.state.slowness();
                    upstream.state.record_reading(expected_ms, took_ms);
                }
                self.record_cached(&upstream.entry.id, &prompt.parts, engine);
                Ok(Ok(KvHandle::new(self.clone(), upstream, handle)))
            }
            Err(failed) => {
                avoid.push(Arc::clone(&upstream.entry.id));
                // Reading a prompt is not running the request.
                Ok(Err(Failed { verdict: Verdict::NotRun, ..failed }))
            }
        }
    }

    /// Notes what an engine now keeps, and has the peers told of it.
    pub(super) fn record_cached(&self, upstream: &Arc<str>, parts: &[Part], engine: &EngineSpec) {
        self.inner.caches.record(upstream, parts, engine.kv_tokens.0);
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        if tokens >= TOLD_TOKENS {
            let mut cached = self.inner.cached.lock().expect("no panic under this lock");
            cached.push((Arc::clone(upstream), parts.to_vec()));
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

    /// Has an engine generate the output, from a handle if there is one.
    #[allow(clippy::too_many_arguments, reason = "all parts of one decision")]
    async fn generate(
        &self,
        exchange: &mut Exchange,
        engine: &EngineSpec,
        prompt: &Prompt,
        generator: Generator,
        handle: Option<KvHandle<W, C>>,
        resume_after: Option<u64>,
        avoid: &mut Vec<Arc<str>>,
    ) -> Result<Result<Opened, Failed>, Outcome> {
        let work = match &handle {
            Some(handle) => GenerateWork {
                reading_ms: 0.0,
                fetching_ms: generator.fetching_ms,
                first_event_ms: generator.fetched_ms,
                source: Some(Arc::clone(&handle.upstream().entry.id)),
            },
            None => GenerateWork {
                reading_ms: generator.reading_ms,
                fetching_ms: 0.0,
                first_event_ms: generator.direct_ms,
                source: None,
            },
        };
        let mut extra = vec![self.urgency(exchange)];
        if let Some(handle) = &handle {
            extra.push((self.wire().headers().kv_source.clone(), handle.source()));
        }
        let upstream = generator.upstream;
        let opened = self.open_at(exchange, &upstream, work, extra, resume_after).await?;
        if let Some(mut handle) = handle {
            let is_refused = matches!(&opened, Err(failed) if failed.is_refusal);
            let reader = handle.upstream();
            reader.state.record_handle(!is_refused, self.now());
            if is_refused {
                // Either engine may be the cause, so the next try goes to two others.
                avoid.push(Arc::clone(&reader.entry.id));
            }
            if opened.is_ok() {
                handle.mark_used();
            }
        }
        match &opened {
            Ok(_) => self.record_cached(&upstream.entry.id, &prompt.parts, engine),
            Err(_) => avoid.push(Arc::clone(&upstream.entry.id)),
        }
        Ok(opened)
    }

    /// Opens a stream of a service whose upstreams are no model engines.
    async fn stream_plainly(
        &self,
        exchange: &mut Exchange,
        resume_after: Option<u64>,
        avoid: &mut Vec<Arc<str>>,
    ) -> Result<Opened, Failed> {
        let nobody = Failed { verdict: Verdict::NotRun, cause: "no_upstream", is_refusal: true };
        let Some(upstream) = self.choose_plain(&exchange.service, avoid) else {
            return Err(nobody);
        };
        avoid.push(Arc::clone(&upstream.entry.id));
        match self
            .open_at(exchange, &upstream, GenerateWork::default(), Vec::new(), resume_after)
            .await
        {
            Ok(opened) => opened,
            Err(_) => Err(nobody),
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
    ) -> Result<Result<Opened, Failed>, Outcome> {
        if !self.may_send(exchange) {
            return Err(self.given_up(exchange, "retry_budget", REFUSED_PAUSE));
        }
        if let Some(event) = resume_after {
            extra.push((self.wire().headers().last_event_id.clone(), HeaderValue::from(event)));
        }
        let time_left = exchange.time_left(self.now());
        let can_repeat = exchange.route.repeats.is_repeatable()
            && exchange.runs + 1 < exchange.route.max_attempts;
        let head_timeout = if can_repeat { FIRST_EVENT_TIMEOUT } else { time_left };
        let started_at = self.now();
        let could_have_run = std::mem::replace(&mut exchange.may_have_run, true);
        let held = Held::with_work(Arc::clone(upstream), work.reading_ms, work.fetching_ms);
        let connection = if exchange.runs > 0 { Connection::New } else { Connection::Pooled };
        let sending = Sending {
            upstream,
            extra,
            connection,
            head_timeout,
            stage: "generate",
            predicted_ms: work.first_event_ms,
            source: work.source,
        };
        let result = match self.send(exchange, sending).await {
            Ok(answer) if answer.status().is_success() => {
                let relay = Relay::open(self, exchange, answer, held, resume_after).await;
                relay.map(|relay| Opened::Stream(Box::new(relay)))
            }
            Ok(answer) => self.collect(exchange, answer).await.map(Opened::Answer),
            Err(failed) => Err(failed),
        };
        let took = self.now() - started_at;
        exchange.tried.push(format!("{}({}ms)", upstream.entry.id, took.0));
        match &result {
            Err(failed) if failed.verdict == Verdict::NotRun => {
                exchange.may_have_run = could_have_run;
            }
            _ => exchange.runs += 1,
        }
        Ok(result)
    }
}
