//! Fair shares of client accounts: the sums that instances exchange, and the requests that wait for others.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::api_keys::{AccountRegistry, ClientAccount};
use anvilhook_core::fair_shares::{AccountKey, AccountSum};
use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, ManualClock, Millis};
use anvilhook_core::usage::AccountCode;
use anvilhook_gateway::account_shares::key_of;
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::events::RequestEvent;
use anvilhook_gateway::loads::Held;
use anvilhook_gateway::peers::{AccountWork, Digest, FollowedTable, exchange};
use anvilhook_gateway::policies::Policy;
use anvilhook_gateway::relay::Gateway;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::clocks::TimerClock;
use support::fronts::{
    Front, ample_budget, config, gateway, start_with_clock, with_patience, without_timeout,
};
use support::until;
use support::upstreams::{Upstream, engine, signed, stream};
use support::wires::{TestWire, key_hasher};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

const LARGE: &str = "Authorization: Bearer large-key\r\nT-Tokens: 400\r\n";
const SMALL: &str = "Authorization: Bearer small-key\r\nT-Tokens: 400\r\n";

/// How long the callers of the scene wait for the beginning of an answer.
const WAIT_LIMIT: Millis = Millis(1_000);

fn key(account: &str) -> AccountKey {
    key_of("service", &Arc::from(account))
}

fn accounts() -> AccountRegistry {
    let mut accounts = AccountRegistry::new(key_hasher());
    for name in ["large", "small"] {
        let account = ClientAccount { name: Arc::from(name), priority: None };
        accounts.try_add(account, [format!("{name}-key").as_str()]).expect("valid keys");
    }
    accounts
}

/// Records demand of two accounts, of which one is large, at a service that can do less than is requested.
fn contend<C: Clock>(gateway: &Gateway<TestWire, C>, now: Millis) {
    let shares = gateway.account_shares();
    for (account, asked_ms, sent_ms) in [("large", 9_000.0, 4_000.0), ("small", 500.0, 450.0)] {
        shares.record_asked(key(account), asked_ms, now);
        shares.record_sent(key(account), sent_ms, now);
    }
}

/// `Scene` is a gateway with a busy reader, on a clock that only the test advances.
struct Scene {
    clock: ManualClock,
    front: Front<ManualClock>,
    reader: Upstream,
    generator: Upstream,
    backlog: Held,
}

impl Scene {
    async fn start(backlog_ms: f64) -> Self {
        let reader = Upstream::always(vec![signed("200 OK", "handle h1")]).await;
        let generator = Upstream::always(stream(1, 2)).await;
        let engines =
            vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
        let config = config(Repeats::Stream { resumable: false }, 2, true);
        let config = without_timeout(&with_patience(&config, WAIT_LIMIT));
        let config = Some(config.with_accounts(accounts()));
        let clock = ManualClock::new();
        let front = start_with_clock(clock.clone(), config, engines, ample_budget()).await;
        let busy = Arc::clone(front.gateway.fleet().view().get("r").expect("listed"));
        let backlog = Held::with_work(busy, backlog_ms, 0.0);
        Self { clock, front, reader, generator, backlog }
    }

    fn metric(&self, name: &str) -> bool {
        self.front.gateway.metrics_text().contains(&format!("anvilhook_gateway_{name}\n"))
    }
}

/// Guards against requests of a large account that delay those of others at a busy engine, and against requests
/// that wait although the engine is free again or their callers would leave.
#[tokio::test]
async fn verify_requests_of_an_account_above_its_share_let_others_pass() {
    for is_time_over in [false, true] {
        let scene = Scene::start(100.0).await;
        contend(&scene.front.gateway, scene.clock.now());
        let mut large = Box::pin(scene.front.post_with_long_deadline("large", LARGE, ""));

        let small = tokio::select! {
            answer = scene.front.post_with_long_deadline("small", SMALL, "") => answer,
            answer = &mut large => panic!("the large one completed first: {answer:?}"),
        };
        tokio::select! {
            answer = &mut large => panic!("it is not held back: {answer:?}"),
            () = tokio::time::sleep(Duration::from_millis(100)) => {}
        }
        assert_eq!((small.status, scene.reader.received().len()), (200, 1));

        let backlog = if is_time_over {
            scene.clock.advance(Millis(150));
            tokio::select! {
                answer = &mut large => panic!("sent although it is late already: {answer:?}"),
                () = tokio::time::sleep(Duration::from_millis(100)) => {}
            }
            scene.clock.advance(WAIT_LIMIT - Millis(250));
            Some(scene.backlog)
        } else {
            drop(scene.backlog);
            None
        };
        assert_eq!((large.await.status, scene.reader.received().len()), (200, 2));
        drop(backlog);
        let gateway = &scene.front.gateway;
        let text = gateway.metrics_text();
        for line in
            ["accounts_above_share{name=\"service\"} 1", "account_held_total{name=\"service\"} 1"]
        {
            assert!(text.contains(&format!("anvilhook_gateway_{line}\n")), "{line} in {text}");
        }
    }
}

/// Guards against a large account that takes the last slots of the generators, for which the requests of others
/// then wait.
#[tokio::test]
async fn verify_the_last_slots_are_left_to_other_accounts() {
    let scene = Scene::start(0.0).await;
    let gateway = &scene.front.gateway;
    contend(gateway, scene.clock.now());
    let engine = Arc::clone(gateway.fleet().view().get("g").expect("listed"));
    let held: Vec<_> = (1..engine.entry.slots).map(|_| Held::new(Arc::clone(&engine))).collect();
    let mut large = Box::pin(scene.front.post_with_long_deadline("large", LARGE, ""));

    tokio::select! {
        answer = &mut large => panic!("it is not held back: {answer:?}"),
        () = until(|| scene.metric("account_held_total{name=\"service\"} 1")) => {}
    }
    let small = scene.front.post_with_long_deadline("small", SMALL, "").await;

    assert_eq!((small.status, scene.generator.received().len()), (200, 1));
    drop(held);
    assert_eq!((large.await.status, scene.generator.received().len()), (200, 2));
}

/// Guards against requests that are delayed for their account while the engines have enough capacity, while no
/// other account is active, or with the policy `fair_shares` off.
#[tokio::test]
async fn verify_nothing_is_held_back_without_contention() {
    for case in ["no contention", "one account", "switched off"] {
        let scene = Scene::start(100.0).await;
        let (gateway, now) = (&scene.front.gateway, scene.clock.now());
        match case {
            "no contention" => {
                gateway.account_shares().record_asked(key("large"), 9_000.0, now);
                gateway.account_shares().record_sent(key("large"), 9_000.0, now);
                gateway.account_shares().record_asked(key("small"), 500.0, now);
                gateway.account_shares().record_sent(key("small"), 500.0, now);
            }
            "one account" => gateway.account_shares().record_asked(key("large"), 9_000.0, now),
            _ => {
                contend(gateway, now);
                gateway.set_policy(Policy { fair_shares: false, ..Policy::default() });
            }
        }

        let answer = scene.front.post_with_long_deadline("large", LARGE, "").await;

        assert_eq!((answer.status, scene.reader.received().len()), (200, 1), "{case}");
        assert!(!scene.metric("account_held_total{name=\"service\"} 1"), "{case}");
    }
}

/// Guards against served work that counts as held back: each request's work is recorded once when it is requested
/// and once when it is sent.
#[tokio::test]
async fn verify_served_work_is_no_contention() {
    let scene = Scene::start(0.0).await;
    let gateway = &scene.front.gateway;

    for at in 0..20 {
        let headers = if at % 5 == 0 { SMALL } else { LARGE };
        let answer = scene.front.post_with_long_deadline(&format!("r{at}"), headers, "").await;
        assert_eq!(answer.status, 200);
    }

    scene.clock.advance(Millis(100));
    assert!(!gateway.account_shares().is_contended("service", scene.clock.now()));
    let text = gateway.metrics_text();
    assert!(text.contains("accounts_above_share{name=\"service\"} 0\n"), "{text}");
}

/// Guards against a digest that a previous build can't decode, one of a previous build that this one can't, and
/// one that exceeds a datagram.
#[test]
fn verify_account_work_is_appended_to_the_digest() {
    let sum = |account| AccountSum {
        key: AccountKey { service: u32::MAX, account: AccountCode(u32::MAX - account) },
        asked_ms: u32::MAX,
        sent_ms: u32::MAX,
    };
    let excesses = Some(vec![(key("large"), 250)]);
    let work = AccountWork { sequence: 7, sums: (0..60).map(sum).collect(), excesses };
    for asks_epoch in [0, 3] {
        let asks = Some((FollowedTable::Config, 700));
        let before =
            Digest { from: u64::MAX, zone: u32::MAX, asks, asks_epoch, ..Digest::default() };
        let digest = Digest { account_work: Some(work.clone()), ..before.clone() };

        let bytes = digest.encode().expect("it can be encoded");

        assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
        assert_eq!(Digest::decode(&bytes), Ok(digest));
        let without_appended = Digest { asks_epoch: 0, ..before.clone() };
        assert_eq!(postcard::from_bytes::<Digest>(&bytes), Ok(without_appended));
        assert_eq!(Digest::decode(&before.encode().expect("it can be encoded")), Ok(before));
    }
}

/// Guards against a log in which every concluded request has an excess, and against one that hides it.
#[test]
fn verify_an_excess_is_logged_only_where_there_is_one() {
    let concluded = |excess| RequestEvent::Concluded {
        request: "r1",
        fingerprint: None,
        route: "route",
        account: Some("large"),
        status: 503,
        reason: "overload",
        retry_after_ms: Some(700),
        upstreams: "",
        took_ms: 10,
        had_ms: 2_000,
        objective_ms: 200,
        config: 1,
        received_config: Some(1),
        has_key: true,
        rejected_by: None,
        predicted_wait_ms: None,
        excess,
    };
    let text = |excess| serde_json::to_string(&concluded(excess)).expect("it can be written");

    assert!(!text(None).contains("excess"));
    assert!(text(Some(0.98)).ends_with(",\"excess\":0.98}"));
}

/// `Instance` is a gateway with its link to its peers.
struct Instance {
    gateway: Gateway<TestWire, TimerClock>,
    address: SocketAddr,
    clock: TimerClock,
    task: JoinHandle<()>,
}

impl Instance {
    async fn start(number: u64, others: &[SocketAddr]) -> Self {
        let clock = TimerClock::new();
        let config = config(Repeats::Stream { resumable: true }, 2, true).with_accounts(accounts());
        let gateway = gateway(clock, Some(config), Vec::new(), ample_budget());
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let address = socket.local_addr().expect("an address");
        others.iter().for_each(|other| gateway.peers().add(*other));
        let rng = ChaCha8Rng::seed_from_u64(number);
        let task = tokio::spawn(exchange(socket, number, rng, gateway.clone(), clock));
        Self { gateway, address, clock, task }
    }

    fn excess(&self, account: &str) -> f64 {
        self.gateway.account_shares().excess(key(account), self.clock.now())
    }

    fn record(&self, account: &str, asked_ms: f64, sent_ms: f64) {
        self.gateway.account_shares().record_asked(key(account), asked_ms, self.clock.now());
        self.gateway.account_shares().record_sent(key(account), sent_ms, self.clock.now());
    }
}

/// Guards against an instance that serves only the large account, and so sees no other one, and against sums of
/// an instance that has terminated.
#[tokio::test(start_paused = true)]
async fn verify_an_instance_learns_of_an_excess_from_others() {
    let one = Instance::start(1, &[]).await;
    let other = Instance::start(2, &[one.address]).await;
    let demand = || {
        one.record("large", 9.0, 4.0);
        other.record("small", 1.0, 1.0);
    };
    assert_eq!(one.excess("large"), 0.0);

    until(|| {
        demand();
        [&one, &other].iter().all(|instance| instance.excess("large") > 0.5)
    })
    .await;
    assert_eq!((one.excess("small"), other.excess("small")), (0.0, 0.0));

    other.task.abort();
    let ended_at = one.clock.now();
    until(|| {
        one.record("large", 9.0, 4.0);
        one.excess("large") == 0.0
    })
    .await;
    assert!(one.clock.now() - ended_at < Millis(3_000), "{:?}", one.clock.now() - ended_at);
}

/// Guards against an excess that follows from a digest that was received twice, or after a later one.
#[tokio::test(start_paused = true)]
async fn verify_doubled_and_delayed_digests_change_nothing() {
    let one = Instance::start(1, &[]).await;
    let sender = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let digest = |sequence, asked_ms, sent_ms| {
        let sums = vec![AccountSum { key: key("large"), asked_ms, sent_ms }];
        let work = AccountWork { sequence, sums, excesses: None };
        let digest =
            Digest { from: 9, account_work: Some(work), is_partial: true, ..Digest::default() };
        digest.encode().expect("it can be encoded")
    };
    let (stale, current) = (digest(1, 90_000, 10), digest(2, 1_000, 1_000));

    for bytes in [&current, &current, &stale, &stale] {
        sender.send_to(bytes, one.address).await.expect("loopback");
    }
    until(|| {
        one.record("small", 1.0, 1.0);
        one.gateway.peers().live_peers(one.clock.now()) == 1
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;

    assert!(!one.gateway.account_shares().is_contended("service", one.clock.now()));
    assert_eq!(one.excess("large"), 0.0);
}
