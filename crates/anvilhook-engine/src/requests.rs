//! Sending a caller's request to an upstream, as one attempt with an id of its own.
//!
//! `Upstreams` is the role and `HttpUpstreams` its one HTTP binding. An answer is taken only if it
//! echoes the attempt's id. Anything else may be the late answer to an earlier request on the same
//! connection, and handing it on would give a caller what belongs to another.

use std::future::Future;
use std::net::SocketAddr;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::Millis;
use anvilhook_http::HttpClient;
use anvilhook_http::clients::{Connection, collect_body};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue};
use http::{Method, Request, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use crate::errors::{Error, Result};
use crate::streams::{EventSource, EventStream};
use crate::wire::{ATTEMPT_HEADER, KV_PATH, REFUSED_HEADER, STREAMS_PATH};

/// The most bytes of a refusal's reason that are kept for logs.
const MAX_REASON_BYTES: usize = 4_096;

/// How long the reason of a refusal is waited for. The refusal itself stands in the head.
const REASON_TIMEOUT: Millis = Millis(100);

/// How long a cancel may take. It is a courtesy to the engine and holds nothing up.
const CANCEL_TIMEOUT: Millis = Millis::from_secs(2);

/// `Bounds` limits the time and size of an attempt's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// The longest time from sending to the head of the answer.
    pub first_byte: Millis,
    /// The longest time from the head of a whole answer to its end.
    pub whole: Millis,
    /// The largest answer, whole or streamed, in bytes.
    pub max_answer_bytes: usize,
}

/// `Attempt` is one sending of a request to one upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id, which the answer must echo.
    pub id: AttemptId,
    /// Where it goes.
    pub address: SocketAddr,
    /// The request's method.
    pub method: Method,
    /// The request's path and query.
    pub path: String,
    /// The request's headers, without the attempt's id.
    pub headers: HeaderMap,
    /// The request's body.
    pub body: Bytes,
    /// Which connection may be used. A retry must use a new one.
    pub connection: Connection,
    /// Its limits.
    pub bounds: Bounds,
}

/// `WholeAnswer` is an answer that came whole and echoed the attempt's id.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// The upstream's status.
    pub status: StatusCode,
    /// The upstream's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// `Opened` is what an upstream answers to a request for a stream.
#[derive(Debug)]
pub enum Opened<S> {
    /// Events follow.
    Stream(S),
    /// The upstream answered whole instead, for instance that the request is malformed.
    Whole(WholeAnswer),
}

/// `Upstreams` sends attempts. It never repeats one by itself.
pub trait Upstreams: Clone + Send + Sync + 'static {
    /// The events of a streamed answer.
    type Events: EventSource;

    /// Sends an attempt and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Any error of this crate; its verdict says whether the request may have run.
    fn send_whole(&self, attempt: &Attempt) -> impl Future<Output = Result<WholeAnswer>> + Send;

    /// Sends an attempt and waits for the head of its streamed answer.
    ///
    /// # Errors
    ///
    /// Any error of this crate; its verdict says whether the request may have run.
    fn open_stream(
        &self,
        attempt: &Attempt,
    ) -> impl Future<Output = Result<Opened<Self::Events>>> + Send;

    /// Opens an attempt's stream again, over a new connection, after the event numbered `after`.
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

    /// Has one engine fetch an attempt's KV cache from another. Nothing of the request is run by it.
    ///
    /// # Errors
    ///
    /// Any error of this crate. Whether the cache has come over is not known then.
    fn pull_kv(&self, pull: &KvPull) -> impl Future<Output = Result<()>> + Send;

    /// Cancels an attempt's work at an engine. Cancelling what has ended changes nothing.
    ///
    /// # Errors
    ///
    /// Any error of this crate. The engine then runs on until it notices by itself.
    fn cancel(
        &self,
        engine: SocketAddr,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<()>> + Send;
}

/// `KvPull` asks an engine to fetch the KV cache of an attempt from the engine that read its prompt.
#[derive(Clone, Copy, Debug)]
pub struct KvPull {
    /// The attempt whose prompt was read.
    pub attempt: AttemptId,
    /// The engine that read it.
    pub from: SocketAddr,
    /// The engine that will generate.
    pub to: SocketAddr,
    /// Which connection may be used.
    pub connection: Connection,
    /// The longest time that it may take.
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
    /// Makes the binding over a client.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Sends a call and returns the head of its answer if the answer belongs to the attempt.
    async fn send(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        mut req: Request<Body>,
        connection: Connection,
        timeout: Millis,
    ) -> Result<Response> {
        let headers = req.headers_mut();
        headers.insert(ATTEMPT_HEADER, id_value(attempt)?);
        if connection == Connection::New {
            // The library hands a connection that has just become free to whoever waits for a new
            // one. One that is closed after its answer can't be handed on.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let answer = self.client.send(address, req, connection, timeout).await?;

        // The echo comes first: a refusal of another attempt says nothing of this one.
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
                Err(Error::not_an_answer("the other engine has no KV cache of it"))
            }
            status => Err(Error::not_an_answer(format!("status {status} to a pull"))),
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
        return Err(Error::not_an_answer("it echoes no attempt"));
    };
    let echoed = echo.to_str().ok().and_then(|text| text.parse::<AttemptId>().ok());
    if echoed == Some(attempt) {
        Ok(())
    } else {
        Err(Error::not_an_answer("it echoes another attempt"))
    }
}

/// Returns whether the upstream says that it refused before running.
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

/// Collects a whole answer. The library fails a body that is shorter than its announced length;
/// without an announced length a cut could not be told from an end.
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
        None => return Err(Error::not_an_answer("it announces no length")),
    }
    let body = collect_body(body, bounds.max_answer_bytes, bounds.whole).await?;
    Ok(WholeAnswer { status: parts.status, headers: parts.headers, body })
}
