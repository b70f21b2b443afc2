//! Admits requests and concludes them.

use std::sync::Arc;

use anvilhook_core::attempts::RequestId;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::Upstreams;
use anvilhook_http::Phase;
use bytes::Bytes;
use http::Method;
use http::header::{CONNECTION, HeaderMap, HeaderValue};
use http::request::Parts;
use rand_chacha::ChaCha8Rng;
use volo_http::request::Request;
use volo_http::response::Response;

use super::bodies::BodyLimits;
use super::headers::{self, CallerHeaders};
use super::limits::{Flight, counted_body};
use super::metrics::ServiceMetrics;
use super::states::{Account, Service};
use super::{Front, answers};
use crate::proxy::{Claims, Code, Failure, ProxyRequest, RequestKind};

/// `Arrival` is a request that has been admitted.
pub(super) struct Arrival {
    /// The request's id.
    pub id: RequestId,
    /// When it arrived.
    pub arrived_at: Millis,
    /// The settings from its headers.
    pub caller: CallerHeaders,
    /// The caller's account.
    pub account: Arc<Account>,
    /// Counts the request as in flight.
    pub flight: Flight,
    /// Its random generator.
    pub rng: ChaCha8Rng,
}

/// `Refused` is a failed request, with the metrics of its service if the service is known.
pub(super) struct Refused {
    failure: Failure,
    metrics: Option<Arc<ServiceMetrics>>,
}

impl From<Failure> for Refused {
    fn from(failure: Failure) -> Self {
        Self { failure, metrics: None }
    }
}

impl Refused {
    /// Returns a function that attributes a failure to the given service.
    pub(super) fn by(service: &Service) -> impl FnOnce(Failure) -> Refused {
        let metrics = Arc::clone(&service.metrics);
        move |failure| Refused { failure, metrics: Some(metrics) }
    }
}

impl<C: Clock, U: Upstreams, K: Claims> Front<C, U, K> {
    /// Answers a chat completion.
    pub(super) async fn chat(&self, req: Request) -> Response {
        let (parts, body) = req.into_parts();
        let (id, rng) = self.identify(&parts);
        let result = match self.admit(&parts, id, rng) {
            Ok(arrival) => self.answer_chat(arrival, &parts, body).await,
            Err(failure) => Err(failure.into()),
        };
        self.conclude(result, id)
    }

    /// Answers a call of a plain service.
    pub(super) async fn plain(&self, req: Request) -> Response {
        let (parts, body) = req.into_parts();
        let (id, rng) = self.identify(&parts);
        let result = match self.admit(&parts, id, rng) {
            Ok(arrival) => self.answer_plain(arrival, &parts, body).await,
            Err(failure) => Err(failure.into()),
        };
        self.conclude(result, id)
    }

    /// Answers a request to an unknown path.
    pub(super) async fn unknown(&self, req: Request) -> Response {
        let (parts, _body) = req.into_parts();
        let (id, rng) = self.identify(&parts);
        let message = "there is nothing at this path";
        let refusal = Failure::not_run(Code::UnknownCall, message);
        let failure = self.admit(&parts, id, rng).err().unwrap_or(refusal);
        self.conclude(Err(failure.into()), id)
    }

    /// Returns the request's id and its random generator.
    fn identify(&self, parts: &Parts) -> (RequestId, ChaCha8Rng) {
        let mut rng = self.inner.rngs.next();
        let given = headers::request_id(&parts.headers).ok().flatten();
        let id = given.unwrap_or_else(|| RequestId::random(&mut rng));
        (id, rng)
    }

    /// Admits a request after all checks that don't need the body.
    fn admit(&self, parts: &Parts, id: RequestId, rng: ChaCha8Rng) -> Result<Arrival, Failure> {
        let inner = &self.inner;
        let arrived_at = inner.clock.now();
        let retry_after = inner.options.proxy.retry_after;

        // The request is counted before the phase is checked, so that a stop which sets the phase
        // and then reads the count can't miss it.
        let (mut flight, fits) = inner.flights.enter(inner.options.max_open_requests);
        if inner.shutdown.phase() != Phase::Serving {
            let failure = Failure::not_run(Code::Draining, "the instance is stopping");
            return Err(failure.retry_after(Millis::ZERO));
        }
        if !fits {
            let message = format!("{} requests are already open", inner.options.max_open_requests);
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
        Ok(Arrival { id, arrived_at, caller, account, flight, rng })
    }

    /// Returns the limits for a body of at most `max_bytes`.
    pub(super) fn body_limits(&self, max_bytes: u64, timeout: Millis) -> BodyLimits {
        BodyLimits { max_bytes, timeout, retry_after: self.inner.options.proxy.retry_after }
    }

    fn account(&self, headers: &HeaderMap) -> Result<Arc<Account>, Failure> {
        let state = self.inner.state.load();
        let found = headers::bearer_token(headers).and_then(|token| state.account(token));
        found.cloned().ok_or_else(|| {
            Failure::not_run(Code::UnknownCredential, "no account has this bearer token")
        })
    }

    /// Logs and counts a failure, and converts the result into the answer.
    fn conclude(&self, result: Result<Response, Refused>, id: RequestId) -> Response {
        let refused = match result {
            Ok(answer) => return answer,
            Err(refused) => refused,
        };
        let failure = &refused.failure;
        log::info!(request:% = id, verdict:% = failure.verdict; "request failed: {failure}");
        refused.metrics.as_ref().unwrap_or(self.inner.metrics.unknown()).failed(failure);
        let mut answer = answers::failed(failure, id);
        // The unread rest of the body would be parsed as the next request on the connection.
        let body_unread = matches!(failure.code, Code::BodyTooLarge | Code::HeadersTooLarge);
        if body_unread || failure.code == Code::Draining {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    pub(super) fn proxy_request(
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

    /// Answers a request without streaming.
    pub(super) async fn whole(
        &self,
        mut arrival: Arrival,
        req: ProxyRequest,
    ) -> Result<Response, Failure> {
        let answer = self.inner.proxy.answer_whole(&req, &mut arrival.rng).await?;
        self.count_answered(&req, true);
        let answer = answers::answered(answer, req.id);
        Ok(self.track_body(answer, arrival.flight, req.deadline))
    }

    /// Counts a request as in flight until its answer has been read, at most until its deadline.
    pub(super) fn track_body(
        &self,
        answer: Response,
        flight: Flight,
        deadline: Millis,
    ) -> Response {
        let time_left = deadline - self.inner.clock.now();
        answer.map(|body| counted_body(body, flight, time_left))
    }

    /// Counts a request that was answered.
    pub(super) fn count_answered(&self, req: &ProxyRequest, is_whole: bool) {
        let metrics = &req.service.metrics;
        let time = self.inner.clock.now() - req.arrived_at;
        metrics.answered.inc();
        metrics.whole.observe(time);
        if is_whole {
            metrics.first_byte.observe(time);
        }
    }
}
