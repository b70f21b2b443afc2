//! Choosing the upstream of an attempt, and refusing what can't be answered in time.

use anvilhook_core::Verdict;
use anvilhook_core::admission::{Admission, decide};
use anvilhook_core::names::UpstreamName;
use anvilhook_core::routing::{Candidate, Estimate, Phase, RouteRequest};
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

impl<C: Clock, U: Upstreams> Proxy<C, U> {
    /// Chooses an upstream and counts the request in there: one that has not been tried if there is
    /// one, else any, after a pause.
    pub(super) async fn hold(
        &self,
        req: &ProxyRequest,
        progress: &mut Progress,
        rng: &mut ChaCha8Rng,
    ) -> Result<Option<Held>, Failure> {
        let held = self.hold_untried(req, progress, rng)?;
        if held.is_some() || progress.tried.is_empty() {
            return Ok(held);
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
    ) -> Result<Option<Held>, Failure> {
        let route = RouteRequest {
            work: req.work,
            prefix: &req.prefix,
            deadline: req.deadline,
            priority: req.priority,
        };
        let mut closed = Vec::new();
        loop {
            let shut_out = if closed.is_empty() { &progress.tried } else { &closed };
            let now = self.clock.now();
            let chosen = req.service.table.choose_for(Phase::Whole, &route, shut_out, now, rng);
            let Some(chosen) = chosen else { return Ok(None) };
            if progress.attempts == 0 {
                self.admit(req, &chosen, now)?;
            }
            let work = chosen.work(Phase::Whole, req.work);
            if let Some(held) = Held::try_new(chosen.upstream, work, now) {
                return Ok(Some(held));
            }
            // The upstream began to drain between the choice and the count.
            if closed.is_empty() {
                closed.extend_from_slice(&progress.tried);
            }
            closed.push(chosen.upstream.name().clone());
        }
    }

    /// Refuses a request that its best upstream is not believed to answer in time: it would only
    /// take the time of those that can be.
    fn admit(
        &self,
        req: &ProxyRequest,
        chosen: &Candidate<'_>,
        now: Millis,
    ) -> Result<(), Failure> {
        // Without a report there is nothing to believe.
        if !chosen.upstream.has_report() {
            return Ok(());
        }
        let time = likely_time(req, &chosen.estimate);
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
