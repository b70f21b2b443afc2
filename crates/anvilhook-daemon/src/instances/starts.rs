//! Starting an instance.

use std::sync::Arc;

use anvilhook_authority::{AckSchedule, Follower, Keeper, KeeperOptions, POOL_PREFIX, Services};
use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Clock, SystemClock};
use anvilhook_engine::HttpUpstreams;
use anvilhook_http::{Phase, Shutdown, serve};
use anvilhook_peer::{PeerHandle, PeerKey, PeerLink, PeerOptions};
use anvilhook_platform::HttpPlatform;
use anvilhook_store::claims::{ClaimOptions, Claims};
use anvilhook_store::{
    ArchiveOptions, AuditArchive, ConfigurationFollower, ConfigurationStore, InstanceDirectory,
    MembershipFollower, StatusStore, StoreOptions,
};
use prometheus_client::registry::Registry;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use volo_http::server::route::Router;

use super::archives::keep_archiving;
use super::authorities::{Acknowledged, DrainTask, KeeperTask};
use super::caches::CachePoller;
use super::clients::Clients;
use super::errors::StartError;
use super::handles::{Announcement, InstanceHandle};
use super::listeners::Listeners;
use super::load_counts::LoadCounts;
use super::loads::LoadTask;
use super::marks::Marks;
use super::metrics::InstanceCollector;
use super::peers::{Presence, membership_options};
use super::pollers::Pollers;
use super::roles::RoleDesk;
use super::shares::ShareTask;
use super::sweeps::sweep_claims;
use super::tasks::Tasks;
use crate::front::{Front, FrontMetrics, FrontOptions, FrontParts};
use crate::names::{own_generator, running_name};
use crate::observability::{ProcessCollector, Readiness, probe_router};
use crate::operators::{
    self, Credentials, LeaseRows, OperatorApi, OperatorOptions, OperatorParts, system_wall_time,
};
use crate::proxy::TableClaims;
use crate::settings::{LeaseSettings, PollingSettings, Settings};

/// The stream of the generator that the ids of operators' changes come from.
const OPERATOR_STREAM: u64 = 1;

/// The stream of the generator that the archive's pauses come from.
const ARCHIVE_STREAM: u64 = 2;

/// The stream of the generator that the pauses between polls of the members come from.
const MEMBERSHIP_STREAM: u64 = 3;

/// `Parts` holds what an instance takes from its surroundings.
#[derive(Clone, Debug)]
pub struct Parts<C> {
    /// The clock that its decisions read.
    pub clock: C,
    /// The generator that its random choices come from, after its name was mixed in.
    pub rng: ChaCha8Rng,
}

impl Parts<SystemClock> {
    /// Returns the machine's clock and a generator that is seeded by the system.
    pub fn of_this_process() -> Self {
        Self { clock: SystemClock::new(), rng: rand::make_rng() }
    }

    /// Returns the machine's clock and a generator with a seed. Instances that share one still draw
    /// different ids, because each mixes its own name in.
    pub fn seeded(seed: u64) -> Self {
        Self { clock: SystemClock::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }
}

/// `HttpFront` is the caller front over HTTP bindings.
pub(super) type HttpFront<C> = Front<C, HttpUpstreams, TableClaims<HttpPlatform, C>>;

type HttpFollower = ConfigurationFollower<HttpPlatform>;

type HttpArchive = AuditArchive<HttpPlatform, HttpPlatform>;

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
        parts: Parts<C>,
    ) -> Result<InstanceHandle<C>, StartError> {
        let listeners = Listeners::open(&settings.listen).await?;
        let wiring = Wiring::try_new(settings, parts)?;
        wiring.start(listeners)
    }
}

/// `Wiring` is an instance whose parts are made and do not run yet.
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
        // Drawn from a seed, a name could be another instance's too, and each would take the other's
        // rows for its own.
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
        self.spawn_front(&mut tasks, "callers", listeners.callers, self.front.router());
        let probes =
            probe_router(Arc::new(std::mem::take(&mut self.registry)), self.readiness.clone());
        let archive = self.archive();
        let keeping = keep_archiving(archive.clone(), self.stream(ARCHIVE_STREAM));
        tasks.spawn_until("audit archive", Phase::Draining, keeping);
        let router = probes.merge(self.operator_router(archive));
        self.spawn_front(&mut tasks, "operators", listeners.operators, router);

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

    /// Starts what asks for news. Requests in flight during a graceful stop still need it, so it
    /// runs until the end.
    fn spawn_pollers(&self, tasks: &mut Tasks, link: &PeerHandle) {
        let pollers = Pollers {
            clock: self.clock.clone(),
            front: self.front.clone(),
            follower: self.follower.clone(),
            marks: self.marks.clone(),
            readiness: self.readiness.clone(),
            instances: self.instances.clone(),
            routable: self.routable.clone(),
        };
        let PollingSettings { configuration_ms, reports_ms, instance_list_ms } =
            self.settings.polling;
        let (platform, control) = (self.clients.platform.clone(), self.clients.control.clone());
        let until = Phase::Closed;
        let applying = pollers.clone().apply_configurations();
        tasks.spawn_until("configuration", until, applying);
        let following = pollers.clone().follow_table(configuration_ms);
        tasks.spawn_until("table", until, following);
        let watching = pollers.watch_list(platform, instance_list_ms);
        tasks.spawn_until("instance list", until, watching);
        let caches = CachePoller::new(self.front.clone()).poll(control.clone(), reports_ms);
        tasks.spawn_until("cache events", until, caches);
        let loads = LoadTask {
            clock: self.clock.clone(),
            name: self.name.clone(),
            zone: self.settings.instance.zone.clone(),
            front: self.front.clone(),
            follower: self.follower.clone(),
            link: link.clone(),
            marks: self.marks.clone(),
            counts: self.load_counts.clone(),
        };
        tasks.spawn_until("load reports", until, loads.keep(control, reports_ms));
    }

    /// Starts what keeps this instance and its peers known to each other.
    fn spawn_presence(&self, tasks: &mut Tasks, presence: &Presence<C, HttpPlatform>) {
        let platform = self.clients.platform.clone();
        let leases = self.settings.leases;
        let patience = leases.length_ms + leases.guard_ms;
        let until = Phase::Closed;
        tasks.spawn_until("announcement", until, presence.clone().keep_announced(patience));
        let members = MembershipFollower::new(
            platform.clone(),
            self.clock.clone(),
            self.name.clone(),
            membership_options(self.settings.polling.instance_list_ms),
        );
        let finding =
            presence.clone().find_peers(members, platform.clone(), self.stream(MEMBERSHIP_STREAM));
        tasks.spawn_until("peers", until, finding);
        let exchanging = presence.clone().exchange_configurations();
        tasks.spawn_until("peers' configurations", until, exchanging);
        let shares = ShareTask {
            clock: self.clock.clone(),
            front: self.front.clone(),
            link: presence.link.clone(),
            peers: self.peers.clone(),
            options: front_options(&self.settings).limits,
        };
        tasks.spawn_until("account shares", until, shares.move_shares());
        let (clock, name) = (self.clock.clone(), self.name.clone());
        let claims = Claims::new(platform.clone(), clock, name, ClaimOptions::default());
        let sweeping = sweep_claims(claims, platform, self.instances.subscribe());
        tasks.spawn_until("sweep of claims", until, sweeping);
    }

    /// Starts what follows drains, and what keeps the pools that this instance holds.
    fn spawn_authority(&self, tasks: &mut Tasks, link: &PeerHandle) -> Result<(), StartError> {
        let table = self.clients.platform.clone();
        let acknowledged = Acknowledged::new(link.clone());
        let drains = DrainTask {
            clock: self.clock.clone(),
            front: self.front.clone(),
            follower: Follower::new(self.name.clone(), table.clone(), AckSchedule::default()),
            marks: self.marks.clone(),
            acknowledged: acknowledged.clone(),
            instances: self.instances.clone(),
            announced: self.announced.clone(),
            routable: self.routable.clone(),
        };
        tasks.spawn_until("drains", Phase::Closed, drains.follow());

        let services = Services {
            table: table.clone(),
            engines: self.clients.control.clone(),
            instances: table.clone(),
            clock: self.clock.clone(),
        };
        let options = keeper_options(&self.settings.leases);
        options.check()?;
        let keeper = KeeperTask {
            name: self.name.clone(),
            clock: self.clock.clone(),
            front: self.front.clone(),
            instances: self.instances.clone(),
            desk: RoleDesk::new(self.settings.roles),
            keeper: Keeper::new(self.name.clone(), services, options),
            follower: self.follower.clone(),
            statuses: StatusStore::new(table),
            link: link.clone(),
            peers: self.peers.subscribe(),
            acknowledged,
            shutdown: self.shutdown.clone(),
        };
        tasks.spawn("authority", keeper.keep());
        Ok(())
    }

    fn archive(&self) -> HttpArchive {
        let store = self.follower.store().clone();
        AuditArchive::new(store, self.clients.platform.clone(), ArchiveOptions::default())
    }

    /// Returns a generator whose draws no other part of the instance repeats.
    fn stream(&self, stream: u64) -> ChaCha8Rng {
        let mut rng = self.rng.clone();
        rng.set_stream(stream);
        rng
    }

    fn operator_router(&self, archive: HttpArchive) -> Router {
        let api = OperatorApi::new(OperatorParts {
            follower: self.follower.clone(),
            archive,
            leases: LeaseRows::new(self.clients.platform.clone(), POOL_PREFIX),
            credentials: self.credentials.clone(),
            shutdown: self.shutdown.clone(),
            rng: self.stream(OPERATOR_STREAM),
            wall_clock: system_wall_time,
            options: OperatorOptions::default(),
        });
        operators::router(api)
    }

    fn spawn_front(
        &self,
        tasks: &mut Tasks,
        name: &'static str,
        listener: TcpListener,
        router: Router,
    ) {
        let shutdown = self.shutdown.clone();
        tasks.spawn(name, async move {
            if let Err(err) = serve(listener, router, shutdown).await {
                log::error!("the front for {name} failed: {err}");
            }
        });
    }
}

fn keeper_options(leases: &LeaseSettings) -> KeeperOptions {
    KeeperOptions { lease: leases.options(), ..KeeperOptions::default() }
}

fn front_options(settings: &Settings) -> FrontOptions {
    FrontOptions {
        max_header_bytes: settings.limits.header_bytes as usize,
        max_open_requests: u64::from(settings.limits.open_requests),
        ..FrontOptions::default()
    }
}
