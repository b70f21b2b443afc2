//! Sends a request to one upstream and checks the answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilhook_core::connection_admission::Direction;
use anvilhook_core::orders::Role;
use anvilhook_core::reading_lanes::Lane;
use anvilhook_core::sendings::{AnswerHead, Echo, Refusal};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;
use http::header::{AUTHORIZATION, CONTENT_ENCODING, HeaderName, HeaderValue};
use http::{Request, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use super::calls::{Answered, CallFailure, UpstreamCall};
use super::failures::{ACCESS_CHANGED, Failed, FailedAnswer, FailureSignal, SENT_BEFORE};
use super::requests::Exchange;
use super::signals::AnswerSource;
use super::waiting::Wait;
use super::{Gateway, PEER_SOURCE};
use crate::events::{RequestEvent, UpstreamEvent, emit};
use crate::fleets::Upstream;
use crate::followers::LIST_SOURCE;
use crate::loads::RoleObservation;
use crate::metrics::AttemptLabels;
use crate::wires::Wire;

/// The reason for which an attempt is not sent: a part of its prompt is on trial or quarantined.
const PART_HELD: &str = "part_held";

/// How long an upstream is not used after it refused a request although less than half of its slots were
/// taken, or refused a plain request as misdirected.
const WRONG_STAGE_PAUSE: Millis = Millis(300);

/// `Sending` describes how an attempt is sent.
pub(super) struct Sending<'a> {
    pub upstream: &'a Upstream,
    /// Headers that the gateway sets in addition to those of every attempt.
    pub extra: Vec<(HeaderName, HeaderValue)>,
    pub connection: Connection,
    /// The timeout for the head of the answer.
    pub head_timeout: Millis,
    /// Whether the attempt may be abandoned and made again once its connection transfers nothing any more.
    pub may_repeat: bool,
    /// The role that the upstream must have, if it is a model engine.
    pub role: Option<Role>,
    /// What the attempt is for, for logs.
    pub stage: &'static str,
    /// The predicted time until the attempt is done, in milliseconds, for logs.
    pub predicted_ms: f64,
    /// The part of that time that is the engine's own work, in milliseconds, for logs.
    pub work_ms: f64,
    /// How long the request was queued here before, for logs.
    pub wait: Wait,
    /// The engine from which the prompt is fetched, for logs.
    pub source: Option<Arc<str>>,
    /// The reading lane of the upstream, for logs.
    pub lane: Option<Lane>,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Sends a request and returns the head of its answer; the body is yet to be read.
    ///
    /// An answer that does not echo the request's id belongs to another request: on a reused connection, a
    /// late second answer to an earlier request can arrive in place of the expected one.
    pub(super) async fn send(
        &self,
        exchange: &Exchange,
        sending: Sending<'_>,
    ) -> Result<Response, Failed> {
        // An instance that was delayed, by CPU throttling or by a suspension, may process an answer that
        // arrived long ago before it notices that the caller's deadline has passed.
        if exchange.has_lost_its_caller(self.now()) {
            let failed = Failed::not_sent("caller_out_of_time");
            self.log_failed(exchange, sending.upstream, sending.stage, &failed);
            return Err(failed);
        }
        // The accounts may have changed while the request waited for a report.
        if !self.has_current_access(exchange) {
            let failed = Failed::not_sent(ACCESS_CHANGED);
            self.log_failed(exchange, sending.upstream, sending.stage, &failed);
            return Err(failed);
        }
        // A part may have been held while the request waited for its connection or a report.
        if self.held_part(exchange).is_some() {
            let failed = Failed::not_sent(PART_HELD);
            self.log_failed(exchange, sending.upstream, sending.stage, &failed);
            return Err(failed);
        }
        let runs_request = sending.role != Some(Role::Prefill);
        if runs_request && !exchange.sendings.may_begin() {
            let failed = Failed::sent_before();
            self.log_failed(exchange, sending.upstream, sending.stage, &failed);
            return Err(failed);
        }
        // Checks the current state again: an answer to another request may have changed what is known of
        // the upstream since it was chosen.
        if !self.fleet().still_takes_work(sending.upstream, self.now()) {
            let failed = Failed::not_sent("takes_no_work");
            self.log_failed(exchange, sending.upstream, sending.stage, &failed);
            return Err(failed);
        }
        if !sending.upstream.state.request_limit().try_take(self.share_basis()) {
            let failed = Failed::not_sent("limit_reached");
            self.log_failed(exchange, sending.upstream, sending.stage, &failed);
            return Err(failed);
        }
        self.record_bytes(Direction::Outbound, exchange.body.len());
        exchange.attempts.fetch_add(1, Ordering::AcqRel);
        self.log_placed(exchange, &sending);
        self.log_acceptance(exchange);
        let result = self.send_unlogged(exchange, &sending).await;
        let (state, now) = (&sending.upstream.state, self.now());
        match &result {
            // An engine that fails every request at once looks idle and would attract more and more requests.
            Ok(answer) if answer.status().is_server_error() && sending.role.is_some() => {
                state.ejection().record_failure(now);
                self.record_engine_error(sending.upstream, self.peers().number(), true);
                self.peers().announce();
            }
            // Whether the rest of the answer is sound shows only once it has been received.
            Ok(_) => {}
            Err(failed) => {
                if failed.is_refusal {
                    state.ejection().record_success(now);
                } else if failed.signal != FailureSignal::PathBroken && !failed.is_cancelled() {
                    state.ejection().record_failure(now);
                }
                self.log_failed(exchange, sending.upstream, sending.stage, failed);
            }
        }
        result
    }

    fn log_placed(&self, exchange: &Exchange, sending: &Sending<'_>) {
        let now = self.now();
        let age = |source| self.inner.metrics.source_age(source, now).map(|age| age.0);
        let limit = sending.upstream.state.request_limit().current_use(now);
        emit(&RequestEvent::Placed {
            request: &exchange.id,
            upstream: &sending.upstream.entry.id,
            version: sending.upstream.entry.version.as_deref(),
            stage: sending.stage,
            predicted_ms: sending.predicted_ms as u64,
            work_ms: sending.work_ms as u64,
            held_ms: sending.wait.held.0,
            pace: sending.wait.pace.as_str(),
            in_flight: sending.upstream.state.work(now).in_flight,
            limit_per_s: limit.map(|limit| limit.per_s),
            limit_sent: limit.map(|limit| limit.sent),
            source: sending.source.as_deref(),
            list_age_ms: age(LIST_SOURCE),
            peers_age_ms: age(PEER_SOURCE),
            slowness: (self.slowness_of(sending.upstream, now) * 100.0).round() / 100.0,
            lane: sending.lane.map(Lane::as_str),
            position: sending.wait.position,
            attempt: exchange.attempts.load(Ordering::Acquire),
            again_after: exchange.last_cause,
            kind: exchange.route.repeats,
            config: self.inner.config.load().as_ref().map_or(0, |config| config.version),
            connection: sending.connection.as_str(),
        });
    }

    pub(super) fn log_failed(
        &self,
        exchange: &Exchange,
        upstream: &Upstream,
        stage: &'static str,
        failed: &Failed,
    ) {
        let (verdict, cause) = (failed.verdict.as_str(), failed.cause);
        let contact_age = upstream.state.path().contact_age(self.now());
        let (request, upstream) = (&*exchange.id, &*upstream.entry.id);
        emit(&RequestEvent::AttemptFailed {
            request,
            upstream,
            fingerprint: exchange.fingerprint,
            stage,
            verdict,
            cause,
            step: failed.step,
            contact_age_ms: contact_age.map(|age| age.0),
            status: failed.answer.map(|answer| answer.status),
            echo: failed.answer.map(|answer| answer.echo.as_str()),
        });
        let labels = AttemptLabels { stage, verdict, cause, step: failed.step };
        self.inner.metrics.failed_attempts.get_or_create(&labels).inc();
        if cause == SENT_BEFORE {
            self.metrics().blocked_sendings.inc();
        }
    }

    async fn send_unlogged(
        &self,
        exchange: &Exchange,
        sending: &Sending<'_>,
    ) -> Result<Response, Failed> {
        let sent_at = self.now();
        let call = UpstreamCall {
            request: &exchange.id,
            message: || self.request_for(exchange, sending),
            may_send: || {
                self.may_still_send(exchange) && !self.fleet().has_replaced(sending.upstream)
            },
            connection: sending.connection,
            software: exchange.software.filter(|_| sending.role != Some(Role::Prefill)),
            timeout: sending.head_timeout.min(exchange.time_left(sent_at)),
            predicted_ms: sending.predicted_ms,
            may_repeat: sending.may_repeat,
            // Reading a prompt does not run the request.
            sendings: (sending.role != Some(Role::Prefill)).then_some(&exchange.sendings),
        };
        let Answered { answer, sending: sent } = match self.call(sending.upstream, &call).await {
            Ok(answered) => answered,
            Err(CallFailure::Cancelled) if !self.has_current_access(exchange) => {
                return Err(Failed::not_sent(ACCESS_CHANGED));
            }
            Err(failure) => return Err(failure.into()),
        };
        let source = AnswerSource::Request { id: &exchange.id, sent_at };
        self.record_response(sending.upstream, source, answer.status(), answer.headers());
        let names = self.wire().headers();
        let echoed = answer.headers().get(&names.request_id).map(HeaderValue::as_bytes);
        let head = AnswerHead {
            status: answer.status().as_u16(),
            echo: Echo::of(echoed, &exchange.id),
            says_not_run: answer.headers().contains_key(&names.not_run),
            is_on_new_connection: sending.connection == Connection::New,
        };
        if let Refusal::Proved(proof) = head.refusal() {
            call.prove(sent, proof);
        }
        let failed_answer = FailedAnswer { status: head.status, echo: head.echo };
        let checked = self.check(exchange, sending, answer, &head);
        checked.map_err(|failed| Failed { answer: Some(failed_answer), ..failed })
    }

    fn request_for(&self, exchange: &Exchange, sending: &Sending<'_>) -> Request<Body> {
        let names = self.wire().headers();
        let mut headers = exchange.headers.clone();
        let expected = HeaderValue::try_from(&*sending.upstream.entry.id);
        headers.insert(&names.expect_instance, expected.expect("ids are visible text"));
        let time_left = exchange.time_left(self.now());
        headers.insert(&names.deadline, HeaderValue::from(time_left.0));
        let id = HeaderValue::try_from(&*exchange.id).expect("the id came in a header");
        headers.insert(&names.request_id, id);
        if exchange.access.is_by_key {
            headers.remove(AUTHORIZATION);
        }
        if let Some(account) = &exchange.access.account {
            let name = HeaderValue::try_from(&*account.name).expect("names are visible text");
            headers.insert(&names.account, name);
        }
        for (name, value) in &sending.extra {
            headers.insert(name, value.clone());
        }
        let target = exchange.uri.path_and_query().map_or("/", |target| target.as_str());
        let mut req = Request::new(Body::from(exchange.body.clone()));
        *req.method_mut() = exchange.method.clone();
        *req.uri_mut() = target.parse().expect("the target came in a request");
        *req.headers_mut() = headers;
        req
    }

    fn check(
        &self,
        exchange: &Exchange,
        sending: &Sending<'_>,
        answer: Response,
        head: &AnswerHead,
    ) -> Result<Response, Failed> {
        let upstream = sending.upstream;
        let names = self.wire().headers();
        let headers = answer.headers();
        if head.echo == Echo::Other {
            return Err(Failed::may_have_run("answer_of_another_request"));
        }
        let load = headers.get(&names.load).and_then(|value| self.wire().load(value));
        if let Some(load) = load {
            upstream.state.record_load(load, self.now());
            if load.work_percent.is_some() {
                self.inner.speeds.record_report(&upstream.entry.service);
            }
        }
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            let answered_by = headers.get(&names.instance).map(HeaderValue::as_bytes);
            if answered_by.is_some_and(|id| id != upstream.entry.id.as_bytes()) {
                upstream.state.mark_gone(true);
                self.peers().announce();
                let (upstream, request) = (&*upstream.entry.id, &*exchange.id);
                emit(&UpstreamEvent::UpstreamGone { upstream, request });
            } else {
                self.record_wrong_role(exchange, sending);
            }
        }
        let refusal = head.refusal();
        if refusal == Refusal::Unproved {
            return Err(Failed::may_have_run("unproved_refusal"));
        }
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            return Err(Failed::refusal("misdirected"));
        }
        if refusal != Refusal::None {
            // An engine with free slots refuses because it changes its role, which the upstream table
            // does not show yet. Further requests to it would only use up the retry budget.
            let now = self.now();
            let has_source = sending.source.is_some();
            if load.is_some_and(|load| load.is_full()) {
                upstream.state.mark_full(now);
            }
            if upstream.entry.role.is_some()
                && !has_source
                && upstream.state.work(now).in_flight < upstream.entry.slots / 2
            {
                upstream.state.mark_own_away(now + WRONG_STAGE_PAUSE);
            }
            return Err(Failed::refusal("refused_by_upstream"));
        }
        if headers.contains_key(CONTENT_ENCODING) {
            return Err(Failed::may_have_run("encoded_answer"));
        }
        Ok(answer)
    }

    /// Records that an engine has the other role: it refused a request because of its current one.
    fn record_wrong_role(&self, exchange: &Exchange, sending: &Sending<'_>) {
        let upstream = sending.upstream;
        let role = match sending.role {
            Some(Role::Prefill) => Role::Decode,
            Some(_) => Role::Prefill,
            None => {
                upstream.state.mark_own_away(self.now() + WRONG_STAGE_PAUSE);
                return;
            }
        };
        let sequence = upstream.entry.sequence;
        upstream.state.observe_role(RoleObservation { role, sequence, is_own: true });
        self.peers().announce();
        let (request, upstream) = (&*exchange.id, &*upstream.entry.id);
        emit(&UpstreamEvent::RoleShown { upstream, role, request: Some(request) });
    }
}
