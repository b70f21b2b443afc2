//! Upstreams that name, in their answers, how many requests a second they accept from all instances together.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, ManualClock, Millis, SystemClock};
use anvilhook_gateway::configs::{Config, Repeats, Route, Target};
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::peers::{register, seed_caches};
use support::fronts::{Front, ample_budget, config, start_with_clock, with_long_timeouts};
use support::tables::MemoryTable;
use support::until;
use support::upstreams::{Step, Upstream, engine, signed, stream};
use support::wires::{entry, limits};

const ONCE: Repeats = Repeats::Stream { resumable: false };
const PROMPT: &str = "T-Tokens: 100\r\n";

/// The interval between two rounds of requests, in which each instance sends one to each route.
const ROUND: Millis = Millis(50);

/// The number of rounds in the time over which a limit is checked.
const WINDOW_ROUNDS: usize = 80;

/// Returns a signed answer that names a limit.
fn limited(per_s: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nT-Id: {{id}}\r\nT-Signature: s\r\nT-Limit: {per_s}\r\nContent-Length: 4\r\n\r\nfine"
    ))
}

/// Returns instances that share a clock, know each other, and serve by the same entries.
async fn instances(
    count: usize,
    clock: &ManualClock,
    entries: &[Entry],
) -> Vec<Front<ManualClock>> {
    let table = MemoryTable::default();
    let mut fronts = Vec::new();
    for _ in 0..count {
        let config = with_long_timeouts(&config(Repeats::AtMostOnce, 1, false));
        fronts.push(
            start_with_clock(clock.clone(), Some(config), entries.to_vec(), ample_budget()).await,
        );
    }
    // In the second pass all instances are listed.
    for number in (0..count).chain(0..count) {
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + number as u16));
        let peers = Arc::clone(fronts[number].gateway.peers());
        register(table.clone(), number.to_string(), address, peers).await;
    }
    fronts
}

/// Sends rounds of requests from all instances. Returns how many arrived at an upstream in each round.
async fn arrivals_by_round(
    fronts: &[Front<ManualClock>],
    clock: &ManualClock,
    upstream: &Upstream,
    rounds: usize,
) -> Vec<usize> {
    let mut arrivals = Vec::new();
    for round in 0..rounds {
        let before = upstream.received().len();
        for (number, front) in fronts.iter().enumerate() {
            let answer = front.post(&format!("r{round}-{number}"), "", "").await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        arrivals.push(upstream.received().len() - before);
        clock.advance(ROUND);
    }
    arrivals
}

/// Returns the highest number of arrivals in any window over which a limit is checked.
fn most_in_window(arrivals: &[usize]) -> usize {
    arrivals.windows(WINDOW_ROUNDS).map(|window| window.iter().sum()).max().unwrap_or_default()
}

/// Guards against an upstream that gets more requests than the limit that it names, because no instance
/// observes the limit, or each one observes it for its own requests only.
#[tokio::test]
async fn verify_instances_share_an_upstreams_request_limit() {
    let clock = ManualClock::new();
    clock.advance(Millis(1_000));
    let limited_one = Upstream::always(vec![limited("10")]).await;
    let other = Upstream::always(vec![signed("200 OK", "fine")]).await;
    let entries = [
        entry("limited", limited_one.address.port()),
        Entry { zone: "zone-b".into(), ..entry("other", other.address.port()) },
    ];
    let fronts = instances(3, &clock, &entries).await;
    arrivals_by_round(&fronts, &clock, &limited_one, 10).await;

    let arrivals = arrivals_by_round(&fronts, &clock, &limited_one, 2 * WINDOW_ROUNDS).await;

    // One and a half times the limit over four seconds, and five requests.
    assert!(most_in_window(&arrivals) <= 65, "{arrivals:?}");
    let total: usize = arrivals.iter().sum();
    assert!(total >= 64, "the upstream gets at least four fifths of its limit: {arrivals:?}");
}

/// Returns the only instance, in front of the given upstreams.
async fn single_instance<C: Clock>(clock: C, repeats: Repeats, entries: Vec<Entry>) -> Front<C> {
    let config = with_long_timeouts(&config(repeats, 1, matches!(repeats, ONCE)));
    let front = start_with_clock(clock, Some(config), entries, ample_budget()).await;
    let (address, peers) = (SocketAddr::from(([127, 0, 0, 1], 20_000)), front.gateway.peers());
    register(MemoryTable::default(), "only".to_owned(), address, Arc::clone(peers)).await;
    front
}

fn is_limited<C: Clock>(front: &Front<C>, id: &str) -> bool {
    front.gateway.fleet().view().get(id).expect("listed").state.request_limit().is_limited()
}

/// Guards against requests that fail although the limit of the only upstream allows them a little later.
#[tokio::test]
async fn verify_requests_wait_for_a_limit_that_allows_them_in_time() {
    let upstream = Upstream::always(vec![limited("4")]).await;
    let entries = vec![entry("a", upstream.address.port())];
    let front = single_instance(SystemClock::new(), Repeats::AtMostOnce, entries).await;
    front.post("first", "", "").await;

    let ids: Vec<String> = (0..9).map(|number| format!("r{number}")).collect();
    let answers = futures_util::future::join_all(
        ids.iter().map(|id| front.post_with_long_deadline(id, "", "")),
    )
    .await;

    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
}

/// `SteppedClock` advances with each reading, as the time of a process with little CPU time does.
#[derive(Clone, Debug, Default)]
struct SteppedClock(Arc<AtomicU64>);

impl Clock for SteppedClock {
    fn now(&self) -> Millis {
        const STEP_MS: u64 = 7;
        Millis(self.0.fetch_add(STEP_MS, Ordering::SeqCst))
    }
}

/// Guards against a waiting request that is refused because the next turn of the limit begins between the check of
/// the upstreams and the check of the limit.
#[tokio::test]
async fn verify_a_turn_that_begins_during_a_check_refuses_no_request() {
    let mut limited_stream = stream(1, 1);
    limited_stream[0] = Step::Write(
        "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nT-Limit: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            .to_owned(),
    );
    let plain = Upstream::always(vec![limited("4")]).await;
    let streaming = Upstream::always(limited_stream).await;
    let cases = [
        (Repeats::AtMostOnce, "", entry("a", plain.address.port())),
        (ONCE, PROMPT, engine("a", &streaming, Role::Decode)),
    ];
    for (repeats, headers, entry) in cases {
        let front = single_instance(SteppedClock::default(), repeats, vec![entry]).await;
        front.post("first", headers, "").await;

        let ids: Vec<String> = (0..24).map(|number| format!("r{number}")).collect();
        let answers = futures_util::future::join_all(
            ids.iter().map(|id| front.post_with_long_deadline(id, headers, "")),
        )
        .await;

        assert!(answers.iter().all(|answer| answer.status == 200), "{repeats:?}: {answers:?}");
    }
}

/// Guards against requests that are held until their deadline although the limit does not allow them in time,
/// and against callers that return before it does.
#[tokio::test]
async fn verify_requests_that_a_limit_does_not_allow_in_time_are_refused_at_once() {
    let plain = Upstream::always(vec![limited("0.25")]).await;
    let streaming = Upstream::always(vec![limited("0.25")]).await;
    let cases = [
        (Repeats::AtMostOnce, "", entry("a", plain.address.port())),
        (ONCE, PROMPT, engine("a", &streaming, Role::Decode)),
    ];
    for (repeats, headers, entry) in cases {
        let clock = ManualClock::new();
        clock.advance(Millis(1_000));
        let front = single_instance(clock, repeats, vec![entry]).await;
        for id in ["first", "second"] {
            front.post(id, headers, "").await;
        }

        let answer = front.post("third", headers, "").await;

        assert_eq!((answer.status, answer.body.as_str()), (503, "request_limit"));
        let pause = answer.head.lines().find_map(|line| line.strip_prefix("retry-after: "));
        let pause: f64 = pause.and_then(|text| text.parse().ok()).expect("a pause");
        assert!(pause > 1.0 && pause <= 4.0, "{pause}");
    }
    assert!(plain.received().len() <= 2 && streaming.received().len() <= 2);
}

/// Guards against a limit that is observed after the upstream has ended it, and against one that ends with an
/// answer that was on its way when the upstream named it.
#[tokio::test]
async fn verify_a_limit_ends_when_later_answers_name_none() {
    let clock = ManualClock::new();
    let upstream = Upstream::start(|received| match received.header("t-id") {
        Some("named") => vec![limited("20")],
        Some("other's") => vec![Step::Write(
            "HTTP/1.1 200 OK\r\nT-Id: x\r\nT-Signature: s\r\nContent-Length: 0\r\n\r\n".to_owned(),
        )],
        _ => vec![signed("200 OK", "fine")],
    })
    .await;
    let entries = vec![entry("a", upstream.address.port())];
    let front = single_instance(clock.clone(), Repeats::AtMostOnce, entries).await;
    front.post("named", "", "").await;
    assert!(is_limited(&front, "a"));

    clock.advance(Millis(500));
    let early = front.post("early", "", "").await;
    assert_eq!(early.status, 200);
    assert!(is_limited(&front, "a"), "sent too early");
    clock.advance(Millis(60_000));
    front.post("other's", "", "").await;
    assert!(is_limited(&front, "a"), "an answer to another request");
    clock.advance(Millis(60_000));
    front.post("later", "", "").await;
    assert!(!is_limited(&front, "a"));
}

/// Guards against a limit that is forgotten while the upstream's entry lapses, and against one that outlasts a
/// restart of the upstream.
#[tokio::test]
async fn verify_only_a_restart_resets_a_limit() {
    let upstream = Upstream::always(vec![limited("1")]).await;
    let listed = Entry { born: Some(5), ..entry("a", upstream.address.port()) };
    let entries = vec![listed.clone()];
    let front = single_instance(ManualClock::new(), Repeats::AtMostOnce, entries).await;
    front.post("first", "", "").await;
    let adopt = |entry: Entry| {
        front.gateway.adopt_entries([]);
        front.gateway.adopt_entries([entry]);
        is_limited(&front, "a")
    };

    assert!(adopt(Entry { sequence: 9, ..listed.clone() }));
    assert!(!adopt(Entry { born: Some(6), ..listed }));
}

/// Guards against a limited engine that gets further requests because only one of the two stages of a stream
/// observes the limit.
#[tokio::test]
async fn verify_both_stages_of_a_stream_observe_a_limit() {
    let limited_head = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nT-Limit: 1\r\n";
    let mut limited_stream = stream(1, 1);
    limited_stream[0] = Step::Write(format!("{limited_head}Transfer-Encoding: chunked\r\n\r\n"));
    let limited_read = Step::Write(format!("{limited_head}Content-Length: 8\r\n\r\nhandle h"));
    let readers = [
        Upstream::always(vec![limited_read]).await,
        Upstream::always(vec![signed("200 OK", "handle h")]).await,
    ];
    let generators = [Upstream::always(limited_stream).await, Upstream::always(stream(1, 1)).await];
    let entries = vec![
        engine("r0", &readers[0], Role::Prefill),
        Entry { zone: "zone-b".into(), ..engine("r1", &readers[1], Role::Prefill) },
        engine("g0", &generators[0], Role::Decode),
        Entry { zone: "zone-b".into(), ..engine("g1", &generators[1], Role::Decode) },
    ];
    let clock = ManualClock::new();
    clock.advance(Millis(1_000));
    let front = single_instance(clock, ONCE, entries).await;

    for number in 0..12 {
        let answer = front.post(&format!("r{number}"), PROMPT, "").await;
        assert_eq!(answer.events(), [1], "{}", answer.head);
    }

    // One before the limit is known, and one in the turn of the limit.
    assert!(readers[0].received().len() <= 2, "{}", readers[0].received().len());
    assert!(generators[0].received().len() <= 2, "{}", generators[0].received().len());
}

/// Guards against the gateway's own calls, which a limited upstream counts as well.
#[tokio::test]
async fn verify_own_calls_observe_a_limit() {
    let clock = ManualClock::new();
    clock.advance(Millis(1_000));
    let limited_one = Upstream::always(vec![limited("1")]).await;
    let other = Upstream::always(vec![signed("200 OK", "")]).await;
    let entries =
        vec![engine("l", &limited_one, Role::Prefill), engine("o", &other, Role::Prefill)];
    let front = single_instance(clock.clone(), ONCE, entries).await;
    for _ in 0..4 {
        seed_caches(front.gateway.clone(), clock.clone()).await;
    }

    assert_eq!(other.received().len(), 4);
    assert!(limited_one.received().len() <= 2, "{}", limited_one.received().len());
}

/// Guards against prompts that are read for nothing (prefill), because no generating engine accepts the request
/// afterwards.
#[tokio::test]
async fn verify_no_prompt_is_read_without_a_share_to_generate() {
    let mut limited_stream = stream(1, 1);
    limited_stream[0] = Step::Write(
        "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nT-Limit: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            .to_owned(),
    );
    let reader = Upstream::always(vec![signed("200 OK", "handle h")]).await;
    let generator = Upstream::always(limited_stream).await;
    let entries = vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
    let clock = ManualClock::new();
    clock.advance(Millis(1_000));
    let front = single_instance(clock, ONCE, entries).await;
    front.post("first", PROMPT, "").await;

    let ids: Vec<String> = (0..8).map(|number| format!("r{number}")).collect();
    let answers = futures_util::future::join_all(ids.iter().map(|id| {
        let bytes =
            support::fronts::request(id, PROMPT, "").replace("T-Deadline: 2000", "T-Deadline: 900");
        let front = &front;
        async move { front.raw(&bytes).await }
    }))
    .await;

    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, 1, "one share a turn: {answers:?}");
    assert_eq!(reader.received().iter().filter(|one| one.line.starts_with("POST")).count(), 2);
    assert_eq!(generator.received().len(), 2);
}

/// Guards against a request that moves to another service while it waits for a limit, and is sent to the earlier one.
#[tokio::test]
async fn verify_a_request_that_moves_while_it_waits_is_not_sent_there() {
    let upstream = Upstream::always(vec![limited("0.3")]).await;
    let entries = vec![entry("a", upstream.address.port())];
    let clock = SystemClock::new();
    let front = single_instance(clock, Repeats::AtMostOnce, entries).await;
    while front.post_with_long_deadline("first", "", "").await.status == 200
        && upstream.received().len() < 2
    {}
    let received = upstream.received().len();
    let moving = async {
        until(|| front.gateway.in_flight() > 0).await;
        let config = front.gateway.config().expect("it has one");
        let route = config.route("host.example", "/a/").expect("the route of the tests");
        let targets = vec![Target { service: Arc::from("other"), weight: 1 }];
        let routes = vec![Route { targets, ..Route::clone(route) }];
        let services = config.services().cloned().collect();
        front.gateway.adopt_config(Config::new(9, limits(), services, routes));
    };

    let (answer, ()) = tokio::join!(front.post_with_long_deadline("moved", "", ""), moving);

    assert_eq!((answer.status, answer.body.as_str()), (503, "no_upstream"));
    assert_eq!(upstream.received().len(), received);
}
