//! The HTTP client through which all bindings send their calls.

use std::pin::pin;

use anvilhook_core::units::Millis;
use http::Request;
use tokio::time::{Instant, timeout_at};
use volo::net::Address;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

use crate::bodies::SendProgress;
use crate::errors::{CallError, Stage};
use crate::interim::InterimLimit;
use crate::own_connections::send_on_new;

/// `ClientOptions` bounds the connections of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// The maximum time to open a connection.
    pub connect_timeout: Millis,
    /// How long a connection may be idle before it is closed. A connection stops responding when a
    /// middlebox drops its state, so a shorter timeout leaves fewer such connections in the pool.
    pub idle_timeout: Millis,
    /// The maximum number of idle connections per address.
    pub max_idle_per_address: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Millis(1_000),
            idle_timeout: Millis(10_000),
            max_idle_per_address: 64,
        }
    }
}

/// `Connection` selects which connection a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connection {
    /// An idle connection if there is one, otherwise a new one.
    Pooled,
    /// Only a connection that has carried no other request: an idle one may no longer respond, or may deliver a
    /// late answer to an earlier request.
    New,
}

impl Connection {
    /// Returns the text used in logs and between instances.
    pub fn as_str(self) -> &'static str {
        match self {
            Connection::Pooled => "pooled",
            Connection::New => "new",
        }
    }
}

/// `HttpClient` sends calls. It never retries by itself.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Client,
    options: ClientOptions,
}

impl HttpClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// A `CallError` of stage `Build` if the library does not accept the options.
    pub fn try_new(options: &ClientOptions) -> Result<Self, CallError> {
        let mut builder = Client::builder();
        builder
            .set_pool_idle_timeout(options.idle_timeout.as_duration())
            .set_max_idle_per_host(options.max_idle_per_address);
        Ok(Self { pooled: builder.build()?, options: *options })
    }

    /// Sends a call and waits at most `timeout` for the head of its answer, and at most the
    /// connect timeout until a connection takes the request.
    ///
    /// The request's URI must contain only the path and query. Dropping the answer's body before its
    /// end closes the connection.
    ///
    /// # Errors
    ///
    /// A `CallError` of any stage except `Body`.
    pub async fn send(
        &self,
        address: std::net::SocketAddr,
        req: Request<Body>,
        connection: Connection,
        timeout: Millis,
    ) -> Result<Response, CallError> {
        self.send_tracked(address, req, connection, timeout, &SendProgress::default()).await
    }

    /// Sends a call like [`send`](Self::send). `progress` tells a caller that drops the call whether any
    /// of it may have been sent.
    ///
    /// # Errors
    ///
    /// A `CallError` of any stage except `Body`.
    pub async fn send_tracked(
        &self,
        address: std::net::SocketAddr,
        req: Request<Body>,
        connection: Connection,
        timeout: Millis,
        progress: &SendProgress,
    ) -> Result<Response, CallError> {
        let limit = InterimLimit::default();
        let req = req.map(|body| progress.track(body));
        let sending = async {
            // The pool passes a connection that has just become free to a call that waits for a new one, however few
            // idle ones it may keep.
            match connection {
                Connection::Pooled => self.send_pooled(address, req, limit.clone(), progress).await,
                Connection::New => send_on_new(address, req, limit.clone(), progress).await,
            }
        };
        let sending = async {
            tokio::select! {
                answer = sending => answer,
                () = limit.exceeded() => {
                    Err(CallError::broken(Stage::FirstByte, "too many interim answers"))
                }
            }
        };
        let mut sending = pin!(sending);
        let now = Instant::now();
        let connect_timeout = self.options.connect_timeout.min(timeout);
        // The library does not apply its own connect timeout.
        let begun = timeout_at(now + connect_timeout.as_duration(), sending.as_mut()).await;
        if let Ok(answer) = begun {
            return answer;
        }
        if progress.withdraw() {
            return Err(CallError::timed_out(Stage::Connect));
        }
        match timeout_at(now + timeout.as_duration(), sending).await {
            Ok(answer) => answer,
            Err(_elapsed) => Err(CallError::timed_out(Stage::FirstByte)),
        }
    }

    async fn send_pooled(
        &self,
        address: std::net::SocketAddr,
        req: Request<Body>,
        limit: InterimLimit,
        progress: &SendProgress,
    ) -> Result<Response, CallError> {
        let (parts, body) = req.into_parts();
        let mut builder = self
            .pooled
            .request_builder()
            .method(parts.method)
            .uri(parts.uri)
            .address(Address::from(address));
        *builder.headers_mut() = parts.headers;
        let answer = builder.body(body).layer(limit).send().await;
        answer.map_err(|err| CallError::of_client(err, progress))
    }
}
