//! Sends the attempts of a request until one is answered or no further attempt is allowed.

use anvilhook_core::Verdict;
use anvilhook_core::admission::AdmissionOptions;
use anvilhook_core::attempts::AttemptId;
use anvilhook_core::routing::{Phase, UpstreamState};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::wire::{PRIORITY_HEADER, TIME_LEFT_HEADER};
use anvilhook_engine::{Attempt, Bounds, Error, Upstreams, WholeAnswer};
use anvilhook_http::clients::Connection;
use http::StatusCode;
use http::header::HeaderValue;
use rand_chacha::ChaCha8Rng;

use super::cancels::Running;
use super::choices::Progress;
use super::failures::{Code, Failure};
use super::requests::{ProxyRequest, RequestKind};

/// `ProxyOptions` limits the attempts, pauses and admission of one request.
#[derive(Clone, Copy, Debug)]
pub struct ProxyOptions {
    /// The maximum number of attempts per request.
    pub max_attempts: usize,
    /// The maximum number of consecutive attempts to resume a stream without an event in between.
    pub max_resumes: u32,
    /// The pause before a request goes to an upstream that it has already tried.
    pub backoff: Millis,
    /// The retry time that a caller is given when its request failed or found no upstream.
    pub retry_after: Millis,
    /// The options of admission.
    pub admission: AdmissionOptions,
}

impl Default for ProxyOptions {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            max_resumes: 3,
            backoff: Millis(50),
            retry_after: Millis(1_000),
            admission: AdmissionOptions::default(),
        }
    }
}

/// `Sending` sends attempts and receives their answers, either whole or streamed.
pub(super) trait Sending {
    /// The answer of an upstream.
    type Answer: Send;

    /// Sends the attempt.
    fn send(&self, attempt: &Attempt) -> impl Future<Output = Result<Self::Answer, Error>> + Send;

    /// Returns the status of an answer.
    fn status(answer: &Self::Answer) -> StatusCode;

    /// Converts a whole answer that the prefill engine gave before the attempt reached the decode
    /// engine.
    fn whole(answer: WholeAnswer) -> Self::Answer;
}

/// `Answered` is an upstream's answer together with its attempt.
pub(super) struct Answered<A, U: Upstreams> {
    /// The answer.
    pub answer: A,
    /// The attempt.
    pub running: Running<U>,
}

/// `Proxy` runs requests at upstreams and returns their answers.
#[derive(Debug)]
pub struct Proxy<C, U> {
    pub(super) clock: C,
    pub(super) upstreams: U,
    pub(super) options: ProxyOptions,
}

impl<C: Clock, U: Upstreams> Proxy<C, U> {
    /// Creates a proxy that sends attempts through `upstreams`.
    pub fn new(clock: C, upstreams: U, options: ProxyOptions) -> Self {
        Self { clock, upstreams, options }
    }

    /// Returns the time until the request's deadline.
    pub(super) fn time_left(&self, req: &ProxyRequest) -> Millis {
        req.deadline - self.clock.now()
    }

    /// Sends attempts until one is answered, or until the verdict, the deadline or the budget
    /// forbids another.
    pub(super) async fn run<S: Sending>(
        &self,
        req: &ProxyRequest,
        sending: &S,
        rng: &mut ChaCha8Rng,
    ) -> Result<Answered<S::Answer, U>, Failure> {
        let mut progress = Progress { tried: Vec::new(), attempts: 0, verdict: Verdict::NotRun };
        loop {
            if self.time_left(req) == Millis::ZERO {
                return Err(self.deadline_exceeded(progress.verdict));
            }
            let Some(placed) = self.place(req, &mut progress, rng).await? else {
                return Err(self.no_upstream(progress.verdict));
            };

            // Each attempt has its own id, so that answers can't be mixed up.
            let id = AttemptId::random(rng);
            let running = Running::new(self.upstreams.clone(), id, placed.held, req.is_chat());
            progress.attempts += 1;
            let (mut running, sent) = match placed.phase {
                Phase::Whole => {
                    let attempt = self.attempt(req, running.upstream(), progress.attempts, id);
                    (running, sending.send(&attempt).await)
                }
                Phase::Prefill | Phase::Decode => {
                    self.send_split(req, sending, running, &mut progress, rng).await
                }
            };
            progress.tried.push(running.upstream().name().clone());

            let failure = match sent {
                Ok(answer) => {
                    let is_failure = S::status(&answer).is_server_error();
                    self.record(&running, !is_failure);
                    if !is_failure {
                        req.service.budget.record_success();
                    }
                    // A server error may be retried at another upstream; if it can't be, it is
                    // itself the answer.
                    let verdict = progress.verdict.max(Verdict::MayHaveRun);
                    if !is_failure || !self.may_retry(req, verdict, progress.attempts) {
                        return Ok(Answered { answer, running });
                    }
                    running.ended();
                    progress.verdict = verdict;
                    None
                }
                Err(err) => {
                    if err.verdict() == Verdict::NotRun {
                        running.ended();
                    }
                    // A refusal shows that the upstream is alive.
                    let is_healthy = matches!(err, Error::Refused { .. } | Error::TooLarge { .. });
                    self.record(&running, is_healthy);
                    progress.verdict = progress.verdict.max(err.verdict());
                    Some(err)
                }
            };

            // A server error has already passed `may_retry`, which takes from the retry budget.
            if let Some(err) = failure {
                log_failed(req, &running, &err);
                // An answer that is too large would be too large from any upstream.
                let is_final = matches!(err, Error::TooLarge { .. });
                if is_final || !self.may_retry(req, progress.verdict, progress.attempts) {
                    return Err(self.final_failure(req, &err, progress.verdict));
                }
            }
            req.service.metrics.retries.inc();
        }
    }

    /// Records a success or a failure of the upstream, from which its ejection is decided.
    pub(super) fn record(&self, running: &Running<U>, is_healthy: bool) {
        let (ejection, now) = (running.upstream().ejection(), self.clock.now());
        if is_healthy { ejection.record_success(now) } else { ejection.record_failure(now) }
    }

    /// Creates the attempt to be sent to an upstream. `number` counts the request's attempts from
    /// 1.
    pub(super) fn attempt(
        &self,
        req: &ProxyRequest,
        upstream: &UpstreamState,
        number: usize,
        id: AttemptId,
    ) -> Attempt {
        let time_left = self.time_left(req);
        let mut headers = req.headers.clone();
        headers.insert(PRIORITY_HEADER, HeaderValue::from(u16::from(req.priority)));
        headers.insert(TIME_LEFT_HEADER, HeaderValue::from(time_left.0));

        // A pooled connection may be dead without either side having closed it. The first attempt
        // accepts this risk; a retry uses a new connection, or it could time out in the same way.
        let connection = if number <= 1 { Connection::Pooled } else { Connection::New };
        Attempt {
            id,
            address: upstream.address(),
            method: req.method.clone(),
            path: req.path.clone(),
            headers,
            body: req.body.clone(),
            connection,
            bounds: self.bounds(req, time_left),
        }
    }

    /// Returns the limits on time and size of an attempt that has `time_left`.
    pub(super) fn bounds(&self, req: &ProxyRequest, time_left: Millis) -> Bounds {
        let spec = &req.service.spec;
        // If the request can be retried, an answer that stops halfway must be aborted early enough
        // for another attempt.
        let retryable = spec.first_byte_ms.max(Millis(time_left.0 / 2));
        let whole = if req.idempotent { retryable } else { time_left };
        // The head of a non-streamed completion arrives only after all of its output has been
        // generated, which the declared time to the first byte does not cover.
        let first_byte = match req.kind {
            RequestKind::ChatWhole => retryable,
            RequestKind::ChatStreamed | RequestKind::Plain => spec.first_byte_ms,
        };
        Bounds {
            first_byte: first_byte.min(time_left),
            whole: whole.min(time_left),
            max_answer_bytes: usize::try_from(spec.max_answer_bytes).unwrap_or(usize::MAX),
        }
    }

    /// Returns whether the request may be sent again; if so, takes the retry from the budget.
    fn may_retry(&self, req: &ProxyRequest, verdict: Verdict, attempts: usize) -> bool {
        verdict.allows_retry(req.idempotent)
            && attempts < self.options.max_attempts
            && self.time_left(req) > Millis::ZERO
            && req.service.budget.try_take()
    }

    fn final_failure(&self, req: &ProxyRequest, err: &Error, verdict: Verdict) -> Failure {
        if self.time_left(req) == Millis::ZERO {
            return self.deadline_exceeded(verdict);
        }
        Failure::of_attempt(err, verdict).retry_after(self.options.retry_after)
    }

    /// Returns the failure of a request whose deadline has passed.
    pub(super) fn deadline_exceeded(&self, verdict: Verdict) -> Failure {
        let failure = Failure::not_run(Code::DeadlineExceeded, "the deadline has passed");
        Failure { verdict, ..failure }.retry_after(self.options.retry_after)
    }

    fn no_upstream(&self, verdict: Verdict) -> Failure {
        let failure = Failure::not_run(Code::NoUpstream, "no upstream of the service accepts work");
        Failure { verdict, ..failure }.retry_after(self.options.retry_after)
    }
}

fn log_failed<U: Upstreams>(req: &ProxyRequest, running: &Running<U>, err: &Error) {
    log::info!(
        request:% = req.id, attempt:% = running.attempt(), upstream:% = running.upstream().name(),
        verdict:% = err.verdict();
        "attempt failed: {err}"
    );
}
