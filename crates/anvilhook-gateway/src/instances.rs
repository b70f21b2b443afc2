//! One running instance of the gateway: listeners, followers, and its start and stop.

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::{HttpClient, Phase, Shutdown};
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::events;
use crate::followers::{ConfigFollower, EntryFollower, follow};
use crate::relay::{Gateway, GatewayOptions};
use crate::tables::Table;
use crate::wires::Wire;

/// How long an instance that stops goes on taking connections. Whoever spreads connections needs
/// that long to notice that it is not ready.
const NOTICE_TIME: Millis = Millis(2_300);

/// How long nothing must be in flight before an instance that stops ends.
const QUIET_TIME: Millis = Millis(250);

/// What is left of the time for a stop when the process ends in any case.
const STOP_MARGIN: Millis = Millis(700);

/// The pause between two looks at what is in flight.
const LOOK_PAUSE: Millis = Millis(50);

/// `InstanceOptions` says where an instance listens and how it stops.
#[derive(Clone, Debug)]
pub struct InstanceOptions {
    /// The instance's name.
    pub name: Arc<str>,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
    /// The time from the signal to stop to the end of the process.
    pub grace: Millis,
    /// The figures by which requests are served.
    pub gateway: GatewayOptions,
}

/// Runs an instance until it is told to stop.
///
/// # Errors
///
/// An I/O error if it cannot listen.
pub async fn run<W: Wire, T: Table, C: Clock>(
    options: InstanceOptions,
    wire: W,
    table: T,
    clock: C,
    client: HttpClient,
) -> std::io::Result<()> {
    // The signals are caught before anything is open, so that none ends the process at once.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let gateway = Gateway::new(wire, clock.clone(), client, options.gateway.clone());
    let shutdown = Shutdown::new();

    let front = TcpListener::bind(options.front).await?;
    let readiness = TcpListener::bind(options.readiness).await?;
    let serving = tokio::spawn(serve_front(front, gateway.clone(), shutdown.clone()));
    tokio::spawn(serve_readiness(readiness, gateway.clone(), shutdown.clone()));
    let config_follower = ConfigFollower::new(gateway.clone());
    tokio::spawn(follow(table.clone(), clock.clone(), config_follower));
    let entry_follower = EntryFollower::new(gateway.clone(), clock.clone());
    tokio::spawn(follow(table.clone(), clock.clone(), entry_follower));
    events::started(&options.name, &options.gateway.zone, env!("CARGO_PKG_VERSION"));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => events::signalled("SIGHUP", gateway.in_flight()),
        }
    }
    stop(&gateway, &clock, options.grace).await;
    shutdown.advance(Phase::Closed);
    let _ = tokio::time::timeout(STOP_MARGIN.as_duration() / 2, serving).await;
    events::stopped(gateway.in_flight());
    Ok(())
}

/// Lets what is in flight come to its end, in the time there is.
async fn stop<W: Wire, C: Clock>(gateway: &Gateway<W, C>, clock: &C, grace: Millis) {
    events::signalled("SIGTERM", gateway.in_flight());
    let started_at = clock.now();
    gateway.begin_stop();
    let latest = started_at + (grace - STOP_MARGIN);
    let mut quiet_since = None;
    loop {
        tokio::time::sleep(LOOK_PAUSE.as_duration()).await;
        let now = clock.now();
        if gateway.in_flight() > 0 {
            quiet_since = None;
        }
        let quiet = now - *quiet_since.get_or_insert(now);
        let is_noticed = now >= started_at + NOTICE_TIME;
        if now >= latest || (is_noticed && quiet >= QUIET_TIME) {
            return;
        }
    }
}

async fn serve_front<W: Wire, C: Clock>(
    listener: TcpListener,
    gateway: Gateway<W, C>,
    shutdown: Shutdown,
) -> std::io::Result<()> {
    let router: Router = Router::new().fallback(move |req: Request| {
        let gateway = gateway.clone();
        async move { gateway.handle(req).await }
    });
    anvilhook_http::serve(listener, router, shutdown).await
}

async fn serve_readiness<W: Wire, C: Clock>(
    listener: TcpListener,
    gateway: Gateway<W, C>,
    shutdown: Shutdown,
) -> std::io::Result<()> {
    let router: Router = Router::new().fallback(move |_req: Request| {
        let gateway = gateway.clone();
        async move { readiness(gateway.is_ready()) }
    });
    anvilhook_http::serve(listener, router, shutdown).await
}

fn readiness(is_ready: bool) -> Response {
    let mut answer = Response::new(Body::empty());
    if !is_ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}
