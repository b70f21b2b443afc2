//! Runs the control parts of one instance, wired as in the daemon.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anvilhook_authority::PoolPlan;
use anvilhook_core::resources::Configuration;
use anvilhook_core::units::{Clock, Millis, Revision, SystemClock, Tokens, WallTime};
use anvilhook_peer::gossip::{AccountDigest, AckSection, DemandSection, EngineDigest, LoadSection};
use anvilhook_peer::{PeerAddress, PeerHandle, PeerKey, PeerLink, PeerOptions};
use anvilhook_platform::{HttpPlatform, HttpPlatformOptions, InstanceList};
use anvilhook_store::instances::poll_interval;
use anvilhook_store::{
    ConfigurationFollower, ConfigurationStore, InstanceDirectory, InstanceRecord, ReportSchedule,
    StoreOptions,
};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::controllers::{AckBoard, ControllerTask, DrainTask};

/// The shared key of the measured peer links.
const KEY: &[u8] = b"the key of the control bench, 32+";

/// The whole fleet's reads of the configuration head per second, and the bounds of one instance's
/// interval.
const FLEET_READS_PER_S: u64 = 200;
const MIN_POLL: Millis = Millis(500);
const MAX_POLL: Millis = Millis(2_500);

/// The minimum time between two reports of the applied revision.
const REPORT_INTERVAL: Millis = Millis(5_000);

/// The intervals between two reads of the instance list, and of the instances' records.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(5);

/// The numbers of engines and of accounts in one instance's digests.
const ENGINES: usize = 24;
const ACCOUNTS: usize = 16;

/// The interval at which an instance checks whether a report is due and publishes new digests.
const TICK_INTERVAL: Duration = Duration::from_millis(1_000);

/// `Arrivals` lists the time at which each revision was applied on one instance.
type Arrivals = Arc<Mutex<Vec<(Revision, Instant)>>>;

/// `ControlInstance` is one instance without callers and without request routing.
pub(super) struct ControlInstance {
    pub(super) follower: ConfigurationFollower<HttpPlatform>,
    pub(super) peers: PeerHandle,
    pub(super) address: PeerAddress,
    clock: SystemClock,
    arrivals: Arrivals,
    acks: Arc<AckBoard>,
    stopping: watch::Sender<bool>,
    // Dropping the set aborts the instance's tasks.
    tasks: JoinSet<()>,
}

/// `FleetContext` holds what an instance needs from its fleet when it starts.
pub(super) struct FleetContext {
    pub(super) platform: SocketAddr,
    pub(super) announced: Vec<PeerAddress>,
    pub(super) plans: watch::Receiver<Arc<Vec<PoolPlan>>>,
    /// The instance's index in the fleet, by which polls are spread over time.
    pub(super) index: usize,
}

/// Binds a listener for an instance of a fleet and returns it with the instance's address.
pub(super) fn listen(at: usize) -> eyre::Result<(PeerAddress, TcpListener)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let zone = format!("zone-{}", at % 3).parse()?;
    let name = format!("entry-{at}").parse()?;
    Ok((PeerAddress { name, zone, address: listener.local_addr()? }, listener))
}

impl ControlInstance {
    /// Starts an instance as a peer of the announced ones. Must be called within the instances'
    /// runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started.
    pub(super) fn start(
        address: PeerAddress,
        listener: TcpListener,
        context: FleetContext,
    ) -> eyre::Result<Self> {
        let FleetContext { platform, announced, plans, index } = context;
        let table = HttpPlatform::try_new(platform, &HttpPlatformOptions::default())?;
        let store = ConfigurationStore::new(table.clone(), StoreOptions::new(address.name.clone()));
        let follower = ConfigurationFollower::new(store);
        let key = PeerKey::try_new(KEY)?;
        let options = PeerOptions::new(address.name.clone(), address.zone.clone(), key);
        let count = announced.len();
        let clock = SystemClock::new();
        let peers = PeerLink::start(options, listener, announced, clock)?;
        let arrivals = Arrivals::default();
        let platform_table = table.clone();

        let mut tasks = JoinSet::new();
        let interval = poll_interval(count, FLEET_READS_PER_S, MIN_POLL..=MAX_POLL);
        let offset = Millis(interval.0 * index as u64 / count as u64);
        tasks.spawn(poll(follower.clone(), interval, offset));
        tasks.spawn(offer_from_peers(follower.clone(), peers.clone()));
        tasks.spawn(watch(follower.clone(), peers.clone(), Arc::clone(&arrivals)));
        tasks.spawn(report(
            follower.clone(),
            InstanceDirectory::new(table),
            address.clone(),
            count,
        ));
        tasks.spawn(publish_digests(peers.clone()));
        tasks.spawn(watch_list(platform_table.clone()));
        tasks.spawn(read_records(platform_table.clone()));
        let acks = Arc::new(AckBoard::new(peers.clone()));
        let stopping = watch::Sender::new(false);
        let drains = DrainTask {
            me: address.name.clone(),
            platform: platform_table.clone(),
            clock,
            acks: Arc::clone(&acks),
            instances: count,
        };
        tasks.spawn(drains.run());
        let controller = ControllerTask {
            me: address.name.clone(),
            platform: platform_table,
            clock,
            peers: peers.clone(),
            acks: Arc::clone(&acks),
            plans,
            stopping: stopping.subscribe(),
        };
        tasks.spawn(async move {
            if let Err(err) = controller.run().await {
                log::warn!("a controller failed: {err}");
            }
        });
        Ok(Self { follower, peers, address, clock, arrivals, acks, stopping, tasks })
    }

    /// Returns the time at which this instance applied a revision or a later one, if it has.
    pub(super) fn applied_at(&self, revision: Revision) -> Option<Instant> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.iter().find(|(arrived, _)| *arrived >= revision).map(|(_, at)| *at)
    }

    /// Acknowledges the bench's drain.
    pub(super) fn acknowledge(&self, generation: u64) {
        self.acks.drill(generation);
    }

    /// Signals the controller to release its pools and stop.
    pub(super) fn stop_controller(&self) {
        self.stopping.send_replace(true);
    }

    /// Aborts all tasks at once, as if the process were killed.
    pub(super) fn kill(&mut self) {
        self.tasks.abort_all();
        self.peers.stop();
    }

    /// Returns the number of peers whose account demand is known here and no older than `max_age`.
    pub(super) fn fresh_demand(&self, max_age: Millis) -> usize {
        let now = self.clock.now();
        let view = self.peers.view();
        view.demand.values().filter(|received| received.age_at(now) <= max_age).count()
    }

    /// Returns the number of peers whose acknowledgement of a drain this instance has received.
    pub(super) fn acknowledged(&self, generation: u64) -> usize {
        let view = self.peers.view();
        let has = |acks: &AckSection| acks.drains.iter().any(|ack| ack.generation == generation);
        view.acks.values().filter(|received| has(&received.body)).count()
    }
}

/// Polls the head of the configuration periodically.
async fn poll(follower: ConfigurationFollower<HttpPlatform>, interval: Millis, offset: Millis) {
    // The offset keeps instances that start together from reading at the same time.
    tokio::time::sleep(offset.as_duration()).await;
    loop {
        // The applied configuration stays active when the table cannot be read.
        let _ = follower.poll_once().await;
        tokio::time::sleep(interval.as_duration()).await;
    }
}

/// Offers the configurations received from peers to the follower.
async fn offer_from_peers(follower: ConfigurationFollower<HttpPlatform>, peers: PeerHandle) {
    let mut newest = peers.configurations();
    while newest.changed().await.is_ok() {
        let offered = newest.borrow_and_update().clone();
        if let Some(offered) = offered {
            follower.offer(Configuration::clone(&offered));
        }
    }
}

/// Publishes each applied configuration to the peers and records the time.
async fn watch(
    follower: ConfigurationFollower<HttpPlatform>,
    peers: PeerHandle,
    arrivals: Arrivals,
) {
    let mut revisions = follower.subscribe();
    // A revision that was applied before this task started is handled as well.
    revisions.mark_changed();
    while revisions.changed().await.is_ok() {
        let revision = *revisions.borrow_and_update();
        let now = Instant::now();
        arrivals.lock().unwrap_or_else(PoisonError::into_inner).push((revision, now));
        peers.publish_configuration(follower.current());
    }
}

/// Reports the applied revision to the table.
async fn report(
    follower: ConfigurationFollower<HttpPlatform>,
    directory: InstanceDirectory<HttpPlatform>,
    address: PeerAddress,
    instances: usize,
) {
    let clock = SystemClock::new();
    let mut schedule = ReportSchedule::new(&address.name, REPORT_INTERVAL);
    let mut ticker = tokio::time::interval(TICK_INTERVAL);
    loop {
        ticker.tick().await;
        let revision = follower.revision();
        if !schedule.is_due(clock.now(), revision, instances) {
            continue;
        }
        let record = InstanceRecord {
            name: address.name.clone(),
            peer_address: address.address,
            zone: address.zone.clone(),
            revision,
            since: WallTime::default(),
        };
        match directory.announce(&record).await {
            Ok(()) => schedule.reported(clock.now(), revision, instances),
            Err(_) => schedule.failed(clock.now(), instances),
        }
    }
}

/// Polls the instance list, as the daemon does to find upstreams that leave.
async fn watch_list(platform: HttpPlatform) {
    loop {
        // The content is not used, since only the cost of reading is measured.
        let _ = platform.list().await;
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Reads the instances' records twice per interval: once to find peers and once, together with the
/// instance list, to remove those that have terminated.
async fn read_records(platform: HttpPlatform) {
    let directory = InstanceDirectory::new(platform.clone());
    loop {
        let _ = directory.list().await;
        let _ = platform.list().await;
        let _ = directory.list().await;
        tokio::time::sleep(DIRECTORY_INTERVAL).await;
    }
}

/// Publishes digests of a typical size to the peers.
async fn publish_digests(peers: PeerHandle) {
    let mut ticker = tokio::time::interval(TICK_INTERVAL);
    for seq in 1.. {
        ticker.tick().await;
        let engine = |at: usize| EngineDigest {
            engine: format!("runner-{at}").parse().expect("a name"),
            boot: 1,
            seq,
            requests: 3,
            prefill: Tokens(9_000),
            decode: Tokens(900),
        };
        let account = |at: usize| AccountDigest {
            account: format!("account-{at}").parse().expect("a name"),
            requests_per_s: 0.5,
            open_requests: 2,
        };
        let engines = (0..ENGINES).map(engine).collect();
        peers.publish_load(LoadSection { engines, reports: Vec::new() });
        let accounts = (0..ACCOUNTS).map(account).collect();
        peers.publish_demand(DemandSection { hears_all: true, accounts });
    }
}
