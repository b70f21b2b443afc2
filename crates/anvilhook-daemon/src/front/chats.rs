//! Answers chat completions.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use anvilhook_core::resources::ServiceBackend;
use anvilhook_core::units::Clock;
use anvilhook_engine::Upstreams;
use anvilhook_engine::wire::COMPLETIONS_PATH;
use bytes::Bytes;
use futures_util::stream::Stream;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::request::Parts;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::response::sse::{Event, Sse};

use super::bodies::{self, ChatHead};
use super::limits::BodyEnd;
use super::routes::{Arrival, Refused};
use super::states::Service;
use super::{Front, answers};
use crate::proxy::{
    CallerStream, Claims, Code, Failure, ProxyRequest, RequestKind, StreamEnd, StreamStart,
};

impl<C: Clock, U: Upstreams, K: Claims> Front<C, U, K> {
    /// Answers an admitted chat completion.
    pub(super) async fn answer_chat(
        &self,
        arrival: Arrival,
        parts: &Parts,
        body: Body,
    ) -> Result<Response, Refused> {
        let options = &self.inner.options;
        // The body names the service, so until it has been read only the instance's limits apply.
        let timeout = arrival.caller.deadline.unwrap_or(options.max_deadline);
        let limits = self.body_limits(options.max_body_bytes, timeout);
        let body = bodies::read(parts, body, &limits, &self.inner.shutdown).await?;
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
            let message = format!("no service serves model {model:?}");
            Failure::not_run(Code::UnknownService, message)
        })
    }

    /// Answers a request with a stream of events.
    async fn stream(&self, mut arrival: Arrival, req: ProxyRequest) -> Result<Response, Failure> {
        let req = Arc::new(req);
        let start = self.inner.proxy.answer_streamed(&req, &mut arrival.rng).await?;
        let stream = match start {
            StreamStart::Stream(stream) => stream,
            StreamStart::Whole(answer) => {
                self.count_answered(&req, true);
                let answer = answers::answered(answer, req.id);
                return Ok(self.track_body(answer, arrival.flight, req.deadline));
            }
        };
        let now = self.inner.clock.now();
        req.service.metrics.first_byte.observe(now - req.arrived_at);

        let (tx, rx) = CallerStream::<C, U>::channel();
        let id = req.id;
        let front = self.clone();
        let flight = arrival.flight;
        let (end, ended) = BodyEnd::new();
        tokio::spawn(async move {
            let end = stream.pump(tx).await;
            front.count_ended(&req, &end);
            flight.until_end(ended, req.deadline - front.inner.clock.now()).await;
        });
        let mut answer = Sse::new(Events { rx, _end: end }).into_response();
        answers::set_request_id(answer.headers_mut(), id);
        Ok(answer)
    }

    fn count_ended(&self, req: &ProxyRequest, end: &StreamEnd) {
        match end {
            StreamEnd::Whole => self.count_answered(req, false),
            StreamEnd::CallerGone => {
                req.service.metrics.abandoned.inc();
                log::info!(request:% = req.id; "the caller disconnected");
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

/// `Events` passes a stream's events to the server; until it is dropped, the request counts as in
/// flight.
struct Events {
    rx: mpsc::Receiver<Event>,
    _end: BodyEnd,
}

impl Stream for Events {
    type Item = Result<Event, std::convert::Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.rx.poll_recv(cx).map(|event| event.map(Ok))
    }
}

/// Returns the body with the name of the service's model, since a caller may name the service
/// instead.
fn for_engine(body: &Bytes, head: &ChatHead<'_>, service: &Service) -> Result<Bytes, Failure> {
    match &service.spec.backend {
        ServiceBackend::Model { model, .. } if head.model != model.as_str() => {
            bodies::with_model(body, model.as_str())
        }
        ServiceBackend::Model { .. } | ServiceBackend::Plain { .. } => Ok(body.clone()),
    }
}
