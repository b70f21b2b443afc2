//! Runs an instance of the gateway: its listeners and followers, its start and its stop.

mod signals;
mod stops;

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::ranks::number_of;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::{AdmitAll, HttpClient, Shutdown, serve_checked};
use http::StatusCode;
use rand::rngs::SysRng;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, UdpSocket};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::clouds::Cloud;
use crate::controls;
use crate::duties::{DutyOptions, DutyRunner};
use crate::events::{InstanceEvent, emit};
use crate::followers::{ConfigFollower, EntryFollower, FollowTimes, follow};
use crate::forwarding::forwarding_router;
use crate::peers;
use crate::relay::{FrontCheck, Gateway, GatewayOptions, InstanceCheck};
use crate::reloads::{OptionSource, Reloader, Tunables};
use crate::roles::{RoleController, RoleOptions};
use crate::speeds::meter_slots;
use crate::tables::{CountedTable, Table};
use crate::wires::Wire;

use signals::InstanceSignals;
use stops::FLUSH_TIME;
pub use stops::stop;

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
    /// How long a change may take to be active at an instance to which the tables respond.
    pub apply_within: Millis,
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
    let signals = InstanceSignals::try_new(clock.now())?;
    let gateway = Gateway::new(wire, clock.clone(), client, options.gateway.clone());
    let table = CountedTable::new(backends.table, gateway.metrics().table_calls.clone());
    let shutdown = Shutdown::new();

    let front = TcpListener::bind(options.front).await?;
    let readiness = TcpListener::bind(options.readiness).await?;
    let serving = tokio::spawn(serve_front(front, gateway.clone(), shutdown.clone()));
    let budgets = gateway.clients().clone();
    let router = readiness_router(gateway.clone());
    tokio::spawn(serve_checked(readiness, router, shutdown.clone(), AdmitAll, budgets.readiness));
    if let Some(address) = options.control {
        let listener = TcpListener::bind(address).await?;
        let router = control_router(gateway.clone());
        tokio::spawn(serve_checked(listener, router, shutdown.clone(), AdmitAll, budgets.control));
    }
    let config_follower = ConfigFollower::new(gateway.clone());
    let times = FollowTimes::within(options.unseen, options.apply_within);
    tokio::spawn(follow(table.clone(), clock.clone(), times, config_follower));
    let entry_follower = EntryFollower::new(gateway.clone(), clock.clone());
    tokio::spawn(follow(table.clone(), clock.clone(), times, entry_follower));
    tokio::spawn(meter_slots(gateway.clone(), clock.clone()));
    let forwarding = TcpListener::bind(options.peer).await?;
    let (router, check) = (forwarding_router(gateway.clone()), InstanceCheck(gateway.clone()));
    tokio::spawn(serve_checked(forwarding, router, shutdown.clone(), check, budgets.instances));
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
    let schedule = signals.planned_stop(&clock, &gateway, &mut reloader).await;
    stop(&gateway, &shutdown, &clock, schedule).await;
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
    let budget = gateway.clients().callers.clone();
    tokio::select! {
        served = serve_checked(listener, router, shutdown, check, budget) => served,
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
