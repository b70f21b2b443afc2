//! Chooses the upstream of a request, counts the request as in flight there, and refuses requests
//! that can't be answered in time.

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

/// The usual output length, which admission assumes for requests that bound their output.
const USUAL_OUTPUT: Tokens = Tokens(256);

/// `Progress` is the state of a request over its attempts so far.
pub(super) struct Progress {
    /// The upstreams that have been tried since the last backoff.
    pub tried: Vec<UpstreamName>,
    /// The number of attempts.
    pub attempts: usize,
    /// The greatest verdict of these attempts.
    pub verdict: Verdict,
}

/// `Placed` is a request that is counted as in flight at the upstream of its first part.
pub(super) struct Placed {
    /// Counts the request as in flight until dropped.
    pub held: Held,
    /// The first part: the whole request, or only the prefill if another engine generates.
    pub phase: Phase,
}

/// `Choice` is a possible placement of a request.
struct Choice<'a> {
    first: Candidate<'a>,
    phase: Phase,
    /// The estimated time over all parts of the request.
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
    /// Returns the properties of the request that routing depends on.
    pub(super) fn route(&self) -> RouteRequest<'_> {
        RouteRequest {
            work: self.work,
            prefix: &self.prefix,
            deadline: self.deadline,
            priority: self.priority,
        }
    }

    /// Returns whether prefill and decode can run on different engines. A request without output
    /// has no decode part, so it can't be split.
    fn can_split(&self) -> bool {
        self.is_chat() && self.work.output.0 > 0
    }
}

impl<C: Clock, U: Upstreams> Proxy<C, U> {
    /// Chooses an upstream and counts the request as in flight there. Upstreams that have not been
    /// tried yet are preferred; if there are none, any upstream is chosen after a backoff.
    pub(super) async fn place(
        &self,
        req: &ProxyRequest,
        progress: &mut Progress,
        rng: &mut ChaCha8Rng,
    ) -> Result<Option<Placed>, Failure> {
        let placed = self.place_untried(req, progress, rng)?;
        if placed.is_some() || progress.tried.is_empty() {
            return Ok(placed);
        }
        progress.tried.clear();
        let pause = self.options.backoff.min(self.time_left(req));
        tokio::time::sleep(pause.as_duration()).await;
        self.place_untried(req, progress, rng)
    }

    fn place_untried(
        &self,
        req: &ProxyRequest,
        progress: &Progress,
        rng: &mut ChaCha8Rng,
    ) -> Result<Option<Placed>, Failure> {
        let route = req.route();
        let table = &req.service.table;
        let mut excluded = progress.tried.clone();
        loop {
            let now = self.clock.now();
            let placement = match req.can_split() {
                true => table.place(&route, &excluded, now, rng),
                false => {
                    let whole = table.choose_for(Phase::Whole, &route, &excluded, now, rng);
                    whole.map(Placement::Whole)
                }
            };
            let Some(choice) = placement.map(Choice::from) else { return Ok(None) };
            if progress.attempts == 0 {
                if excluded.is_empty() {
                    req.service.meter.record(req.work, choice.first.uncached);
                }
                self.admit(req, &choice, now)?;
            }
            let Choice { first, phase, .. } = choice;
            let work = first.work(phase, req.work);
            if let Some(held) = Held::try_new(first.upstream, work, now) {
                return Ok(Some(Placed { held, phase }));
            }
            // The upstream began to drain after it was chosen and before the request was counted.
            excluded.push(first.upstream.name().clone());
        }
    }

    /// Refuses a request that even its best upstream is not expected to answer in time: it would
    /// only take capacity from requests that can still meet their deadlines.
    fn admit(&self, req: &ProxyRequest, choice: &Choice<'_>, now: Millis) -> Result<(), Failure> {
        // Without a load report there is no basis for an estimate.
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

/// Returns the expected time of an answer. `max_tokens` is only an upper bound on the output, so
/// the usual output length is assumed where it is shorter: otherwise a large bound would have a
/// request refused whose answer turns out short.
fn likely_time(req: &ProxyRequest, estimate: &Estimate) -> Millis {
    if !req.bounds_output {
        return estimate.first_token();
    }
    let (bound, usual) = (req.work.output.0 as f64, USUAL_OUTPUT.0 as f64);
    let decode_ms = estimate.decode_ms * (usual / bound.max(1.0)).min(1.0);
    estimate.first_token() + Millis(decode_ms as u64)
}
