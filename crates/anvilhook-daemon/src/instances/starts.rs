//! Starts an instance.

mod fronts;
mod spawns;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Clock, SystemClock};
use anvilhook_engine::HttpUpstreams;
use anvilhook_http::Shutdown;
use anvilhook_peer::{PeerHandle, PeerKey, PeerLink, PeerOptions};
use anvilhook_platform::HttpPlatform;
use anvilhook_store::claims::{ClaimOptions, Claims};
use anvilhook_store::{ConfigurationFollower, ConfigurationStore, InstanceDirectory, StoreOptions};
use prometheus_client::registry::Registry;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::clients::Clients;
use super::errors::StartError;
use super::handles::{Announcement, InstanceHandle};
use super::listeners::Listeners;
use super::load_counts::LoadCounts;
use super::marks::Marks;
use super::metrics::InstanceCollector;
use super::peers::Presence;
use super::tasks::Tasks;
use crate::front::{Front, FrontMetrics, FrontOptions, FrontParts};
use crate::names::{own_generator, running_name};
use crate::observability::{ProcessCollector, Readiness};
use crate::operators::{Credentials, system_wall_time};
use crate::proxy::TableClaims;
use crate::settings::Settings;

/// The generator's stream for the ids of operators' changes.
const OPERATOR_STREAM: u64 = 1;

/// The generator's stream for the pauses of the audit archiver.
const ARCHIVE_STREAM: u64 = 2;

/// The generator's stream for the pauses between polls of the members.
const MEMBERSHIP_STREAM: u64 = 3;

/// `Parts` holds the clock and the randomness that an instance uses.
#[derive(Clone, Debug)]
pub struct Parts<C> {
    /// The clock.
    pub clock: C,
    /// The random generator, into which the instance mixes its name before use.
    pub rng: ChaCha8Rng,
}

impl Parts<SystemClock> {
    /// Returns the system's clock and a generator that is seeded by the operating system.
    pub fn of_this_process() -> Self {
        Self { clock: SystemClock::new(), rng: rand::make_rng() }
    }

    /// Returns the system's clock and a generator with the given seed. Instances with the same seed
    /// still draw different ids, because each mixes its own name in.
    pub fn seeded(seed: u64) -> Self {
        Self { clock: SystemClock::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }
}

/// `HttpFront` is the caller front with HTTP bindings.
pub(super) type HttpFront<C> = Front<C, HttpUpstreams, TableClaims<HttpPlatform, C>>;

type HttpFollower = ConfigurationFollower<HttpPlatform>;

/// `Instance` starts an instance.
#[derive(Debug)]
pub struct Instance;

impl Instance {
    /// Opens the listeners and starts all parts.
    ///
    /// # Errors
    ///
    /// A `StartError`; no part is left running in that case.
    pub async fn start<C: Clock>(
        settings: Settings,
        parts: Parts<C>,
    ) -> Result<InstanceHandle<C>, StartError> {
        let listeners = Listeners::open(&settings.listen).await?;
        let wiring = Wiring::try_new(settings, parts)?;
        wiring.start(listeners)
    }
}

/// `Wiring` holds the parts of an instance that are created but not running yet.
struct Wiring<C> {
    settings: Settings,
    clock: C,
    rng: ChaCha8Rng,
    name: InstanceName,
    clients: Clients,
    credentials: Credentials,
    shutdown: Shutdown,
    readiness: Readiness,
    registry: Registry,
    front: HttpFront<C>,
    follower: HttpFollower,
    instances: watch::Sender<usize>,
    peers: watch::Sender<Vec<InstanceName>>,
    announced: watch::Sender<bool>,
    routable: watch::Sender<bool>,
    marks: Marks,
    load_counts: LoadCounts,
}

impl<C: Clock> Wiring<C> {
    fn try_new(settings: Settings, parts: Parts<C>) -> Result<Self, StartError> {
        let Parts { clock, mut rng } = parts;
        // If the name were drawn from a seed, two instances could get the same name, and each would
        // take the other's rows for its own.
        let mut system_rng: ChaCha8Rng = rand::make_rng();
        let name = running_name(&settings.instance.name_prefix, &mut system_rng)?;
        let mut rng = own_generator(&name, &mut rng);
        let clients = Clients::try_new(&settings, &mut rng)?;
        let credentials = Credentials::try_new(&settings.operators)?;
        let shutdown = Shutdown::new();
        let mut registry = Registry::default();
        registry.register_collector(Box::new(ProcessCollector));
        let claims = Claims::new(
            clients.platform.clone(),
            clock.clone(),
            name.clone(),
            ClaimOptions::default(),
        );
        let front = Front::new(FrontParts {
            clock: clock.clone(),
            upstreams: clients.upstreams.clone(),
            claims: TableClaims::new(claims, system_wall_time),
            shutdown: shutdown.clone(),
            options: front_options(&settings),
            metrics: FrontMetrics::new(&mut registry),
            seed: rng.random(),
        });
        let store_options = StoreOptions::new(name.clone());
        let store = ConfigurationStore::new(clients.platform.clone(), store_options);
        Ok(Self {
            settings,
            clock,
            rng,
            name,
            clients,
            credentials,
            readiness: Readiness::new(shutdown.clone()),
            shutdown,
            registry,
            front,
            follower: ConfigurationFollower::new(store),
            instances: watch::Sender::new(0),
            peers: watch::Sender::new(Vec::new()),
            announced: watch::Sender::new(false),
            routable: watch::Sender::new(false),
            marks: Marks::default(),
            load_counts: LoadCounts::default(),
        })
    }

    fn start(mut self, listeners: Listeners) -> Result<InstanceHandle<C>, StartError> {
        let addresses = listeners.addresses()?;
        let zone = self.settings.instance.zone.clone();
        let announcement = Announcement { instance: self.name.clone(), zone, addresses };
        let link = self.start_link(listeners.peers)?;
        let presence = self.presence(&announcement, &link);

        self.registry.register_collector(Box::new(InstanceCollector {
            front: self.front.clone(),
            follower: self.follower.clone(),
            instances: self.instances.clone(),
            link: link.clone(),
            load_counts: self.load_counts.clone(),
        }));

        let mut tasks = Tasks::new(self.shutdown.clone());
        self.spawn_pollers(&mut tasks, &link);
        self.spawn_presence(&mut tasks, &presence);
        self.spawn_authority(&mut tasks, &link)?;
        let bounds = self.settings.limits.client_bounds().callers;
        self.spawn_front(&mut tasks, "callers", listeners.callers, self.front.router(), bounds);
        self.spawn_operators(&mut tasks, listeners.operators);

        log::info!(instance:% = self.name; "listening at {addresses:?}");
        Ok(InstanceHandle {
            announcement,
            shutdown: self.shutdown,
            front: self.front,
            readiness: self.readiness,
            directory: presence.directory,
            link,
            load_counts: self.load_counts,
            tasks,
        })
    }

    fn start_link(&self, listener: TcpListener) -> Result<PeerHandle, StartError> {
        let key = PeerKey::try_new(self.settings.peers.key.reveal().as_bytes())?;
        let zone = self.settings.instance.zone.clone();
        let options = PeerOptions::new(self.name.clone(), zone, key);
        Ok(PeerLink::start(options, listener.into_std()?, Vec::new(), self.clock.clone())?)
    }

    fn presence(
        &self,
        announcement: &Announcement,
        link: &PeerHandle,
    ) -> Presence<C, HttpPlatform> {
        Presence {
            clock: self.clock.clone(),
            name: self.name.clone(),
            zone: announcement.zone.clone(),
            peer_address: announcement.addresses.peers,
            follower: self.follower.clone(),
            directory: InstanceDirectory::new(self.clients.platform.clone()),
            link: link.clone(),
            instances: self.instances.clone(),
            peers: self.peers.clone(),
            announced: self.announced.clone(),
            routable: self.routable.clone(),
        }
    }

    /// Returns a generator whose draws are independent of those of the instance's other parts.
    fn stream(&self, stream: u64) -> ChaCha8Rng {
        let mut rng = self.rng.clone();
        rng.set_stream(stream);
        rng
    }
}

fn front_options(settings: &Settings) -> FrontOptions {
    FrontOptions {
        max_header_bytes: settings.limits.header_bytes as usize,
        max_open_requests: u64::from(settings.limits.open_requests),
        ..FrontOptions::default()
    }
}
