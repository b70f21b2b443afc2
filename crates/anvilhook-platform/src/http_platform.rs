//! The platform's services over HTTP, in the form that `wire` sets out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::Verdict;
use anvilhook_core::units::{Clock, Millis, SystemClock};
use anvilhook_http::clients::{Connection, collect_body};
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

/// `HttpPlatformOptions` bounds the calls of the platform.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatformOptions {
    /// How long the head of an answer may take, and then again its body.
    pub timeout: Millis,
    /// The largest answer, in bytes.
    pub max_answer_bytes: usize,
    /// The connections' bounds.
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

/// `HttpPlatform` speaks with the platform's services over HTTP. Clones share their connections.
///
/// A read whose answer is lost is sent once more, over a new connection. A write never is: its
/// caller hears `Error::AnswerLost` and reads back.
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
    silence: Arc<Silence>,
}

/// `Silence` remembers that a connection has gone silent.
///
/// What loses track of one idle connection has commonly lost the others of its age too. Without
/// this memory each call would pick the next silent one and wait for its timeout; a lease's
/// renewals would fail one after the other while the platform is well. New connections are used
/// until every connection that was idle at the time has been aged out.
#[derive(Debug)]
struct Silence {
    clock: SystemClock,
    /// Until when connections from the pool are avoided, in milliseconds of `clock`.
    until: AtomicU64,
}

impl std::fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpPlatform").field("address", &self.address).finish_non_exhaustive()
    }
}

impl HttpPlatform {
    /// Makes a binding to the platform at `address`. No connection is made yet.
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
            silence: Arc::new(Silence { clock: SystemClock::new(), until: AtomicU64::new(0) }),
        })
    }

    /// Enters an instance into the list, or changes its line. Only the platform itself and its
    /// stand-in's users do so.
    ///
    /// # Errors
    ///
    /// Those of any write.
    pub async fn enter_instance(&self, line: &ListedInstance) -> Result<()> {
        let call = Call::write(Method::PUT, wire::INSTANCES_PATH.to_owned(), encode(line)?);
        self.exchange(&call).await?.expect_stored()
    }

    /// Sends a read, once more over a new connection if the answer is lost.
    async fn read_call(&self, path: String) -> Result<Answer> {
        let call = Call { method: Method::GET, path, body: Bytes::new() };
        match self.exchange(&call).await {
            Err(Error::AnswerLost { .. }) => self.exchange_over(&call, Connection::New).await,
            other => other,
        }
    }

    async fn exchange(&self, call: &Call) -> Result<Answer> {
        self.exchange_over(call, self.silence.connection()).await
    }

    async fn exchange_over(&self, call: &Call, connection: Connection) -> Result<Answer> {
        let answer = self.try_exchange(call, connection).await;
        answer.map_err(|err| {
            if err.timed_out {
                self.silence.begin(self.options.client.idle_timeout);
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

impl Silence {
    fn connection(&self) -> Connection {
        let is_silent = self.clock.now().0 < self.until.load(Ordering::Relaxed);
        if is_silent { Connection::New } else { Connection::Pooled }
    }

    fn begin(&self, span: Millis) {
        self.until.store((self.clock.now() + span).0, Ordering::Relaxed);
    }
}

/// `Call` is one call's content, from which each try makes its own request.
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

/// `Answer` is an answer that came whole.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    /// Returns the body of a success, or nothing if what was asked for is absent.
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
            status => Err(as_lost(unexpected(status))),
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
        // Whatever else comes back, the service had the transaction and may have carried it out.
        self.exchange(&call).await?.decode().map_err(as_lost)
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
    let query = serde_urlencoded::to_string(query).map_err(unsendable)?;
    Ok(format!("{path}?{query}"))
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    serde_json::to_vec(value).map(Bytes::from).map_err(unsendable)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|err| Error::BadAnswer { message: err.to_string() })
}

/// Returns the error for a call that could not be put into its form, and so was not sent.
fn unsendable(err: impl std::fmt::Display) -> Error {
    Error::Unavailable { message: format!("cannot encode the call: {err}") }
}

fn unexpected(status: StatusCode) -> Error {
    Error::BadAnswer { message: format!("unexpected status {status}") }
}

/// Returns the error of a write whose answer says nothing about its effect.
fn as_lost(err: Error) -> Error {
    match err {
        Error::BadAnswer { message } => Error::AnswerLost { message },
        err => err,
    }
}
