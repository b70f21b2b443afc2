//! Choosing where a request runs, counting it in there, and refusing what can't be answered in time.

use anvilhook_core::Verdict;
use anvilhook_core::admission::{Admission, decide};
use anvilhook_core::names::UpstreamName;
use anvilhook_core::routing::{Candidate, Estimate, Phase, Placement, RouteRequest};
use anvilhook_core::units::{Clock, Millis, Tokens};
use anvilhook_engine::Upstreams;
use rand_chacha::ChaCha8Rng;

use super::attempts::Proxy;
use super::cancels::Held;
use super::failures::{Code, Failure};
use super::requests::ProxyRequest;

/// The length of a usual answer, by which admission judges.
const USUAL_OUTPUT: Tokens = Tokens(256);

/// `Progress` is what the attempts so far have come to.
pub(super) struct Progress {
    /// The upstreams that have been tried.
    pub tried: Vec<UpstreamName>,
    /// The number of attempts.
    pub attempts: usize,
    /// The greatest of their verdicts.
    pub verdict: Verdict,
}

/// `Placed` is a request that is counted in where its first part runs.
pub(super) struct Placed {
    /// What counts it in.
    pub held: Held,
    /// The part: the whole request, or the prompt if another engine is to generate.
    pub phase: Phase,
}

/// `Choice` is where a request could run.
struct Choice<'a> {
    first: Candidate<'a>,
    phase: Phase,
    /// What all of its parts are believed to take.
    estimate: Estimate,
}

impl<'a> From<Placement<'a>> for Choice<'a> {
    fn from(placement: Placement<'a>) -> Self {
        match placement {
            Placement::Whole(first) => {
                Self { first, phase: Phase::Whole, estimate: first.estimate }
            }
            Placement::Split { prefill, decode } => {
                let estimate = prefill.estimate.then(&decode);
                Self { first: prefill, phase: Phase::Prefill, estimate }
            }
        }
    }
}

impl ProxyRequest {
    /// Returns what the choice of an upstream needs to know.
    pub(super) fn route(&self) -> RouteRequest<'_> {
        RouteRequest {
            work: self.work,
            prefix: &self.prefix,
            deadline: self.deadline,
            priority: self.priority,
        }
    }

    /// Returns whether one engine can read the prompt and another generate. Without output to
    /// generate there is nothing to split.
    fn can_split(&self) -> bool {
        self.is_chat() && self.work.output.0 > 0
    }
}

impl<C: Clock, U: Upstreams> Proxy<C, U> {
    /// Chooses where the request runs and counts it in there: at an upstream that has not been
    /// tried if there is one, else at any, after a pause.
    pub(super) async fn hold(
        &self,
        req: &ProxyRequest,
        progress: &mut Progress,
        rng: &mut ChaCha8Rng,
    ) -> Result<Option<Placed>, Failure> {
        let placed = self.hold_untried(req, progress, rng)?;
        if placed.is_some() || progress.tried.is_empty() {
            return Ok(placed);
        }
        progress.tried.clear();
        let pause = self.options.backoff.min(self.time_left(req));
        tokio::time::sleep(pause.as_duration()).await;
        self.hold_untried(req, progress, rng)
    }

    fn hold_untried(
        &self,
        req: &ProxyRequest,
        progress: &Progress,
        rng: &mut ChaCha8Rng,
    ) -> Result<Option<Placed>, Failure> {
        let route = req.route();
        let table = &req.service.table;
        let mut shut_out = progress.tried.clone();
        loop {
            let now = self.clock.now();
            let placement = match req.can_split() {
                true => table.place(&route, &shut_out, now, rng),
                false => {
                    let whole = table.choose_for(Phase::Whole, &route, &shut_out, now, rng);
                    whole.map(Placement::Whole)
                }
            };
            let Some(choice) = placement.map(Choice::from) else { return Ok(None) };
            if progress.attempts == 0 {
                if shut_out.is_empty() {
                    req.service.meter.record(req.work, choice.first.uncached);
                }
                self.admit(req, &choice, now)?;
            }
            let Choice { first, phase, .. } = choice;
            let work = first.work(phase, req.work);
            if let Some(held) = Held::try_new(first.upstream, work, now) {
                return Ok(Some(Placed { held, phase }));
            }
            // The upstream began to drain between the choice and the count.
            shut_out.push(first.upstream.name().clone());
        }
    }

    /// Refuses a request that its best upstream is not believed to answer in time: it would only
    /// take the time of those that can be.
    fn admit(&self, req: &ProxyRequest, choice: &Choice<'_>, now: Millis) -> Result<(), Failure> {
        // Without a report there is nothing to believe.
        if !choice.first.upstream.has_report() {
            return Ok(());
        }
        let time = likely_time(req, &choice.estimate);
        match decide(&self.options.admission, time, req.deadline, now) {
            Admission::Run => Ok(()),
            Admission::Refuse { retry_after } => {
                let message = format!("the answer would take about {time}");
                let failure = Failure::not_run(Code::DeadlineUnreachable, message);
                Err(failure.retry_after(retry_after))
            }
        }
    }
}

/// Returns the time that an answer is likely to take. A bound on the output tells how long it may
/// become, not how long it will: an answer that would be short must not be kept out by it.
fn likely_time(req: &ProxyRequest, estimate: &Estimate) -> Millis {
    if !req.bounds_output {
        return estimate.first_token();
    }
    let (bound, usual) = (req.work.output.0 as f64, USUAL_OUTPUT.0 as f64);
    let decode_ms = estimate.decode_ms * (usual / bound.max(1.0)).min(1.0);
    estimate.first_token() + Millis(decode_ms as u64)
}
