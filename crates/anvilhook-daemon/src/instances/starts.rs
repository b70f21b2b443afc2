//! Starting an instance.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::units::{Clock, SystemClock};
use anvilhook_engine::{ControlOptions, HttpEngineControl, HttpUpstreams};
use anvilhook_http::{CallError, ClientOptions, HttpClient, Phase, Shutdown, serve};
use anvilhook_platform::{HttpPlatform, HttpPlatformOptions};
use anvilhook_store::{ConfigurationFollower, ConfigurationStore, StoreOptions};
use prometheus_client::registry::Registry;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use volo_http::server::route::Router;

use super::handles::{Addresses, Announcement, InstanceHandle};
use super::marks::Marks;
use super::pollers::Pollers;
use super::tasks::Tasks;
use crate::front::{Front, FrontMetrics, FrontOptions, FrontParts};
use crate::names::running_name;
use crate::observability::{ProcessCollector, Readiness, probe_router};
use crate::proxy::NoClaims;
use crate::settings::{PollingSettings, Settings};

/// `Parts` holds what an instance takes from its surroundings.
#[derive(Clone, Debug)]
pub struct Parts<C> {
    /// The clock that its decisions read.
    pub clock: C,
    /// The generator that its random choices come from.
    pub rng: ChaCha8Rng,
}

impl Parts<SystemClock> {
    /// Returns the machine's clock and a generator that is seeded by the system.
    pub fn of_this_process() -> Self {
        Self { clock: SystemClock::new(), rng: rand::make_rng() }
    }

    /// Returns the machine's clock and a generator that can be repeated.
    pub fn seeded(seed: u64) -> Self {
        Self { clock: SystemClock::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }
}

/// `StartError` says why an instance could not start. Nothing of it is left running.
#[derive(Debug)]
pub enum StartError {
    /// Returned when an address cannot be listened on.
    Listen {
        /// The setting, such as `listen.callers`.
        field: &'static str,
        /// Its address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Returned when the running name cannot be made.
    Name(anvilhook_core::Error),
    /// Returned when the HTTP library refuses its options.
    Client(CallError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen { field, address, source } => {
                write!(f, "{field}: cannot listen on {address}: {source}")
            }
            StartError::Name(err) => write!(f, "instance.name_prefix: {err}"),
            StartError::Client(err) => write!(f, "no client can be made: {err}"),
        }
    }
}

impl std::error::Error for StartError {}

/// `Listeners` holds the open listeners of an instance.
struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    async fn open(settings: &Settings) -> Result<Self, StartError> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind("listen.callers", listen.callers).await?,
            operators: bind("listen.operators", listen.operators).await?,
            peers: bind("listen.peers", listen.peers).await?,
        })
    }

    fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.local_addr()?,
        })
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let opened = TcpListener::bind(address).await;
    opened.map_err(|source| StartError::Listen { field, address, source })
}

/// `Instance` starts instances.
#[derive(Debug)]
pub struct Instance;

impl Instance {
    /// Opens the listeners and starts all parts.
    ///
    /// # Errors
    ///
    /// A `StartError`; nothing is left running then.
    pub async fn start<C: Clock>(
        settings: Settings,
        mut parts: Parts<C>,
    ) -> Result<InstanceHandle<C>, StartError> {
        let prefix = &settings.instance.name_prefix;
        let name = running_name(prefix, &mut parts.rng).map_err(StartError::Name)?;
        let listeners = Listeners::open(&settings).await?;
        let addresses = listeners.addresses().map_err(|source| StartError::Listen {
            field: "listen.callers",
            address: settings.listen.callers,
            source,
        })?;
        let clients = Clients::try_new(&settings, &mut parts.rng).map_err(StartError::Client)?;

        let shutdown = Shutdown::new();
        let readiness = Readiness::new(shutdown.clone());
        let mut registry = Registry::default();
        registry.register_collector(Box::new(ProcessCollector));
        let front = Front::new(FrontParts {
            clock: parts.clock.clone(),
            upstreams: clients.upstreams.clone(),
            claims: NoClaims,
            shutdown: shutdown.clone(),
            options: front_options(&settings),
            metrics: FrontMetrics::new(&mut registry),
            seed: parts.rng.random(),
        });
        let store =
            ConfigurationStore::new(clients.platform.clone(), StoreOptions::new(name.clone()));
        let pollers = Pollers {
            clock: parts.clock,
            front: front.clone(),
            follower: ConfigurationFollower::new(store),
            marks: Marks::default(),
            readiness: readiness.clone(),
        };

        let mut tasks = Tasks::new(shutdown.clone());
        spawn_pollers(&mut tasks, &pollers, clients, &settings.polling);
        spawn_front(&mut tasks, "callers", listeners.callers, front.router(), &shutdown);
        let probes = probe_router(Arc::new(registry), readiness.clone());
        spawn_front(&mut tasks, "operators", listeners.operators, probes, &shutdown);

        log::info!(instance:% = name; "listening at {addresses:?}");
        let zone = settings.instance.zone.clone();
        let announcement = Announcement { instance: name, zone, addresses };
        Ok(InstanceHandle { announcement, shutdown, front, readiness, tasks })
    }
}

/// `HttpFront` is the caller front over HTTP bindings.
pub(super) type HttpFront<C> = Front<C, HttpUpstreams, NoClaims>;

/// `Clients` holds the bindings to everything that an instance calls.
struct Clients {
    platform: HttpPlatform,
    upstreams: HttpUpstreams,
    control: HttpEngineControl,
}

impl Clients {
    fn try_new(settings: &Settings, rng: &mut impl Rng) -> Result<Self, CallError> {
        let options = HttpPlatformOptions {
            timeout: settings.platform.timeout_ms,
            ..HttpPlatformOptions::default()
        };
        let client = HttpClient::try_new(&ClientOptions::default())?;
        Ok(Self {
            platform: HttpPlatform::try_new(settings.platform.address, &options)?,
            upstreams: HttpUpstreams::new(client.clone()),
            control: HttpEngineControl::new(client, ControlOptions::default(), rng),
        })
    }
}

fn front_options(settings: &Settings) -> FrontOptions {
    FrontOptions {
        max_header_bytes: settings.limits.header_bytes as usize,
        max_open_requests: u64::from(settings.limits.open_requests),
        ..FrontOptions::default()
    }
}

fn spawn_pollers<C: Clock>(
    tasks: &mut Tasks,
    pollers: &Pollers<C, HttpUpstreams, NoClaims, HttpPlatform>,
    clients: Clients,
    polling: &PollingSettings,
) {
    // Requests in flight during a graceful stop still need fresh news of upstreams, so the pollers
    // run until the end.
    let until = Phase::Closed;
    let applying = pollers.clone().apply_configurations();
    tasks.spawn_until("configuration", until, applying);
    let following = pollers.clone().follow_table(polling.configuration_ms);
    tasks.spawn_until("table", until, following);
    let watching = pollers.clone().watch_list(clients.platform, polling.instance_list_ms);
    tasks.spawn_until("instance list", until, watching);
    let reading = pollers.clone().read_reports(clients.control, polling.reports_ms);
    tasks.spawn_until("load reports", until, reading);
}

fn spawn_front(
    tasks: &mut Tasks,
    name: &'static str,
    listener: TcpListener,
    router: Router,
    shutdown: &Shutdown,
) {
    let shutdown = shutdown.clone();
    tasks.spawn(name, async move {
        if let Err(err) = serve(listener, router, shutdown).await {
            log::error!("the front for {name} failed: {err}");
        }
    });
}
