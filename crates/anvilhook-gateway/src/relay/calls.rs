//! Calls an upstream over this instance's own path, or through another instance if only that one reaches it.

use std::net::SocketAddr;

use anvilhook_core::paths::{Conclusion, Contact, Path, conclude};
use anvilhook_core::sendings::{NotRunProof, Sending, Sendings, SentBefore};
use anvilhook_core::stream_origins::Software;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;
use anvilhook_http::{CallError, SendProgress, Stage};
use http::Request;
use volo_http::body::Body;
use volo_http::response::Response;

use super::Gateway;
use crate::events::{RequestEvent, emit};
use crate::fleets::Upstream;
use crate::forwarding::{ForwardOutcome, ForwardedCall, Purpose, Scope, outcome_of};
use crate::hashes::hash_of;
use crate::metrics::NameLabel;
use crate::wires::Wire;

/// The minimum time without a sign of life after which the path of a call in progress is checked.
const MIN_SILENCE: Millis = Millis(300);

/// The time without a sign of life after which the path is checked, as a multiple of the predicted time.
const SILENCE_FACTOR: f64 = 2.0;

/// How much longer this instance waits for a forwarder than the forwarder waits for the upstream.
const FORWARD_MARGIN: Millis = Millis(100);

/// The reason in the answer to a request whose upstreams no instance reaches.
pub(super) const UNREACHABLE: &str = "unreachable";

/// `UpstreamCall` is a call to an upstream.
pub(super) struct UpstreamCall<'a, F, P> {
    /// The id of the request, empty for a call that the gateway itself makes.
    pub request: &'a str,
    /// Creates the message. It is called once for each path that is tried.
    pub message: F,
    /// Returns whether the call may still be sent. It is asked again before each path, and after each change of the
    /// configuration while a connection is opened.
    pub may_send: P,
    pub connection: Connection,
    /// The software that the upstream must have, if the call continues a stream.
    pub software: Option<Software>,
    /// The timeout for the head of the answer.
    pub timeout: Millis,
    /// The predicted time until the answer, in milliseconds.
    pub predicted_ms: f64,
    /// Whether the call may be abandoned and sent again once its connection is found to transfer nothing.
    pub may_repeat: bool,
    /// The sendings of the request; `None` for a call that does not run it.
    pub sendings: Option<&'a Sendings>,
}

impl<F, P> UpstreamCall<'_, F, P> {
    /// Begins a sending of the request.
    fn begin(&self) -> Result<Option<Sending>, CallFailure> {
        let begun = self.sendings.map(Sendings::begin);
        begun.transpose().map_err(|SentBefore| CallFailure::SentBefore)
    }

    /// Records that a sending has not run and never will.
    pub fn prove(&self, sending: Option<Sending>, proof: NotRunProof) {
        if let Some((sendings, sending)) = self.sendings.zip(sending) {
            sendings.prove(sending, proof);
        }
    }

    /// Returns the connection on which another instance receives the call. A late answer of that instance to an
    /// earlier call must not be taken for the statement that it has not sent this one.
    fn forwarder_connection(&self) -> Connection {
        let runs_once = self.sendings.is_some_and(Sendings::runs_once);
        if runs_once { Connection::New } else { self.connection }
    }
}

/// `Answered` is the head of an answer, and the sending to which it belongs.
#[derive(Debug)]
pub(super) struct Answered {
    pub answer: Response,
    pub sending: Option<Sending>,
}

/// `CallFailure` is why a call has no answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CallFailure {
    /// The call failed at the upstream, or its connection did.
    Call(CallError),
    /// The connection transfers nothing any more because this instance's path is broken.
    PathBroken {
        /// Whether any of the call may have been sent.
        was_sent: bool,
    },
    /// The call may no longer be sent. Nothing was.
    Cancelled,
    /// The request may run at most once, and an earlier sending may run. This time nothing was sent.
    SentBefore,
    /// Neither this instance nor another one reaches the upstream. Nothing was sent.
    Unreachable,
}

/// `Forwarded` marks an answer that arrived through another instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forwarded;

/// `OtherContacts` is what other instances report of an upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct OtherContacts {
    /// The contacts of those whose paths are sound.
    pub contacts: Vec<Contact>,
    /// Whether any instance has answered. One of a build that does not forward does not.
    has_answer: bool,
}

impl OtherContacts {
    /// Adds the outcome of a call to one instance.
    fn add(&mut self, outcome: ForwardOutcome) {
        self.has_answer |= outcome != ForwardOutcome::NoForwarder;
        match outcome {
            ForwardOutcome::Reached => self.contacts.push(Contact::Connected),
            ForwardOutcome::NotReached { contact, is_sound: true } => self.contacts.push(contact),
            _ => {}
        }
    }

    /// Returns whether any instance has answered.
    pub fn has_answer(&self) -> bool {
        self.has_answer
    }

    /// Returns whether any instance has been refused or has had no response.
    pub fn has_failed(&self) -> bool {
        self.contacts.iter().any(|contact| *contact != Contact::Connected)
    }
}

/// `Through` is the result of a call through other instances.
enum Through {
    Answered(Answered),
    /// The call was not sent.
    NotSent(OtherContacts),
    /// The call may have been sent.
    Failed(CallError),
    /// The call must not be sent, as an earlier sending may run.
    SentBefore,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Calls an upstream and returns the head of its answer. A call whose connection can't be opened is sent
    /// through another instance: nothing of it has been sent, so it still runs at most once.
    pub(super) async fn call(
        &self,
        upstream: &Upstream,
        call: &UpstreamCall<'_, impl Fn() -> Request<Body>, impl Fn() -> bool>,
    ) -> Result<Answered, CallFailure> {
        let path = upstream.state.path().current();
        if path == Path::Unreachable {
            return Err(CallFailure::Unreachable);
        }
        if path.is_indirect() {
            return self.call_indirectly(upstream, call).await;
        }
        let failure = match self.call_directly(upstream, call).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        match &failure {
            CallFailure::Call(err) if err.stage == Stage::Connect => {
                self.check_path_later(upstream);
                self.call_after_failed_connect(upstream, call, err).await.unwrap_or(Err(failure))
            }
            CallFailure::PathBroken { was_sent: false } => {
                self.call_indirectly(upstream, call).await
            }
            // A reset of all connections looks the same from here whether the path or the upstream has failed.
            CallFailure::Call(err) if !err.timed_out => {
                self.check_path_later(upstream);
                Err(failure)
            }
            _ => Err(failure),
        }
    }

    /// Calls an upstream over this instance's own path.
    pub(super) async fn call_directly(
        &self,
        upstream: &Upstream,
        call: &UpstreamCall<'_, impl Fn() -> Request<Body>, impl Fn() -> bool>,
    ) -> Result<Answered, CallFailure> {
        let mut sending = call.begin()?;
        let progress = SendProgress::default();
        let request = self.inner.client.send_tracked(
            upstream.entry.address,
            (call.message)(),
            call.connection,
            call.timeout,
            &progress,
        );
        let sent = tokio::select! {
            biased;
            () = self.is_cancelled(call, &progress) => Err(CallFailure::Cancelled),
            sent = request => sent.map_err(CallFailure::Call),
            () = self.path_breaks(upstream, call.predicted_ms, call.may_repeat) => {
                Err(CallFailure::PathBroken { was_sent: !progress.withdraw() })
            }
        };
        // Only the progress proves it, whatever the failure looks like.
        if sent.is_err() && progress.withdraw() {
            call.prove(sending.take(), NotRunProof::Unsent);
        }
        let answer = sent?;
        upstream.state.path().record_contact(self.now());
        Ok(Answered { answer, sending })
    }

    /// Waits until a call may no longer be sent before any of it has been.
    ///
    /// While a connection is opened, the configuration may change by which the message was built: a key could reach
    /// the upstream.
    async fn is_cancelled(
        &self,
        call: &UpstreamCall<'_, impl Fn() -> Request<Body>, impl Fn() -> bool>,
        progress: &SendProgress,
    ) {
        while !progress.has_begun() {
            let change = self.inner.config_changes.notified();
            if !(call.may_send)() && progress.withdraw() {
                return;
            }
            change.await;
        }
        std::future::pending().await
    }

    /// Waits until connections to an upstream are found to transfer nothing while other instances reach it. With
    /// `may_repeat` false it never returns. An upstream that gives no sign of life for longer than predicted has
    /// its path checked.
    pub(super) async fn path_breaks(
        &self,
        upstream: &Upstream,
        predicted_ms: f64,
        may_repeat: bool,
    ) {
        let silence = MIN_SILENCE.max(Millis((predicted_ms * SILENCE_FACTOR) as u64));
        let path = upstream.state.path();
        let watching = async {
            tokio::time::sleep(silence.as_duration()).await;
            if !path.has_contact_within(MIN_SILENCE, self.now()) {
                self.check_path_later(upstream);
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = watching => {}
            () = path.is_silent(), if may_repeat => {}
        }
    }

    /// Sends a call through other instances because its connection could not be opened. Returns `None` if none of
    /// them has sent it.
    async fn call_after_failed_connect(
        &self,
        upstream: &Upstream,
        call: &UpstreamCall<'_, impl Fn() -> Request<Body>, impl Fn() -> bool>,
        err: &CallError,
    ) -> Option<Result<Answered, CallFailure>> {
        let own = if err.timed_out { Contact::NoResponse } else { Contact::Refused };
        match self.call_through_others(upstream, call).await {
            Through::Answered(answer) => {
                if let Conclusion::Path(path) = conclude(own, &[Contact::Connected]) {
                    self.record_path(upstream, path);
                }
                Some(Ok(answer))
            }
            Through::Failed(err) => Some(Err(CallFailure::Call(err))),
            Through::SentBefore => Some(Err(CallFailure::SentBefore)),
            Through::NotSent(others) => {
                // Calls of the gateway's own go to upstreams that are closed, too, and must not keep them closed.
                let is_own_call = call.request.is_empty();
                if !is_own_call && self.conclude_contacts(own, &others) == Conclusion::Closed {
                    self.close_upstream(upstream, None, call.request);
                }
                None
            }
        }
    }

    /// Calls an upstream that this instance itself does not reach.
    async fn call_indirectly(
        &self,
        upstream: &Upstream,
        call: &UpstreamCall<'_, impl Fn() -> Request<Body>, impl Fn() -> bool>,
    ) -> Result<Answered, CallFailure> {
        match self.call_through_others(upstream, call).await {
            Through::Answered(answer) => Ok(answer),
            Through::Failed(err) => Err(CallFailure::Call(err)),
            Through::SentBefore => Err(CallFailure::SentBefore),
            Through::NotSent(others) => {
                if others.contacts.contains(&Contact::Refused) {
                    self.pass_over(upstream);
                }
                Err(CallFailure::Unreachable)
            }
        }
    }

    async fn call_through_others(
        &self,
        upstream: &Upstream,
        call: &UpstreamCall<'_, impl Fn() -> Request<Body>, impl Fn() -> bool>,
    ) -> Through {
        let key = hash_of(&(call.request, upstream.hash));
        let mut others = OtherContacts::default();
        let forwarders = &self.inner.forwarders;
        for forwarder in forwarders.choose(self.peers(), upstream.hash, key, self.now()) {
            // The upstream may have begun to leave, or the caller's key may have been withdrawn, while another way was
            // tried.
            if !self.fleet().is_open(upstream.hash, self.now()) || !(call.may_send)() {
                break;
            }
            let Ok(sending) = call.begin() else { return Through::SentBefore };
            let sent_at = self.now();
            let (outcome, through) = self.call_through(forwarder, upstream, call, sending).await;
            self.record_forwarded(forwarder, upstream, call.request, outcome, sent_at);
            if let Some(through) = through {
                return through;
            }
            others.add(outcome);
            // One witness is enough here; the check of the path asks more of them.
            if others.has_failed() {
                break;
            }
        }
        Through::NotSent(others)
    }

    /// Sends a call through one instance. The result is `None` if that one did not send it to the upstream.
    async fn call_through(
        &self,
        forwarder: SocketAddr,
        upstream: &Upstream,
        call: &UpstreamCall<'_, impl Fn() -> Request<Body>, impl Fn() -> bool>,
        sending: Option<Sending>,
    ) -> (ForwardOutcome, Option<Through>) {
        let forwarded = ForwardedCall {
            upstream: upstream.hash,
            purpose: Purpose::Call,
            timeout: call.timeout,
            connection: call.connection,
            software: call.software,
        };
        let mut req = (call.message)();
        forwarded.write(req.headers_mut());
        let timeout = call.timeout + FORWARD_MARGIN;
        let connection = call.forwarder_connection();
        let sent = self.inner.client.send(forwarder, req, connection, timeout).await;
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(err) if err.stage == Stage::Connect => {
                call.prove(sending, NotRunProof::Unsent);
                return (ForwardOutcome::NoForwarder, None);
            }
            Err(err) => return (ForwardOutcome::Broken, Some(Through::Failed(err))),
        };
        let outcome = outcome_of(answer.headers_mut()).unwrap_or(ForwardOutcome::Broken);
        let through = match outcome {
            ForwardOutcome::Reached => {
                answer.extensions_mut().insert(Forwarded);
                Some(Through::Answered(Answered { answer, sending }))
            }
            ForwardOutcome::NoForwarder
            | ForwardOutcome::NotTaken
            | ForwardOutcome::NotOpen
            | ForwardOutcome::NoPath
            | ForwardOutcome::NotReached { .. } => {
                call.prove(sending, NotRunProof::NotForwarded);
                None
            }
            ForwardOutcome::Broken => {
                let err = CallError::broken(Stage::FirstByte, "broken behind the forwarder");
                Some(Through::Failed(err))
            }
            ForwardOutcome::TimedOut => {
                Some(Through::Failed(CallError::timed_out(Stage::FirstByte)))
            }
        };
        (outcome, through)
    }

    /// Asks other instances whether they reach an upstream.
    pub(super) async fn contacts_of_others(&self, upstream: &Upstream) -> OtherContacts {
        let forwarded = ForwardedCall {
            upstream: upstream.hash,
            purpose: Purpose::Check,
            timeout: MIN_SILENCE,
            connection: Connection::New,
            software: None,
        };
        let mut others = OtherContacts::default();
        let (forwarders, key) = (&self.inner.forwarders, u64::from(upstream.hash));
        for forwarder in forwarders.choose(self.peers(), upstream.hash, key, self.now()) {
            let mut req = Request::new(Body::empty());
            forwarded.write(req.headers_mut());
            let timeout = forwarded.timeout + FORWARD_MARGIN;
            let sent_at = self.now();
            let sent = self.inner.client.send(forwarder, req, Connection::Pooled, timeout).await;
            let outcome = sent.ok().and_then(|mut answer| outcome_of(answer.headers_mut()));
            let outcome = outcome.unwrap_or(ForwardOutcome::NoForwarder);
            self.record_forwarded(forwarder, upstream, "", outcome, sent_at);
            others.add(outcome);
            if outcome == ForwardOutcome::Reached {
                break;
            }
        }
        others
    }

    /// Returns what this instance's own contact and those of other instances show. If no other instance has
    /// answered, a refusal is the upstream's as long as this instance reaches upstreams in general.
    pub(super) fn conclude_contacts(&self, own: Contact, others: &OtherContacts) -> Conclusion {
        let is_alone = !others.has_answer;
        if is_alone && own == Contact::Refused && self.is_sound() {
            return Conclusion::Closed;
        }
        conclude(own, &others.contacts)
    }

    fn record_forwarded(
        &self,
        forwarder: SocketAddr,
        upstream: &Upstream,
        request: &str,
        outcome: ForwardOutcome,
        sent_at: Millis,
    ) {
        let (forwarders, now) = (&self.inner.forwarders, self.now());
        let failed = match outcome {
            ForwardOutcome::NoForwarder
            | ForwardOutcome::NotTaken
            | ForwardOutcome::NotReached { is_sound: false, .. } => Some(Scope::All),
            ForwardOutcome::NoPath | ForwardOutcome::NotOpen => {
                Some(Scope::Upstream(upstream.hash))
            }
            _ => None,
        };
        match failed {
            Some(scope) => {
                let is_near = self.peers().is_near(forwarder);
                forwarders.record_failure(forwarder, scope, is_near, now);
            }
            None => forwarders.record_success(forwarder, upstream.hash),
        }
        let label = NameLabel { name: outcome.as_str().to_owned() };
        self.metrics().forwarded_calls.get_or_create(&label).inc();
        emit(&RequestEvent::CallForwarded {
            request,
            upstream: &upstream.entry.id,
            forwarder: &forwarder.to_string(),
            outcome: outcome.as_str(),
            took_ms: (now - sent_at).0,
        });
    }
}
