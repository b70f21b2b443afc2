//! Sends a caller's request to an upstream as one attempt with its own id.
//!
//! `Upstreams` is the interface and `HttpUpstreams` its HTTP binding. An answer is accepted only if
//! it echoes the attempt's id. Any other answer may be the late answer to an earlier request on the
//! same connection, and forwarding it would give a caller data that belongs to another caller.

use std::future::Future;
use std::net::SocketAddr;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::Millis;
use anvilhook_http::HttpClient;
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::collect_body;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use http::{Method, Request, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use crate::errors::{Error, Result};
use crate::streams::{EventSource, EventStream};
use crate::wire::{ATTEMPT_HEADER, KV_PATH, REFUSED_HEADER, STREAMS_PATH};

/// The maximum size of a refusal's reason, which is used in logs only.
const MAX_REASON_BYTES: usize = 4_096;

/// The maximum time to wait for the reason of a refusal. The refusal itself is known from the head.
const REASON_TIMEOUT: Millis = Millis(100);

/// The timeout of a cancel call. Cancelling only saves the engine work; nothing waits for it.
const CANCEL_TIMEOUT: Millis = Millis::from_secs(2);

/// `Bounds` limits the time and size of an attempt's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// The maximum time from sending the request to the head of the answer.
    pub first_byte: Millis,
    /// The maximum time from the head of an answer that is not streamed to its end.
    pub whole: Millis,
    /// The maximum size of an answer, streamed or not, in bytes.
    pub max_answer_bytes: usize,
}

/// `Attempt` is one try to run a request at one upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The attempt's id, which the answer must echo.
    pub id: AttemptId,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The request's method.
    pub method: Method,
    /// The request's path and query.
    pub path: String,
    /// The request's headers, without the attempt's id.
    pub headers: HeaderMap,
    /// The request's body.
    pub body: Bytes,
    /// Whether a pooled connection may be used. A retry must use a new one.
    pub connection: Connection,
    /// The limits of the answer.
    pub bounds: Bounds,
}

/// `WholeAnswer` is a completely received answer that echoed the attempt's id.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// The upstream's status.
    pub status: StatusCode,
    /// The upstream's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// `Opened` is an upstream's answer to a request for a stream.
#[derive(Debug)]
pub enum Opened<S> {
    /// The upstream opened the stream; its events follow.
    Stream(S),
    /// The upstream sent a non-streamed answer instead, for example because the request is
    /// malformed.
    Whole(WholeAnswer),
}

/// `Upstreams` sends attempts. It never retries by itself.
pub trait Upstreams: Clone + Send + Sync + 'static {
    /// The type of the events of a streamed answer.
    type Events: EventSource;

    /// Sends an attempt and waits for its complete answer.
    ///
    /// # Errors
    ///
    /// Any error of this crate; its verdict indicates whether the request may have run.
    fn send_whole(&self, attempt: &Attempt) -> impl Future<Output = Result<WholeAnswer>> + Send;

    /// Sends an attempt and waits for the head of its streamed answer.
    ///
    /// # Errors
    ///
    /// Any error of this crate; its verdict indicates whether the request may have run.
    fn open_stream(
        &self,
        attempt: &Attempt,
    ) -> impl Future<Output = Result<Opened<Self::Events>>> + Send;

    /// Reopens an attempt's stream over a new connection, after the event with number `after`.
    ///
    /// # Errors
    ///
    /// `Error::Refused` if the engine no longer knows the stream, else any error of this crate.
    fn resume(
        &self,
        engine: SocketAddr,
        attempt: AttemptId,
        after: u64,
        bounds: Bounds,
    ) -> impl Future<Output = Result<Self::Events>> + Send;

    /// Makes one engine fetch an attempt's KV cache from another. This does not run any part of the
    /// request.
    ///
    /// # Errors
    ///
    /// Any error of this crate. It is then unknown whether the cache was transferred.
    fn pull_kv(&self, pull: &KvPull) -> impl Future<Output = Result<()>> + Send;

    /// Cancels an attempt's work at an engine. Cancelling an attempt that has ended has no effect.
    ///
    /// # Errors
    ///
    /// Any error of this crate. The engine then continues until it detects by itself that the
    /// attempt is abandoned.
    fn cancel(
        &self,
        engine: SocketAddr,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<()>> + Send;
}

/// `KvPull` asks an engine to fetch an attempt's KV cache from the engine that ran its prefill.
#[derive(Clone, Copy, Debug)]
pub struct KvPull {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine that ran the prefill.
    pub from: SocketAddr,
    /// The engine that will generate the output.
    pub to: SocketAddr,
    /// Whether a pooled connection may be used.
    pub connection: Connection,
    /// The maximum time to the head of the answer.
    pub timeout: Millis,
}

/// `HttpUpstreams` sends attempts over HTTP.
#[derive(Clone)]
pub struct HttpUpstreams {
    client: HttpClient,
}

impl std::fmt::Debug for HttpUpstreams {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpUpstreams").finish_non_exhaustive()
    }
}

impl HttpUpstreams {
    /// Creates the binding over a client.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Sends a call, checks that the answer belongs to the attempt, and returns it with its body
    /// still unread.
    async fn send(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        mut req: Request<Body>,
        connection: Connection,
        timeout: Millis,
    ) -> Result<Response> {
        req.headers_mut().insert(ATTEMPT_HEADER, id_value(attempt)?);
        let answer = self.client.send(address, req, connection, timeout).await?;

        // The echo is checked first, because the refusal of another attempt says nothing about this
        // attempt.
        check_echo(&answer, attempt)?;
        if is_refusal(&answer) {
            return Err(refusal(answer).await);
        }
        Ok(answer)
    }

    async fn send_attempt(&self, attempt: &Attempt) -> Result<Response> {
        let mut req = Request::new(Body::from(attempt.body.clone()));
        *req.method_mut() = attempt.method.clone();
        *req.uri_mut() = attempt.path.parse().map_err(build_error)?;
        *req.headers_mut() = attempt.headers.clone();
        let timeout = attempt.bounds.first_byte;
        self.send(attempt.address, attempt.id, req, attempt.connection, timeout).await
    }
}

impl Upstreams for HttpUpstreams {
    type Events = EventStream;

    async fn send_whole(&self, attempt: &Attempt) -> Result<WholeAnswer> {
        let answer = self.send_attempt(attempt).await?;
        collect_whole(answer, &attempt.bounds).await
    }

    async fn open_stream(&self, attempt: &Attempt) -> Result<Opened<EventStream>> {
        let answer = self.send_attempt(attempt).await?;
        if answer.status().is_success() {
            let max_bytes = attempt.bounds.max_answer_bytes;
            return Ok(Opened::Stream(EventStream::try_new(answer, attempt.id, 0, max_bytes)?));
        }
        Ok(Opened::Whole(collect_whole(answer, &attempt.bounds).await?))
    }

    async fn resume(
        &self,
        engine: SocketAddr,
        attempt: AttemptId,
        after: u64,
        bounds: Bounds,
    ) -> Result<EventStream> {
        let path = format!("{STREAMS_PATH}/{attempt}?after={after}");
        let req = stream_call(Method::GET, &path)?;
        let answer = self.send(engine, attempt, req, Connection::New, bounds.first_byte).await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Err(Error::Refused {
                status: StatusCode::NOT_FOUND.as_u16(),
                message: "the stream is not known here".to_owned(),
            });
        }
        EventStream::try_new(answer, attempt, after, bounds.max_answer_bytes)
    }

    async fn pull_kv(&self, pull: &KvPull) -> Result<()> {
        let KvPull { attempt, from, .. } = pull;
        let req = stream_call(Method::POST, &format!("{KV_PATH}/{attempt}?from={from}"))?;
        let answer = self.send(pull.to, *attempt, req, pull.connection, pull.timeout).await?;
        match answer.status() {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::NOT_FOUND => {
                Err(Error::invalid_answer("the other engine has no KV cache of it"))
            }
            status => Err(Error::invalid_answer(format!("status {status} to a pull"))),
        }
    }

    async fn cancel(&self, engine: SocketAddr, attempt: AttemptId) -> Result<()> {
        let req = stream_call(Method::DELETE, &format!("{STREAMS_PATH}/{attempt}"))?;
        self.send(engine, attempt, req, Connection::New, CANCEL_TIMEOUT).await?;
        Ok(())
    }
}

fn stream_call(method: Method, path: &str) -> Result<Request<Body>> {
    let mut req = Request::new(Body::empty());
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().map_err(build_error)?;
    Ok(req)
}

fn id_value(attempt: AttemptId) -> Result<HeaderValue> {
    HeaderValue::from_str(&attempt.to_string()).map_err(build_error)
}

pub(crate) fn build_error(err: impl std::fmt::Display) -> Error {
    Error::Call(anvilhook_http::CallError::broken(anvilhook_http::Stage::Build, err))
}

pub(crate) fn check_echo(answer: &Response, attempt: AttemptId) -> Result<()> {
    let Some(echo) = answer.headers().get(ATTEMPT_HEADER) else {
        return Err(Error::invalid_answer("it echoes no attempt"));
    };
    let echoed = echo.to_str().ok().and_then(|text| text.parse::<AttemptId>().ok());
    if echoed == Some(attempt) {
        Ok(())
    } else {
        Err(Error::invalid_answer("it echoes another attempt"))
    }
}

/// Returns whether the upstream reports that it refused the request before running it.
pub(crate) fn is_refusal(answer: &Response) -> bool {
    let refusing =
        matches!(answer.status(), StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
    refusing && answer.headers().get(REFUSED_HEADER).is_some_and(|value| value == "true")
}

pub(crate) async fn refusal(answer: Response) -> Error {
    let status = answer.status().as_u16();
    let reason = collect_body(answer.into_body(), MAX_REASON_BYTES, REASON_TIMEOUT).await;
    let message = reason.map(|buf| String::from_utf8_lossy(&buf).into_owned()).unwrap_or_default();
    Error::Refused { status, message }
}

/// Collects an answer that is not streamed. The library reports an error for a body that is shorter
/// than its announced length; without an announced length, a truncated body could not be
/// distinguished from a complete one.
async fn collect_whole(answer: Response, bounds: &Bounds) -> Result<WholeAnswer> {
    let (parts, body) = answer.into_parts();
    let announced = parts.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let announced = announced.and_then(|text| text.parse::<usize>().ok());
    match announced {
        Some(len) if len > bounds.max_answer_bytes => {
            return Err(Error::TooLarge { max_bytes: bounds.max_answer_bytes });
        }
        Some(_) => {}
        None if matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) => {}
        None => return Err(Error::invalid_answer("it announces no length")),
    }
    let body = collect_body(body, bounds.max_answer_bytes, bounds.whole).await?;
    Ok(WholeAnswer { status: parts.status, headers: parts.headers, body })
}
