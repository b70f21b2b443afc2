//! One running instance of the gateway: listeners, followers, and its start and stop.

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::ranks::number_of;
use anvilhook_core::stops::Stop;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::{HttpClient, Phase, Shutdown, serve};
use http::StatusCode;
use rand::rngs::SysRng;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::clouds::Cloud;
use crate::controls;
use crate::duties::{DutyOptions, DutyRunner};
use crate::events::{Event, emit};
use crate::followers::{ConfigFollower, EntryFollower, follow, wait_within};
use crate::peers;
use crate::relay::{Gateway, GatewayOptions};
use crate::reloads::{OptionSource, Reloader, Tunables};
use crate::roles::{RoleController, RoleOptions};
use crate::speeds::meter_slots;
use crate::tables::{CountedTable, Table};
use crate::wires::Wire;

/// How long an instance that stops goes on taking connections. Whoever spreads connections needs
/// that long to notice that it is not ready.
const NOTICE_TIME: Millis = Millis(2_300);

/// How long before its end an instance that stops takes no request any more.
const FINISH_TIME: Millis = Millis(2_500);

/// How long nothing must be in flight before an instance that stops ends.
const QUIET_TIME: Millis = Millis(150);

/// What is left of the time for a stop when the process ends in any case.
const STOP_MARGIN: Millis = Millis(900);

/// The pause between two checks at what is in flight.
const CHECK_INTERVAL: Millis = Millis(20);

/// How often the settings are looked at for a change that no signal told.
const RELOAD_INTERVAL: Millis = Millis(1_000);

/// The time for the last bytes of answers.
const FLUSH_TIME: Millis = Millis(300);

/// `InstanceOptions` says where an instance listens and how it stops.
#[derive(Clone, Debug)]
pub struct InstanceOptions {
    /// The instance's name.
    pub name: Arc<str>,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
    /// Where operators ask for metrics and suspected requests, if anywhere.
    pub control: Option<SocketAddr>,
    /// Where other instances send their datagrams.
    pub peer: SocketAddr,
    /// How wide the instance's link is, in megabits a second, if that is known. Those with wide links
    /// tell and follow for the others.
    pub link_mbps: Option<f64>,
    /// How long a change may stay unseen behind a connection that has gone silent.
    pub unseen: Millis,
    /// What may change while the instance runs.
    pub tunables: Tunables,
    /// The figures by which requests are served.
    pub gateway: GatewayOptions,
    /// How engines are to be split.
    pub roles: RoleOptions,
    /// Which duties one instance at a time has.
    pub duties: DutyOptions,
}

/// `Backends` is what an instance calls beside its upstreams.
#[derive(Clone, Debug)]
pub struct Backends<T, P> {
    /// The platform's tables.
    pub table: T,
    /// The platform's API, if there are duties.
    pub cloud: Option<P>,
}

/// Runs an instance until it is told to stop.
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
    // The signals are caught before anything is open, so that none ends the process at once.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let gateway = Gateway::new(wire, clock.clone(), client, options.gateway.clone());
    let table = CountedTable::new(backends.table, gateway.metrics().table_calls.clone());
    let shutdown = Shutdown::new();

    let front = TcpListener::bind(options.front).await?;
    let readiness = TcpListener::bind(options.readiness).await?;
    let serving = tokio::spawn(serve(front, front_router(gateway.clone()), shutdown.clone()));
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
    start_peers(&options, &gateway, &table, &clock).await?;
    if let Some(cloud) = backends.cloud {
        let (name, duties) = (options.name.to_string(), options.duties.clone());
        let (gateway, table, clock) = (gateway.clone(), table.clone(), clock.clone());
        tokio::spawn(DutyRunner::new(gateway, table, clock, cloud, name, duties).run());
    }
    let (zone, version) = (&*options.gateway.zone, env!("CARGO_PKG_VERSION"));
    emit(&Event::Started { zone, version });

    let tunables = options.tunables.clone();
    let mut reloader = Reloader::new(source, gateway.clone(), options.peer, tunables);
    let mut checks = tokio::time::interval(RELOAD_INTERVAL.as_duration());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => {
                signalled("SIGHUP", gateway.in_flight());
                reloader.check(true);
            }
            _ = checks.tick() => reloader.check(false),
        }
    }
    let signalled_at = clock.now();
    signalled("SIGTERM", gateway.in_flight());
    // The time to stop may have been shortened since the last look, with or without a signal that still
    // waits. An instance that takes more than it has is killed in the midst of its answers.
    reloader.check(false);
    let latest = signalled_at + (reloader.tunables().grace - STOP_MARGIN);
    stop(&gateway, &shutdown, &clock, latest).await;
    let _ = tokio::time::timeout(FLUSH_TIME.as_duration(), serving).await;
    let metrics = gateway.metrics();
    emit(&Event::Stopped {
        in_flight: gateway.in_flight(),
        digests: metrics.digests.get(),
        digest_bytes: metrics.digest_bytes.get(),
        digest_sections: metrics.digest_sections.totals(),
    });
    Ok(())
}

fn signalled(signal: &str, in_flight: u64) {
    emit(&Event::Signalled { signal, in_flight });
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
    let number = number_of(options.link_mbps, rng.next_u64());
    tokio::spawn(peers::exchange(socket, number, rng, gateway.clone(), clock.clone()));
    tokio::spawn(peers::seed_caches(gateway.clone(), clock.clone()));
    let name = options.name.to_string();
    tokio::spawn(peers::register(table.clone(), name.clone(), options.peer, peers));
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

/// Brings all requests to their end, in the time there is.
///
/// New connections are taken until they come no more; then the listener is closed, and requests on
/// kept connections are still served, if they surely end in time. Last, what still comes is refused as
/// not run: a request that began in the process's last moment would be cut. Whatever has no answer at
/// the end gets one. `latest` is when the instance ends, whatever is in flight; answers have a moment more
/// to leave the process.
pub async fn stop<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    shutdown: &Shutdown,
    clock: &C,
    latest: Millis,
) {
    let noticed_at = clock.now() + NOTICE_TIME;
    let course = Stop { noticed_at, ends_at: latest };
    // With too few others, connections keep coming. What is taken too late would be cut by the
    // process's end, so the last part of the time only finishes what has begun.
    let accept_until = latest - FINISH_TIME;
    gateway.begin_stop(course);
    quiet(gateway, clock, noticed_at, accept_until).await;
    shutdown.advance(Phase::Closed);
    quiet(gateway, clock, Millis::ZERO, accept_until).await;
    gateway.refuse_new();
    quiet(gateway, clock, Millis::ZERO, latest).await;
    gateway.end();
    quiet(gateway, clock, Millis::ZERO, latest + FLUSH_TIME).await;
}

/// Waits until nothing has been in flight for a while, not before `earliest` and at most until
/// `latest`.
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

/// Returns the router that hands every request to a gateway.
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
