//! What instances tell each other, over real datagrams.

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

/// `Instance` is a gateway with its link to others.
struct Instance {
    gateway: Gateway<TestWire, TimerClock>,
    address: SocketAddr,
    clock: TimerClock,
}

/// Starts an instance that knows the engine `e0` and the given others.
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
        let prompt = Prompt { parts: vec![SHARED], tokens: SHARED.tokens, max_output: 1 };
        self.gateway.caches().held_tokens("e0", &prompt) == SHARED.tokens
    }

    async fn seed(&self) {
        seed_caches(self.gateway.clone(), self.clock).await;
    }
}

/// Starts an instance that tells so many others, more than one digest without great news goes to.
async fn instance_among(others: usize) -> (Instance, Vec<UdpSocket>) {
    let mut sockets = Vec::new();
    for _ in 0..others {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
    }
    let addresses = sockets.iter().map(|socket| socket.local_addr().expect("an address"));
    let one = instance(1, 1, &addresses.collect::<Vec<_>>()).await;
    (one, sockets)
}

/// Waits for a digest of the wanted kind, and fails if none comes.
async fn hear(socket: &UdpSocket, is_wanted: impl Fn(&Digest) -> bool) -> Digest {
    let mut buf = [0; 2_000];
    let hearing = async {
        loop {
            let len = socket.recv(&mut buf).await.expect("loopback");
            let digest = postcard::from_bytes(&buf[..len]).expect("a digest");
            if is_wanted(&digest) {
                return digest;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(5), hearing).await.expect("it is told")
}

/// Symptom: instances send their prompts to the same engine, which each takes for idle.
/// Sequence: one instance has work in flight; then it has none.
/// Cause: each knows its own work; the digests tell the others', and rubbish changes nothing.
#[tokio::test]
async fn verify_loads_are_heard_and_end() {
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
    // What was heard fades, for 400 ms at most; then it is not believed at all.
    assert!((9_600.0..=10_000.0).contains(&seen.reading_ms), "{seen:?}");
    drop(held);

    until(|| seen_by_two().in_flight == 0).await;
    assert_eq!(two.gateway.peers().live_peers(Millis::ZERO), 1);
}

/// Symptom: a new instance has every shared part read again that it meets.
/// Sequence: it starts beside one that has long served, whichever of them acts for all.
/// Cause: it is told what the caches hold as soon as it is heard.
#[tokio::test]
async fn verify_a_new_instance_is_told_of_the_caches() {
    for (old_number, new_number) in [(1, 2), (2, 1)] {
        let old = instance(old_number, 1, &[]).await;
        old.gateway.caches().record(&Arc::from("e0"), &[SHARED], 100_000);

        let new = instance(new_number, 1, &[old.address]).await;

        until(|| new.knows_shared()).await;
    }
}

/// Symptom: shared parts are read again and again, and prompts wait at engines that are taken for idle.
/// Sequence: more instances run than one digest goes to; an engine has read a part.
/// Cause: what is told once must go to all, or whoever was left out never learns of it.
#[tokio::test]
async fn verify_great_news_reaches_every_instance() {
    let (one, others) = instance_among(30).await;
    let config = one.gateway.config().expect("it has one");
    let service = config.service("service").expect("declared");

    let engine = service.engine.as_ref().expect("of engines");
    one.gateway.record_cached(&Arc::from("e0"), &[SHARED], engine);

    for other in &others {
        let digest = hear(other, |digest| !digest.cached.is_empty()).await;
        assert_eq!(digest.cached[0].parts, [(SHARED.id, SHARED.tokens)]);
    }
}

/// Symptom: half of what instances send each other are loads that have not changed, and sums of work.
/// Sequence: an instance has work at twelve engines, and more and more of it at one of them.
/// Cause: each digest named all of them. Those that stay must be believed all the same.
#[tokio::test(start_paused = true)]
async fn verify_loads_that_stay_are_told_once_in_a_while_and_believed() {
    const ENGINES: usize = 12;
    let (one, others) = instance_among(30).await;
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
        assert!((1..ENGINES).all(|at| seen_by_two(at) == 1), "loads that stay are believed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let (mut digests, mut loads, mut with_work) = (0, 0, 0);
    while let Ok(len) = others[0].try_recv(&mut buf) {
        let digest: Digest = postcard::from_bytes(&buf[..len]).expect("a digest");
        (digests, loads) = (digests + 1, loads + digest.loads.len());
        with_work += usize::from(!digest.work.is_empty());
    }
    assert!(loads < digests * ENGINES / 2, "{loads} loads in {digests} digests");
    // It is a sum since the start, so that nothing is lost with those that don't tell it.
    assert!((1..digests / 2).contains(&with_work), "{with_work} of {digests} tell of work");
}

/// Symptom: a hundred instances fill their links with digests, and take engines for away for ever.
/// Sequence: an engine is said to change its role, by another instance or by this one's own order.
/// Cause: what others know must not be told on; what this one knows is told to all.
#[tokio::test]
async fn verify_an_engine_that_is_away_is_told_of_by_who_knows_it() {
    let (one, others) = instance_among(30).await;
    let state = Arc::clone(&one.gateway.fleet().view().get("e0").expect("listed").state);
    let engine = entry("e0", 1).digest();
    let kind = NoticeKind::Away { left_ms: 60_000 };
    let notices = vec![Notice { engine, kind }];
    let heard = Digest { from: 9, notices, ..Digest::default() };
    let bytes = postcard::to_stdvec(&heard).expect("it can be written");
    let now = || anvilhook_core::units::Clock::now(&one.clock);

    others[0].send_to(&bytes, one.address).await.expect("loopback");
    until(|| state.is_away(now())).await;
    assert_eq!(state.own_away_until(), Millis::ZERO);

    state.mark_own_away(now() + Millis(60_000));
    for other in &others {
        hear(other, |digest| !digest.notices.is_empty()).await;
    }
}

/// Symptom: each instance finds out by itself, at the cost of a request, that an engine has crashed.
/// Sequence: one instance meets a host that refuses connections, an engine of the other role, or another
/// engine at the address.
/// Cause: what one instance finds out for certain is told to all, who act by it and do not tell it on.
#[tokio::test]
async fn verify_what_one_instance_finds_out_of_an_engine_is_told_to_all() {
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

    let told_on = engine_of(&two);
    assert_eq!(told_on.state.own_closed_until(), Millis::ZERO);
    assert!(!told_on.state.is_observed_gone());
    assert!(told_on.state.observed_role(1).is_some_and(|shown| !shown.is_own));
}

/// Symptom: an engine that fails each request at once draws ever more of them, of every instance.
/// Sequence: three instances get errors of one engine; one alone gets some of another.
/// Cause: several that agree have all leave the engine alone.
#[tokio::test]
async fn verify_engines_whose_errors_several_instances_get_are_left_alone_by_all() {
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

/// Symptom: after the loss of all instances, prompts are taken for cold and refused as overload.
/// Sequence: all start anew; the engines still hold what they had read.
/// Cause: one instance asks the engines once, and tells the others.
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

/// Symptom: after the loss of all instances requests reach engines a second and a half late, and for
/// callers that have left.
/// Sequence: one of many instances asks the engines what they hold, and tells each other one.
/// Cause: most of what caches hold is prompts' own parts. They are of no use to others, and telling
/// them filled the link.
#[tokio::test]
async fn verify_among_many_only_parts_that_are_shared_are_told() {
    let caches = [
        Upstream::always(vec![signed("200 OK", "77 88")]).await,
        Upstream::always(vec![signed("200 OK", "77 99")]).await,
    ];
    let (one, others) = instance_among(30).await;
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
        one.gateway.caches().held_tokens(engine, &Prompt { parts, tokens: 5_000, max_output: 1 })
            > 0
    };
    assert!(ids.iter().all(|engine| holds(engine, 77)));
    assert!(!holds("e0", 88) && !holds("e1", 99));
    let told = hear(&others[0], |digest| !digest.cached.is_empty()).await;
    assert!(told.cached.iter().all(|cached| cached.parts == [(77, 5_000)]), "{told:?}");
}

/// Symptom: instances do not find each other.
/// Sequence: they register while the table is away, and again at another address.
/// Cause: each goes on until its row is written and the others' rows are read.
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
/// Sequence: 68 instances are listed, and each has as much to send again as it may; none hears
/// another.
/// Cause: the part of the budget that no request earns must be divided by the instances there are,
/// and by more as long as nobody knows how many.
#[tokio::test]
async fn verify_the_budget_holds_over_all_instances_with_peers_unheard() {
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
        assert!(taken_by(&peers) <= 3, "before the table was read");
        register(table.clone(), format!("{number}"), address(number), Arc::clone(&peers)).await;
        taken += taken_by(&peers);
    }

    assert!((68..=80).contains(&taken), "{taken} of 80 taken");
}

/// Returns digests of every kind of content, as they are sent.
fn sound_digests(engine: u32) -> Vec<Vec<u8>> {
    let load = EngineLoad { engine, in_flight: 3, reading_ms: 40, fetching_ms: 5 };
    let cached = CachedPrompt { engine, parts: vec![(7, 5_000)], own_tokens: 300 };
    let notice = Notice { engine, kind: NoticeKind::Away { left_ms: 300 } };
    let work = ServiceWork { service: 9, reading_ms: 70, generating_ms: 90 };
    let row = Row { key: "a".to_owned(), value: Some("ready 1".into()), version: 5 };
    let counts = vec![(AccountCode(7), 40)];
    let windows = vec![WindowCounts { window: 350_000_000, counts }];
    let usage = UsageUpdate { time: WallTime(1_790_000_000_000), reported: 349_999_999, windows };
    let span = Span { after: 4, to: 5 };
    let rows = pieces_of(FollowedTable::Entries, &RowChanges { span, rows: vec![row] });
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

/// Symptom: an instance ends by itself, or believes in work without end.
/// Sequence: datagrams come that no instance sent: cut, flipped, doubled, or of random bytes.
/// Cause: what can't be read is dropped, and what can be read is a hint that fades.
#[tokio::test]
async fn verify_no_datagrams_harm_an_instance() {
    const DATAGRAMS: usize = 3_000;
    let one = instance(1, 1, &[]).await;
    let engine = Arc::clone(one.gateway.fleet().view().get("e0").expect("listed"));
    let sound = sound_digests(engine.digest);
    let sender = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let mut rng = ChaCha8Rng::seed_from_u64(11);

    for at in 0..DATAGRAMS {
        let mut bytes = sound[rng.random_range(0..sound.len())].clone();
        for _ in 0..rng.random_range(0..5) {
            let place = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => bytes[place] ^= 1 << rng.random_range(0..8),
                1 => bytes[place] = 0xff,
                2 => bytes.insert(place, rng.random()),
                _ => bytes.truncate(place.max(1)),
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
    let told = "anvilhook_gateway_unreadable_total{name=\"peers\"}";
    assert!(one.gateway.metrics_text().contains(told), "what can't be read is counted");
    assert_eq!(one.gateway.fleet().view().all().count(), 1);
    let fades = || {
        let work = engine.state.work(anvilhook_core::units::Clock::now(&one.clock));
        work.in_flight == 0 && work.reading_ms == 0.0
    };
    until(fades).await;
}

/// Hundreds of engines change at once, and no instance of the zone is told: each asks the table, and hears late
/// of an upstream that leaves.
#[test]
fn verify_rows_of_hundreds_of_engines_are_told_in_spans_that_follow() {
    let row = |at: u64| Row {
        key: format!("engine-{at}"),
        value: Some("x".repeat(330).into()),
        // Two rows of each transaction.
        version: 100 + at / 2,
    };
    let told = RowChanges { span: Span { after: 99, to: 400 }, rows: (0..300).map(row).collect() };

    let pieces = pieces_of(FollowedTable::Entries, &told);

    let (mut assembler, from) = (Assembler::default(), ([127, 0, 0, 1], 1).into());
    let spans: Vec<_> = pieces.into_iter().filter_map(|one| assembler.take(from, one)).collect();
    assert!(spans.len() > 1);
    let mut known = 99;
    let mut heard = Vec::new();
    for span in &spans {
        assert_eq!(span.span.after, known, "a gap would have the table asked");
        assert!(span.rows.iter().all(|row| row.version > known));
        known = span.span.to;
        heard.extend(span.rows.clone());
    }
    assert_eq!((known, &heard), (400, &told.rows));

    let many = RowChanges { rows: (0..5_000).map(row).collect(), ..told };
    assert!(pieces_of(FollowedTable::Entries, &many).is_empty(), "as many would fill the links");
}
