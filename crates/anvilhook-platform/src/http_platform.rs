//! Implements the platform's services over HTTP, with the protocol that `wire` defines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::Verdict;
use anvilhook_core::units::{Clock, Millis, SystemClock};
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::collect_body;
use anvilhook_http::{CallError, ClientOptions, HttpClient};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;

use crate::errors::{Error, Result};
use crate::instance_lists::{InstanceList, ListedInstance};
use crate::objects::ObjectStore;
use crate::tables::{Commit, Row, RowKey, Table, Transaction};
use crate::wire;

/// `HttpPlatformOptions` bounds the calls to the platform.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatformOptions {
    /// The maximum time to the head of an answer, and again from there to the end of its body.
    pub timeout: Millis,
    /// The maximum size of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// The bounds of the connections.
    pub client: ClientOptions,
}

impl Default for HttpPlatformOptions {
    fn default() -> Self {
        Self {
            timeout: Millis(2_000),
            max_answer_bytes: 64 * 1024 * 1024,
            client: ClientOptions::default(),
        }
    }
}

/// `HttpPlatform` calls the platform's services over HTTP. Clones share their connections.
///
/// A read whose answer is lost is retried once, over a new connection. A write is never retried: its
/// caller receives `Error::AnswerLost` and must read back.
///
/// ```
/// use anvilhook_platform::{HttpPlatform, HttpPlatformOptions};
///
/// let address = "127.0.0.1:8500".parse().unwrap();
/// let platform = HttpPlatform::try_new(address, &HttpPlatformOptions::default());
/// assert!(platform.is_ok());
/// ```
#[derive(Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: HttpClient,
    options: HttpPlatformOptions,
    pool_backoff: Arc<PoolBackoff>,
}

/// `PoolBackoff` avoids pooled connections for some time after a call has timed out.
///
/// A middlebox that drops the state of one idle connection has usually dropped other idle
/// connections of the same age too. Without the backoff, each call would pick the next unresponsive
/// connection and wait for its timeout, and a lease's renewals would fail one after the other while
/// the platform is healthy. New connections are used until every connection that was idle at the
/// time of the timeout has exceeded the pool's idle timeout.
#[derive(Debug)]
struct PoolBackoff {
    clock: SystemClock,
    /// The time until which pooled connections are avoided, in milliseconds of `clock`.
    until: AtomicU64,
}

impl std::fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpPlatform").field("address", &self.address).finish_non_exhaustive()
    }
}

impl HttpPlatform {
    /// Creates a binding to the platform at `address`. It does not open a connection yet.
    ///
    /// # Errors
    ///
    /// A `CallError` of stage `Build` if the library does not accept the options.
    pub fn try_new(
        address: SocketAddr,
        options: &HttpPlatformOptions,
    ) -> std::result::Result<Self, CallError> {
        Ok(Self {
            address,
            client: HttpClient::try_new(&options.client)?,
            options: *options,
            pool_backoff: Arc::new(PoolBackoff {
                clock: SystemClock::new(),
                until: AtomicU64::new(0),
            }),
        })
    }

    /// Adds an instance to the instance list, or replaces its entry. Only the platform itself and
    /// users of its stand-in call this.
    ///
    /// # Errors
    ///
    /// The errors of any write.
    pub async fn enter_instance(&self, line: &ListedInstance) -> Result<()> {
        let call = Call::write(Method::PUT, wire::INSTANCES_PATH.to_owned(), encode(line)?);
        self.exchange(&call).await?.expect_stored()
    }

    /// Sends a read, and retries it once over a new connection if the answer is lost.
    async fn read_call(&self, path: String) -> Result<Answer> {
        let call = Call { method: Method::GET, path, body: Bytes::new() };
        match self.exchange(&call).await {
            Err(Error::AnswerLost { .. }) => self.exchange_over(&call, Connection::New).await,
            other => other,
        }
    }

    async fn exchange(&self, call: &Call) -> Result<Answer> {
        self.exchange_over(call, self.pool_backoff.connection()).await
    }

    async fn exchange_over(&self, call: &Call, connection: Connection) -> Result<Answer> {
        let answer = self.try_exchange(call, connection).await;
        answer.map_err(|err| {
            if err.timed_out {
                self.pool_backoff.start(self.options.client.idle_timeout);
            }
            match err.verdict() {
                Verdict::NotRun => Error::Unavailable { message: err.to_string() },
                Verdict::MayHaveRun | Verdict::Ran => {
                    Error::AnswerLost { message: err.to_string() }
                }
            }
        })?
    }

    async fn try_exchange(
        &self,
        call: &Call,
        connection: Connection,
    ) -> std::result::Result<Result<Answer>, CallError> {
        let timeout = self.options.timeout;
        let answer = self.client.send(self.address, call.request()?, connection, timeout).await?;
        let (head, body) = answer.into_parts();

        let refused = head.status == StatusCode::SERVICE_UNAVAILABLE
            && head.headers.get(wire::REFUSED_HEADER).is_some_and(|value| value == "true");
        if refused {
            let message = "the platform refused the call".to_owned();
            return Ok(Err(Error::Unavailable { message }));
        }

        let body = collect_body(body, self.options.max_answer_bytes, timeout).await?;
        Ok(Ok(Answer { status: head.status, body }))
    }
}

impl PoolBackoff {
    fn connection(&self) -> Connection {
        let is_active = self.clock.now().0 < self.until.load(Ordering::Relaxed);
        if is_active { Connection::New } else { Connection::Pooled }
    }

    fn start(&self, duration: Millis) {
        self.until.store((self.clock.now() + duration).0, Ordering::Relaxed);
    }
}

/// `Call` holds the content of a call, from which each try builds its own request.
#[derive(Debug)]
struct Call {
    method: Method,
    path: String,
    body: Bytes,
}

impl Call {
    fn write(method: Method, path: String, body: Bytes) -> Self {
        Self { method, path, body }
    }

    fn request(&self) -> std::result::Result<Request<Body>, CallError> {
        Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .body(Body::from(self.body.clone()))
            .map_err(|err| CallError::broken(anvilhook_http::Stage::Build, err))
    }
}

/// `Answer` is a completely received answer.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    /// Returns the body of a successful answer, or `None` if the requested object does not exist.
    fn found(self) -> Result<Option<Bytes>> {
        match self.status {
            StatusCode::OK => Ok(Some(self.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    fn decode<T: DeserializeOwned>(self) -> Result<T> {
        let status = self.status;
        let body = self.found()?.ok_or_else(|| unexpected(status))?;
        decode(&body)
    }

    fn expect_stored(self) -> Result<()> {
        match self.status {
            StatusCode::NO_CONTENT => Ok(()),
            status => Err(into_answer_lost(unexpected(status))),
        }
    }
}

impl Table for HttpPlatform {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        let path = path_with(wire::ROW_PATH, &[("key", key.as_str())])?;
        let body = self.read_call(path).await?.found()?;
        body.map(|body| decode(&body)).transpose()
    }

    async fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Result<Vec<Row>> {
        let limit = limit.to_string();
        let mut query = vec![("prefix", prefix), ("limit", limit.as_str())];
        query.extend(after.map(|after| ("after", after.as_str())));
        let path = path_with(wire::SCAN_PATH, &query)?;
        self.read_call(path).await?.decode()
    }

    async fn commit(&self, txn: &Transaction) -> Result<Commit> {
        let call = Call::write(Method::POST, wire::COMMIT_PATH.to_owned(), encode(txn)?);
        // With any other answer, the service received the transaction and may have executed it.
        self.exchange(&call).await?.decode().map_err(into_answer_lost)
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, key: &str, value: Bytes) -> Result<()> {
        let call = Call::write(Method::PUT, path_with(wire::OBJECTS_PATH, &[("key", key)])?, value);
        self.exchange(&call).await?.expect_stored()
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>> {
        let path = path_with(wire::OBJECTS_PATH, &[("key", key)])?;
        self.read_call(path).await?.found()
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>> {
        let path = path_with(wire::OBJECT_LIST_PATH, &[("prefix", prefix)])?;
        self.read_call(path).await?.decode()
    }
}

impl InstanceList for HttpPlatform {
    async fn list(&self) -> Result<Vec<ListedInstance>> {
        self.read_call(wire::INSTANCES_PATH.to_owned()).await?.decode()
    }
}

fn path_with(path: &str, query: &[(&str, &str)]) -> Result<String> {
    let query = serde_urlencoded::to_string(query).map_err(encode_error)?;
    Ok(format!("{path}?{query}"))
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    serde_json::to_vec(value).map(Bytes::from).map_err(encode_error)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|err| Error::BadAnswer { message: err.to_string() })
}

/// Returns the error for a call that could not be encoded and was therefore not sent.
fn encode_error(err: impl std::fmt::Display) -> Error {
    Error::Unavailable { message: format!("cannot encode the call: {err}") }
}

fn unexpected(status: StatusCode) -> Error {
    Error::BadAnswer { message: format!("unexpected status {status}") }
}

/// Converts an invalid answer to a write into a lost one, because it does not show whether the write
/// took effect.
fn into_answer_lost(err: Error) -> Error {
    match err {
        Error::BadAnswer { message } => Error::AnswerLost { message },
        err => err,
    }
}
