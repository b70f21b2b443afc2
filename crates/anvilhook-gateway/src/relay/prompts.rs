//! Requests to model engines: the prompt is read, then the output is generated as a stream.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::units::{Clock, Millis};
use http::HeaderValue;
use http::header::HeaderName;

use super::Gateway;
use super::answers::{Outcome, WholeAnswer};
use super::attempts::{Contact, Failed};
use super::requests::Exchange;
use super::resumption::Relay;
use super::stopping::STOPPING;
use super::waiting::Waited;
use crate::configs::EngineSpec;
use crate::placements::{Placer, Plan, Request};
use crate::prompts::{Part, Prompt};
use crate::wires::Wire;

/// The most sendings of one request after the first, refusals included, and the most that reach no
/// upstream.
const MAX_REPEATS: u32 = 2;
const MAX_UNREACHED: u32 = 4;

/// How old news of other availability zones' loads are where one instance of each tells them, in
/// milliseconds: half the pause between two of its tellings, twice, and the way.
const FAR_NEWS_MS: f64 = 120.0;

/// When a caller is to come back if no engine took its request.
pub(super) const REFUSED_PAUSE: Millis = Millis(700);

/// The least size of a prompt of whose caching the peers are told.
pub(crate) const MIN_PUBLISHED_TOKENS: u32 = 1_000;

/// `Opened` is what the attempts to open a stream came to.
pub(super) enum Opened {
    /// The first event has come.
    Stream(Box<Relay>),
    /// The upstream answered something else, whole.
    Answer(WholeAnswer),
}

/// `Tried` is what came of a try: the inner error may be followed by another try, the outer one is
/// the request's final answer.
pub(super) type Tried<T> = Result<Result<T, Failed>, Outcome>;

/// `Job` is what all steps of a try at opening a stream share.
pub(super) struct Job<'a> {
    /// What is declared of the service's engines.
    pub engine: &'a EngineSpec,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// The tightest objective of the service.
    pub tightest: Millis,
    /// The event after which the stream is to go on, if it was broken.
    pub resume_after: Option<u64>,
    /// The engines that have failed or refused the request.
    pub avoid: &'a mut Vec<Arc<str>>,
}

impl Job<'_> {
    /// Returns what is to be placed.
    pub fn request<'a>(&'a self, exchange: &'a Exchange) -> Request<'a> {
        Request {
            service: &exchange.service,
            engine: self.engine,
            prompt: self.prompt,
            body_bytes: exchange.body.len(),
            avoid: self.avoid,
            suspect: exchange.suspect(),
        }
    }
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
        let (mut repeats, mut unreached) = (0, 0);
        let mut last_answer = None;
        loop {
            let tried = match self.try_stream(exchange, resume_after, &mut avoid).await {
                Ok(tried) => tried,
                Err(outcome) => return last_answer.map(Opened::Answer).ok_or(outcome),
            };
            let failed = match tried {
                // An engine's own error is an answer, and better than none; another one may do better.
                Ok(Opened::Answer(answer)) if self.may_try_again(exchange, &answer) => {
                    last_answer = Some(answer);
                    continue;
                }
                Ok(opened) => return Ok(opened),
                Err(failed) => failed,
            };
            let is_spent = exchange.runs >= exchange.route.max_attempts;
            let is_final = failed.verdict != Verdict::NotRun
                && (!exchange.route.repeats.is_repeatable() || is_spent);
            match failed.contact {
                Contact::Made => repeats += 1,
                Contact::Refused | Contact::None => unreached += 1,
            }
            if is_final || repeats > MAX_REPEATS || unreached > MAX_UNREACHED {
                let outcome = self.no_upstream(exchange, failed.cause, REFUSED_PAUSE);
                return last_answer.map(Opened::Answer).ok_or(outcome);
            }
        }
    }

    /// Returns whether a request that an engine has failed may be sent to another one.
    fn may_try_again(&self, exchange: &Exchange, answer: &WholeAnswer) -> bool {
        answer.status.is_server_error()
            && exchange.route.repeats.is_repeatable()
            && exchange.runs < exchange.route.max_attempts
    }

    /// Makes one try at opening a stream. The outer error is final.
    async fn try_stream(
        &self,
        exchange: &mut Exchange,
        resume_after: Option<u64>,
        avoid: &mut Vec<Arc<str>>,
    ) -> Tried<Opened> {
        let Some(config) = self.config() else {
            return Err(self.given_up(exchange, "no_configuration", REFUSED_PAUSE));
        };
        exchange.refresh(&config);
        let engine = config.service(&exchange.service).and_then(|spec| spec.engine.clone());
        let prompt = exchange.prompt.clone();
        let (Some(engine), Some(prompt)) = (engine, prompt) else {
            if resume_after.is_none() && self.may_be_cut(exchange) {
                return Err(self.given_up(exchange, STOPPING, Millis::ZERO));
            }
            return self.stream_plainly(exchange, resume_after, avoid).await;
        };
        let tightest = config.tightest_objective(&exchange.service);
        let mut job = Job { engine: &engine, prompt: &prompt, tightest, resume_after, avoid };
        if resume_after.is_some() && self.plan(exchange, &job).is_none() {
            job.avoid.clear();
        }
        let (plan, wait) = match self.wait_for_reader(exchange, &job).await {
            Waited::Sent(plan, wait) => (plan, wait),
            Waited::NoEngine => return Err(self.no_upstream(exchange, "no_engine", REFUSED_PAUSE)),
            Waited::Hopeless => return Err(self.given_up(exchange, "overload", REFUSED_PAUSE)),
            Waited::Stopping => return Err(self.given_up(exchange, STOPPING, Millis::ZERO)),
            Waited::Moved => return Ok(Err(Failed::not_sent("moved"))),
        };
        let time_left = exchange.time_left(self.now());
        if plan.first_token_ms() > time_left.0 as f64 {
            return Err(self.given_up(exchange, "overload", REFUSED_PAUSE));
        }
        let reader = match plan {
            Plan::Direct(generator) => {
                return self.generate(exchange, &mut job, generator, None, wait).await;
            }
            Plan::Split(reader) => reader,
        };
        let handle = match self.read_prompt(exchange, &mut job, reader, wait).await? {
            Ok(handle) => handle,
            Err(failed) => return Ok(Err(failed)),
        };

        // The engine that generates is chosen by what is believed after the wait for the reading.
        match self.wait_for_generator(exchange, &job, handle.upstream()).await {
            Waited::Sent(generator, wait) => {
                self.generate(exchange, &mut job, generator, Some(handle), wait).await
            }
            Waited::NoEngine => Err(self.no_upstream(exchange, "no_engine", REFUSED_PAUSE)),
            Waited::Hopeless => Err(self.given_up(exchange, "overload", REFUSED_PAUSE)),
            Waited::Stopping => Err(self.given_up(exchange, STOPPING, Millis::ZERO)),
            Waited::Moved => Ok(Err(Failed::not_sent("moved"))),
        }
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
        let speed = self.inner.speeds.reading(&exchange.service);
        f(&Placer {
            view: &view,
            caches: &self.inner.caches,
            speed: &speed,
            output_ms: self.inner.speeds.mean_output_ms(&exchange.service),
            zone: &self.inner.options.zone,
            far_update_delay_ms: if self.peers().is_full_mesh() { 0.0 } else { FAR_NEWS_MS },
            now: self.now(),
        })
    }

    /// Returns the header that tells engines how urgent a request is.
    pub(super) fn urgency(&self, exchange: &Exchange) -> (HeaderName, HeaderValue) {
        const LEAST_URGENT: u8 = 9;
        let rank = exchange.priority().min(LEAST_URGENT);
        (self.wire().headers().priority.clone(), HeaderValue::from(u16::from(rank)))
    }

    /// Notes what an engine now keeps, and has the peers told of it.
    pub fn record_cached(&self, upstream: &Arc<str>, parts: &[Part], engine: &EngineSpec) {
        self.inner.caches.record(upstream, parts, engine.kv_tokens.0);
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        if tokens >= MIN_PUBLISHED_TOKENS {
            let mut cached = self.inner.cached.lock().expect("no panic under this lock");
            cached.push((Arc::clone(upstream), parts.to_vec()));
        }
    }
}
