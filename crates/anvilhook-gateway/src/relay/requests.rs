//! Receives requests, checks their heads and selects the headers that are forwarded.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use anvilhook_core::Verdict;
use anvilhook_core::api_keys::{ClientAccount, KeyDigest};
use anvilhook_core::connection_admission::Direction;
use anvilhook_core::fair_shares::AccountKey;
use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::pacing::Waiting;
use anvilhook_core::sendings::Sendings;
use anvilhook_core::stream_origins::Software;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::collecting::{BodyBounds, CollectError, collect_body_within};
use anvilhook_http::counted;
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::request::Parts;
use http::{Method, StatusCode, Uri};
use volo_http::request::Request;

use super::Gateway;
use super::access::{key_of, no_access};
use super::answers::OwnAnswer;
use super::continuation::ContinuedStream;
use super::failures::Failed;
use super::places::{Place, Rejection};
use crate::configs::{Access, Config, Repeats, Route};
use crate::fleets::Upstream;
use crate::hashes::hash_of;
use crate::origins::RunningStream;
use crate::prompts::{Prompt, SharedPart};
use crate::suspects::Trial;
use crate::wires::Wire;

/// The deadline of a request without a deadline header.
const DEFAULT_DEADLINE: Millis = Millis::from_secs(30);

/// The timeout for receiving a request's body.
const BODY_TIMEOUT: Millis = Millis::from_secs(10);

/// How an attempt ended that brought an answer of the upstream.
const ANSWERED: &str = "answered";

/// The retry time for a caller of an instance that has no usable configuration.
const NO_CONFIG_PAUSE: Millis = Millis(300);

/// The retry time for a caller whose request did not fit into the memory. Another instance may have room at once.
pub(super) const NO_MEMORY_PAUSE: Millis = Millis(250);

/// The reason in the answer to a request that did not fit into the memory.
pub(super) const NO_MEMORY: &str = "no_request_memory";

/// `Exchange` is a request that is being served.
pub(crate) struct Exchange {
    pub id: Arc<str>,
    /// The fingerprint, which a caller's repeats of the request share although their ids differ.
    pub fingerprint: Fingerprint,
    /// The fingerprint that the request had or will have while the configuration has no accounts, if it has some, or
    /// the other way round. The caller's earlier requests may be known by it.
    pub other_fingerprint: Option<Fingerprint>,
    pub method: Method,
    pub uri: Uri,
    /// The caller's end-to-end headers.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub route: Arc<Route>,
    pub service: Arc<str>,
    /// The version of the configuration that was active when the request had been received.
    pub received_config: u64,
    /// The digest of the caller's API key, if it presented one.
    pub key: Option<KeyDigest>,
    /// On whose behalf the request is made, by the configuration that was checked last.
    pub access: Access,
    pub prompt: Option<Prompt>,
    /// The stream that the caller continues, if it has received a part of it.
    pub continued: Option<ContinuedStream>,
    /// The only software that may send the next event of the stream, once one has begun it.
    pub software: Option<Software>,
    /// The stream, once it has begun, if another request may continue it.
    pub running: Option<RunningStream>,
    /// The software of the engine that has read the prompt, if only engines of the same software may generate.
    pub read_by: Option<Software>,
    /// When the request arrived.
    pub arrived_at: Millis,
    /// Since when the caller waits for the next event: since the arrival, or since the last event before its
    /// stream broke.
    pub waits_since: Millis,
    /// When the caller must have received its final answer.
    pub give_up_at: Millis,
    /// The upstreams to which the request was sent, in order.
    pub tried: Vec<String>,
    /// How many times the request has been sent to upstreams, to have its prompt read or to run.
    pub attempts: AtomicU32,
    /// How the newest attempt ended, for logs, if there has been one.
    pub last_cause: Option<&'static str>,
    /// The sendings that run the request, and whether it may run at most once.
    pub sendings: Arc<Sendings>,
    /// How many attempts may have run.
    pub runs: u32,
    /// When the newest attempt began.
    pub attempt_began_at: Millis,
    /// Whether the prompt has been sent to an engine to be read (prefill).
    pub has_read: bool,
    /// Whether the request has been sent to an upstream to be answered.
    pub was_sent: bool,
    /// Whether the request has been counted in its account's usage.
    pub is_counted: bool,
    /// The work that it needs from engines and that has not been sent to one yet, in milliseconds, and the
    /// account that requests it.
    pub asked_work: Option<(AccountKey, f64)>,
    /// Its trial, if it is suspected of terminating engines.
    pub trial: Option<Trial>,
    /// Its place among the waiting requests, until it counts as in flight at an engine.
    pub place: Option<Place>,
    /// The time to the first event as last predicted, in milliseconds.
    pub predicted_ms: Option<f64>,
    /// Why it was rejected for lack of capacity.
    pub rejection: Option<Rejection>,
}

impl Exchange {
    /// Receives a whole request and finds its route.
    pub(super) async fn receive<W: Wire, C: Clock>(
        gateway: &Gateway<W, C>,
        req: Request,
        arrived_at: Millis,
    ) -> Result<Exchange, OwnAnswer> {
        let (parts, body) = req.into_parts();
        let names = gateway.wire().headers();
        let config = gateway.config().ok_or_else(no_config)?;
        let id = text(&parts.headers, &names.request_id).ok_or_else(no_id)?;
        let route = find_route(&config, &parts.headers, &parts.uri)?;
        let key = key_of(gateway.wire().key_hasher(), &parts.headers);
        config.access(route, key.as_ref()).ok_or_else(no_access)?;
        check_head(&config, &parts.headers, &parts.uri)?;

        let max_bytes = config.limits.max_body_bytes;
        let bounds = BodyBounds::new(max_bytes, BODY_TIMEOUT);
        let mut room = gateway.clients().hold_of(&parts.extensions).body_room();
        let collected = collect_body_within(body, &bounds, &mut room).await;
        let body = counted(collected.map_err(|err| unreceived(&err))?, room);

        gateway.record_bytes(Direction::Inbound, body.len());

        // A newer configuration may have become active while the body was received.
        let config = gateway.config().ok_or_else(no_config)?;
        let route = find_route(&config, &parts.headers, &parts.uri)?;
        let access = config.access(route, key.as_ref()).ok_or_else(no_access)?;
        let service = route.target(hash_of(id.as_str())).ok_or_else(no_target)?;
        let time_left = parts.headers.get(&names.deadline);
        let time_left = time_left.and_then(|value| gateway.wire().time_left(value));
        let deadline = arrived_at + time_left.unwrap_or(DEFAULT_DEADLINE);
        let timeout = route.timeout.map_or(deadline, |timeout| arrived_at + timeout);
        let former = key.as_ref().and_then(|key| config.known_account(key));
        let (fingerprint, other_fingerprint) = fingerprints_of(&access, former, &parts, &body);
        Ok(Exchange {
            fingerprint,
            other_fingerprint,
            id: Arc::from(id),
            service: Arc::clone(service),
            received_config: config.version,
            key,
            access,
            prompt: gateway.wire().prompt(&parts.headers),
            continued: ContinuedStream::of(route, &parts.headers, names)?,
            software: None,
            running: None,
            read_by: None,
            headers: end_to_end(&parts.headers, &names.reserved),
            method: parts.method,
            uri: parts.uri,
            body,
            route: Arc::clone(route),
            arrived_at,
            waits_since: arrived_at,
            give_up_at: deadline.min(timeout),
            tried: Vec::new(),
            attempts: AtomicU32::new(0),
            last_cause: None,
            sendings: Arc::new(sendings_by(route)),
            runs: 0,
            attempt_began_at: Millis::ZERO,
            has_read: false,
            was_sent: false,
            is_counted: false,
            asked_work: None,
            trial: None,
            place: None,
            predicted_ms: None,
            rejection: None,
        })
    }

    /// Looks up the service again, in the configuration that is active now.
    ///
    /// Otherwise a request that waits while a newer configuration becomes active could be sent to a service
    /// that the newer one no longer allows.
    pub fn refresh(&mut self, config: &Config) {
        let Some(route) = self.route_by(config) else { return };
        let has_begun = self.software.is_some();
        let kept = has_begun.then(|| route.targets.iter().find(|one| one.service == self.service));
        let kept = kept.flatten().map(|target| &target.service);
        if let Some(service) = kept.or_else(|| route.target(hash_of(&*self.id))) {
            self.service = Arc::clone(service);
            self.route = Arc::clone(route);
        }
        if !self.route.repeats.is_repeatable() {
            self.sendings.restrict();
        }
    }

    /// Returns whether the request may be sent again although it may have run: its route allows it, as did those that
    /// it had before.
    pub fn is_repeatable(&self) -> bool {
        self.route.repeats.is_repeatable() && !self.sendings.runs_once()
    }

    /// Returns on whose behalf the request is made by a configuration, or `None` if that does not allow it. A route
    /// that the configuration no longer has counts as it was.
    pub fn access_by(&self, config: &Config) -> Option<Access> {
        let route = self.route_by(config).unwrap_or(&self.route);
        config.access(route, self.key.as_ref())
    }

    fn route_by<'c>(&self, config: &'c Config) -> Option<&'c Arc<Route>> {
        config.route(&self.host(), self.uri.path())
    }

    /// Returns the host for which the request is meant, empty if it names none.
    pub fn host(&self) -> String {
        text(&self.headers, &header::HOST).unwrap_or_default()
    }

    /// Takes the service of an upstream that may continue the stream, if the route allows it. Where a route is split,
    /// another id would lead to another service.
    pub fn keep_service(&mut self, upstream: Option<&Upstream>) {
        let Some(service) = upstream.map(|upstream| &upstream.entry.service) else { return };
        if self.route.targets.iter().any(|target| target.service == *service) {
            self.service = Arc::clone(service);
        }
    }

    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> impl Iterator<Item = SharedPart> {
        let prompt = self.prompt.iter();
        prompt.flat_map(|prompt| prompt.shared_parts(&self.service))
    }

    /// Returns the request's priority; 0 is the highest.
    pub fn priority(&self) -> u8 {
        let account = self.access.account.as_ref();
        account.and_then(|account| account.priority).unwrap_or(self.route.priority)
    }

    /// Returns the request's fingerprint if it is on trial.
    pub fn suspect(&self) -> Option<Fingerprint> {
        self.trial.as_ref().map(|_| self.fingerprint)
    }

    /// Records how an attempt ended.
    pub(super) fn end_run<T>(&mut self, result: &Result<T, Failed>) {
        self.last_cause = Some(result.as_ref().map_or_else(|failed| failed.cause, |_| ANSWERED));
        let has_not_run = result
            .as_ref()
            .is_err_and(|failed| failed.verdict == Verdict::NotRun || !failed.was_sent);
        if !has_not_run {
            self.runs += 1;
        }
    }

    /// Returns how long the caller has waited, and how long it is willing to wait.
    pub fn waiting(&self, now: Millis) -> Waiting {
        Waiting {
            age: now - self.waits_since,
            objective: self.route.objective,
            wait_limit: self.route.patience.min(self.give_up_at - self.waits_since),
        }
    }

    /// Returns whether the caller must have left: its deadline has passed, or it has waited for the next
    /// event of its stream for longer than its wait limit.
    pub fn has_lost_its_caller(&self, now: Millis) -> bool {
        let is_stream = matches!(self.route.repeats, Repeats::Stream { .. });
        self.time_left(now) == Millis::ZERO
            || (is_stream && self.waiting(now).has_lost_its_caller())
    }

    /// Returns how long the caller still waits for the beginning of an answer.
    pub fn wait_left(&self, now: Millis) -> Millis {
        match self.route.repeats {
            Repeats::Stream { .. } => {
                let waiting = self.waiting(now);
                waiting.wait_limit - waiting.age
            }
            Repeats::Idempotent | Repeats::AtMostOnce => self.time_left(now),
        }
    }

    /// Returns the time until the caller's deadline.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.give_up_at - now
    }
}

/// Returns the sendings of a request that has just arrived.
fn sendings_by(route: &Route) -> Sendings {
    let sendings = Sendings::default();
    if !route.repeats.is_repeatable() {
        sendings.restrict();
    }
    sendings
}

/// Returns the fingerprint of a request, and the one that it has before or after a change between a configuration with
/// accounts and one without, if it differs. The caller is identified by its client account or else by its credentials,
/// if any, and not by its address: a client may repeat a request from another address. `former` is the account that
/// its key belongs to or belonged to last.
fn fingerprints_of(
    access: &Access,
    former: Option<&Arc<ClientAccount>>,
    head: &Parts,
    body: &[u8],
) -> (Fingerprint, Option<Fingerprint>) {
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    let credentials = text(&head.headers, &header::AUTHORIZATION).unwrap_or_default();
    let by_credentials = Fingerprint::of(&credentials, target, body);
    let by_account = |account: &ClientAccount| Fingerprint::of(&account.name, target, body);
    match &access.account {
        Some(account) => (by_account(account), Some(by_credentials)),
        None => (by_credentials, former.map(|account| by_account(account))),
    }
}

/// Returns the answer to a request whose body was not received.
fn unreceived(err: &CollectError) -> OwnAnswer {
    match err {
        CollectError::TooLarge(_) => {
            OwnAnswer::failed(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large")
        }
        CollectError::TimedOut => OwnAnswer::failed(StatusCode::REQUEST_TIMEOUT, "body_late"),
        CollectError::Fragmented => OwnAnswer::failed(StatusCode::BAD_REQUEST, "body_fragmented"),
        CollectError::NoRoom => OwnAnswer::refused(NO_MEMORY, NO_MEMORY_PAUSE),
        CollectError::Broken(_) => OwnAnswer::failed(StatusCode::BAD_REQUEST, "body_broken"),
    }
}

fn no_config() -> OwnAnswer {
    OwnAnswer::refused("no_configuration", NO_CONFIG_PAUSE)
}

fn no_id() -> OwnAnswer {
    OwnAnswer::failed(StatusCode::BAD_REQUEST, "no_request_id")
}

fn no_target() -> OwnAnswer {
    OwnAnswer::refused("route_without_service", NO_CONFIG_PAUSE)
}

fn find_route<'c>(
    config: &'c Config,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<&'c Arc<Route>, OwnAnswer> {
    let host = text(headers, &header::HOST).unwrap_or_default();
    let route = config.route(&host, uri.path());
    route.ok_or_else(|| OwnAnswer::failed(StatusCode::NOT_FOUND, "no_route"))
}

fn check_head(config: &Config, headers: &HeaderMap, uri: &Uri) -> Result<(), OwnAnswer> {
    const LINE_EXTRA: usize = 4;
    let fields: usize =
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + LINE_EXTRA).sum();
    if fields + uri.path().len() > config.limits.max_header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(OwnAnswer::failed(status, "head_too_large"));
    }
    let announced = text(headers, &header::CONTENT_LENGTH).and_then(|text| text.parse().ok());
    if announced.is_some_and(|length: usize| length > config.limits.max_body_bytes) {
        return Err(OwnAnswer::failed(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
    }
    Ok(())
}

/// Returns the value of a header as text.
pub(super) fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Returns the headers without hop-by-hop headers and without `reserved`.
pub(super) fn end_to_end(headers: &HeaderMap, reserved: &[HeaderName]) -> HeaderMap {
    const HOP_BY_HOP: [HeaderName; 7] = [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ];
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut forwarded = headers.clone();
    for name in &HOP_BY_HOP {
        forwarded.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        forwarded.remove(name);
    }
    for name in named {
        // A caller must not be able to remove the headers that identify the request's host and length.
        if name != header::HOST.as_str() && name != header::CONTENT_LENGTH.as_str() {
            forwarded.remove(name.as_str());
        }
    }
    for name in reserved {
        forwarded.remove(name);
    }
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded.remove(header::EXPECT);
    forwarded
}
