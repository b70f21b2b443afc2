//! The platform's HTTP server, which implements `anvilhook_platform::wire`.

use std::io;
use std::net::SocketAddr;

use anvilhook_core::units::{Clock, SystemClock};
use anvilhook_http::{Phase, Shutdown, answers, serve};
use anvilhook_platform::{
    Error, InstanceList, ListedInstance, ObjectStore, Result, RowKey, Table, Transaction, wire,
};
use bytes::Bytes;
use http::header::HeaderValue;
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use volo_http::body::Body;
use volo_http::server::extract::Query;
use volo_http::server::route::{Router, get, post};

use super::local::{LocalPlatform, Pacing, PlatformOptions};
use super::rate_limits::RateLimits;

/// `PlatformServer` serves a platform, or one caller's view of it, at its own address.
///
/// To partition single instances, start one server per instance over its own `for_caller` view.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    shutdown: Shutdown,
    serving: JoinHandle<io::Result<()>>,
}

impl PlatformServer {
    /// Starts the server. With port 0 the kernel chooses the port.
    ///
    /// # Errors
    ///
    /// The socket's error if the address cannot be bound.
    pub async fn start<C: Clock>(
        address: SocketAddr,
        platform: LocalPlatform<C>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shutdown = Shutdown::new();
        let serving = tokio::spawn(serve(listener, router(platform), shutdown.clone()));
        Ok(Self { address, shutdown, serving })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and frees the address. Calls in flight are aborted.
    pub async fn stop(self) {
        self.shutdown.advance(Phase::Closed);
        // An error of the server is ignored: it has then stopped already.
        let _ = self.serving.await;
    }
}

/// Serves a platform under the machine's clock and the default rate limits until the process
/// receives an interrupt or termination signal.
///
/// # Errors
///
/// The socket's error if the address cannot be bound.
pub async fn serve_at(address: SocketAddr, options: PlatformOptions) -> io::Result<()> {
    let options = PlatformOptions { pacing: Pacing::Timed, ..options };
    let platform = LocalPlatform::new(SystemClock::new(), options);
    platform.faults().set_rate_limits(Some(RateLimits::default()));
    let server = PlatformServer::start(address, platform).await?;
    log::info!("stand-in platform listening on {}", server.address());
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        _ = terminated.recv() => {}
    }
    server.stop().await;
    Ok(())
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Deserialize)]
struct PrefixQuery {
    prefix: String,
}

#[derive(Deserialize)]
struct ScanQuery {
    prefix: String,
    after: Option<String>,
    limit: usize,
}

fn router<C: Clock>(platform: LocalPlatform<C>) -> Router {
    Router::new()
        .merge(table_routes(&platform))
        .merge(object_routes(&platform))
        .merge(instance_routes(&platform))
}

fn table_routes<C: Clock>(platform: &LocalPlatform<C>) -> Router {
    let (reader, scanner, writer) = (platform.clone(), platform.clone(), platform.clone());
    let read = move |Query(query): Query<KeyQuery>| {
        let platform = reader.clone();
        async move { found(platform.read(&RowKey::new(query.key)).await) }
    };
    let scan = move |Query(query): Query<ScanQuery>| {
        let platform = scanner.clone();
        async move {
            let after = query.after.map(RowKey::new);
            json(platform.scan(&query.prefix, after.as_ref(), query.limit).await)
        }
    };
    let commit = move |body: Bytes| {
        let platform = writer.clone();
        async move {
            match serde_json::from_slice::<Transaction>(&body) {
                Ok(txn) => json(platform.commit(&txn).await),
                Err(err) => bad_body(&err),
            }
        }
    };
    Router::new()
        .route(wire::ROW_PATH, get(read))
        .route(wire::SCAN_PATH, get(scan))
        .route(wire::COMMIT_PATH, post(commit))
}

fn object_routes<C: Clock>(platform: &LocalPlatform<C>) -> Router {
    let (getter, putter, lister) = (platform.clone(), platform.clone(), platform.clone());
    let fetch = move |Query(query): Query<KeyQuery>| {
        let platform = getter.clone();
        async move {
            match platform.get(&query.key).await {
                Ok(Some(value)) => Response::new(Body::from(value)),
                Ok(None) => absent(),
                Err(err) => failed(err),
            }
        }
    };
    let store = move |Query(query): Query<KeyQuery>, value: Bytes| {
        let platform = putter.clone();
        async move { stored(platform.put(&query.key, value).await) }
    };
    let list = move |Query(query): Query<PrefixQuery>| {
        let platform = lister.clone();
        async move { json(ObjectStore::list(&platform, &query.prefix).await) }
    };
    Router::new()
        .route(wire::OBJECTS_PATH, get(fetch).put(store))
        .route(wire::OBJECT_LIST_PATH, get(list))
}

fn instance_routes<C: Clock>(platform: &LocalPlatform<C>) -> Router {
    let (lister, enterer) = (platform.clone(), platform.clone());
    let list = move || {
        let platform = lister.clone();
        async move { json(InstanceList::list(&platform).await) }
    };
    let enter = move |body: Bytes| {
        let platform = enterer.clone();
        async move {
            match serde_json::from_slice::<ListedInstance>(&body) {
                Ok(entry) => {
                    platform.enter_instance(entry);
                    stored(Ok(()))
                }
                Err(err) => bad_body(&err),
            }
        }
    };
    Router::new().route(wire::INSTANCES_PATH, get(list).put(enter))
}

fn json<T: Serialize>(outcome: Result<T>) -> Response<Body> {
    match outcome {
        Ok(value) => answers::json(StatusCode::OK, &value),
        Err(err) => failed(err),
    }
}

fn found<T: Serialize>(outcome: Result<Option<T>>) -> Response<Body> {
    match outcome {
        Ok(None) => absent(),
        Ok(Some(value)) => json(Ok(value)),
        Err(err) => failed(err),
    }
}

fn stored(outcome: Result<()>) -> Response<Body> {
    match outcome {
        Ok(()) => with_status(StatusCode::NO_CONTENT, Body::empty()),
        Err(err) => failed(err),
    }
}

fn absent() -> Response<Body> {
    answers::text(StatusCode::NOT_FOUND, "no such key")
}

fn bad_body(err: &serde_json::Error) -> Response<Body> {
    answers::text(StatusCode::BAD_REQUEST, format!("body: {err}"))
}

fn failed(err: Error) -> Response<Body> {
    match err {
        Error::Unavailable { message } => {
            let mut answer = answers::text(StatusCode::SERVICE_UNAVAILABLE, message);
            answer.headers_mut().insert(wire::REFUSED_HEADER, HeaderValue::from_static("true"));
            answer
        }
        // The connection fails inside the body, so the caller never receives a complete answer.
        Error::AnswerLost { message } | Error::BadAnswer { message } => {
            let broken = futures_util::stream::iter([Err(message.into())]);
            with_status(StatusCode::OK, Body::from_stream(broken))
        }
    }
}

fn with_status(status: StatusCode, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}
