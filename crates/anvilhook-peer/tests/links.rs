//! Tests of the link over real loopback connections.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::orders::Role;
use anvilhook_core::reports::LoadReport;
use anvilhook_core::resources::{AccountSpec, Configuration, Resource, Spec};
use anvilhook_core::units::{Millis, Revision, SystemClock, Tokens};
use anvilhook_peer::gossip::{
    AccountDigest, AckSection, DemandSection, DrainAck, EngineDigest, LoadSection, PartnerOptions,
    ReportDigest, choose_partners,
};
use anvilhook_peer::{PeerAddress, PeerHandle, PeerKey, PeerLink, PeerOptions, PeerView};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const KEY: &[u8] = b"an example key of thirty-two bytes";
const OTHER_KEY: &[u8] = b"another example key of many bytes!";

/// The time limit that stops a hanging test. No test's outcome depends on it.
const GUARD: Duration = Duration::from_secs(30);

/// Returns a report in which every field differs from its default in an empty message.
fn report_digest() -> ReportDigest {
    let report = LoadReport {
        boot: 3,
        seq: 4,
        age: Millis(250),
        role: Role::Decode,
        model: None,
        leaving: true,
        queued_requests: 5,
        queued_prefill: Tokens(6_000),
        running_requests: 7,
        running_decode: Tokens(800),
        prefill_tokens_per_s: 9_000,
        decode_step_ms: 12.5,
        decode_step_per_request_ms: 0.25,
        max_batch: 32,
    };
    ReportDigest { engine: "engine-1".parse().unwrap(), report }
}

struct Fixture {
    peers: Vec<PeerAddress>,
    handles: Vec<PeerHandle>,
}

/// Starts `count` instances in three zones that are announced to each other.
fn start(count: usize, change: impl Fn(usize, &mut PeerOptions)) -> Fixture {
    start_in(3, count, change)
}

/// Starts `count` instances in `zones` zones that are announced to each other.
fn start_in(zones: usize, count: usize, change: impl Fn(usize, &mut PeerOptions)) -> Fixture {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let peers: Vec<PeerAddress> = (0..)
        .zip(&listeners)
        .map(|(at, listener)| peer(at % zones, at, listener.local_addr().unwrap()))
        .collect();
    let handles = (0..).zip(listeners).map(|(at, listener)| {
        let mut options = options(&peers[at], KEY);
        change(at, &mut options);
        PeerLink::start(options, listener, peers.clone(), SystemClock::new()).unwrap()
    });
    Fixture { handles: handles.collect(), peers }
}

fn peer(zone: usize, at: usize, address: SocketAddr) -> PeerAddress {
    let name = InstanceName::try_new(&format!("entry-{at}")).unwrap();
    let zone = ZoneName::try_new(["piraeus", "marousi", "glyfada"][zone]).unwrap();
    PeerAddress { name, zone, address }
}

fn options(peer: &PeerAddress, key: &[u8]) -> PeerOptions {
    PeerOptions::new(peer.name.clone(), peer.zone.clone(), PeerKey::try_new(key).unwrap())
}

fn configuration(revision: u64, accounts: usize) -> Arc<Configuration> {
    let account = |at: usize| Resource {
        name: format!("account-{at}").parse().unwrap(),
        version: Revision(revision),
        spec: Spec::Account(AccountSpec {
            token_sha256: vec!["00".repeat(32)],
            requests_per_s: 10,
            open_requests: 10,
        }),
        status: Vec::new(),
    };
    Arc::new(Configuration::new(Revision(revision), (0..accounts).map(account)))
}

fn ack(generation: u64) -> AckSection {
    let drain = DrainAck {
        pool: "pool-a".parse().unwrap(),
        engine: "engine-1".parse().unwrap(),
        generation,
    };
    AckSection { drains: vec![drain], terms: Vec::new() }
}

async fn wait_for(handle: &PeerHandle, met: impl Fn(&PeerView) -> bool) {
    let mut changes = handle.changes();
    let waiting = async {
        while !met(&handle.view()) {
            changes.changed().await.unwrap();
        }
    };
    tokio::time::timeout(GUARD, waiting).await.expect("the expected view was not reached");
}

async fn wait_for_revision(handle: &PeerHandle, revision: u64) -> Arc<Configuration> {
    let mut newest = handle.configurations();
    let reached = |newest: &Option<Arc<Configuration>>| {
        newest.as_ref().is_some_and(|newest| newest.revision() >= Revision(revision))
    };
    let waiting = newest.wait_for(reached);
    let reached =
        tokio::time::timeout(GUARD, waiting).await.expect("the revision was not received");
    reached.unwrap().clone().unwrap()
}

#[tokio::test]
async fn verify_everything_reaches_every_instance() {
    // Arrange.
    let fixture = start(9, |_, _| ());
    let handles = &fixture.handles;

    // Act.
    handles[0].publish_configuration(configuration(7, 40));
    for handle in &handles[1..] {
        assert_eq!(*wait_for_revision(handle, 7).await, *configuration(7, 40));
    }
    // The second configuration is sent as a change based on the first, with resources put and
    // deleted.
    handles[3].publish_configuration(configuration(8, 39));
    handles[1].publish_acks(ack(5));
    handles[1].publish_load(LoadSection {
        engines: vec![EngineDigest {
            engine: "engine-1".parse().unwrap(),
            boot: 1,
            seq: 2,
            requests: 3,
            prefill: Tokens(4_000),
            decode: Tokens(500),
        }],
        reports: vec![report_digest()],
    });
    handles[1].publish_demand(DemandSection {
        hears_all: true,
        accounts: vec![AccountDigest {
            account: "acme".parse().unwrap(),
            requests_per_s: 2.5,
            open_requests: 4,
        }],
    });

    // Assert.
    let writer = &fixture.peers[1].name;
    for (at, handle) in handles.iter().enumerate() {
        if at != 3 {
            assert_eq!(*wait_for_revision(handle, 8).await, *configuration(8, 39));
        }
        if at == 1 {
            continue;
        }
        wait_for(handle, |view| {
            let engine = "engine-1".parse().unwrap();
            let acks = view.acks.get(writer);
            let demand = view.demand.get(writer);
            acks.is_some_and(|acks| acks.body.has_drained(&engine, 5))
                && view.load.get(writer).is_some_and(|load| {
                    load.body.engines[0].requests == 3 && load.body.reports == [report_digest()]
                })
                && demand.is_some_and(|demand| demand.body.accounts[0].requests_per_s == 2.5)
        })
        .await;
    }
}

#[tokio::test]
async fn verify_a_late_instance_receives_the_current_state() {
    // Arrange.
    let mut fixture = start(3, |_, _| ());
    fixture.handles[0].publish_configuration(configuration(3, 5));
    fixture.handles[2].publish_acks(ack(9));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let late = peer(0, 3, listener.local_addr().unwrap());

    // Act: the late instance is not announced to the others.
    let options = options(&late, KEY);
    let peers = fixture.peers.clone();
    let handle = PeerLink::start(options, listener, peers, SystemClock::new()).unwrap();
    fixture.handles.push(handle);

    // Assert.
    wait_for_revision(&fixture.handles[3], 3).await;
    wait_for(&fixture.handles[3], |view| view.acks.contains_key(&fixture.peers[2].name)).await;
}

#[tokio::test]
async fn verify_a_peer_without_the_key_is_refused() {
    // Guards against a process without the shared key that receives or publishes data. It connects
    // and accepts connections with its own key, alongside two instances that hold the shared key. The
    // failure occurs if the proof is not checked in one of the two directions.

    // Arrange.
    let outsider = 2;
    let fixture = start(3, |at, options| {
        if at == outsider {
            options.key = PeerKey::try_new(OTHER_KEY).unwrap();
        }
    });
    let handles = &fixture.handles;

    // Act.
    handles[outsider].publish_configuration(configuration(99, 1));
    handles[outsider].publish_acks(ack(1));
    handles[0].publish_configuration(configuration(1, 1));
    handles[0].publish_acks(ack(2));
    wait_for_revision(&handles[1], 1).await;
    wait_for(&handles[1], |view| view.acks.contains_key(&fixture.peers[0].name)).await;
    let refusing = async {
        while !handles.iter().all(|handle| handle.counts().refused > 0) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(GUARD, refusing).await.expect("not every instance refused a connection");

    // Assert.
    let name = &fixture.peers[outsider].name;
    for handle in &handles[..2] {
        assert!(!handle.view().linked.contains(name));
        assert!(!handle.view().acks.contains_key(name));
    }
    assert_eq!(handles[1].configurations().borrow().as_ref().unwrap().revision(), Revision(1));
    assert!(handles[outsider].view().linked.is_empty());
    assert!(handles[outsider].configurations().borrow().is_none());
    assert_eq!(handles[outsider].counts().links_opened, 0);
}

#[tokio::test]
async fn verify_unauthenticated_connections_are_bounded_and_closed() {
    // Guards against unauthenticated processes that exhaust the memory or the connections of an
    // instance by sending garbage, a huge length, too many bytes, or nothing. The failure occurs if a
    // connection may continue without authentication.

    // A segment table that announces 2 GiB.
    let huge: Vec<u8> = [0_u32.to_le_bytes(), 0x1000_0000_u32.to_le_bytes()].concat();
    // A segment table that announces 3 MiB, which a partner may send, followed by the first 1 MiB.
    let many: Vec<u8> = [0_u32.to_le_bytes(), 0x6_0000_u32.to_le_bytes()].concat();
    let many = [many, vec![0; 1024 * 1024]].concat();
    let cases: [(&str, Vec<u8>); 4] =
        [("garbage", vec![0xff; 64]), ("huge", huge), ("many", many), ("nothing", Vec::new())];
    let fixture = start(1, |_, options| {
        options.connect_timeout = Millis(100);
        options.max_unauthenticated = 2;
    });
    for (case, bytes) in cases {
        // Arrange: more connections at once than may be unauthenticated.
        let mut streams = Vec::new();
        for _ in 0..8 {
            streams.push(TcpStream::connect(fixture.peers[0].address).await.unwrap());
        }

        // Act: writing may fail on a connection that has already been closed.
        for stream in &mut streams {
            let _ = stream.write_all(&bytes).await;
        }

        // Assert: each connection is closed.
        for mut stream in streams {
            let mut buf = Vec::new();
            let ended = tokio::time::timeout(GUARD, stream.read_to_end(&mut buf)).await;
            assert!(ended.is_ok(), "{case}: a connection stays open");
        }
    }
    assert_eq!(fixture.handles[0].counts().links_opened, 0);
    // Bytes beyond the limit are not read, so the counter stays far below 8 MiB.
    assert!(fixture.handles[0].counts().bytes_in < 1024 * 1024);
}

#[tokio::test]
async fn verify_a_partner_over_the_byte_limit_is_disconnected() {
    // Guards against one instance that uses up its partners' time and memory. It sends a complete
    // configuration that is larger than a partner's burst limit. The failure occurs if sizes are not
    // limited on the receiving side.

    // Arrange: only the receiver has a low limit.
    let fixture = start(2, |at, options| {
        if at == 1 {
            options.burst_bytes = 64 * 1024;
            options.max_bytes_per_s = 1024;
        }
    });
    let handles = &fixture.handles;
    wait_for(&handles[1], |view| !view.linked.is_empty()).await;

    // Act.
    handles[0].publish_configuration(configuration(1, 2_000));

    // Assert: each new link is closed too, because each begins with the same pull.
    wait_for(&handles[1], |_| {
        assert!(handles[1].configurations().borrow().is_none());
        handles[1].counts().links_closed >= 4
    })
    .await;
}

#[tokio::test]
async fn verify_an_unresponsive_link_is_closed_and_replaced() {
    // Guards against an instance that waits forever on an open connection without responses. The
    // only partner accepts the connection and never authenticates; then a working instance takes over
    // its address. The failure occurs if a connection has no time limit for responses.

    // Arrange: the announced address accepts connections but never responds.
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unresponsive.local_addr().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let me = peer(0, 0, listener.local_addr().unwrap());
    let partner = peer(1, 1, address);
    let mut own = options(&me, KEY);
    own.connect_timeout = Millis(100);
    own.max_backoff = Millis(200);
    let peers = vec![me.clone(), partner.clone()];
    let handle = PeerLink::start(own, listener, peers, SystemClock::new()).unwrap();
    unresponsive.set_nonblocking(true).unwrap();
    let unresponsive = tokio::net::TcpListener::from_std(unresponsive).unwrap();
    let (mut first, _) = tokio::time::timeout(GUARD, unresponsive.accept()).await.unwrap().unwrap();
    let ended = tokio::time::timeout(GUARD, first.read_to_end(&mut Vec::new())).await;
    assert!(ended.is_ok(), "the unresponsive connection stays open");

    // Act.
    let listener = unresponsive.into_std().unwrap();
    let no_peers = Vec::new();
    let other =
        PeerLink::start(options(&partner, KEY), listener, no_peers, SystemClock::new()).unwrap();

    // Assert.
    wait_for(&handle, |view| view.linked.contains(&partner.name)).await;
    wait_for(&other, |view| view.linked.contains(&me.name)).await;
}

#[tokio::test]
async fn verify_updates_bypass_stopped_instances() {
    // Guards against instances that receive no updates after others have stopped. Six instances form
    // one ring, and two of them stop, which partitions the ring. The failure occurs if unreachable
    // partners are not replaced.

    // Arrange.
    let fixture = start_in(1, 6, |_, options| {
        options.connect_timeout = Millis(200);
        options.gossip.partners.rings = 1;
    });
    let handles = &fixture.handles;
    handles[0].publish_configuration(configuration(1, 3));
    for handle in &handles[1..] {
        wait_for_revision(handle, 1).await;
    }
    let ring = ring_from_first(&fixture.peers);

    // Act: the fourth instance on the ring is isolated between the two that stop.
    handles[ring[2]].stop();
    handles[ring[4]].stop();
    let isolated = &handles[ring[3]];
    wait_for(isolated, |view| {
        let stopped = [&fixture.peers[ring[2]].name, &fixture.peers[ring[4]].name];
        !view.linked.iter().any(|name| stopped.contains(&name))
    })
    .await;
    handles[0].publish_configuration(configuration(2, 4));

    // Assert.
    for at in [ring[1], ring[3], ring[5]] {
        wait_for_revision(&handles[at], 2).await;
    }
}

/// Returns the indexes of all instances in the order of a single ring.
fn ring_from_first(peers: &[PeerAddress]) -> Vec<usize> {
    let mut ring = vec![0];
    while ring.len() < peers.len() {
        let me = &peers[ring[ring.len() - 1]];
        let options = PartnerOptions { rings: 1 };
        let next = choose_partners(&me.name, &me.zone, peers, &BTreeSet::new(), &options).remove(0);
        ring.push(peers.iter().position(|peer| peer.name == next.name).unwrap());
    }
    ring
}

#[tokio::test]
async fn verify_a_large_configuration_arrives() {
    let fixture = start(3, |_, _| ());
    for accounts in [1_300, 4_000] {
        let whole = configuration(accounts, accounts as usize);
        fixture.handles[0].publish_configuration(Arc::clone(&whole));
        for handle in &fixture.handles[1..] {
            assert_eq!(*wait_for_revision(handle, accounts).await, *whole);
        }
    }
}

#[tokio::test]
async fn verify_a_configuration_received_early_counts_as_a_change() {
    // Guards against an instance that starts while the table is unreachable and serves nothing,
    // although it received the configuration from its peers. The configuration arrives before the
    // instance subscribes to changes. The failure occurs if the subscription treats the current
    // value as already seen.

    // Arrange.
    let fixture = start(2, |_, _| ());
    fixture.handles[0].publish_configuration(configuration(1, 1));
    wait_for_revision(&fixture.handles[1], 1).await;

    // Act.
    let mut late = fixture.handles[1].configurations();

    // Assert.
    assert!(late.has_changed().unwrap());
    assert_eq!(late.borrow_and_update().as_ref().unwrap().revision(), Revision(1));
    assert!(!late.has_changed().unwrap());
}
