//! Serves requests to plain services, whose upstreams are not model engines.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::plain_costs::{PlainLoad, PlainTime};
use anvilhook_core::speeds::Learning;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;

use super::Gateway;
use super::answers::{Outcome, WholeAnswer};
use super::attempts::Sending;
use super::failures::{Failed, SENT_BEFORE};
use super::limits::{LIMITED, LimitWait, ShareWait};
use super::requests::Exchange;
use super::stopping::STOPPING;
use super::waiting::Wait;
use crate::configs::Repeats;
use crate::fleets::Upstream;
use crate::hashes::hash_of;
use crate::loads::Held;
use crate::placements::suspect_rank;
use crate::slow_starts::Openings;
use crate::suspects::Progress;
use crate::wires::Wire;

/// The cost of an upstream in another availability zone, in requests in flight.
const FAR_COST: f64 = 4.0;

/// The additional cost of a request that would be queued, in requests in flight.
const QUEUED_COST: f64 = 3.0;

/// The precision of the hash that spreads the choices of instances.
const SPREAD_STEPS: u64 = 1_000;

/// The maximum number of times that one request is sent, refusals included.
const MAX_SENDS: usize = 3;

/// The retry time for a caller whose request no upstream accepted.
const REFUSED_PAUSE: Millis = Millis(150);

/// The timeout of an attempt that may be repeated on another upstream, as a multiple of the objective.
const EARLY_TIMEOUT_FACTOR: u64 = 4;

impl<W: Wire, C: Clock> Gateway<W, C> {
    pub(super) async fn serve_plain(&self, exchange: &mut Exchange) -> Outcome {
        self.inner.budget.record_request(&exchange.service, self.now());
        let mut avoid: Vec<Arc<str>> = Vec::new();
        let mut last_answer: Option<WholeAnswer> = None;
        let (mut last_cause, mut pause) = ("no_upstream", REFUSED_PAUSE);
        let mut share_wait = ShareWait::default();
        while avoid.len() < MAX_SENDS {
            if let Some(config) = self.config() {
                exchange.refresh(&config);
            }
            if exchange.runs >= exchange.route.max_attempts {
                break;
            }
            if self.may_be_interrupted(exchange) {
                (last_cause, pause) = (STOPPING, Millis::ZERO);
                break;
            }
            if let Some(refusal) = self.check_quarantine(exchange) {
                return last_answer.map_or(refusal, Outcome::Whole);
            }
            let avoided = self.avoided(exchange, &avoid, &share_wait);
            let Some(upstream) = self.choose_plain(exchange, &avoided) else {
                match self.wait_for_share(exchange, &avoid, &mut share_wait).await {
                    LimitWait::TryAgain => continue,
                    LimitWait::Refuse(soonest) => (last_cause, pause) = (LIMITED, soonest),
                    LimitWait::NotLimited => {}
                }
                break;
            };
            let Some(arrival) = self.admit_attempt(&exchange.service, &mut exchange.was_sent)
            else {
                last_cause = "retry_budget";
                break;
            };
            avoid.push(Arc::clone(&upstream.entry.id));
            match self.attempt_plain(exchange, &upstream).await {
                Ok(answer) if answer.status.is_server_error() && self.may_repeat(exchange) => {
                    last_answer = Some(answer);
                }
                Ok(answer) => return Outcome::Whole(answer),
                Err(failed) => {
                    self.refund_attempt(
                        &exchange.service,
                        &mut exchange.was_sent,
                        arrival,
                        &failed,
                    );
                    last_cause = failed.cause;
                    if failed.may_retry_upstream() {
                        avoid.pop();
                    }
                    let is_blocked = failed.cause == SENT_BEFORE;
                    if is_blocked
                        || (failed.verdict != Verdict::NotRun && !self.may_repeat(exchange))
                    {
                        break;
                    }
                }
            }
        }
        match last_answer {
            Some(answer) => Outcome::Whole(answer),
            None if [STOPPING, LIMITED].contains(&last_cause) => {
                self.abandoned_outcome(exchange, last_cause, pause)
            }
            None => self.no_upstream_outcome(exchange, last_cause, pause),
        }
    }

    fn may_repeat(&self, exchange: &Exchange) -> bool {
        let is_idempotent = exchange.route.repeats == Repeats::Idempotent;
        is_idempotent && exchange.is_repeatable() && exchange.runs < exchange.route.max_attempts
    }

    async fn attempt_plain(
        &self,
        exchange: &mut Exchange,
        upstream: &Arc<Upstream>,
    ) -> Result<WholeAnswer, Failed> {
        let time = self.policy().learnt_speeds.then(|| self.inner.speeds.plain(&exchange.service));
        let in_flight = upstream.state.work(self.now()).in_flight;
        let predicted_ms = time.as_ref().map_or(0.0, |time| self.plain_ms(upstream, time));
        let held = Held::new(Arc::clone(upstream));
        let is_last =
            !self.may_repeat(exchange) || exchange.runs + 1 >= exchange.route.max_attempts;
        let time_left = exchange.time_left(self.now());
        // Only a request that may be repeated times out early, so that another upstream has time for it.
        let early = (exchange.route.objective * EARLY_TIMEOUT_FACTOR).min(Millis(time_left.0 / 2));
        let head_timeout = if is_last { time_left } else { early };
        // The upstream may have closed a pooled connection, which is noticed only after the request was
        // written. A request that runs at most once could then not be sent again.
        let connection = if !exchange.is_repeatable() || exchange.runs > 0 {
            Connection::New
        } else {
            Connection::Pooled
        };
        exchange.tried.push(upstream.entry.id.to_string());
        let started_at = self.now();
        exchange.attempt_began_at = started_at;
        let sending = Sending {
            upstream,
            extra: Vec::new(),
            connection,
            head_timeout,
            may_repeat: !is_last,
            role: None,
            stage: "plain",
            predicted_ms,
            work_ms: 0.0,
            wait: Wait::NONE,
            source: None,
            lane: None,
        };
        let sent = self.send(exchange, sending).await;
        let result = match sent {
            Ok(answer) => {
                let collected = self.collect(exchange, answer).await;
                match &collected {
                    Ok(answer) => self.record_sound_answer(upstream, answer.status),
                    Err(failed) => self.record_broken_answer(exchange, upstream, "plain", failed),
                }
                collected
            }
            Err(failed) => Err(failed),
        };
        exchange.end_run(&result);
        if exchange.sendings.may_have_run() {
            self.count_usage(exchange, started_at);
        }
        drop(held);
        match &result {
            Ok(answer) if answer.status.is_success() => {
                // The time of a request that was queued does not show the upstream's speed.
                if time.is_some() && in_flight < upstream.entry.slots {
                    self.record_plain_time(exchange, upstream, started_at);
                }
                self.record_completed_run(exchange);
            }
            Ok(_) => {}
            Err(failed) => {
                self.record_failure_signal(exchange, upstream, failed, Progress::Starting);
            }
        }
        result
    }

    /// Updates the time of the service's requests and the upstream's speed from a request that found a free
    /// slot.
    fn record_plain_time(&self, exchange: &Exchange, upstream: &Upstream, started_at: Millis) {
        let now = self.now();
        let took_ms = (now - started_at).0 as f64;
        let (slowness, is_far) = (upstream.state.slowness_at(now), self.is_far(upstream));
        let speeds = &self.inner.speeds;
        let seen = speeds.record_plain(&exchange.service, took_ms, slowness, is_far);
        upstream.state.record_speed(seen, Learning::PLAIN, now);
    }

    fn is_far(&self, upstream: &Upstream) -> bool {
        *upstream.entry.zone != *self.inner.options.zone
    }

    /// Returns the predicted time until an upstream would complete one more request, in milliseconds.
    fn plain_ms(&self, upstream: &Upstream, time: &PlainTime) -> f64 {
        let now = self.now();
        let hash = hash_of(&(self.peers().number(), &*upstream.entry.id));
        let load = PlainLoad {
            in_flight: upstream.state.work(now).in_flight,
            slots: upstream.entry.slots,
            slowness: upstream.state.slowness_at(now),
            is_far: self.is_far(upstream),
            spread: (hash % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64,
        };
        load.completion_ms(time)
    }

    /// Chooses an upstream by the current state, so that one that began to leave during an earlier attempt
    /// is not chosen.
    pub(super) fn choose_plain(
        &self,
        exchange: &Exchange,
        avoid: &[Arc<str>],
    ) -> Option<Arc<Upstream>> {
        let now = self.now();
        let view = self.fleet().view();
        let slot = exchange.suspect().and_then(|suspect| self.suspects().trial_slot(suspect, now));
        // The time is the median of all instances' clocks. Only suspected requests need it.
        let turn = slot.map(|slot| (slot, self.usage().time(now)));
        let is_allowed = |upstream: &Upstream| {
            turn.is_none_or(|(slot, time)| slot.allows(hash_of(&*upstream.entry.id), time))
        };
        let available = view.of_service(&exchange.service).iter().filter(|upstream| {
            let is_usable = exchange.may_use(upstream) && is_allowed(upstream);
            upstream.takes_work(now) && !avoid.contains(&upstream.entry.id) && is_usable
        });
        let available: Vec<_> = available.collect();
        let healthy = available.iter().filter(|upstream| upstream.state.is_healthy(now));
        let healthy: Vec<_> = healthy.copied().collect();
        let mut candidates = if healthy.is_empty() { available } else { healthy };
        if let Some(openings) = self.openings()
            && Openings::may_pass_over(candidates.iter().copied(), now)
        {
            candidates.retain(|upstream| openings.is_open(upstream, now));
        }
        let is_learnt = self.uses_learnt_speeds(&exchange.service);
        let time = is_learnt.then(|| self.inner.speeds.plain(&exchange.service));
        let cost = |upstream: &Upstream| {
            if let Some(time) = &time {
                let risk = exchange.suspect().map_or(0, |one| suspect_rank(one, upstream));
                return self.plain_ms(upstream, time) + f64::from(risk) * time.mean_ms();
            }
            let in_flight = upstream.state.work(now).in_flight;
            let queued = in_flight.saturating_sub(upstream.entry.slots.saturating_sub(1));
            let far = if self.is_far(upstream) { FAR_COST } else { 0.0 };
            let risk = exchange.suspect().map_or(0, |suspect| suspect_rank(suspect, upstream));
            f64::from(in_flight + risk) + f64::from(queued) * QUEUED_COST + far
        };
        let costs = candidates.into_iter().map(|upstream| (cost(upstream), upstream));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, upstream)| Arc::clone(upstream))
    }
}
