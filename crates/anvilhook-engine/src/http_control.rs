//! Implements `EngineControl` over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::attempts::{ATTEMPT_HEADER, AttemptId};
use anvilhook_core::orders::{EngineState, OrderReply, StampedOrder};
use anvilhook_core::reports::{CacheEventPage, LoadReport};
use anvilhook_core::units::Millis;
use anvilhook_http::HttpClient;
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::collect_body;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use rand::Rng;
use serde::de::DeserializeOwned;
use volo_http::body::Body;

use crate::control::EngineControl;
use crate::errors::{Error, Result};
use crate::requests::{build_error, check_echo, is_refusal, refusal};
use crate::wire::{CACHE_EVENTS_PATH, ORDERS_PATH, REPORT_PATH, STATE_PATH, STREAMS_PATH};

/// `ControlOptions` bounds control calls.
#[derive(Clone, Copy, Debug)]
pub struct ControlOptions {
    /// The maximum time to the head of an answer, and again from there to its end. A caller that
    /// gives orders must fit this time into the guard interval of its lease.
    pub timeout: Millis,
    /// The maximum size of an answer, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self { timeout: Millis::from_secs(2), max_answer_bytes: 1 << 20 }
    }
}

/// `CallIds` generates the ids of calls. Its random base keeps them distinct from the ids of other
/// processes.
#[derive(Debug)]
struct CallIds {
    base: AttemptId,
    next: AtomicU64,
}

impl CallIds {
    fn next(&self) -> AttemptId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        AttemptId(self.base.0.wrapping_add(u128::from(number)))
    }
}

/// `HttpEngineControl` controls engines over HTTP. Clones share their connections.
#[derive(Clone)]
pub struct HttpEngineControl {
    client: HttpClient,
    opts: ControlOptions,
    ids: Arc<CallIds>,
}

/// `ControlCall` is one control call to an engine.
struct ControlCall {
    /// The id that the answer must echo.
    id: AttemptId,
    method: Method,
    path: String,
    body: Bytes,
    connection: Connection,
}

impl ControlCall {
    /// Creates a read-only call, which may be repeated.
    fn reading(id: AttemptId, path: String) -> Self {
        let connection = Connection::Pooled;
        Self { id, method: Method::GET, path, body: Bytes::new(), connection }
    }

    /// Creates a call that changes the engine's state.
    ///
    /// It uses a new connection. On a pooled connection that no longer responds, the outcome of the
    /// call would be in doubt, and no further order could be given to the engine until its state
    /// has been read.
    fn changing(id: AttemptId, method: Method, path: String, body: Bytes) -> Self {
        Self { id, method, path, body, connection: Connection::New }
    }
}

impl HttpEngineControl {
    /// Creates the binding over a client. `rng` generates the base of the calls' ids.
    pub fn new(client: HttpClient, opts: ControlOptions, rng: &mut impl Rng) -> Self {
        let base = AttemptId::random(rng);
        Self { client, opts, ids: Arc::new(CallIds { base, next: AtomicU64::new(0) }) }
    }

    async fn read<T: DeserializeOwned>(&self, engine: SocketAddr, path: String) -> Result<T> {
        let call = ControlCall::reading(self.ids.next(), path);
        decode(&self.send(engine, call, StatusCode::OK).await?)
    }

    /// Sends a call, checks that the answer belongs to it, and returns the answer's body.
    async fn send(
        &self,
        engine: SocketAddr,
        call: ControlCall,
        expected: StatusCode,
    ) -> Result<Bytes> {
        let (id, connection) = (call.id, call.connection);
        let req = build(call)?;
        let answer = self.client.send(engine, req, connection, self.opts.timeout).await?;

        // The echo is checked first, because the status of an answer to another call says nothing
        // about this call.
        check_echo(&answer, id)?;
        if is_refusal(&answer) {
            return Err(refusal(answer).await);
        }
        if answer.status() != expected {
            return Err(Error::invalid_answer(format!("status {}", answer.status())));
        }
        let body = answer.into_body();
        Ok(collect_body(body, self.opts.max_answer_bytes, self.opts.timeout).await?)
    }
}

impl EngineControl for HttpEngineControl {
    async fn state(&self, engine: SocketAddr) -> Result<EngineState> {
        self.read(engine, STATE_PATH.to_owned()).await
    }

    async fn report(&self, engine: SocketAddr) -> Result<LoadReport> {
        self.read(engine, REPORT_PATH.to_owned()).await
    }

    async fn cache_events(&self, engine: SocketAddr, after: u64) -> Result<CacheEventPage> {
        self.read(engine, format!("{CACHE_EVENTS_PATH}?after={after}")).await
    }

    async fn order(&self, engine: SocketAddr, order: &StampedOrder) -> Result<OrderReply> {
        let body = serde_json::to_vec(order).map_err(build_error)?;
        let call = ControlCall::changing(
            self.ids.next(),
            Method::POST,
            ORDERS_PATH.to_owned(),
            Bytes::from(body),
        );
        decode(&self.send(engine, call, StatusCode::OK).await?)
    }

    async fn cancel(&self, engine: SocketAddr, attempt: AttemptId) -> Result<()> {
        let path = format!("{STREAMS_PATH}/{attempt}");
        let call = ControlCall::changing(attempt, Method::DELETE, path, Bytes::new());
        self.send(engine, call, StatusCode::NO_CONTENT).await?;
        Ok(())
    }
}

impl std::fmt::Debug for HttpEngineControl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpEngineControl").field("opts", &self.opts).finish_non_exhaustive()
    }
}

fn build(call: ControlCall) -> Result<Request<Body>> {
    let mut req = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(ATTEMPT_HEADER, call.id.to_string())
        .header(CONTENT_TYPE, "application/json");
    if call.connection == Connection::New {
        // Without this header the library reuses the connection for the next call that asks for a
        // new one.
        req = req.header(CONNECTION, "close");
    }
    req.body(Body::from(call.body)).map_err(build_error)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|err| Error::invalid_answer(format!("it cannot be read: {err}")))
}
