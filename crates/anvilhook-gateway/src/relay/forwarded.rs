//! Forwards calls for instances that can't reach an upstream themselves.

use std::sync::Arc;

use anvilhook_core::paths::{Contact, Path};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::{BodyBounds, collect_body_within};
use anvilhook_http::counted;
use anvilhook_http::{GuardedBody, Stage};
use http::{HeaderMap, Request as HttpRequest};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Gateway;
use super::calls::{Answered, CallFailure, UpstreamCall};
use super::collecting::passed_on;
use super::requests::{end_to_end, text};
use super::signals::AnswerSource;
use crate::events::{RequestEvent, emit};
use crate::fleets::Upstream;
use crate::forwarding::{CALL_HEADERS, ForwardOutcome, ForwardedCall, Purpose, unanswered};
use crate::metrics::NameLabel;
use crate::wires::Wire;

/// How recently an upstream must have answered for a forwarded call to use an open connection to it.
const ALIVE_TIME: Millis = Millis(100);

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Serves a call of another instance.
    pub(crate) async fn serve_forwarded(&self, req: Request) -> Response {
        let Some(call) = ForwardedCall::read(req.headers()) else {
            return unanswered(ForwardOutcome::NotTaken);
        };
        let request = text(req.headers(), &self.wire().headers().request_id).unwrap_or_default();
        let (outcome, answer) = match call.purpose {
            Purpose::Call => self.forward(req, &call).await,
            Purpose::Check => (self.check_for_other(&call).await, None),
        };
        let label = NameLabel { name: outcome.as_str().to_owned() };
        self.metrics().served_calls.get_or_create(&label).inc();
        let (request, upstream) = (&*request, call.upstream);
        emit(&RequestEvent::CallServed { request, upstream, outcome: outcome.as_str() });
        let Some(mut answer) = answer else { return unanswered(outcome) };
        outcome.write(answer.headers_mut());
        answer
    }

    /// Sends a call to its upstream, over this instance's own path only: two instances that each take the other
    /// for the better path would pass a call back and forth.
    async fn forward(
        &self,
        req: Request,
        call: &ForwardedCall,
    ) -> (ForwardOutcome, Option<Response>) {
        const NOT_TAKEN: (ForwardOutcome, Option<Response>) = (ForwardOutcome::NotTaken, None);
        let guard = (self.begin_flight(), self.inner.served_calls.begin());
        if guard.1.is_none() || self.is_stopping() {
            return NOT_TAKEN;
        }
        let Some(config) = self.config() else { return NOT_TAKEN };
        let (parts, body) = req.into_parts();
        let bounds = BodyBounds::new(config.limits.max_body_bytes, call.timeout);
        let mut room = self.clients().hold_of(&parts.extensions).body_room();
        let Ok(body) = collect_body_within(body, &bounds, &mut room).await else {
            return NOT_TAKEN;
        };
        let body = counted(body, room);
        self.record_relayed(body.len());
        // Looked up only now: the upstream may have begun to leave while the body was received.
        let view = self.fleet().view();
        let listed = view.by_hash(call.upstream);
        let fits = |one: &Upstream| call.software.is_none_or(|software| software == one.software);
        let Some(upstream) = listed.filter(|one| one.is_open(self.now()) && fits(one)) else {
            return (ForwardOutcome::NotOpen, None);
        };
        if upstream.state.path().current() != Path::Direct {
            return (self.outcome_without_path(), None);
        }
        // The instance that sends the call may not know of the quarantine yet.
        let request = text(&parts.headers, &self.wire().headers().request_id).unwrap_or_default();
        if self.has_held_part(&request, &parts.headers, &upstream.entry.service) {
            return (ForwardOutcome::NotOpen, None);
        }
        let headers = end_to_end(&parts.headers, &CALL_HEADERS);
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let message = || {
            let mut req = HttpRequest::new(Body::from(body.clone()));
            *req.method_mut() = parts.method.clone();
            *req.uri_mut() = target.parse().expect("the target came in a request");
            *req.headers_mut() = headers.clone();
            req
        };
        let sent_at = self.now();
        // What is written to an open connection that has begun to transfer nothing reaches the upstream once the path
        // heals, long after the caller has left.
        let is_alive = upstream.state.path().has_contact_within(ALIVE_TIME, sent_at);
        let connection = if is_alive { call.connection } else { Connection::New };
        emit(&RequestEvent::CallTaken {
            request: &request,
            upstream: &upstream.entry.id,
            connection: connection.as_str(),
        });
        let upstream_call = UpstreamCall {
            request: &request,
            message,
            may_send: || !self.contains_key(&headers),
            connection,
            software: call.software,
            timeout: call.timeout,
            predicted_ms: 0.0,
            may_repeat: false,
            sendings: None,
        };
        match self.call_directly(upstream, &upstream_call).await {
            Ok(Answered { answer, .. }) => {
                let source = AnswerSource::Request { id: &request, sent_at };
                self.record_response(upstream, source, answer.status(), answer.headers());
                (ForwardOutcome::Reached, Some(guarded(answer, guard)))
            }
            Err(failure) => (self.outcome_of_failure(upstream, &failure), None),
        }
    }

    /// Returns whether the prompt of a call to a service has a part for which it must not be sent.
    fn has_held_part(&self, request: &str, headers: &HeaderMap, service: &Arc<str>) -> bool {
        let Some(prompt) = self.wire().prompt(headers) else { return false };
        let parts = prompt.shared_parts(service);
        self.suspects().held_part(request, parts, self.now()).is_some()
    }

    fn outcome_of_failure(&self, upstream: &Upstream, failure: &CallFailure) -> ForwardOutcome {
        let err = match failure {
            CallFailure::Call(err) => err,
            CallFailure::Cancelled => return ForwardOutcome::NotOpen,
            _ => return ForwardOutcome::Broken,
        };
        if err.stage == Stage::Connect {
            self.check_path_later(upstream);
            let contact = if err.timed_out { Contact::NoResponse } else { Contact::Refused };
            return self.not_reached(contact);
        }
        if err.timed_out { ForwardOutcome::TimedOut } else { ForwardOutcome::Broken }
    }

    /// Returns the outcome for an upstream that this instance does not reach over its own path.
    fn outcome_without_path(&self) -> ForwardOutcome {
        match self.is_sound() {
            true => ForwardOutcome::NoPath,
            false => ForwardOutcome::NotReached { contact: Contact::NoResponse, is_sound: false },
        }
    }

    fn not_reached(&self, contact: Contact) -> ForwardOutcome {
        ForwardOutcome::NotReached { contact, is_sound: self.is_sound() }
    }

    /// Opens a connection to an upstream and returns whether that succeeds.
    async fn check_for_other(&self, call: &ForwardedCall) -> ForwardOutcome {
        let view = self.fleet().view();
        let Some(upstream) = view.by_hash(call.upstream) else { return ForwardOutcome::NotOpen };
        if upstream.state.path().current() != Path::Direct {
            return self.outcome_without_path();
        }
        match self.open_connection(upstream).await {
            Contact::Connected => {
                upstream.state.path().record_contact(self.now());
                ForwardOutcome::Reached
            }
            // Checking the own path as well would make that check ask further instances, and so on without end.
            failed => self.not_reached(failed),
        }
    }
}

/// Returns an upstream's answer whose body holds `guard` until it has been sent.
fn guarded<G: Unpin + Send + Sync + 'static>(answer: Response, guard: G) -> Response {
    let (mut parts, body) = answer.into_parts();
    parts.headers = passed_on(&parts.headers);
    Response::from_parts(parts, GuardedBody::wrap(body, guard))
}
