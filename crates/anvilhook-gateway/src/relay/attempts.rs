//! One sending of a request to one upstream, and the check of what comes back.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::ejections::may_eject;
use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::CallError;
use anvilhook_http::clients::{Connection, collect_body};
use anvilhook_http::pauses::retry_after;
use http::header::{AUTHORIZATION, CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
use http::{Request, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use super::answers::WholeAnswer;
use super::requests::{Exchange, end_to_end};
use super::waiting::Wait;
use super::{Gateway, PEER_SOURCE};
use crate::events::{Event, emit};
use crate::fleets::Upstream;
use crate::followers::LIST_SOURCE;
use crate::loads::RoleObservation;
use crate::metrics::AttemptLabels;
use crate::wires::Wire;

/// The most bytes of an answer that is collected before it is passed on.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// How long an engine that answered with the wrong stage is left alone.
const WRONG_STAGE_PAUSE: Millis = Millis(300);

/// How long an upstream whose host refuses connections is left alone by all instances. One that starts
/// again is listed about as late; one that was full has room by then.
const CLOSED_PAUSE: Millis = Millis(800);

/// `Failed` is an attempt that brought no answer to pass on.
#[derive(Clone, Debug)]
pub(super) struct Failed {
    pub verdict: Verdict,
    pub cause: &'static str,
    /// Whether the upstream itself refused, which shows that it is alive.
    pub is_refusal: bool,
    /// Whether the request reached the upstream.
    pub contact: Contact,
    /// What it says of the upstream itself.
    pub ending: Ending,
}

/// `Ending` is what a failed attempt says of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// The connection broke amid the attempt.
    Broken,
    /// Nothing came in time.
    Silent,
    /// Nothing: it answered, or was not reached.
    Unharmed,
}

/// `Contact` is how far an attempt got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Contact {
    /// The request was handed over, or may have been.
    Made,
    /// The upstream's host refused the connection: nothing listens there, or it takes no more.
    Refused,
    /// No connection was made.
    None,
}

impl Failed {
    fn refusal(cause: &'static str) -> Self {
        Self { is_refusal: true, contact: Contact::Made, ..Self::not_sent(cause) }
    }

    /// A try that ended before anything was sent.
    pub fn not_sent(cause: &'static str) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause,
            is_refusal: false,
            contact: Contact::None,
            ending: Ending::Unharmed,
        }
    }

    pub fn may_have_run(cause: &'static str) -> Self {
        Self { verdict: Verdict::MayHaveRun, contact: Contact::Made, ..Self::not_sent(cause) }
    }

    /// A try whose connection broke.
    pub fn broken(cause: &'static str) -> Self {
        Self { ending: Ending::Broken, ..Self::may_have_run(cause) }
    }

    /// A try of which nothing came in time.
    pub fn silent(cause: &'static str) -> Self {
        Self { ending: Ending::Silent, ..Self::may_have_run(cause) }
    }
}

impl From<CallError> for Failed {
    fn from(err: CallError) -> Self {
        let cause = match (err.timed_out, err.verdict()) {
            (true, _) => "no_answer_in_time",
            (false, Verdict::NotRun) => "no_connection",
            (false, _) => "connection_broken",
        };
        let contact = match (err.verdict(), err.timed_out) {
            (Verdict::NotRun, false) => Contact::Refused,
            (Verdict::NotRun, true) => Contact::None,
            _ => Contact::Made,
        };
        let ending = match (err.verdict(), err.timed_out) {
            (Verdict::NotRun, _) => Ending::Unharmed,
            (_, true) => Ending::Silent,
            (_, false) => Ending::Broken,
        };
        Self { verdict: err.verdict(), cause, is_refusal: false, contact, ending }
    }
}

/// `Sending` is how an attempt is sent.
pub(super) struct Sending<'a> {
    pub upstream: &'a Upstream,
    /// Headers that the gateway sets, beside those of every attempt.
    pub extra: Vec<(HeaderName, HeaderValue)>,
    pub connection: Connection,
    /// How long the head of the answer may take.
    pub head_timeout: Millis,
    /// The role that the upstream must have for it, if it is a model engine.
    pub role: Option<Role>,
    /// What the attempt is for, for logs.
    pub stage: &'static str,
    /// The predicted time until it is done, in milliseconds, for logs.
    pub predicted_ms: f64,
    /// What of that is the engine's own work, in milliseconds, for logs.
    pub work_ms: f64,
    /// How long the request was held before, for logs.
    pub wait: Wait,
    /// The engine from which the prompt is fetched, for logs.
    pub source: Option<Arc<str>>,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Sends a request and returns the head of its answer with the body still to come.
    ///
    /// An answer that does not echo the request's id belongs to another request: a second answer
    /// that comes late on a kept connection stands where this one's is expected.
    pub(super) async fn send(
        &self,
        exchange: &Exchange,
        sending: Sending<'_>,
    ) -> Result<Response, Failed> {
        // An instance that was held up, by its share of the processor or by a suspension, takes up an
        // answer that came long ago before it sees that the caller's time is over.
        if exchange.has_lost_its_caller(self.now()) {
            let failed = Failed::not_sent("caller_out_of_time");
            self.log_failed(exchange, sending.upstream, sending.stage, &failed);
            return Err(failed);
        }
        // By what is believed now: an answer to another request may have told of the upstream since it was
        // chosen.
        if !self.fleet().takes_work(&sending.upstream.entry.id, self.now()) {
            let failed = Failed::not_sent("takes_no_work");
            self.log_failed(exchange, sending.upstream, sending.stage, &failed);
            return Err(failed);
        }
        self.log_placed(exchange, &sending);
        self.log_taken(exchange);
        let result = self.send_unlogged(exchange, &sending).await;
        let (state, now) = (&sending.upstream.state, self.now());
        match &result {
            // An engine that fails each request at once seems idle, and would draw ever more of them.
            Ok(answer) if answer.status().is_server_error() && sending.role.is_some() => {
                state.ejection().record_failure(now);
                self.note_error(sending.upstream, self.peers().number(), true);
                self.peers().announce();
            }
            Ok(_) => state.ejection().record_success(now),
            Err(failed) => {
                if failed.is_refusal {
                    state.ejection().record_success(now);
                } else {
                    state.ejection().record_failure(now);
                }
                if failed.contact == Contact::Refused {
                    self.note_closed(exchange, sending.upstream);
                }
                self.log_failed(exchange, sending.upstream, sending.stage, failed);
            }
        }
        result
    }

    fn log_placed(&self, exchange: &Exchange, sending: &Sending<'_>) {
        let now = self.now();
        let age = |belief| self.inner.metrics.source_age(belief, now).map(|age| age.0);
        emit(&Event::Placed {
            request: &exchange.id,
            upstream: &sending.upstream.entry.id,
            stage: sending.stage,
            predicted_ms: sending.predicted_ms as u64,
            work_ms: sending.work_ms as u64,
            held_ms: sending.wait.held.0,
            pace: sending.wait.pace.as_str(),
            in_flight: sending.upstream.state.work(now).in_flight,
            source: sending.source.as_deref(),
            list_age_ms: age(LIST_SOURCE),
            peers_age_ms: age(PEER_SOURCE),
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
        let (request, upstream) = (&*exchange.id, &*upstream.entry.id);
        let fingerprint = exchange.fingerprint;
        emit(&Event::AttemptFailed { request, upstream, fingerprint, stage, verdict, cause });
        let labels = AttemptLabels { stage, verdict, cause };
        self.inner.metrics.failed_attempts.get_or_create(&labels).inc();
    }

    async fn send_unlogged(
        &self,
        exchange: &Exchange,
        sending: &Sending<'_>,
    ) -> Result<Response, Failed> {
        let entry = &sending.upstream.entry;
        let req = self.request_for(exchange, sending);
        let sent = self.inner.client.send(
            entry.address,
            req,
            sending.connection,
            sending.head_timeout.min(exchange.time_left(self.now())),
        );
        let answer = sent.await?;
        self.hear(sending.upstream, &exchange.id, answer.status(), answer.headers());
        self.check(exchange, sending, answer)
    }

    /// Notes what an upstream says of itself in the head of an answer.
    pub(super) fn hear(
        &self,
        upstream: &Upstream,
        request: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        // Another one may have got the address since. What it says is of itself.
        let named = headers.get(&self.wire().headers().instance);
        let named = named.and_then(|id| id.to_str().ok()).filter(|id| **id != *upstream.entry.id);
        let view;
        let upstream = match named {
            None => upstream,
            Some(id) => {
                view = self.fleet().view();
                let Some(other) = view.get(id) else { return };
                other
            }
        };
        let is_leaving = self.wire().says_leaving(headers);
        let is_news = is_leaving && self.mark_leaving(upstream);
        let pause = self.hear_pause(upstream, status, headers);
        if is_news || pause.is_some() {
            let (upstream, status) = (&*upstream.entry.id, status.as_u16());
            let pause_ms = pause.map(|pause| pause.0);
            emit(&Event::UpstreamTold { upstream, request, status, is_leaving, pause_ms });
        }
    }

    /// Takes in for how long an upstream wants nothing of this instance, and returns it if it is news.
    fn hear_pause(
        &self,
        upstream: &Upstream,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Option<Millis> {
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        match retry_after(headers) {
            Ok(pause) => pause.filter(|pause| upstream.state.pause(self.now() + *pause)),
            Err(err) => {
                emit(&Event::PauseIgnored { upstream: &upstream.entry.id, cause: err.to_string() });
                None
            }
        }
    }

    /// Notes that an upstream has told this instance that it leaves, and has the others told. Returns whether
    /// that is news.
    fn mark_leaving(&self, upstream: &Upstream) -> bool {
        let is_news = upstream.state.mark_leaving(true, self.now());
        if is_news {
            self.peers().announce();
        }
        is_news
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
    ) -> Result<Response, Failed> {
        let upstream = sending.upstream;
        let names = self.wire().headers();
        let headers = answer.headers();
        let is_own =
            headers.get(&names.request_id).is_none_or(|id| id.as_bytes() == exchange.id.as_bytes());
        if !is_own {
            return Err(Failed::may_have_run("answer_of_another_request"));
        }
        if let Some(load) = headers.get(&names.load).and_then(|value| self.wire().load(value)) {
            upstream.state.record_load(load, self.now());
        }
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            let answered_by = headers.get(&names.instance).map(HeaderValue::as_bytes);
            if answered_by.is_some_and(|id| id != upstream.entry.id.as_bytes()) {
                upstream.state.mark_gone(true);
                self.peers().announce();
                let (upstream, request) = (&*upstream.entry.id, &*exchange.id);
                emit(&Event::UpstreamGone { upstream, request });
            } else {
                self.note_wrong_role(exchange, sending);
            }
            return Err(Failed::refusal("misdirected"));
        }
        if headers.contains_key(&names.not_run) {
            // An engine with free places refuses because it changes its role, which the list does
            // not show yet. More requests would spend the retry budget there.
            let now = self.now();
            let has_source = sending.source.is_some();
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

    /// Notes that an engine refuses a request because of its role: it has the other one.
    fn note_wrong_role(&self, exchange: &Exchange, sending: &Sending<'_>) {
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
        emit(&Event::RoleShown { upstream, role, request: Some(request) });
    }

    /// Collects an answer whole. Only a signed one, or a signed failure, is passed on.
    pub(super) async fn collect(
        &self,
        exchange: &Exchange,
        answer: Response,
    ) -> Result<WholeAnswer, Failed> {
        let names = self.wire().headers();
        let (parts, body) = answer.into_parts();
        if !parts.headers.contains_key(&names.signature) {
            return Err(Failed::may_have_run("unsigned_answer"));
        }
        let body = self.collect_body(exchange, body).await?;
        let headers = passed_on(&parts.headers);
        Ok(WholeAnswer { status: parts.status, headers, body })
    }

    /// Collects a body whole within the time that the caller has.
    pub(super) async fn collect_body(
        &self,
        exchange: &Exchange,
        body: Body,
    ) -> Result<bytes::Bytes, Failed> {
        let collected = collect_body(body, MAX_ANSWER_BYTES, exchange.time_left(self.now()));
        collected.await.map_err(|err| match err.timed_out {
            true => Failed::silent("answer_late"),
            false => Failed::broken("answer_cut"),
        })
    }

    /// Counts an attempt in. Returns how, `None` if the budget forbids it. `has_sent` is whether the
    /// request has made such a call before: one to read its prompt, or one to be answered.
    ///
    /// Every arrival after the first counts against the budget, also one that the upstream refuses;
    /// otherwise retries would multiply an overload.
    pub(super) fn may_send(&self, service: &Arc<str>, has_sent: &mut bool) -> Option<Arrival> {
        if !std::mem::replace(has_sent, true) {
            return Some(Arrival::First);
        }
        self.try_take_extra(service).then_some(Arrival::Extra)
    }

    /// Takes an attempt back that reached no upstream.
    ///
    /// What never arrived is no load that a retry adds to. Counted, the refused connections of engines
    /// that crash together would spend the budget, and requests that other engines could serve would be
    /// refused for want of it.
    pub(super) fn take_back(
        &self,
        service: &Arc<str>,
        has_sent: &mut bool,
        arrival: Arrival,
        failed: &Failed,
    ) {
        match arrival {
            _ if failed.contact == Contact::Made => {}
            Arrival::First => *has_sent = false,
            Arrival::Extra => self.give_back_extra(service),
        }
    }

    /// Notes that an instance has got an engine's error. Once several have, all eject the engine for a
    /// while, unless too many are ejected already.
    pub fn note_error(&self, upstream: &Upstream, instance: u64, is_own: bool) {
        let now = self.now();
        let Some(alone) = upstream.state.record_error(instance, is_own, now) else { return };
        let view = self.fleet().view();
        let all = view.of_service(&upstream.entry.service);
        let ejected = all.iter().filter(|one| !one.state.is_healthy(now)).count();
        if !may_eject(all.len(), ejected) {
            return;
        }
        // Others that have heard the same reports tell it too.
        self.leave_alone(upstream, alone, "");
    }

    /// Notes that an upstream's host refuses connections, and has the others told.
    fn note_closed(&self, exchange: &Exchange, upstream: &Upstream) {
        self.leave_alone(upstream, CLOSED_PAUSE, &exchange.id);
    }

    /// Sends nothing to an upstream for a while, and has the others told. `request` is the id of the
    /// request that showed why, empty if none alone did.
    fn leave_alone(&self, upstream: &Upstream, pause: Millis, request: &str) {
        if upstream.state.mark_closed(self.now() + pause, true) {
            self.peers().announce();
            let upstream = &*upstream.entry.id;
            emit(&Event::UpstreamClosed { upstream, request, for_ms: pause.0 });
        }
    }
}

/// `Arrival` is how an attempt counts against the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Arrival {
    /// Not at all: it is the request's first.
    First,
    /// As an extra one.
    Extra,
}

/// Returns the headers of an upstream's answer that are passed on.
pub(super) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers, &[])
}
