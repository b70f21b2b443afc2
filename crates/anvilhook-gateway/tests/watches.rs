//! One instance of an availability zone follows the tables for all, over real datagrams.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use anvilhook_core::ranks::number_of;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_gateway::followers::{ConfigFollower, EntryFollower, follow};
use anvilhook_gateway::peers::{FollowedTable, TableWatch, WatchState, exchange};
use anvilhook_gateway::relay::Gateway;
use anvilhook_gateway::tables::{Rows, Table, TableError, Write, Written};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::clocks::TimerClock;
use support::fronts::{ample_budget, gateway};
use support::tables::{Fault, MemoryTable};
use support::until;
use support::wires::TestWire;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// More instances than each follow the tables themselves.
const INSTANCES: usize = 16;

const WAIT: Millis = Millis(1_800);

/// `Way` is one instance's way to the table. It counts calls, and may be cut.
#[derive(Clone)]
struct Way {
    table: MemoryTable,
    is_cut: Arc<AtomicBool>,
    calls: Arc<AtomicUsize>,
}

impl Way {
    fn pass(&self) -> Result<(), TableError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        match self.is_cut.load(Ordering::SeqCst) {
            true => Err(TableError::Refused("cut".to_owned())),
            false => Ok(()),
        }
    }
}

impl Table for Way {
    async fn scan(&self, table: &str) -> Result<Rows, TableError> {
        self.pass()?;
        self.table.scan(table).await
    }

    async fn changes(&self, table: &str, version: u64, wait: Millis) -> Result<Rows, TableError> {
        self.pass()?;
        self.table.changes(table, version, wait).await
    }

    async fn write(&self, table: &str, write: Write) -> Result<Written, TableError> {
        self.pass()?;
        self.table.write(table, write).await
    }
}

struct Instance {
    gateway: Gateway<TestWire, TimerClock>,
    clock: TimerClock,
    number: u64,
    way: Way,
    tasks: Vec<JoinHandle<()>>,
}

impl Instance {
    /// Has the instance hear the others, and tell them.
    fn hear(&mut self, socket: UdpSocket) {
        let rng = ChaCha8Rng::seed_from_u64(self.number);
        let exchanging = exchange(socket, self.number, rng, self.gateway.clone(), self.clock);
        self.tasks.push(tokio::spawn(exchanging));
    }

    fn lists(&self, id: &str) -> bool {
        self.gateway.fleet().view().get(id).is_some()
    }

    fn takes_work(&self, id: &str) -> bool {
        self.gateway.fleet().takes_work(id, self.clock.now())
    }

    fn config(&self) -> u64 {
        self.gateway.config().map_or(0, |config| config.version)
    }

    fn is_unable(&self, table: FollowedTable) -> bool {
        self.gateway.peers().watch_of(table).is_unable(self.clock.now())
    }

    fn follows(&self, table: FollowedTable) -> bool {
        self.gateway.peers().follows(table, self.clock.now())
    }
}

/// `Zone` is the instances of one availability zone, before one table.
struct Zone {
    table: MemoryTable,
    addresses: Vec<SocketAddr>,
    instances: Vec<Instance>,
}

impl Zone {
    /// Starts a zone, and waits until one instance follows the entries for all.
    async fn start() -> Zone {
        Self::start_with(|at| at as u64 + 1).await
    }

    /// Starts the same with the numbers that instances choose.
    async fn start_with(number: impl Fn(usize) -> u64) -> Zone {
        let table = MemoryTable::default();
        table.put("upstreams", "a", Some("ready 1"));
        table.put("configs", "current", Some("1"));
        let mut sockets = Vec::new();
        for _ in 0..INSTANCES {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        }
        let addresses: Vec<SocketAddr> =
            sockets.iter().map(|socket| socket.local_addr().expect("an address")).collect();
        let instances = sockets.into_iter().enumerate().map(|(at, socket)| {
            let others = addresses.iter().enumerate().filter(|(other, _)| *other != at);
            let others = others.map(|(_, address)| *address);
            let mut one = instance(number(at), others, &table);
            one.hear(socket);
            one
        });
        let zone = Zone { instances: instances.collect(), addresses: addresses.clone(), table };
        zone.until_all(|one| one.lists("a") && one.config() == 1).await;
        for table in FollowedTable::ALL {
            until(|| zone.instances.iter().filter(|one| one.follows(table)).count() == 1).await;
        }
        zone
    }

    async fn until_all(&self, mut holds: impl FnMut(&Instance) -> bool) {
        until(|| self.instances.iter().all(&mut holds)).await;
    }

    fn calls(&self) -> usize {
        self.instances.iter().map(|one| one.way.calls.load(Ordering::SeqCst)).sum()
    }

    fn follower_of(&self, table: FollowedTable) -> usize {
        self.instances.iter().position(|one| one.follows(table)).expect("one follows")
    }
}

/// Starts an instance that follows the tables and does not yet hear the others.
fn instance(
    number: u64,
    others: impl Iterator<Item = SocketAddr>,
    table: &MemoryTable,
) -> Instance {
    let clock = TimerClock::new();
    let gateway = gateway(clock, None, Vec::new(), ample_budget());
    others.for_each(|other| gateway.peers().add(other));
    let way = Way { table: table.clone(), is_cut: Arc::default(), calls: Arc::default() };
    let entries = EntryFollower::new(gateway.clone(), clock);
    let configs = ConfigFollower::new(gateway.clone());
    let tasks = vec![
        tokio::spawn(follow(way.clone(), clock, WAIT, entries)),
        tokio::spawn(follow(way.clone(), clock, WAIT, configs)),
    ];
    Instance { gateway, clock, number, way, tasks }
}

/// Symptom: calls to the table grow with instances times changes, and cost a tenth of what is earned.
/// Sequence: upstreams begin to leave one after the other before many instances.
/// Cause: each instance asked for each change; now one asks and tells the others.
#[tokio::test(start_paused = true)]
async fn verify_one_instance_of_a_zone_follows_the_tables_for_all() {
    const CHANGES: usize = 6;
    let zone = Zone::start().await;
    let calls_before = zone.calls();

    for at in 0..CHANGES {
        let id = format!("u{at}");
        zone.table.put("upstreams", &id, Some("ready 1"));
        zone.until_all(|one| one.lists(&id)).await;
    }
    zone.table.put("upstreams", "a", Some("leaving 2"));
    zone.until_all(|one| !one.takes_work("a")).await;
    zone.table.put("upstreams", "u0", None);
    zone.until_all(|one| !one.lists("u0")).await;
    zone.table.put("configs", "current", Some("2"));
    zone.until_all(|one| one.config() == 2).await;

    // Each change costs two calls at most: the one that brings it, and the one that waits meanwhile.
    // Each instance may once ask by itself, where what it knew before does not reach to the news.
    let calls = zone.calls() - calls_before;
    assert!(calls <= (CHANGES + 3) * 2 + INSTANCES, "{calls} calls");
}

/// Requests were sent on to engines up to half a second after their callers had left: they lay before a
/// link of 10 Mbit/s that their instance filled with what it told for its availability zone, up to 490 kB
/// a second in the mean of its life, while others of the zone had links of 200. Those with the widest
/// links act for the others.
#[tokio::test]
async fn verify_an_instance_with_a_wide_link_follows_for_the_others() {
    const WIDE: [usize; 2] = [3, 11];
    let link_mbps = |at: usize| if WIDE.contains(&at) { 200.0 } else { 10.0 };
    let random = |at: usize| (at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);

    let zone = Zone::start_with(|at| number_of(Some(link_mbps(at)), random(at))).await;

    for table in FollowedTable::ALL {
        assert!(WIDE.contains(&zone.follower_of(table)), "{table:?}");
    }
}

/// Symptom: no instance of an availability zone learns of changes any more.
/// Sequence: the one that follows the tables for all is killed, or is cut off from the table alone, or
/// from all; then an upstream begins to leave.
/// Cause: whoever is silent, or says that it does not reach the table, is passed over.
#[tokio::test]
async fn verify_another_instance_follows_where_the_one_before_fails() {
    for failure in ["killed", "cut off from the table"] {
        let mut zone = Zone::start().await;
        let at = zone.follower_of(FollowedTable::Entries);
        if failure == "killed" {
            let killed = zone.instances.remove(at);
            killed.tasks.iter().for_each(JoinHandle::abort);
        } else {
            zone.instances[at].way.is_cut.store(true, Ordering::SeqCst);
        }

        zone.table.put("upstreams", "a", Some("leaving 2"));
        zone.table.put("configs", "current", Some("2"));

        zone.until_all(|one| !one.takes_work("a") && one.config() == 2).await;
    }
}

/// Symptom: an instance sends work to an upstream that began to leave fourteen seconds before.
/// Sequence: it is cut off from the table and misses what others are told of one change. Later changes
/// do not follow on what it knows, and the one call that it makes fails.
/// Cause: whoever has missed something asks the instances that know it.
#[tokio::test]
async fn verify_what_was_missed_is_made_up_for_without_the_table() {
    let zone = Zone::start().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let mut behind = instance(99, zone.addresses.iter().copied(), &zone.table);
    until(|| behind.lists("a")).await;
    behind.way.is_cut.store(true, Ordering::SeqCst);
    zone.table.put("upstreams", "b", Some("ready 1"));
    zone.until_all(|one| one.lists("b")).await;

    behind.hear(socket);
    zone.table.put("upstreams", "a", Some("leaving 2"));

    until(|| behind.lists("b") && !behind.takes_work("a")).await;
}

/// Symptom: after an outage all upstreams are taken for gone, and requests are refused for seconds.
/// Sequence: the table is away for all instances; entries lapse meanwhile; it returns, and the
/// upstreams take a moment to be listed again.
/// Cause: instances that are told of rows have not met the outage, and must be told of it too.
#[tokio::test]
async fn verify_entries_that_lapsed_have_time_to_be_back_at_every_instance() {
    let zone = Zone::start().await;
    zone.table.put("upstreams", "b", Some("ready 1"));
    zone.until_all(|one| one.lists("b")).await;

    zone.table.set_fault(Fault::Unavailable);
    until(|| zone.instances.iter().any(|one| one.is_unable(FollowedTable::Entries))).await;
    zone.table.put("upstreams", "a", None);
    zone.table.put("upstreams", "c", Some("ready 1"));
    zone.table.set_fault(Fault::None);
    zone.until_all(|one| one.lists("c")).await;

    assert!(zone.instances.iter().all(|one| one.lists("a")), "it has time to be back");
    zone.until_all(|one| !one.lists("a")).await;
    assert!(zone.instances.iter().all(|one| one.lists("b")));
}

/// Symptom: an outage costs as many calls as there are instances, again and again.
/// Sequence: the table is away for a while.
/// Cause: one instance at a time tries whether it is back, and no sooner than one alone would.
#[tokio::test(start_paused = true)]
async fn verify_few_instances_ask_a_table_that_is_away() {
    let zone = Zone::start().await;

    zone.table.set_fault(Fault::Unavailable);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let refused = zone.table.refused();
    zone.table.set_fault(Fault::None);
    zone.table.put("upstreams", "a", Some("leaving 2"));

    zone.until_all(|one| !one.takes_work("a")).await;
    assert!(refused > 0);
    // Two tables, each tried at once and then each 0.4 s.
    assert!(refused <= 12, "{refused} calls");
}

/// The table turns away one after the other of those that would read it for their zone, and only the instance that
/// links the zone with others hears that an upstream leaves.
#[test]
fn verify_a_change_that_was_only_heard_of_is_told_on() {
    let watch = TableWatch::default();
    let told = WatchState { newest: 9, ..WatchState::default() };

    watch.merge(([127, 0, 0, 1], 9).into(), &told, Millis(100));

    assert_eq!(watch.state(Millis(100)).newest, 9);
    assert_eq!(watch.version().own(), 0);
}
