//! Serves requests to model engines: one engine reads the prompt (prefill), then the same or another one
//! generates the output as a stream.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::reading_lanes::PromptSize;
use anvilhook_core::speeds::ReadingCost;
use anvilhook_core::units::{Clock, Millis};
use http::header::HeaderName;
use http::{HeaderValue, StatusCode};

use super::Gateway;
use super::answers::{Outcome, WholeAnswer};
use super::failures::Failed;
use super::handles::KvHandle;
use super::limits::{LIMITED, LimitTicket};
use super::places::Rejection;
use super::requests::Exchange;
use super::resumption::Relay;
use super::stopping::STOPPING;
use super::waiting::WaitOutcome;
use crate::configs::EngineSpec;
use crate::placements::{Placer, Plan, Request};
use crate::prompts::{Part, Prompt};
use crate::wires::Wire;

/// The maximum number of times that one request is resent, refusals included, and the maximum number of
/// attempts that reach no upstream.
const MAX_REPEATS: u32 = 2;
const MAX_UNREACHED: u32 = 4;

/// The age of load updates from other availability zones in zoned mode, where one instance of each zone
/// publishes them, in milliseconds: twice half the interval between two of its updates, plus the network
/// delay.
const FAR_UPDATE_DELAY_MS: f64 = 120.0;

/// The retry time for a caller whose request no engine accepted.
pub(super) const REFUSED_PAUSE: Millis = Millis(700);

/// The minimum size of a cached prompt that is published to peers, in tokens.
pub(crate) const MIN_PUBLISHED_TOKENS: u32 = 1_000;

/// `Opened` is the successful result of opening a stream.
pub(super) enum Opened {
    /// A stream whose first event has been received.
    Stream(Box<Relay>),
    /// A complete answer of the upstream that is not a stream.
    Answer(WholeAnswer),
}

impl Opened {
    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Opened::Stream(relay) => relay.status(),
            Opened::Answer(answer) => answer.status,
        }
    }
}

/// `TryResult` is the result of one try. After the inner error another try may follow; the outer error is the
/// request's final answer.
pub(super) type TryResult<T> = Result<Result<T, Failed>, Outcome>;

/// `Job` holds what all steps of one try at opening a stream share.
pub(super) struct Job<'a> {
    /// The declaration of the service's engines.
    pub engine: &'a EngineSpec,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// The tightest objective of the service.
    pub tightest: Millis,
    /// The event after which the stream is resumed, if it broke.
    pub resume_after: Option<u64>,
    /// The engines that have failed or refused the request.
    pub avoid: &'a mut Vec<Arc<str>>,
}

impl Job<'_> {
    /// Returns the request in the form that the placer takes.
    pub fn request<'a>(&'a self, exchange: &'a Exchange) -> Request<'a> {
        Request {
            service: &exchange.service,
            engine: self.engine,
            prompt: self.prompt,
            body_bytes: exchange.body.len(),
            avoid: self.avoid,
            software: exchange.software,
            suspect: exchange.suspect(),
            waits_since: exchange.waits_since,
        }
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    pub(super) async fn serve_prompt(&self, exchange: &mut Exchange) -> Outcome {
        self.inner.budget.record_request(&exchange.service, self.now());
        if let Some(refusal) = self.restrict_to_origin(exchange).await {
            return refusal;
        }
        match self.open_stream(exchange, None, Vec::new()).await {
            Ok(Opened::Stream(relay)) => Outcome::Stream(relay),
            Ok(Opened::Answer(answer)) => Outcome::Whole(answer),
            Err(outcome) => outcome,
        }
    }

    /// Opens a stream, after the event `resume_after` if one is given. The engines in `avoid` are used only
    /// if no other engine can resume the stream.
    pub(super) async fn open_stream(
        &self,
        exchange: &mut Exchange,
        resume_after: Option<u64>,
        mut avoid: Vec<Arc<str>>,
    ) -> Result<Opened, Outcome> {
        let (mut repeats, mut unreached) = (0, 0);
        let mut last_answer = None;
        loop {
            let tried = match self.try_stream(exchange, resume_after, &mut avoid).await {
                Ok(tried) => tried,
                Err(outcome) => return last_answer.map(Opened::Answer).ok_or(outcome),
            };
            let failed = match tried {
                // An engine's error is an answer, and better than none, but another engine may succeed.
                Ok(Opened::Answer(answer)) if self.may_try_again(exchange, &answer) => {
                    last_answer = Some(answer);
                    continue;
                }
                Ok(opened) => return Ok(opened),
                Err(failed) => failed,
            };
            let is_spent = exchange.runs >= exchange.route.max_attempts;
            let is_final =
                failed.verdict != Verdict::NotRun && (!exchange.is_repeatable() || is_spent);
            if failed.was_sent {
                repeats += 1;
            } else {
                unreached += 1;
            }
            if is_final || repeats > MAX_REPEATS || unreached > MAX_UNREACHED {
                let outcome = self.no_upstream_outcome(exchange, failed.cause, REFUSED_PAUSE);
                return last_answer.map(Opened::Answer).ok_or(outcome);
            }
        }
    }

    /// Returns whether a request that an engine answered with an error may be sent to another engine.
    fn may_try_again(&self, exchange: &Exchange, answer: &WholeAnswer) -> bool {
        answer.status.is_server_error()
            && exchange.is_repeatable()
            && exchange.runs < exchange.route.max_attempts
    }

    /// Tries once to open a stream. The outer error is final.
    async fn try_stream(
        &self,
        exchange: &mut Exchange,
        resume_after: Option<u64>,
        avoid: &mut Vec<Arc<str>>,
    ) -> TryResult<Opened> {
        let Some(config) = self.config() else {
            return Err(self.abandoned_outcome(exchange, "no_configuration", REFUSED_PAUSE));
        };
        exchange.refresh(&config);
        exchange.read_by = None;
        let engine = config.service(&exchange.service).and_then(|spec| spec.engine.clone());
        let prompt = exchange.prompt.clone();
        let (Some(engine), Some(prompt)) = (engine, prompt) else {
            return self.stream_plainly(exchange, resume_after, avoid).await;
        };
        let tightest = config.tightest_objective(&exchange.service);
        let mut job = Job { engine: &engine, prompt: &prompt, tightest, resume_after, avoid };
        if resume_after.is_some() && self.plan(exchange, &job).is_none() {
            job.avoid.clear();
        }
        let (plan, wait) = match self.wait_for_reader(exchange, &job).await {
            WaitOutcome::Send(plan, wait) => (plan, wait),
            other => {
                let outcome = self.outcome_of_wait(exchange, other);
                return outcome.map_or(Ok(Err(Failed::not_sent("moved"))), Err);
            }
        };
        let time_left = exchange.time_left(self.now());
        if plan.first_token_ms() > time_left.0 as f64 {
            exchange.rejection = Some(Rejection::NoTime);
            exchange.predicted_ms = Some(plan.first_token_ms());
            return Err(self.abandoned_outcome(exchange, "overload", REFUSED_PAUSE));
        }
        let reader = match plan {
            Plan::Direct(generator) => {
                return self.generate(exchange, &mut job, generator, &mut None, wait).await;
            }
            Plan::Split(reader) => reader,
        };
        let ticket = self.inner.limit_queues.begin_reading(&exchange.service);
        let handle = match self.read_prompt(exchange, &mut job, reader, wait).await? {
            Ok(handle) => handle,
            Err(failed) => return Ok(Err(failed)),
        };

        if !self.policy().caches_across_versions {
            exchange.read_by = Some(handle.upstream().software);
        }
        self.generate_from(exchange, &mut job, handle, ticket).await
    }

    /// Generates the output of a prompt that has been read. The engine is chosen by the state that is current now. If it
    /// is not reached, another one is, and the prompt need not be read again.
    async fn generate_from(
        &self,
        exchange: &mut Exchange,
        job: &mut Job<'_>,
        handle: KvHandle<W, C>,
        mut ticket: LimitTicket,
    ) -> TryResult<Opened> {
        let (reader, mut handle) = (Arc::clone(handle.upstream()), Some(handle));
        let mut unreached = 0;
        loop {
            let waited = self.wait_for_generator(exchange, job, &reader, ticket).await;
            let (generator, wait) = match waited {
                WaitOutcome::Send(generator, wait) => (generator, wait),
                // The engines that could use the reader's KV cache may have gone while others are left.
                WaitOutcome::NoEngine
                    if exchange.software.is_none() && exchange.read_by.is_some() =>
                {
                    job.avoid.push(Arc::clone(&reader.entry.id));
                    return Ok(Err(Failed::not_sent("no_engine")));
                }
                other => {
                    let outcome = self.outcome_of_wait(exchange, other);
                    return outcome.map_or(Ok(Err(Failed::not_sent("moved"))), Err);
                }
            };
            let opened = self.generate(exchange, job, generator, &mut handle, wait).await?;
            unreached += 1;
            if handle.is_none() || unreached > MAX_UNREACHED {
                return Ok(opened);
            }
            ticket = self.inner.limit_queues.begin_reading(&exchange.service);
        }
    }

    /// Returns the final answer to a request whose wait found no engine, or `None` if the request has moved to another
    /// service and is tried there.
    fn outcome_of_wait<P>(&self, exchange: &Exchange, waited: WaitOutcome<P>) -> Option<Outcome> {
        let refuse = |cause, pause| Some(self.abandoned_outcome(exchange, cause, pause));
        match waited {
            WaitOutcome::Send(..) | WaitOutcome::NoEngine => Some(self.no_engine_outcome(exchange)),
            WaitOutcome::Limited(soonest) => refuse(LIMITED, soonest),
            WaitOutcome::Hopeless => refuse("overload", REFUSED_PAUSE),
            WaitOutcome::Stopping => refuse(STOPPING, Millis::ZERO),
            WaitOutcome::Moved => None,
            WaitOutcome::Held(held) => Some(self.held_outcome(exchange, &held)),
            WaitOutcome::Denied(denied) => Some(denied),
        }
    }

    /// Returns the answer to a request that no engine can serve.
    fn no_engine_outcome(&self, exchange: &Exchange) -> Outcome {
        let gone = self.refuse_without_software(exchange);
        gone.unwrap_or_else(|| self.no_upstream_outcome(exchange, "no_engine", REFUSED_PAUSE))
    }

    pub(super) fn plan(&self, exchange: &Exchange, job: &Job<'_>) -> Option<Plan> {
        self.with_placer(exchange, |placer| placer.plan(&job.request(exchange)))
    }

    pub(super) fn with_placer<T>(
        &self,
        exchange: &Exchange,
        f: impl FnOnce(&Placer<'_>) -> T,
    ) -> T {
        let view = self.fleet().view();
        let learnt_speeds = self.uses_learnt_speeds(&exchange.service);
        let speed = self.reading_cost(&exchange.service);
        let tightest = self.tightest_objective(&exchange.service);
        let size = exchange.prompt.as_ref().map(|prompt| self.size_of(prompt, &exchange.service));
        let has_lanes = self.policy().reading_lanes;
        let is_full_mesh = self.peers().is_full_mesh();
        f(&Placer {
            view: &view,
            caches: &self.inner.caches,
            speed: &speed,
            learnt_speeds,
            output_ms: self.inner.speeds.mean_output_ms(&exchange.service),
            zone: &self.inner.options.zone,
            openings: self.openings(),
            far_update_delay_ms: if is_full_mesh { 0.0 } else { FAR_UPDATE_DELAY_MS },
            short_share: self.short_share(&exchange.service, size),
            tightest,
            instance: (has_lanes && !is_full_mesh).then(|| self.peers().number()),
            caches_across_versions: self.policy().caches_across_versions,
            now: self.now(),
        })
    }

    /// Returns the cost of reading prompts of a service.
    fn reading_cost(&self, service: &Arc<str>) -> ReadingCost {
        if self.uses_learnt_speeds(service) {
            self.inner.speeds.split_reading(service)
        } else {
            self.inner.speeds.reading(service)
        }
    }

    /// Returns the size of a prompt, by the work of reading all of it.
    fn size_of(&self, prompt: &Prompt, service: &Arc<str>) -> PromptSize {
        let whole_ms = self.reading_cost(service).work_ms(prompt.tokens, 0);
        PromptSize::of(whole_ms, self.tightest_objective(service))
    }

    /// Returns the share of a service's reading engines that is reserved for short prompts, if any.
    /// `arriving` is the size of the prompt that is to be placed.
    pub(crate) fn short_share(
        &self,
        service: &Arc<str>,
        arriving: Option<PromptSize>,
    ) -> Option<f64> {
        let share = || self.inner.speeds.short_share(service, arriving, self.now());
        let has_lanes = self.policy().reading_lanes
            && self.config().is_some_and(|config| config.has_mixed_objectives(service));
        has_lanes.then(share).flatten()
    }

    /// Records the reading work of a prompt that is sent to an engine, by the prompt's size.
    pub(super) fn record_prompt(&self, exchange: &Exchange, prompt: &Prompt, work_ms: f64) {
        let (speeds, service) = (&self.inner.speeds, &exchange.service);
        let size = self.size_of(prompt, service);
        speeds.record_prompt(service, size, work_ms, self.now());
    }

    fn tightest_objective(&self, service: &str) -> Millis {
        self.config().map_or(Millis::ZERO, |config| config.tightest_objective(service))
    }

    /// Returns the header that indicates to engines how urgent a request is.
    pub(super) fn urgency(&self, exchange: &Exchange) -> (HeaderName, HeaderValue) {
        const LEAST_URGENT: u8 = 9;
        let rank = exchange.priority().min(LEAST_URGENT);
        (self.wire().headers().priority.clone(), HeaderValue::from(u16::from(rank)))
    }

    /// Records what an engine's cache now holds, and publishes it to peers if it is large enough.
    pub fn record_cached(&self, upstream: &Arc<str>, parts: &[Part], engine: &EngineSpec) {
        self.inner.caches.record(upstream, parts, engine.kv_tokens.0);
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        if tokens >= MIN_PUBLISHED_TOKENS {
            let mut cached = self.inner.cached.lock().expect("no panic under this lock");
            cached.push((Arc::clone(upstream), parts.to_vec()));
        }
    }
}
