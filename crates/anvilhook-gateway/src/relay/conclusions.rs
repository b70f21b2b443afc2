//! Decides the gateway's own answer to a request that no upstream answers, and logs how each request ended.

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::paths::CHECK_INTERVAL;
use anvilhook_core::units::{Clock, Millis};
use http::StatusCode;

use super::Gateway;
use super::answers::Outcome;
use super::calls::UNREACHABLE;
use super::limits::LIMITED;
use super::places::{OVERLOAD, rejection_of};
use super::requests::Exchange;
use crate::events::{RequestEvent, emit};
use crate::fleets::Upstream;
use crate::metrics::{KindLabel, NameLabel, RejectionLabels, RequestLabels};
use crate::wires::Wire;

/// The reason in the answer to a request whose upstreams have all asked for a pause.
const PAUSED: &str = "upstreams_paused";

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Returns the answer for a request that is abandoned: a refusal only if it has not run.
    pub(super) fn abandoned_outcome(
        &self,
        exchange: &Exchange,
        cause: &'static str,
        pause: Millis,
    ) -> Outcome {
        if !exchange.sendings.may_have_run() {
            Outcome::refused(cause, self.retry_time(exchange, cause).unwrap_or(pause))
        } else if exchange.time_left(self.now()) == Millis::ZERO {
            Outcome::failed(StatusCode::GATEWAY_TIMEOUT, cause)
        } else {
            Outcome::may_have_run(cause)
        }
    }

    /// Returns the answer for a request that is abandoned and would not be served later either.
    pub(super) fn abandoned_for_good(&self, exchange: &Exchange, cause: &'static str) -> Outcome {
        match exchange.sendings.may_have_run() {
            false => Outcome::refused_for_good(cause),
            true => Outcome::may_have_run(cause),
        }
    }

    /// Returns the answer for a request that no upstream accepts. If all upstreams that could serve it have
    /// asked for a pause or have exhausted request limits, the answer names the time at which the first of
    /// them accepts requests again.
    pub(super) fn no_upstream_outcome(
        &self,
        exchange: &Exchange,
        cause: &'static str,
        pause: Millis,
    ) -> Outcome {
        match self.soonest_opening(exchange) {
            Some((soonest, cause)) => self.abandoned_outcome(exchange, cause, soonest),
            // Another path may be found by the next check.
            None if cause == UNREACHABLE => {
                self.abandoned_outcome(exchange, cause, pause.max(CHECK_INTERVAL))
            }
            None => self.abandoned_outcome(exchange, cause, pause),
        }
    }

    /// Returns the time until the first of the upstreams that could answer a request and are paused, or whose request
    /// limits are exhausted, accepts requests again, and which of the two it is. Returns `None` if there are none or
    /// if any upstream that could answer it accepts work.
    fn soonest_opening(&self, exchange: &Exchange) -> Option<(Millis, &'static str)> {
        let (now, view) = (self.now(), self.fleet().view());
        let is_answering =
            |one: &&Arc<Upstream>| one.role() != Some(Role::Prefill) && exchange.may_use(one);
        let answering = || view.of_service(&exchange.service).iter().filter(is_answering);
        if answering().any(|one| one.takes_work(now)) {
            return None;
        }
        let staying = answering().filter(|one| !one.is_leaving());
        let openings = staying.filter_map(|one| {
            let limited_until = one.state.request_limit().next_at(now);
            match one.state.paused_until(now) {
                Some(until) => Some((until.max(limited_until) - now, PAUSED)),
                None => (limited_until > now).then_some((limited_until - now, LIMITED)),
            }
        });
        openings.min()
    }

    pub(super) fn conclude(
        &self,
        exchange: Option<&Exchange>,
        outcome: &Outcome,
        arrived_at: Millis,
    ) {
        let took = self.now() - arrived_at;
        let config = self.inner.config.load();
        let upstreams = exchange.map_or_else(String::new, |exchange| exchange.tried.join(" "));
        let status = outcome.status().as_u16();
        let excess = exchange.map_or(0.0, |exchange| self.account_excess(exchange));
        let rejection = exchange.and_then(|exchange| rejection_of(exchange, outcome));
        emit(&RequestEvent::Concluded {
            request: exchange.map_or("", |exchange| &exchange.id),
            fingerprint: exchange.map(|exchange| exchange.fingerprint),
            route: exchange.map_or("", |exchange| &exchange.route.name),
            account: exchange
                .and_then(|exchange| exchange.access.account.as_ref())
                .map(|one| &*one.name),
            status,
            reason: outcome.reason(),
            retry_after_ms: outcome.retry_after().map(|pause| pause.0),
            upstreams: &upstreams,
            took_ms: took.0,
            had_ms: exchange.map_or(0, |exchange| (exchange.give_up_at - arrived_at).0),
            objective_ms: exchange.map_or(0, |exchange| exchange.route.objective.0),
            config: config.as_ref().map_or(0, |config| config.version),
            received_config: exchange.map(|exchange| exchange.received_config),
            has_key: exchange.is_some_and(|exchange| exchange.key.is_some()),
            excess: (excess > 0.0).then(|| (excess * 100.0).round() / 100.0),
            rejected_by: rejection.map(|(reason, _)| reason),
            predicted_wait_ms: rejection.and_then(|(_, predicted_ms)| predicted_ms),
        });
        if let Some(exchange) = exchange.filter(|_| excess > 0.0 && outcome.reason() == OVERLOAD) {
            self.metrics().account_rejected.get_or_create(&self.share_label(exchange)).inc();
        }
        if exchange.is_some_and(|exchange| exchange.continued.is_some()) {
            let label = NameLabel { name: outcome.reason().to_owned() };
            self.metrics().continued_streams.get_or_create(&label).inc();
        }
        let kind = exchange.map_or("unknown", |exchange| exchange.route.repeats.as_str());
        let declared = config.as_ref().map_or(0, |config| config.services().count());
        let service = exchange.map_or("", |exchange| &exchange.service);
        let service = self.inner.metrics.service_label(service, declared);
        if let Some((reason, _)) = rejection {
            let labels = RejectionLabels { service: service.clone(), reason };
            self.inner.metrics.rejections.get_or_create(&labels).inc();
        }
        let labels = RequestLabels { service, kind, status, reason: outcome.reason() };
        self.inner.metrics.requests.get_or_create(&labels).inc();
        let latency = self.inner.metrics.latency.get_or_create(&KindLabel { kind });
        latency.observe(took.as_secs_f64());
    }
}
