//! What is done with a request, by its path.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use anvilhook_core::Verdict;
use anvilhook_core::attempts::RequestId;
use anvilhook_core::resources::ServiceBackend;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::Upstreams;
use anvilhook_engine::wire::COMPLETIONS_PATH;
use anvilhook_http::Phase;
use anvilhook_store::claims::BodyDigest;
use bytes::Bytes;
use futures_util::stream::Stream;
use http::Method;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue};
use http::request::Parts;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::response::sse::{Event, Sse};

use super::bodies::{self, ChatHead};
use super::headers::{self, CallerHeaders};
use super::limits::{Flight, FlightBody};
use super::metrics::ServiceMetrics;
use super::states::{Account, Service};
use super::{Front, answers};
use crate::proxy::{
    CallerStream, ClaimRequest, Claims, Code, Failure, ProxyRequest, RequestKind, StreamEnd,
    StreamStart,
};

/// The beginning of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// `Arrival` is a request that has been let in.
struct Arrival {
    id: RequestId,
    arrived_at: Millis,
    caller: CallerHeaders,
    account: Arc<Account>,
    flight: Arc<Flight>,
    rng: ChaCha8Rng,
}

/// `Refused` is a request that goes no further, with the service that counts it, if one is known.
struct Refused {
    failure: Failure,
    metrics: Option<Arc<ServiceMetrics>>,
}

impl From<Failure> for Refused {
    fn from(failure: Failure) -> Self {
        Self { failure, metrics: None }
    }
}

impl Refused {
    fn by(service: &Service) -> impl FnOnce(Failure) -> Refused {
        let metrics = Arc::clone(&service.metrics);
        move |failure| Refused { failure, metrics: Some(metrics) }
    }
}

impl<C: Clock, U: Upstreams, K: Claims> Front<C, U, K> {
    /// Answers a chat completion.
    pub(super) async fn chat(&self, req: Request) -> Response {
        let (parts, body) = req.into_parts();
        let (id, rng) = self.identify(&parts);
        let result = match self.let_in(&parts, id, rng) {
            Ok(arrival) => self.answer_chat(arrival, &parts, body).await,
            Err(failure) => Err(failure.into()),
        };
        self.conclude(result, id)
    }

    /// Answers a call of a plain service.
    pub(super) async fn plain(&self, req: Request) -> Response {
        let (parts, body) = req.into_parts();
        let (id, rng) = self.identify(&parts);
        let result = match self.let_in(&parts, id, rng) {
            Ok(arrival) => self.answer_plain(arrival, &parts, body).await,
            Err(failure) => Err(failure.into()),
        };
        self.conclude(result, id)
    }

    /// Answers a request to a path that nothing is at.
    pub(super) async fn unknown(&self, req: Request) -> Response {
        let (parts, _body) = req.into_parts();
        let (id, rng) = self.identify(&parts);
        let message = "nothing is at this path";
        let refusal = Failure::not_run(Code::UnknownCall, message);
        let failure = self.let_in(&parts, id, rng).err().unwrap_or(refusal);
        self.conclude(Err(failure.into()), id)
    }

    /// Returns the request's id and its random generator.
    fn identify(&self, parts: &Parts) -> (RequestId, ChaCha8Rng) {
        let mut rng = self.inner.rngs.next();
        let given = headers::request_id(&parts.headers).ok().flatten();
        let id = given.unwrap_or_else(|| RequestId::random(&mut rng));
        (id, rng)
    }

    /// Checks all that can be checked without the body.
    fn let_in(&self, parts: &Parts, id: RequestId, rng: ChaCha8Rng) -> Result<Arrival, Failure> {
        let inner = &self.inner;
        let arrived_at = inner.clock.now();
        let retry_after = inner.options.proxy.retry_after;

        // The request is counted in before the phase is looked at: a stop that sets the phase and
        // then finds nothing in flight can't miss it.
        let (mut flight, fits) = inner.flights.enter(inner.options.max_open_requests);
        if inner.shutdown.phase() != Phase::Serving {
            let failure = Failure::not_run(Code::Draining, "the instance is stopping");
            return Err(failure.retry_after(Millis::ZERO));
        }
        if !fits {
            let message = format!("{} requests are open", inner.options.max_open_requests);
            return Err(Failure::not_run(Code::TooManyOpen, message).retry_after(retry_after));
        }
        let max_bytes = inner.options.max_header_bytes;
        if headers::header_bytes(&parts.headers) > max_bytes {
            let message = format!("the headers are larger than {max_bytes} bytes");
            return Err(Failure::not_run(Code::HeadersTooLarge, message));
        }

        let account = self.account(&parts.headers)?;
        headers::request_id(&parts.headers)?;
        let caller = CallerHeaders::try_parse(&parts.headers, inner.options.max_deadline)?;
        if let Err(refusal) = account.limiter.try_admit(arrived_at) {
            let message = format!("account {} has reached its limit", account.name);
            let failure = Failure::not_run(Code::AccountLimit, message);
            return Err(failure.retry_after(refusal.retry_after));
        }
        flight.admitted_by(Arc::clone(&account));
        Ok(Arrival { id, arrived_at, caller, account, flight: Arc::new(flight), rng })
    }

    fn account(&self, headers: &HeaderMap) -> Result<Arc<Account>, Failure> {
        let state = self.inner.state.load();
        let found = headers::bearer_token(headers).and_then(|token| state.account(token));
        found.cloned().ok_or_else(|| {
            Failure::not_run(Code::UnknownCredential, "no account has this bearer token")
        })
    }

    /// Logs and counts a failure, and turns the result into the answer.
    fn conclude(&self, result: Result<Response, Refused>, id: RequestId) -> Response {
        let refused = match result {
            Ok(answer) => return answer,
            Err(refused) => refused,
        };
        let failure = &refused.failure;
        log::info!(request:% = id, verdict:% = failure.verdict; "request failed: {failure}");
        refused.metrics.as_ref().unwrap_or(self.inner.metrics.unknown()).failed(failure);
        let mut answer = answers::failed(failure, id);
        // The rest of a body that was not read would be taken for the next request.
        let body_unread = matches!(failure.code, Code::BodyTooLarge | Code::HeadersTooLarge);
        if body_unread || failure.code == Code::Draining {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn answer_chat(
        &self,
        arrival: Arrival,
        parts: &Parts,
        body: Body,
    ) -> Result<Response, Refused> {
        let options = &self.inner.options;
        // The service stands in the body, so until that has been read only the instance's bounds
        // hold.
        let timeout = arrival.caller.deadline.unwrap_or(options.max_deadline);
        let body = bodies::read(&parts.headers, body, options.max_body_bytes, timeout).await?;
        let head = ChatHead::try_parse(&body)?;
        let service = self.chat_service(&head.model)?;
        let by_service = Refused::by(&service);
        let kind = if head.stream { RequestKind::ChatStreamed } else { RequestKind::ChatWhole };
        let time_left = arrival.caller.deadline.unwrap_or(service.spec.deadline_ms);
        let work = head.work(time_left);
        let (bounds_output, prefix) = (head.bounds_output(), head.prefix());
        let checked = bodies::check_size(body.len() as u64, service.spec.max_body_bytes)
            .and_then(|()| for_engine(&body, &head, &service));
        drop(head);
        let body = match checked {
            Ok(body) => body,
            Err(failure) => return Err(by_service(failure)),
        };

        let mut req = self.proxy_request(&arrival, &service, kind, body);
        req.idempotent = true;
        req.work = work;
        req.bounds_output = bounds_output;
        req.prefix = prefix;
        req.path = COMPLETIONS_PATH.to_owned();
        req.headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let answering = match kind {
            RequestKind::ChatStreamed => self.stream(arrival, req).await,
            RequestKind::ChatWhole | RequestKind::Plain => self.whole(arrival, req).await,
        };
        answering.map_err(by_service)
    }

    fn chat_service(&self, model: &str) -> Result<Arc<Service>, Failure> {
        let state = self.inner.state.load();
        state.chat_service(model).cloned().ok_or_else(|| {
            let message = format!("no service answers for model {model:?}");
            Failure::not_run(Code::UnknownService, message)
        })
    }

    async fn answer_plain(
        &self,
        arrival: Arrival,
        parts: &Parts,
        body: Body,
    ) -> Result<Response, Refused> {
        let path = parts.uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
        let (name, path) = path.split_once('/').unwrap_or((path, ""));
        let path = format!("/{path}");
        let service = self.plain_service(name)?;
        let by_service = Refused::by(&service);
        let idempotent = match find_call(&service, &parts.method, &path) {
            Ok(idempotent) => idempotent,
            Err(failure) => return Err(by_service(failure)),
        };
        let timeout = arrival.caller.deadline.unwrap_or(service.spec.deadline_ms);
        let max_bytes = service.spec.max_body_bytes;
        let body = match bodies::read(&parts.headers, body, max_bytes, timeout).await {
            Ok(body) => body,
            Err(failure) => return Err(by_service(failure)),
        };

        let mut req = self.proxy_request(&arrival, &service, RequestKind::Plain, body);
        req.idempotent = idempotent;
        req.method = parts.method.clone();
        req.path = match parts.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path,
        };
        req.headers = headers::end_to_end(&parts.headers);
        let answering = if idempotent {
            self.whole(arrival, req).await
        } else {
            self.carry_through(arrival, req).await
        };
        answering.map_err(by_service)
    }

    fn plain_service(&self, name: &str) -> Result<Arc<Service>, Failure> {
        let state = self.inner.state.load();
        let is_plain =
            |service: &&Arc<Service>| matches!(service.spec.backend, ServiceBackend::Plain { .. });
        state.service(name).filter(is_plain).cloned().ok_or_else(|| {
            Failure::not_run(Code::UnknownService, format!("no plain service is named {name:?}"))
        })
    }

    fn proxy_request(
        &self,
        arrival: &Arrival,
        service: &Arc<Service>,
        kind: RequestKind,
        body: Bytes,
    ) -> ProxyRequest {
        let spec = &service.spec;
        ProxyRequest {
            id: arrival.id,
            service: Arc::clone(service),
            kind,
            idempotent: false,
            method: Method::POST,
            path: String::new(),
            headers: HeaderMap::new(),
            body,
            arrived_at: arrival.arrived_at,
            deadline: arrival.arrived_at + arrival.caller.deadline.unwrap_or(spec.deadline_ms),
            priority: arrival.caller.priority.unwrap_or(spec.priority),
            work: Default::default(),
            bounds_output: false,
            prefix: Vec::new(),
        }
    }

    /// Answers a request whole.
    async fn whole(&self, mut arrival: Arrival, req: ProxyRequest) -> Result<Response, Failure> {
        let answer = self.inner.proxy.answer_whole(&req, &mut arrival.rng).await?;
        self.count_answered(&req, true);
        let answer = answers::answered(answer, req.id);
        Ok(answer.map(|body| FlightBody::cover(body, arrival.flight)))
    }

    /// Answers a request that may not be repeated. It is carried through also if its caller goes
    /// away: cut half-way, nobody would know whether it ran, and no outcome would be recorded.
    async fn carry_through(
        &self,
        arrival: Arrival,
        req: ProxyRequest,
    ) -> Result<Response, Failure> {
        let Arrival { id, caller, account, flight, mut rng, .. } = arrival;
        let front = self.clone();
        let carrying = tokio::spawn(async move {
            let inner = &front.inner;
            let result = match caller.idempotency_key {
                Some(key) => {
                    let claim_req = claim_request(&account, &req, key);
                    let claims = &inner.claims;
                    inner.proxy.answer_claimed(claims, &claim_req, &req, &mut rng).await
                }
                None => inner.proxy.answer_whole(&req, &mut rng).await,
            };
            if result.is_ok() {
                front.count_answered(&req, true);
            }
            result.map(|answer| (answer, flight))
        });
        let (answer, flight) = carrying.await.unwrap_or_else(|err| {
            let failure = Failure::not_run(Code::UpstreamFailed, format!("a task failed: {err}"));
            Err(Failure { verdict: Verdict::MayHaveRun, ..failure })
        })?;
        let answer = answers::answered(answer, id);
        Ok(answer.map(|body| FlightBody::cover(body, flight)))
    }

    /// Answers a request by a stream.
    async fn stream(&self, mut arrival: Arrival, req: ProxyRequest) -> Result<Response, Failure> {
        let req = Arc::new(req);
        let start = self.inner.proxy.answer_streamed(&req, &mut arrival.rng).await?;
        let stream = match start {
            StreamStart::Stream(stream) => stream,
            StreamStart::Whole(answer) => {
                self.count_answered(&req, true);
                let answer = answers::answered(answer, req.id);
                return Ok(answer.map(|body| FlightBody::cover(body, arrival.flight)));
            }
        };
        let now = self.inner.clock.now();
        req.service.metrics.first_byte.observe(now - req.arrived_at);

        let (tx, rx) = CallerStream::<C, U>::channel();
        let id = req.id;
        let front = self.clone();
        let flight = Arc::clone(&arrival.flight);
        tokio::spawn(async move {
            let end = stream.pump(tx).await;
            front.count_ended(&req, &end);
            drop(flight);
        });
        let mut answer = Sse::new(Events { rx, _flight: arrival.flight }).into_response();
        answers::name_request(answer.headers_mut(), id);
        Ok(answer)
    }

    fn count_answered(&self, req: &ProxyRequest, is_whole: bool) {
        let metrics = &req.service.metrics;
        let time = self.inner.clock.now() - req.arrived_at;
        metrics.answered.inc();
        metrics.whole.observe(time);
        if is_whole {
            metrics.first_byte.observe(time);
        }
    }

    fn count_ended(&self, req: &ProxyRequest, end: &StreamEnd) {
        match end {
            StreamEnd::Whole => self.count_answered(req, false),
            StreamEnd::CallerGone => {
                req.service.metrics.abandoned.inc();
                log::info!(request:% = req.id; "the caller went away");
            }
            StreamEnd::Failed(failure) => {
                req.service.metrics.failed(failure);
                log::info!(
                    request:% = req.id, verdict:% = failure.verdict;
                    "stream failed: {failure}"
                );
            }
        }
    }
}

/// `Events` hands a stream's events to the server, and keeps the request counted in meanwhile.
struct Events {
    rx: mpsc::Receiver<Event>,
    _flight: Arc<Flight>,
}

impl Stream for Events {
    type Item = Result<Event, std::convert::Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.rx.poll_recv(cx).map(|event| event.map(Ok))
    }
}

/// Returns the body as the service's engines expect it: a caller may name the service instead of
/// the model.
fn for_engine(body: &Bytes, head: &ChatHead<'_>, service: &Service) -> Result<Bytes, Failure> {
    match &service.spec.backend {
        ServiceBackend::Model { model, .. } if head.model != model.as_str() => {
            bodies::with_model(body, model.as_str())
        }
        ServiceBackend::Model { .. } | ServiceBackend::Plain { .. } => Ok(body.clone()),
    }
}

/// Returns whether the call that a request makes is idempotent.
fn find_call(service: &Service, method: &Method, path: &str) -> Result<bool, Failure> {
    let unknown = || {
        let message = format!("service {} offers no call {method} {path}", service.name);
        Failure::not_run(Code::UnknownCall, message)
    };
    // An upstream that resolves such a path could run another call than the one declared here.
    if has_relative_segments(path) {
        return Err(unknown());
    }
    service.call(method.as_str(), path).map(|call| call.idempotent).ok_or_else(unknown)
}

fn has_relative_segments(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let is_relative = |segment: &str| matches!(segment, "." | "..");
    lower.split('/').any(is_relative)
        || ["%2e", "%2f", "%5c", "\\", "//"].iter().any(|text| lower.contains(text))
}

fn claim_request(account: &Account, req: &ProxyRequest, key: String) -> ClaimRequest {
    let parts = [req.method.as_str().as_bytes(), req.path.as_bytes(), &req.body];
    ClaimRequest {
        account: account.name.clone(),
        service: req.service.name.clone(),
        key,
        digest: BodyDigest::of(&parts),
        deadline: req.deadline,
    }
}
