//! Control of engines over HTTP, in the form that `wire` sets out.

use std::net::SocketAddr;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::{EngineState, OrderReply, StampedOrder};
use anvilhook_core::reports::{CacheEventPage, LoadReport};
use anvilhook_core::units::Millis;
use anvilhook_http::clients::{Connection, collect_body};
use anvilhook_http::{CallError, HttpClient, Stage};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use volo_http::body::Body;

use crate::control::EngineControl;
use crate::errors::{Error, Result};
use crate::wire::{
    CACHE_EVENTS_PATH, ORDERS_PATH, REFUSED_HEADER, REPORT_PATH, STATE_PATH, STREAMS_PATH,
};

/// `ControlOptions` bounds the calls that control engines.
#[derive(Clone, Copy, Debug)]
pub struct ControlOptions {
    /// The longest time that one call may take, once for the head of its answer and once for its
    /// body.
    pub timeout: Millis,
    /// The largest answer, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self { timeout: Millis(1_000), max_answer_bytes: 4 * 1_024 * 1_024 }
    }
}

/// `HttpEngineControl` controls engines over HTTP.
///
/// Every call goes over a new connection. An order is rare and must not wait for a connection that
/// has gone silent, and a report that waits for one is older than the next report.
#[derive(Clone)]
pub struct HttpEngineControl {
    client: HttpClient,
    options: ControlOptions,
}

impl HttpEngineControl {
    /// Makes the binding over a client.
    pub fn new(client: HttpClient, options: ControlOptions) -> Self {
        Self { client, options }
    }

    async fn call(&self, engine: SocketAddr, req: Request<Body>) -> Result<(StatusCode, Bytes)> {
        let ControlOptions { timeout, max_answer_bytes } = self.options;
        let answer = self.client.send(engine, req, Connection::New, timeout).await?;
        let status = answer.status();
        let refused = answer.headers().contains_key(REFUSED_HEADER);
        let body = collect_body(answer.into_body(), max_answer_bytes, timeout).await?;
        if refused && matches!(status.as_u16(), 429 | 503) {
            let message = String::from_utf8_lossy(&body).into_owned();
            return Err(Error::Refused { status: status.as_u16(), message });
        }
        Ok((status, body))
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        engine: SocketAddr,
        req: Request<Body>,
    ) -> Result<T> {
        let (status, body) = self.call(engine, req).await?;
        if !status.is_success() {
            return Err(Error::NotAnAnswer { message: format!("its status is {status}") });
        }
        serde_json::from_slice(&body)
            .map_err(|err| Error::NotAnAnswer { message: format!("its body is unreadable: {err}") })
    }
}

impl EngineControl for HttpEngineControl {
    async fn state(&self, engine: SocketAddr) -> Result<EngineState> {
        self.call_json(engine, request(Method::GET, STATE_PATH, Bytes::new())?).await
    }

    async fn report(&self, engine: SocketAddr) -> Result<LoadReport> {
        self.call_json(engine, request(Method::GET, REPORT_PATH, Bytes::new())?).await
    }

    async fn cache_events(&self, engine: SocketAddr, after: u64) -> Result<CacheEventPage> {
        let path = format!("{CACHE_EVENTS_PATH}?after={after}");
        self.call_json(engine, request(Method::GET, &path, Bytes::new())?).await
    }

    async fn order(&self, engine: SocketAddr, order: &StampedOrder) -> Result<OrderReply> {
        let body = serde_json::to_vec(order).map_err(build_error)?;
        self.call_json(engine, request(Method::POST, ORDERS_PATH, body.into())?).await
    }

    async fn cancel(&self, engine: SocketAddr, attempt: AttemptId) -> Result<()> {
        let path = format!("{STREAMS_PATH}/{attempt}");
        self.call(engine, request(Method::DELETE, &path, Bytes::new())?).await.map(|_| ())
    }
}

impl std::fmt::Debug for HttpEngineControl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpEngineControl").field("options", &self.options).finish_non_exhaustive()
    }
}

fn request(method: Method, path: &str, body: Bytes) -> Result<Request<Body>> {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        // The library hands a connection that has just become free to whoever waits for a new one.
        .header(CONNECTION, HeaderValue::from_static("close"));
    builder.body(Body::from(body)).map_err(build_error)
}

fn build_error(err: impl std::fmt::Display) -> Error {
    CallError::broken(Stage::Build, err).into()
}
