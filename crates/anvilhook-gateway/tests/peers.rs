//! Gossip between instances, over real datagrams.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Millis, WallTime};
use anvilhook_core::usage::{AccountCode, WindowCounts};
use anvilhook_core::watches::Span;
use anvilhook_gateway::budgets::{Budget, BudgetOptions};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::loads::{Held, RoleObservation};
use anvilhook_gateway::peers::{
    Assembler, CachedPrompt, Digest, EngineLoad, FollowedTable, Notice, NoticeKind, Peers,
    RowChanges, Scope, ServiceWork, exchange, pieces_of, register, seed_caches,
};
use anvilhook_gateway::prompts::{Part, Prompt};
use anvilhook_gateway::relay::Gateway;
use anvilhook_gateway::speeds::EngineWork;
use anvilhook_gateway::tables::Row;
use anvilhook_gateway::usage::UsageUpdate;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::clocks::TimerClock;
use support::fronts::{ample_budget, config, gateway};
use support::tables::{Fault, MemoryTable};
use support::until;
use support::upstreams::{Upstream, signed};
use support::wires::{TestWire, entry};
use tokio::net::UdpSocket;

const SHARED: Part = Part { id: 77, tokens: 5_000 };

/// `Instance` is a gateway with its link to its peers.
struct Instance {
    gateway: Gateway<TestWire, TimerClock>,
    address: SocketAddr,
    clock: TimerClock,
}

/// Starts an instance that knows the engine `e0` and the given peers.
async fn instance(number: u64, engine_port: u16, others: &[SocketAddr]) -> Instance {
    let clock = TimerClock::new();
    let engine = Entry { role: Some(Role::Prefill), ..entry("e0", engine_port) };
    let config = Some(config(Repeats::Stream { resumable: true }, 2, true));
    let gateway = gateway(clock, config, vec![engine], ample_budget());
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("an address");
    others.iter().for_each(|other| gateway.peers().add(*other));
    let rng = ChaCha8Rng::seed_from_u64(number);
    tokio::spawn(exchange(socket, number, rng, gateway.clone(), clock));
    Instance { gateway, address, clock }
}

impl Instance {
    fn knows_shared(&self) -> bool {
        let prompt = Prompt {
            model: Arc::from("m"),
            parts: vec![SHARED],
            tokens: SHARED.tokens,
            max_output: 1,
        };
        self.gateway.caches().held_tokens("e0", &prompt) == SHARED.tokens
    }

    async fn seed(&self) {
        seed_caches(self.gateway.clone(), self.clock).await;
    }
}

/// Starts an instance that has the given number of peers. In the tests these are more than a digest without
/// a significant change is sent to.
async fn instance_with_peers(others: usize) -> (Instance, Vec<UdpSocket>) {
    let mut sockets = Vec::new();
    for _ in 0..others {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
    }
    let addresses = sockets.iter().map(|socket| socket.local_addr().expect("an address"));
    let one = instance(1, 1, &addresses.collect::<Vec<_>>()).await;
    (one, sockets)
}

/// Waits for a digest of the wanted kind, and fails if none comes.
async fn receive(socket: &UdpSocket, is_wanted: impl Fn(&Digest) -> bool) -> Digest {
    let mut buf = [0; 2_000];
    let receiving = async {
        loop {
            let len = socket.recv(&mut buf).await.expect("loopback");
            let digest = postcard::from_bytes(&buf[..len]).expect("a digest");
            if is_wanted(&digest) {
                return digest;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(5), receiving).await.expect("a wanted digest arrives")
}

/// Symptom: all instances send their prompts to the same engine, which each assumes to be idle.
/// Sequence: one instance has work in flight, then none. A datagram of invalid bytes arrives as well.
/// Cause: an instance knows only its own work, and must learn that of others from digests. Invalid bytes
/// must change nothing.
#[tokio::test]
async fn verify_loads_are_received_and_end() {
    let one = instance(1, 1, &[]).await;
    let two = instance(2, 1, &[one.address]).await;
    let rubbish = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    rubbish.send_to(b"\xff\xff\xff", two.address).await.expect("loopback");
    let upstream = Arc::clone(one.gateway.fleet().view().get("e0").expect("listed"));
    let seen_by_two = || {
        let view = two.gateway.fleet().view();
        view.get("e0").expect("listed").state.work(anvilhook_core::units::Clock::now(&two.clock))
    };

    let held = Held::with_work(upstream, 10_000.0, 0.0);
    let mut seen = seen_by_two();
    until(|| {
        seen = seen_by_two();
        seen.in_flight == 1
    })
    .await;
    // A received load decreases with time, and after 400 ms it is no longer used.
    assert!((9_600.0..=10_000.0).contains(&seen.reading_ms), "{seen:?}");
    drop(held);

    until(|| seen_by_two().in_flight == 0).await;
    assert_eq!(two.gateway.peers().live_peers(Millis::ZERO), 1);
}

/// Symptom: a new instance has every shared part read (prefill) again.
/// Sequence: it starts while another instance has been serving for long; either may have the lower number.
/// Cause: as soon as a new instance is seen, a peer must send it the contents of the caches.
#[tokio::test]
async fn verify_a_new_instance_receives_the_cache_contents() {
    for (old_number, new_number) in [(1, 2), (2, 1)] {
        let old = instance(old_number, 1, &[]).await;
        old.gateway.caches().record(&Arc::from("e0"), &[SHARED], 100_000);

        let new = instance(new_number, 1, &[old.address]).await;

        until(|| new.knows_shared()).await;
    }
}

/// Symptom: shared parts are read again and again, and prompts wait at engines assumed to be idle.
/// Sequence: there are more instances than one digest is sent to; an engine has read a part.
/// Cause: an update that is published once must go to all instances, or some never receive it.
#[tokio::test]
async fn verify_significant_changes_reach_every_instance() {
    let (one, others) = instance_with_peers(30).await;
    let config = one.gateway.config().expect("it has one");
    let service = config.service("service").expect("declared");

    let engine = service.engine.as_ref().expect("of engines");
    one.gateway.record_cached(&Arc::from("e0"), &[SHARED], engine);

    for other in &others {
        let digest = receive(other, |digest| !digest.cached.is_empty()).await;
        assert_eq!(digest.cached[0].parts, [(SHARED.id, SHARED.tokens)]);
    }
}

/// Symptom: half of the bytes between instances are unchanged loads and sums of work.
/// Sequence: an instance has work at twelve engines, and ever more of it at one of them.
/// Cause: each digest contained all loads. Peers must retain unchanged loads that are not resent.
#[tokio::test(start_paused = true)]
async fn verify_unchanged_loads_are_resent_periodically_and_retained() {
    const ENGINES: usize = 12;
    let (one, others) = instance_with_peers(30).await;
    let two = instance(2, 1, &[one.address]).await;
    let entries = || {
        let ids = (0..ENGINES).map(|at| format!("e{at}"));
        ids.map(|id| Entry { role: Some(Role::Prefill), ..entry(&id, 1) })
    };
    [&one, &two].iter().for_each(|instance| instance.gateway.adopt_entries(entries()));
    let work_at = |at: usize, reading_ms: f64| {
        let view = one.gateway.fleet().view();
        let upstream = Arc::clone(view.get(&format!("e{at}")).expect("listed"));
        Held::with_work(upstream, reading_ms, 0.0)
    };
    let work = EngineWork { reading_ms: 500.0, generating_ms: 700.0 };
    one.gateway.speeds().record_work(&Arc::from("service"), work, Millis::ZERO);
    let _held: Vec<_> = (1..ENGINES).map(|at| work_at(at, 60_000.0)).collect();
    let seen_by_two = |at: usize| {
        let view = two.gateway.fleet().view();
        let now = anvilhook_core::units::Clock::now(&two.clock);
        view.get(&format!("e{at}")).expect("listed").state.work(now).in_flight
    };
    until(|| (1..ENGINES).all(|at| seen_by_two(at) == 1)).await;
    let mut buf = [0; 2_000];
    while others[0].try_recv(&mut buf).is_ok() {}

    let mut more = Vec::new();
    for turn in 1..30 {
        more.push(work_at(0, 1_000.0));
        one.gateway.peers().announce();
        until(|| seen_by_two(0) == turn).await;
        assert!((1..ENGINES).all(|at| seen_by_two(at) == 1), "unchanged loads are retained");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let (mut digests, mut loads, mut with_work) = (0, 0, 0);
    while let Ok(len) = others[0].try_recv(&mut buf) {
        let digest: Digest = postcard::from_bytes(&buf[..len]).expect("a digest");
        (digests, loads) = (digests + 1, loads + digest.loads.len());
        with_work += usize::from(!digest.work.is_empty());
    }
    assert!(loads < digests * ENGINES / 2, "{loads} loads in {digests} digests");
    // The work is a sum since the start, so digests without it lose nothing.
    assert!((1..digests / 2).contains(&with_work), "{with_work} of {digests} digests have work");
}

/// Symptom: a hundred instances fill their links with digests, and assume for ever that engines accept no
/// work.
/// Sequence: an engine is reported to change its role, by a peer or because of this instance's own order.
/// Cause: an instance must publish its own findings to all, but must not forward those of its peers.
#[tokio::test]
async fn verify_only_own_findings_about_unavailable_engines_are_published() {
    let (one, others) = instance_with_peers(30).await;
    let state = Arc::clone(&one.gateway.fleet().view().get("e0").expect("listed").state);
    let engine = entry("e0", 1).hash();
    let kind = NoticeKind::Away { left_ms: 60_000 };
    let notices = vec![Notice { engine, kind }];
    let digest = Digest { from: 9, notices, ..Digest::default() };
    let bytes = postcard::to_stdvec(&digest).expect("it can be written");
    let now = || anvilhook_core::units::Clock::now(&one.clock);

    others[0].send_to(&bytes, one.address).await.expect("loopback");
    until(|| state.is_away(now())).await;
    assert_eq!(state.own_away_until(), Millis::ZERO);

    state.mark_own_away(now() + Millis(60_000));
    for other in &others {
        receive(other, |digest| !digest.notices.is_empty()).await;
    }
}

/// Symptom: each instance loses a request before it knows that an engine has crashed.
/// Sequence: one instance finds that a host refuses connections, that an engine has the other role, or that
/// another engine runs at the address.
/// Cause: certain findings of one instance must be published to all, which apply but do not forward them.
#[tokio::test]
async fn verify_findings_about_an_engine_are_published_to_all() {
    let one = instance(1, 1, &[]).await;
    let two = instance(2, 1, &[one.address]).await;
    let engine_of = |instance: &Instance| {
        Arc::clone(instance.gateway.fleet().view().get("e0").expect("listed"))
    };
    let now = |instance: &Instance| anvilhook_core::units::Clock::now(&instance.clock);
    let found = engine_of(&one);

    found.state.mark_closed(now(&one) + Millis(60_000), true);
    until(|| !engine_of(&two).state.is_healthy(now(&two))).await;
    let shown = RoleObservation { role: Role::Decode, sequence: 1, is_own: true };
    found.state.observe_role(shown);
    until(|| engine_of(&two).role() == Some(Role::Decode)).await;
    found.state.mark_gone(true);
    until(|| engine_of(&two).state.is_gone()).await;

    let received = engine_of(&two);
    assert_eq!(received.state.own_closed_until(), Millis::ZERO);
    assert!(!received.state.is_observed_gone());
    assert!(received.state.observed_role(1).is_some_and(|shown| !shown.is_own));
}

/// Symptom: an engine that fails each request at once attracts ever more requests from every instance.
/// Sequence: three instances receive errors from one engine; only one receives an error from another.
/// Cause: once several instances have received errors from an engine, all must stop using it.
#[tokio::test]
async fn verify_all_instances_avoid_engines_that_fail_for_several() {
    let mut all = vec![instance(1, 1, &[]).await];
    for number in 2..=4 {
        let known: Vec<SocketAddr> = all.iter().map(|one| one.address).collect();
        all.push(instance(number, 1, &known).await);
    }
    let engines = ["e0", "e1", "e2", "e3"];
    let engines = engines.map(|id| Entry { role: Some(Role::Decode), ..entry(id, 1) });
    all.iter().for_each(|one| one.gateway.adopt_entries(engines.clone()));
    until(|| all.iter().all(|one| one.gateway.peers().live_peers(Millis::ZERO) == 3)).await;
    let engine =
        |one: &Instance, id: &str| Arc::clone(one.gateway.fleet().view().get(id).expect("listed"));
    let is_healthy = |one: &Instance, id: &str| {
        engine(one, id).state.is_healthy(anvilhook_core::units::Clock::now(&one.clock))
    };
    let get_error = |one: &Instance, number, id: &str| {
        one.gateway.record_engine_error(&engine(one, id), number, true);
        one.gateway.peers().announce();
    };

    (0..3).for_each(|at| get_error(&all[at], at as u64 + 1, "e0"));
    get_error(&all[0], 1, "e1");

    until(|| all.iter().all(|one| !is_healthy(one, "e0"))).await;
    assert!(all.iter().all(|one| is_healthy(one, "e1")));
}

/// Symptom: after the loss of all instances, prompts are assumed to be uncached and refused as overload.
/// Sequence: all instances restart, while the engines still have their caches.
/// Cause: one instance must ask the engines once, and send the result to its peers.
#[tokio::test]
async fn verify_after_the_loss_of_all_one_instance_asks_the_engines() {
    let engine = Upstream::always(vec![signed("200 OK", "77")]).await;
    let one = instance(1, engine.address.port(), &[]).await;
    let two = instance(2, engine.address.port(), &[one.address]).await;
    until(|| one.gateway.peers().live_peers(Millis::ZERO) == 1).await;
    until(|| two.gateway.peers().live_peers(Millis::ZERO) == 1).await;

    tokio::join!(one.seed(), two.seed());

    until(|| one.knows_shared() && two.knows_shared()).await;
    assert_eq!(engine.received().len(), 1);
}

/// Symptom: after the loss of all instances, requests reach engines 1.5 s late, and for callers that have
/// left.
/// Sequence: one of many instances asks the engines for their cache contents, and sends them to each peer.
/// Cause: most cached parts belong to one prompt only. They are of no use to peers, and filled the link.
#[tokio::test]
async fn verify_only_shared_parts_are_sent_to_many_peers() {
    let caches = [
        Upstream::always(vec![signed("200 OK", "77 88")]).await,
        Upstream::always(vec![signed("200 OK", "77 99")]).await,
    ];
    let (one, others) = instance_with_peers(30).await;
    let ids = ["e0", "e1"];
    one.gateway.adopt_entries(
        ids.iter().zip(&caches).map(|(id, cache)| Entry {
            role: Some(Role::Prefill),
            ..entry(id, cache.address.port())
        }),
    );

    one.seed().await;

    let holds = |engine: &str, id| {
        let parts = vec![Part { id, tokens: 5_000 }];
        one.gateway.caches().held_tokens(
            engine,
            &Prompt { model: Arc::from("m"), parts, tokens: 5_000, max_output: 1 },
        ) > 0
    };
    assert!(ids.iter().all(|engine| holds(engine, 77)));
    assert!(!holds("e0", 88) && !holds("e1", 99));
    let digest = receive(&others[0], |digest| !digest.cached.is_empty()).await;
    assert!(digest.cached.iter().all(|cached| cached.parts == [(77, 5_000)]), "{digest:?}");
}

/// Symptom: instances do not find each other.
/// Sequence: an instance registers while the table is unavailable, over an invalid row of its own name.
/// Cause: it must retry until its row is written and the rows of its peers are read.
#[tokio::test]
async fn verify_instances_find_each_other_by_the_table() {
    let table = MemoryTable::default();
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    table.put("anvilhook_instances", "a", Some("127.0.0.1:1"));
    table.put("anvilhook_instances", "b", Some("rubbish"));
    table.set_fault(Fault::Unavailable);
    let peers = Arc::new(Peers::default());
    let registering =
        tokio::spawn(register(table.clone(), "b".to_owned(), address(2), Arc::clone(&peers)));
    until(|| table.refused() > 0).await;

    table.set_fault(Fault::None);
    registering.await.expect("no panic");

    assert_eq!(table.value("anvilhook_instances", "b").as_deref(), Some("127.0.0.1:2 00000000"));
    assert_eq!(peers.addresses(Millis::ZERO), [address(1)]);
    assert_eq!(peers.instances(), 2);
}

/// Symptom: the retries of all instances together exceed their bound.
/// Sequence: 68 instances are listed. Each makes as many retries as it may, and receives nothing from the
/// others.
/// Cause: the part of the budget that no request earns must be divided by the number of instances, and by
/// more while that number is unknown.
#[tokio::test]
async fn verify_the_budget_holds_over_all_instances_without_digests() {
    const INSTANCES: u16 = 68;
    let service: Arc<str> = Arc::from("service");
    let options = BudgetOptions { share: 0.2, spare: 80.0, window: Millis(10_000) };
    let table = MemoryTable::default();
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    for number in 0..INSTANCES {
        table.put("anvilhook_instances", &format!("{number}"), Some(&address(number).to_string()));
    }
    let taken_by = |peers: &Peers| {
        let budget = Budget::new(options);
        (0..100).filter(|_| budget.try_take(&service, peers.instances(), Millis(5))).count()
    };

    let mut taken = 0;
    for number in 0..INSTANCES {
        let peers = Arc::new(Peers::default());
        assert!(taken_by(&peers) <= 3, "before the table has been read");
        register(table.clone(), format!("{number}"), address(number), Arc::clone(&peers)).await;
        taken += taken_by(&peers);
    }

    assert!((68..=80).contains(&taken), "{taken} of 80 taken");
}

/// Returns the bytes of valid digests with every kind of content.
fn valid_digests(engine: u32) -> Vec<Vec<u8>> {
    let load = EngineLoad { engine, in_flight: 3, reading_ms: 40, fetching_ms: 5 };
    let cached = CachedPrompt { engine, parts: vec![(7, 5_000)], own_tokens: 300 };
    let notice = Notice { engine, kind: NoticeKind::Away { left_ms: 300 } };
    let work = ServiceWork { service: 9, reading_ms: 70, generating_ms: 90 };
    let row = Row { key: "a".to_owned(), value: Some("ready 1".into()), version: 5 };
    let counts = vec![(AccountCode(7), 40)];
    let windows = vec![WindowCounts { window: 350_000_000, counts }];
    let usage = UsageUpdate { time: WallTime(1_790_000_000_000), reported: 349_999_999, windows };
    let span = Span { after: 4, to: 5 };
    let rows = pieces_of(FollowedTable::Entries, &RowChanges { epoch: 0, span, rows: vec![row] });
    let digests = [
        Digest { from: 9, loads: vec![load], work: vec![work], ..Digest::default() },
        Digest { from: 9, cached: vec![cached], is_partial: true, ..Digest::default() },
        Digest { from: 9, notices: vec![notice], ..Digest::default() },
        Digest { from: 9, rows: rows.into_iter().next(), is_partial: true, ..Digest::default() },
        Digest { from: 9, asks: Some((FollowedTable::Config, 0)), ..Digest::default() },
        Digest { scope: Scope::Zone(([127, 0, 0, 1], 9).into()), zone: 5, ..Digest::default() },
        Digest { scope: Scope::Far, ..Digest::default() },
        Digest { usage: Some(usage), is_partial: true, ..Digest::default() },
    ];
    digests.iter().map(|digest| postcard::to_stdvec(digest).expect("it can be written")).collect()
}

/// Symptom: an instance terminates, or assumes for ever that an engine has work.
/// Sequence: datagrams arrive that no instance sent: truncated, or with flipped, set or inserted bytes.
/// Cause: unreadable datagrams must be dropped, and the contents of readable ones must expire.
#[tokio::test]
async fn verify_no_datagrams_harm_an_instance() {
    const DATAGRAMS: usize = 3_000;
    let one = instance(1, 1, &[]).await;
    let engine = Arc::clone(one.gateway.fleet().view().get("e0").expect("listed"));
    let valid = valid_digests(engine.hash);
    let sender = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let mut rng = ChaCha8Rng::seed_from_u64(11);

    for at in 0..DATAGRAMS {
        let mut bytes = valid[rng.random_range(0..valid.len())].clone();
        for _ in 0..rng.random_range(0..5) {
            let offset = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => bytes[offset] ^= 1 << rng.random_range(0..8),
                1 => bytes[offset] = 0xff,
                2 => bytes.insert(offset, rng.random()),
                _ => bytes.truncate(offset.max(1)),
            }
        }
        sender.send_to(&bytes, one.address).await.expect("loopback");
        if at % 50 == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    let other = instance(2, 1, &[one.address]).await;
    other.gateway.caches().record(&Arc::from("e0"), &[SHARED], 100_000);
    until(|| other.gateway.peers().live_peers(Millis::ZERO) > 0).await;
    let counter = "anvilhook_gateway_unreadable_total{name=\"peers\"}";
    assert!(one.gateway.metrics_text().contains(counter), "unreadable datagrams are counted");
    assert_eq!(one.gateway.fleet().view().all().count(), 1);
    let has_expired = || {
        let work = engine.state.work(anvilhook_core::units::Clock::now(&one.clock));
        work.in_flight == 0 && work.reading_ms == 0.0
    };
    until(has_expired).await;
}

/// Guards against changes of hundreds of engines that are not published in the zone: each instance would
/// have to query the table, and would notice late that an upstream is leaving.
#[test]
fn verify_rows_of_hundreds_of_engines_are_sent_in_consecutive_spans() {
    let row = |at: u64| Row {
        key: format!("engine-{at}"),
        value: Some("x".repeat(330).into()),
        // Two rows of each transaction.
        version: 100 + at / 2,
    };
    let changes = RowChanges {
        epoch: 0,
        span: Span { after: 99, to: 400 },
        rows: (0..300).map(row).collect(),
    };

    let pieces = pieces_of(FollowedTable::Entries, &changes);

    let (mut assembler, from) = (Assembler::default(), ([127, 0, 0, 1], 1).into());
    let spans: Vec<_> = pieces.into_iter().filter_map(|one| assembler.take(from, one)).collect();
    assert!(spans.len() > 1);
    let mut known = 99;
    let mut received = Vec::new();
    for span in &spans {
        assert_eq!(span.span.after, known, "a gap would cause a query of the table");
        assert!(span.rows.iter().all(|row| row.version > known));
        known = span.span.to;
        received.extend(span.rows.clone());
    }
    assert_eq!((known, &received), (400, &changes.rows));

    let many = RowChanges { rows: (0..5_000).map(row).collect(), ..changes };
    assert!(
        pieces_of(FollowedTable::Entries, &many).is_empty(),
        "so many rows would fill the links"
    );
}
