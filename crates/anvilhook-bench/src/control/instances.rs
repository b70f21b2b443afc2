//! The control parts of one instance, wired as in the daemon.

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

/// The key of the measured links.
const KEY: &[u8] = b"the key of the control bench, 32+";

/// The fleet's reads of the head in a second, and the bounds of one instance's interval.
const FLEET_READS_PER_S: u64 = 200;
const MIN_POLL: Millis = Millis(500);
const MAX_POLL: Millis = Millis(2_500);

/// The least time between two reports of the revision in force.
const REPORT_INTERVAL: Millis = Millis(5_000);

/// The time between two readings of the platform's list, and of the instances' records.
const LIST_PAUSE: Duration = Duration::from_secs(1);
const DIRECTORY_PAUSE: Duration = Duration::from_secs(5);

/// The engines that one instance uses and the accounts that it meets, for its digests.
const ENGINES: usize = 24;
const ACCOUNTS: usize = 16;

/// How often an instance looks whether a report is due, and writes new digests.
const BEAT: Duration = Duration::from_millis(1_000);

/// `Arrivals` is when each revision came into force on one instance.
type Arrivals = Arc<Mutex<Vec<(Revision, Instant)>>>;

/// `ControlInstance` is one instance without its callers and engines.
pub(super) struct ControlInstance {
    pub(super) follower: ConfigurationFollower<HttpPlatform>,
    pub(super) peers: PeerHandle,
    pub(super) address: PeerAddress,
    clock: SystemClock,
    arrivals: Arrivals,
    acks: Arc<AckBoard>,
    stopping: watch::Sender<bool>,
    // Dropping it ends the instance's tasks.
    tasks: JoinSet<()>,
}

/// `Surroundings` is what an instance finds when it starts.
pub(super) struct Surroundings {
    pub(super) platform: SocketAddr,
    pub(super) announced: Vec<PeerAddress>,
    pub(super) plans: watch::Receiver<Arc<Vec<PoolPlan>>>,
    /// The instance's place among the others, by which polls are spread.
    pub(super) place: usize,
}

/// Returns where an instance of a fleet listens, and the listener.
pub(super) fn listen(at: usize) -> eyre::Result<(PeerAddress, TcpListener)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let zone = format!("zone-{}", at % 3).parse()?;
    let name = format!("entry-{at}").parse()?;
    Ok((PeerAddress { name, zone, address: listener.local_addr()? }, listener))
}

impl ControlInstance {
    /// Starts an instance among the announced ones. Must be called within the instances' runtime.
    ///
    /// # Errors
    ///
    /// Any failure to start a part.
    pub(super) fn start(
        address: PeerAddress,
        listener: TcpListener,
        surroundings: Surroundings,
    ) -> eyre::Result<Self> {
        let Surroundings { platform, announced, plans, place } = surroundings;
        let table = HttpPlatform::try_new(platform, &HttpPlatformOptions::default())?;
        let store = ConfigurationStore::new(table.clone(), StoreOptions::new(address.name.clone()));
        let follower = ConfigurationFollower::new(store);
        let key = PeerKey::try_new(KEY)?;
        let options = PeerOptions::new(address.name.clone(), address.zone.clone(), key);
        let count = announced.len();
        let clock = SystemClock::new();
        let peers = PeerLink::start(options, listener, announced, clock)?;
        let arrivals = Arrivals::default();
        let keeper_table = table.clone();

        let mut tasks = JoinSet::new();
        let interval = poll_interval(count, FLEET_READS_PER_S, MIN_POLL..=MAX_POLL);
        let offset = Millis(interval.0 * place as u64 / count as u64);
        tasks.spawn(poll(follower.clone(), interval, offset));
        tasks.spawn(take_from_peers(follower.clone(), peers.clone()));
        tasks.spawn(watch(follower.clone(), peers.clone(), Arc::clone(&arrivals)));
        tasks.spawn(report(
            follower.clone(),
            InstanceDirectory::new(table),
            address.clone(),
            count,
        ));
        tasks.spawn(tell_digests(peers.clone()));
        tasks.spawn(watch_list(keeper_table.clone()));
        tasks.spawn(read_records(keeper_table.clone()));
        let acks = Arc::new(AckBoard::new(peers.clone()));
        let stopping = watch::Sender::new(false);
        let drains = DrainTask {
            me: address.name.clone(),
            platform: keeper_table.clone(),
            clock,
            acks: Arc::clone(&acks),
            instances: count,
        };
        tasks.spawn(drains.run());
        let keeper = ControllerTask {
            me: address.name.clone(),
            platform: keeper_table,
            clock,
            peers: peers.clone(),
            acks: Arc::clone(&acks),
            plans,
            stopping: stopping.subscribe(),
        };
        tasks.spawn(async move {
            if let Err(err) = keeper.run().await {
                log::warn!("a keeper ended: {err}");
            }
        });
        Ok(Self { follower, peers, address, clock, arrivals, acks, stopping, tasks })
    }

    /// Returns when a revision or a later one came into force here, if it has.
    pub(super) fn in_force_at(&self, revision: Revision) -> Option<Instant> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.iter().find(|(arrived, _)| *arrived >= revision).map(|(_, at)| *at)
    }

    /// Acknowledges one drain.
    pub(super) fn acknowledge(&self, generation: u64) {
        self.acks.drill(generation);
    }

    /// Asks the keeper to give up what it holds.
    pub(super) fn stop_keeping(&self) {
        self.stopping.send_replace(true);
    }

    /// Ends all tasks at once, as when the process is killed.
    pub(super) fn kill(&mut self) {
        self.tasks.abort_all();
        self.peers.stop();
    }

    /// Returns how many others' account demand is known here that is no older than `max_age`.
    pub(super) fn fresh_demand(&self, max_age: Millis) -> usize {
        let now = self.clock.now();
        let news = self.peers.view();
        news.demand.values().filter(|heard| heard.age_at(now) <= max_age).count()
    }

    /// Returns how many others have acknowledged a drain, as far as this instance has heard.
    pub(super) fn acknowledged(&self, generation: u64) -> usize {
        let news = self.peers.view();
        let has = |acks: &AckSection| acks.drains.iter().any(|ack| ack.generation == generation);
        news.acks.values().filter(|heard| has(&heard.body)).count()
    }
}

/// Reads the head of the configuration from time to time.
async fn poll(follower: ConfigurationFollower<HttpPlatform>, interval: Millis, offset: Millis) {
    // Instances that start together do not read together.
    tokio::time::sleep(offset.as_duration()).await;
    loop {
        // What is in force stays in force when the table cannot be read.
        let _ = follower.poll_once().await;
        tokio::time::sleep(interval.as_duration()).await;
    }
}

/// Offers the follower what peers hold.
async fn take_from_peers(follower: ConfigurationFollower<HttpPlatform>, peers: PeerHandle) {
    let mut newest = peers.configurations();
    while newest.changed().await.is_ok() {
        let offered = newest.borrow_and_update().clone();
        if let Some(offered) = offered {
            follower.offer(Configuration::clone(&offered));
        }
    }
}

/// Hands what comes into force to the peers and notes the time.
async fn watch(
    follower: ConfigurationFollower<HttpPlatform>,
    peers: PeerHandle,
    arrivals: Arrivals,
) {
    let mut revisions = follower.subscribe();
    // What came into force before this task began counts too.
    revisions.mark_changed();
    while revisions.changed().await.is_ok() {
        let revision = *revisions.borrow_and_update();
        let now = Instant::now();
        arrivals.lock().unwrap_or_else(PoisonError::into_inner).push((revision, now));
        peers.publish_configuration(follower.current());
    }
}

/// Reports the revision in force to the table.
async fn report(
    follower: ConfigurationFollower<HttpPlatform>,
    directory: InstanceDirectory<HttpPlatform>,
    address: PeerAddress,
    instances: usize,
) {
    let clock = SystemClock::new();
    let mut schedule = ReportSchedule::new(&address.name, REPORT_INTERVAL);
    let mut beat = tokio::time::interval(BEAT);
    loop {
        beat.tick().await;
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

/// Reads the platform's list for upstreams that leave.
async fn watch_list(platform: HttpPlatform) {
    loop {
        // Only the cost of reading is of interest here.
        let _ = platform.list().await;
        tokio::time::sleep(LIST_PAUSE).await;
    }
}

/// Reads the instances' records twice in each pause, once to find peers and once, with the list, to
/// forget those that are gone.
async fn read_records(platform: HttpPlatform) {
    let directory = InstanceDirectory::new(platform.clone());
    loop {
        let _ = directory.list().await;
        let _ = platform.list().await;
        let _ = directory.list().await;
        tokio::time::sleep(DIRECTORY_PAUSE).await;
    }
}

/// Tells the peers digests of a usual size.
async fn tell_digests(peers: PeerHandle) {
    let mut beat = tokio::time::interval(BEAT);
    for seq in 1.. {
        beat.tick().await;
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
