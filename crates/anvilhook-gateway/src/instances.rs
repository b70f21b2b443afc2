//! Runs an instance of the gateway: its listeners and followers, its start and its stop.

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::ranks::number_of;
use anvilhook_core::stops::{SignalWatch, Stop};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::{HttpClient, Phase, Shutdown, serve, serve_checked};
use http::StatusCode;
use rand::rngs::SysRng;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::MissedTickBehavior;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::clouds::Cloud;
use crate::controls;
use crate::duties::{DutyOptions, DutyRunner};
use crate::events::{InstanceEvent, emit};
use crate::followers::{ConfigFollower, EntryFollower, follow, wait_within};
use crate::forwarding::forwarding_router;
use crate::peers;
use crate::relay::{FrontCheck, Gateway, GatewayOptions};
use crate::reloads::{OptionSource, Reloader, Tunables};
use crate::roles::{RoleController, RoleOptions};
use crate::speeds::meter_slots;
use crate::tables::{CountedTable, Table};
use crate::wires::Wire;

/// How long a stopping instance accepts new connections. Load balancers need that long to notice
/// that it is not ready.
const NOTICE_TIME: Millis = Millis(2_300);

/// How long before its end a stopping instance stops accepting requests.
const FINISH_TIME: Millis = Millis(2_500);

/// How long a stopping instance must have nothing in flight before it ends.
const QUIET_TIME: Millis = Millis(150);

/// How long before the end of the stop time the process ends in any case.
const STOP_MARGIN: Millis = Millis(900);

/// The interval between two checks of what is in flight.
const CHECK_INTERVAL: Millis = Millis(20);

/// The interval at which the settings are checked for changes without a signal.
const RELOAD_INTERVAL: Millis = Millis(1_000);

/// The interval at which the absence of a signal to stop is recorded.
const SIGNAL_CHECK_INTERVAL: Millis = Millis(50);

/// The time to send the last bytes of answers.
const FLUSH_TIME: Millis = Millis(300);

/// `InstanceOptions` states where an instance listens and how it runs.
#[derive(Clone, Debug)]
pub struct InstanceOptions {
    /// The instance's name.
    pub name: Arc<str>,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for readiness checks.
    pub readiness: SocketAddr,
    /// The address for operators' requests for metrics and suspected requests, if any.
    pub control: Option<SocketAddr>,
    /// The address for the datagrams of other instances, and for the calls that they forward.
    pub peer: SocketAddr,
    /// How long a change may stay unseen behind a connection that has stopped responding.
    pub unseen: Millis,
    /// The options that may change while the instance runs.
    pub tunables: Tunables,
    /// The options of request handling.
    pub gateway: GatewayOptions,
    /// The options of the split of engines between roles.
    pub roles: RoleOptions,
    /// The duties that one instance at a time performs.
    pub duties: DutyOptions,
}

/// `Backends` are the services that an instance calls in addition to its upstreams.
#[derive(Clone, Debug)]
pub struct Backends<T, P> {
    /// The platform's tables.
    pub table: T,
    /// The platform's API, if the instance has duties.
    pub cloud: Option<P>,
}

/// Runs an instance until it receives SIGTERM.
///
/// # Errors
///
/// An I/O error if it cannot listen.
pub async fn run<W: Wire, T: Table, C: Clock, S: OptionSource, P: Cloud>(
    options: InstanceOptions,
    source: S,
    wire: W,
    backends: Backends<T, P>,
    clock: C,
    client: HttpClient,
) -> std::io::Result<()> {
    // The signals are caught before anything is open, so that none terminates the process at once.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let gateway = Gateway::new(wire, clock.clone(), client, options.gateway.clone());
    let table = CountedTable::new(backends.table, gateway.metrics().table_calls.clone());
    let shutdown = Shutdown::new();

    let front = TcpListener::bind(options.front).await?;
    let readiness = TcpListener::bind(options.readiness).await?;
    let serving = tokio::spawn(serve_front(front, gateway.clone(), shutdown.clone()));
    tokio::spawn(serve(readiness, readiness_router(gateway.clone()), shutdown.clone()));
    if let Some(address) = options.control {
        let listener = TcpListener::bind(address).await?;
        tokio::spawn(serve(listener, control_router(gateway.clone()), shutdown.clone()));
    }
    let config_follower = ConfigFollower::new(gateway.clone());
    let wait = wait_within(options.unseen);
    tokio::spawn(follow(table.clone(), clock.clone(), wait, config_follower));
    let entry_follower = EntryFollower::new(gateway.clone(), clock.clone());
    tokio::spawn(follow(table.clone(), clock.clone(), wait, entry_follower));
    tokio::spawn(meter_slots(gateway.clone(), clock.clone()));
    let forwarding = TcpListener::bind(options.peer).await?;
    let forwarding_router = forwarding_router(gateway.clone());
    tokio::spawn(serve(forwarding, forwarding_router, shutdown.clone()));
    start_peers(&options, &gateway, &table, &clock).await?;
    if let Some(cloud) = backends.cloud {
        let (name, duties) = (options.name.to_string(), options.duties.clone());
        let (gateway, table, clock) = (gateway.clone(), table.clone(), clock.clone());
        tokio::spawn(DutyRunner::new(gateway, table, clock, cloud, name, duties).run());
    }
    let (zone, version) = (&*options.gateway.zone, env!("CARGO_PKG_VERSION"));
    emit(&InstanceEvent::Started { zone, version });

    let tunables = options.tunables.clone();
    let mut reloader = Reloader::new(source, gateway.clone(), options.peer, tunables);
    let mut reloads = tokio::time::interval(RELOAD_INTERVAL.as_duration());
    let mut watch = SignalWatch::new(clock.now());
    let mut checks = tokio::time::interval(SIGNAL_CHECK_INTERVAL.as_duration());
    // A check that is due must not run several times at once after a suspension.
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = hangup.recv() => {
                signalled("SIGHUP", gateway.in_flight(), watch.unchecked(clock.now()));
                reloader.check(true);
            }
            _ = checks.tick() => watch.record_check(clock.now()),
            _ = reloads.tick() => reloader.check(false),
        }
    }
    let signalled_at = clock.now();
    signalled("SIGTERM", gateway.in_flight(), watch.unchecked(signalled_at));
    // The time to stop may have been shortened since the last check, with or without a signal that
    // is still pending. An instance that takes longer than it has is killed while sending its
    // answers.
    reloader.check(false);
    let latest = signalled_at + (reloader.tunables().grace - STOP_MARGIN);
    stop(&gateway, &shutdown, &clock, latest).await;
    let _ = tokio::time::timeout(FLUSH_TIME.as_duration(), serving).await;
    let metrics = gateway.metrics();
    emit(&InstanceEvent::Stopped {
        in_flight: gateway.in_flight(),
        digests: metrics.digests.get(),
        digest_bytes: metrics.digest_bytes.get(),
        digest_sections: metrics.digest_sections.totals(),
    });
    Ok(())
}

fn signalled(signal: &str, in_flight: u64, unchecked: Millis) {
    emit(&InstanceEvent::Signalled { signal, in_flight, unchecked_ms: unchecked.0 });
}

async fn start_peers<W: Wire, T: Table, C: Clock>(
    options: &InstanceOptions,
    gateway: &Gateway<W, C>,
    table: &T,
    clock: &C,
) -> std::io::Result<()> {
    let socket = UdpSocket::bind(options.peer).await?;
    let peers = Arc::clone(gateway.peers());
    let mut rng = ChaCha8Rng::try_from_rng(&mut SysRng).map_err(std::io::Error::other)?;
    let number = number_of(options.gateway.link_mbps, rng.next_u64());
    tokio::spawn(peers::exchange(socket, number, rng, gateway.clone(), clock.clone()));
    tokio::spawn(peers::seed_caches(gateway.clone(), clock.clone()));
    let name = options.name.to_string();
    tokio::spawn(peers::keep_registered(table.clone(), name.clone(), options.peer, peers));
    let controller = RoleController::new(
        gateway.clone(),
        table.clone(),
        clock.clone(),
        name,
        options.roles.clone(),
    );
    tokio::spawn(controller.run());
    Ok(())
}

/// Completes all requests within the time available.
///
/// New connections are accepted until no more arrive. Then the listener is closed, and requests on
/// open connections are still served if they are certain to complete in time. At last, further
/// requests are refused as not run: a request that began in the last moment of the process would be
/// truncated. A request without an answer at the end gets one. `latest` is when the instance ends,
/// whatever is in flight; answers have a moment more to leave the process.
pub async fn stop<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    shutdown: &Shutdown,
    clock: &C,
    latest: Millis,
) {
    let noticed_at = clock.now() + NOTICE_TIME;
    let schedule = Stop { noticed_at, ends_at: latest };
    // With too few other instances, connections keep arriving. A request accepted too late would be
    // truncated by the end of the process, so the last part of the time only completes running
    // requests.
    let accept_until = latest - FINISH_TIME;
    gateway.begin_stop(schedule);
    quiet(gateway, clock, noticed_at, accept_until).await;
    shutdown.advance(Phase::Closed);
    quiet(gateway, clock, Millis::ZERO, accept_until).await;
    gateway.refuse_new();
    quiet(gateway, clock, Millis::ZERO, latest).await;
    gateway.end();
    quiet(gateway, clock, Millis::ZERO, latest + FLUSH_TIME).await;
}

/// Waits until nothing has been in flight for [`QUIET_TIME`], not before `earliest` and at most
/// until `latest`.
async fn quiet<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    clock: &C,
    earliest: Millis,
    latest: Millis,
) {
    let mut quiet_since = None;
    loop {
        let now = clock.now();
        if gateway.in_flight() > 0 {
            quiet_since = None;
        }
        let quiet = now - *quiet_since.get_or_insert(now);
        if now >= latest || (now >= earliest && quiet >= QUIET_TIME) {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL.as_duration()).await;
    }
}

/// Serves callers on a listener until the phase is `Closed`.
///
/// # Errors
///
/// The library's error if the server fails.
pub async fn serve_front<W: Wire, C: Clock>(
    listener: TcpListener,
    gateway: Gateway<W, C>,
    shutdown: Shutdown,
) -> std::io::Result<()> {
    let check = FrontCheck(gateway.clone());
    let router = front_router(gateway.clone());
    tokio::select! {
        served = serve_checked(listener, router, shutdown, check) => served,
        () = gateway.measure_lag() => Ok(()),
    }
}

/// Returns the router that passes every request to a gateway.
pub fn front_router<W: Wire, C: Clock>(gateway: Gateway<W, C>) -> Router {
    Router::new().fallback(move |req: Request| {
        let gateway = gateway.clone();
        async move { gateway.handle(req).await }
    })
}

fn readiness_router<W: Wire, C: Clock>(gateway: Gateway<W, C>) -> Router {
    Router::new().fallback(move |_req: Request| {
        let gateway = gateway.clone();
        async move { readiness(gateway.is_ready()) }
    })
}

fn control_router<W: Wire, C: Clock>(gateway: Gateway<W, C>) -> Router {
    Router::new().fallback(move |req: Request| {
        let gateway = gateway.clone();
        async move { controls::answer(&gateway, &req) }
    })
}

fn readiness(is_ready: bool) -> Response {
    let mut answer = Response::new(Body::empty());
    if !is_ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}
