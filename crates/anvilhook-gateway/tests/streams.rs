//! Tests of streams from model engines: separate prefill and generation, resumption, and the end of
//! a stop.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::stops::Stop;
use anvilhook_core::units::{Clock, ManualClock, Millis, SystemClock};
use anvilhook_gateway::budgets::BudgetOptions;
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::loads::{Held, RoleChange};
use anvilhook_gateway::policies::Policy;
use anvilhook_gateway::prompts::Part;
use futures_util::FutureExt;
use support::clocks::TimerClock;
use support::fronts::{
    Front, ample_budget, config, start, start_with_clock, with_long_timeouts, with_patience,
    with_second_objective, without_timeout,
};
use support::upstreams::{
    Received, Step, Upstream, chunk, engine, event, refusal, signed, stream, stream_end,
    stream_head,
};
use support::wires::entry;
use tokio::sync::Notify;

const RESUMABLE: Repeats = Repeats::Stream { resumable: true };
const ONCE: Repeats = Repeats::Stream { resumable: false };
const PROMPT: &str = "T-Tokens: 400\r\n";
/// A prompt that shares nothing with [`PROMPT`], so that an engine that has read [`PROMPT`] still
/// has to read all of it.
const LONG: &str = "T-Tokens: 20000\r\nT-First-Part: 11\r\n";

/// Returns a stream that breaks after the event `last`, in the middle of the next event.
fn broken_stream(last: u64, end: Step) -> Vec<Step> {
    let mut steps = vec![stream_head()];
    steps.extend((1..=last).map(event));
    steps.extend([chunk("id: 99\nda"), end]);
    steps
}

/// Returns the same as `engine`, in another availability zone than the gateway's, so that it is
/// chosen second.
fn far_engine(id: &str, upstream: &Upstream, role: Role) -> Entry {
    Entry { zone: "zone-b".into(), ..engine(id, upstream, role) }
}

async fn front_of(repeats: Repeats, engines: Vec<Entry>) -> Front {
    start(Some(config(repeats, 2, true)), engines, ample_budget()).await
}

/// `BusyReader` is a gateway whose only reader is busy for as long as `backlog` is held. Its clock
/// stands still, so that no stall of the machine makes the waiting requests late.
struct BusyReader {
    clock: ManualClock,
    front: Front<ManualClock>,
    reader: Upstream,
    generator: Upstream,
    backlog: Held,
}

impl BusyReader {
    async fn start() -> Self {
        let reader = Upstream::start(reader_script).await;
        let generator = Upstream::always(stream(1, 2)).await;
        let engines =
            vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
        let (clock, config) = (ManualClock::new(), without_timeout(&config(RESUMABLE, 2, true)));
        let front = start_with_clock(clock.clone(), Some(config), engines, ample_budget()).await;
        let busy = std::sync::Arc::clone(front.gateway.fleet().view().get("r").expect("listed"));
        let backlog = Held::with_work(busy, 500.0, 0.0);
        Self { clock, front, reader, generator, backlog }
    }
}

/// Guards against a missing, repeated or partial event, and against a truncated stream that looks
/// complete. The first engine breaks off in one of the ways below. Only whole events are forwarded,
/// and another run continues after the last of them.
#[tokio::test]
async fn verify_a_broken_stream_is_resumed_or_visibly_truncated() {
    let repeat = |received: &Received| match received.header("last-event-id") {
        // Engines may resend events that the caller already has.
        Some("2") => stream(2, 4),
        Some(_) => stream(1, 4),
        None => stream(1, 4),
    };
    let cases = [
        ("resumable, closed", RESUMABLE, broken_stream(2, Step::Close), true),
        ("resumable, reset", RESUMABLE, broken_stream(2, Step::Reset), true),
        ("once, closed", ONCE, broken_stream(2, Step::Close), false),
        ("once, reset", ONCE, broken_stream(2, Step::Reset), false),
    ];
    for (name, repeats, first, is_whole) in cases {
        let first = Upstream::always(first).await;
        let second = Upstream::start(repeat).await;
        let far = far_engine("second", &second, Role::Decode);
        let engines = vec![engine("first", &first, Role::Decode), far];
        let front = front_of(repeats, engines).await;

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!(answer.status, 200, "{name}");
        assert_eq!(answer.is_complete(), is_whole, "{name}: {answer:?}");
        let expected: &[u64] = if is_whole { &[1, 2, 3, 4] } else { &[1, 2] };
        assert_eq!(answer.events(), expected, "{name}");
        assert!(!answer.body.contains("99"), "{name}");
        assert_eq!(second.received().len(), usize::from(is_whole), "{name}");
    }
}

/// Guards against truncating a stream that would have completed, and against one that hangs
/// although it could be resumed. A resumable stream sends nothing after two events. Its engine is
/// alive and continues once it has been polled, or has terminated, or has restarted under its id. A
/// pause alone proves nothing: an engine that answers a poll may still work on the stream, unless
/// another incarnation of it answers.
#[tokio::test]
async fn verify_a_stalled_stream_is_resumed_elsewhere_only_if_its_engine_is_gone() {
    // The incarnation in the engine's entry, its report, and whether the two show that the engine
    // is still alive.
    let cases = [
        (Some(1), Some("decode"), true),
        (Some(1), Some("decode again"), false),
        (Some(2), Some("decode again"), true),
        (None, Some("decode again"), true),
        (Some(1), None, false),
    ];
    for (born, report, is_alive) in cases {
        let polled = Arc::new(Notify::new());
        let script = move |received: &Received| {
            let began = vec![stream_head(), event(1), event(2)];
            if received.line.starts_with("GET /report") {
                polled.notify_one();
                vec![report.map_or(Step::Close, |report| signed("200 OK", report))]
            } else if is_alive {
                let rest = vec![Step::Await(Arc::clone(&polled)), event(3), event(4), stream_end()];
                [began, rest].concat()
            } else {
                [began, vec![Step::Hang]].concat()
            }
        };
        let stalled = Upstream::start(script).await;
        let other = Upstream::always(stream(1, 4)).await;
        let far = far_engine("other", &other, Role::Decode);
        let stalled = Entry { born, ..engine("stalled", &stalled, Role::Decode) };
        let config = with_long_timeouts(&config(RESUMABLE, 2, true));
        let front = start(Some(config), vec![stalled, far], ample_budget()).await;

        let answer = front.post_with_long_deadline("r1", PROMPT, "").await;

        assert_eq!(answer.events(), [1, 2, 3, 4], "{born:?} {report:?}");
        assert!(answer.is_complete(), "{born:?} {report:?}");
        assert_eq!(other.received().len(), usize::from(!is_alive), "{born:?} {report:?}");
    }
}

/// Guards against running an at-most-once stream twice. Its engine closes the connection before the
/// first event. A request that was sent may have run unless the engine reports that it has not.
#[tokio::test]
async fn verify_a_stream_without_events_is_retried_only_where_allowed() {
    let cases = [
        ("resumable, closed", RESUMABLE, vec![Step::Close], 200, 1),
        ("once, closed", ONCE, vec![Step::Close], 502, 0),
        ("once, head only", ONCE, vec![stream_head(), Step::Close], 502, 0),
        ("once, refused", ONCE, vec![refusal()], 200, 1),
        ("once, unsigned", ONCE, vec![unsigned(), event(1), stream_end()], 502, 0),
    ];
    for (name, repeats, first, status, retries) in cases {
        let first = Upstream::always(first).await;
        let second = Upstream::always(stream(1, 2)).await;
        let far = far_engine("second", &second, Role::Decode);
        let front = front_of(repeats, vec![engine("first", &first, Role::Decode), far]).await;

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!(answer.status, status, "{name}: {answer:?}");
        assert_eq!(second.received().len(), retries, "{name}");
    }
}

fn unsigned() -> Step {
    let head = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n";
    Step::Write(head.to_owned())
}

fn reader_script(received: &Received) -> Vec<Step> {
    if received.line.starts_with("DELETE") {
        return vec![signed("200 OK", "")];
    }
    vec![signed("200 OK", "handle h1")]
}

/// Guards against reading (prefill) on an engine that generates, and against a handle that reaches
/// a caller. In a service whose engines run one stage each, the reader is asked for its stage only,
/// and the generator fetches from it.
#[tokio::test]
async fn verify_prefill_and_generation_run_on_separate_engines() {
    let reader = Upstream::start(reader_script).await;
    let generator = Upstream::always(stream(1, 3)).await;
    let engines = vec![
        engine("reader", &reader, Role::Prefill),
        engine("generator", &generator, Role::Decode),
    ];
    let front = front_of(ONCE, engines).await;

    let answer = front.post("r1", PROMPT, "prompt").await;

    assert_eq!((answer.status, answer.events()), (200, vec![1, 2, 3]));
    assert!(answer.is_complete());
    let (read, generated) = (&reader.received()[0], &generator.received()[0]);
    assert_eq!(read.header("t-stage"), Some("read"));
    assert_eq!(read.header("t-kv-source"), None);
    let source = format!("{}/h1", reader.address);
    assert_eq!(generated.header("t-kv-source"), Some(source.as_str()));
    assert_eq!(generated.header("t-stage"), None);
    assert_eq!((read.body.as_str(), generated.body.as_str()), ("prompt", "prompt"));
    assert_eq!(reader.received().len(), 1, "a used handle is not freed");
}

/// Guards against several instances sending their prompts to the same idle engine. A long prefill
/// is published to the peers when it starts, not with the next digest; a short one is not.
#[tokio::test]
async fn verify_long_work_is_published_at_once() {
    for (tokens, is_published) in [(10_000, true), (100, false)] {
        let reader = Upstream::start(reader_script).await;
        let generator = Upstream::always(stream(1, 3)).await;
        let engines = vec![
            engine("reader", &reader, Role::Prefill),
            engine("generator", &generator, Role::Decode),
        ];
        let front = front_of(ONCE, engines).await;

        let answer = front.post("r1", &format!("T-Tokens: {tokens}\r\n"), "").await;

        assert_eq!(answer.status, 200, "{answer:?}");
        let announced = front.gateway.peers().announced().now_or_never();
        assert_eq!(announced.is_some(), is_published, "{tokens} tokens");
    }
}

/// Guards against short prompts that are read behind long ones. Once both kinds have been sent to a
/// service with four readers, one of these is reserved for short prompts, unless the policy is off.
#[tokio::test]
async fn verify_short_prompts_have_a_reader_of_their_own() {
    for has_lanes in [true, false] {
        let mut readers = Vec::new();
        for _ in 0..4 {
            readers.push(Upstream::start(reader_script).await);
        }
        let generator = Upstream::always(stream(1, 2)).await;
        let mut engines = vec![engine("generator", &generator, Role::Decode)];
        let listed = readers.iter().enumerate();
        engines.extend(listed.map(|(at, one)| engine(&format!("r{at}"), one, Role::Prefill)));
        let front = front_of(ONCE, engines).await;
        let config = front.gateway.config().expect("it has one");
        front.gateway.adopt_config(with_second_objective(&config, Millis(400)));
        front.gateway.set_policy(Policy { reading_lanes: has_lanes, ..Policy::default() });
        let received = || readers.iter().map(|one| one.received().len()).collect::<Vec<_>>();
        let post = async |part: u32, tokens: u32| {
            let headers = format!("T-Tokens: {tokens}\r\nT-First-Part: {part}\r\n");
            assert_eq!(front.post(&format!("r{part}"), &headers, "").await.status, 200);
        };
        post(100, 100).await;

        for part in 0..6 {
            post(200 + 10 * part, 20_000).await;
        }
        let after_long = received();
        for part in 0..6 {
            post(300 + 10 * part, 100).await;
        }

        let after_short = received();
        let got_short = (0..4).filter(|at| after_short[*at] > after_long[*at]);
        let count = got_short.count();
        assert_eq!(count == 1, has_lanes, "{after_long:?}, then {after_short:?}");
        let gauge = "service_short_lane_engines{name=\"service\"}";
        let line = format!("anvilhook_gateway_{gauge} {}\n", u32::from(has_lanes));
        assert!(front.gateway.metrics_text().contains(&line));
    }
}

/// Guards against streams that wait at full engines while others have free slots. A stream that
/// takes one of an engine's last slots is published to the peers at once; one that takes one of
/// many is not.
#[tokio::test]
async fn verify_a_taken_slot_of_a_nearly_full_engine_is_published_at_once() {
    for (taken, is_published) in [(2, true), (0, false)] {
        let generator = Upstream::always(stream(1, 3)).await;
        let engines = vec![engine("generator", &generator, Role::Decode)];
        let front = front_of(ONCE, engines).await;
        let view = front.gateway.fleet().view();
        let upstream = view.get("generator").expect("listed");
        let held: Vec<Held> =
            (0..taken).map(|_| Held::new(std::sync::Arc::clone(upstream))).collect();

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!(answer.status, 200, "{answer:?}");
        let announced = front.gateway.peers().announced().now_or_never();
        assert_eq!(announced.is_some(), is_published, "{} taken", held.len());
    }
}

/// Guards against filling an engine's memory with unused handles. The prompt is read but no engine
/// generates, so the gateway must free the handle.
#[tokio::test]
async fn verify_an_unused_handle_is_freed() {
    let reader = Upstream::start(reader_script).await;
    let generator = Upstream::always(vec![refusal()]).await;
    let engines = vec![
        engine("reader", &reader, Role::Prefill),
        engine("generator", &generator, Role::Decode),
    ];
    let front = front_of(ONCE, engines).await;

    let answer = front.post("r1", PROMPT, "").await;

    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after"));
    let freed = || {
        let received = reader.received();
        received.iter().any(|one| one.line.starts_with("DELETE /handles/h1 "))
    };
    while !freed() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Guards against failing a request that another reader could have served. The first reader fails
/// in one of the ways below. A prefill does not run the request, so it may be retried at another
/// engine.
#[tokio::test]
async fn verify_a_failed_prefill_is_retried_at_another_engine() {
    let cases = [
        ("closed", vec![Step::Close]),
        ("refused", vec![refusal()]),
        ("no handle", vec![signed("200 OK", "rubbish")]),
        ("failed", vec![signed("500 Error", "")]),
    ];
    for (name, steps) in cases {
        let bad = Upstream::always(steps).await;
        let good = Upstream::start(reader_script).await;
        let generator = Upstream::always(stream(1, 2)).await;
        let far = far_engine("good", &good, Role::Prefill);
        let engines = vec![
            engine("bad", &bad, Role::Prefill),
            far,
            engine("generator", &generator, Role::Decode),
        ];
        let front = front_of(ONCE, engines).await;

        // Either reader may be preferred for a part; of several requests some reach the bad one.
        for round in 0..3 {
            let answer = front.post(&format!("r{round}"), PROMPT, "").await;
            assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "{name}");
        }
        assert_eq!(generator.received().len(), 3, "{name}");
    }
}

/// Guards against refused requests and an exhausted retry budget while other engines are healthy.
/// One reader's handles expire at once, so the generator refuses each of them. Its prefill always
/// succeeds; only the refused handles reveal the fault.
#[tokio::test]
async fn verify_a_reader_whose_handles_are_refused_is_not_used_for_a_while() {
    let bad = Upstream::start(|received| match received.line.starts_with("DELETE") {
        true => vec![signed("200 OK", "")],
        false => vec![signed("200 OK", "handle bad")],
    })
    .await;
    let good = Upstream::start(reader_script).await;
    let generator = |received: &Received| match received.header("t-kv-source") {
        Some(source) if source.ends_with("/bad") => vec![refusal()],
        _ => stream(1, 2),
    };
    let generators = [Upstream::start(generator).await, Upstream::start(generator).await];
    let far = far_engine("good", &good, Role::Prefill);
    let mut engines = vec![engine("bad", &bad, Role::Prefill), far];
    for (at, one) in generators.iter().enumerate() {
        engines.push(engine(&format!("g{at}"), one, Role::Decode));
    }
    let clock = ManualClock::new();
    let config = Some(config(ONCE, 2, true));
    let front = start_with_clock(clock.clone(), config, engines, ample_budget()).await;
    front.gateway.caches().record(&"bad".into(), &[Part { id: 1, tokens: 200 }], 100_000);
    let bad_reads = || bad.received().iter().filter(|one| one.line.starts_with("POST")).count();
    let ask = async |round| {
        let answer = front.post(&format!("r{round}"), PROMPT, "").await;
        assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "request {round}");
    };

    for round in 0..6 {
        ask(round).await;
    }
    assert_eq!(bad_reads(), 2);

    clock.advance(Millis(800));
    ask(6).await;
    assert_eq!(bad_reads(), 3, "it may have recovered");
}

/// Guards against 1,605 refused generations and an exhausted retry budget under full load. Engines
/// change their roles while the table is unreachable, so the instance list still shows the old
/// roles. An engine that refuses a stage has the other role until a later report of its own is
/// listed.
#[tokio::test]
async fn verify_an_engine_that_refuses_a_stage_is_used_for_the_other() {
    let changed = Upstream::start(|received| match received.header("t-stage") {
        Some(_) => vec![signed("200 OK", "handle h1")],
        None if received.line.starts_with("DELETE") => vec![signed("200 OK", "")],
        None => vec![signed("421 Misdirected Request", "")],
    })
    .await;
    let other = Upstream::always(stream(1, 2)).await;
    let far = far_engine("other", &other, Role::Decode);
    let listed = engine("changed", &changed, Role::Decode);
    let front = front_of(ONCE, vec![listed.clone(), far]).await;
    let role = || front.gateway.fleet().view().get("changed").expect("listed").role();

    for round in 0..3 {
        let answer = front.post(&format!("r{round}"), PROMPT, "").await;
        assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "request {round}");
    }

    assert_eq!(role(), Some(Role::Prefill));
    let refused = changed.received().iter().filter(|one| one.header("t-stage").is_none()).count();
    assert_eq!(refused, 1);
    front.gateway.adopt_entries([Entry { sequence: 2, ..listed }]);
    assert_eq!(role(), Some(Role::Decode), "its own later report shows the role");
}

/// Guards against refusing one request in five for lack of retry budget when a quarter of the
/// engines have crashed. The chosen engine's host refuses connections while another engine is
/// healthy. A request that never arrived is no extra arrival and is retried elsewhere; the crashed
/// engine is not used for a while.
#[tokio::test]
async fn verify_a_refused_connection_costs_no_budget() {
    for role in [Role::Prefill, Role::Decode] {
        // The port is kept without listening: another test's listener could get a released one.
        let unused = tokio::net::TcpSocket::new_v4().expect("a socket");
        unused.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let closed = unused.local_addr().expect("an address").port();
        let other = Upstream::start(|received| match received.header("t-stage") {
            Some(_) => vec![signed("200 OK", "handle h1")],
            None => stream(1, 2),
        })
        .await;
        let generator = Upstream::always(stream(1, 2)).await;
        let crashed = Entry { role: Some(role), ..entry("crashed", closed) };
        let mut engines = vec![crashed, far_engine("other", &other, role)];
        if role == Role::Prefill {
            engines.push(far_engine("generator", &generator, Role::Decode));
        }
        let no_budget = BudgetOptions { share: 0.0, spare: 0.0, window: Millis(10_000) };
        let front = start(Some(config(ONCE, 2, true)), engines, no_budget).await;
        let view = front.gateway.fleet().view();
        let state = &view.get("crashed").expect("listed").state;

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "{role:?}: {answer:?}");
        assert!(
            !state.is_healthy(SystemClock::new().now()),
            "{role:?}: it is not used for a while"
        );
    }
}

/// Guards against nearly two thousand requests that got one engine's error while other engines were
/// healthy. The engine answers each request at once with an error and reports that it is healthy. A
/// request that may run again is sent to another engine; any other gets the error unchanged.
#[tokio::test]
async fn verify_an_engine_error_is_retried_where_allowed() {
    for (repeats, status) in [(RESUMABLE, 200), (ONCE, 500)] {
        let failing = Upstream::always(vec![signed("500 Internal Server Error", "no")]).await;
        let other = Upstream::always(stream(1, 2)).await;
        let far = far_engine("other", &other, Role::Decode);
        let front = front_of(repeats, vec![engine("failing", &failing, Role::Decode), far]).await;

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!(answer.status, status, "{repeats:?}: {answer:?}");
        assert_eq!(other.received().len(), usize::from(status == 200), "{repeats:?}");
        assert!(answer.head.contains("t-signature"), "{repeats:?}: {answer:?}");
    }
}

/// Guards against output from an engine that has begun to leave. The generator's entry changes to
/// draining during the prefill, so the generator must be chosen after it, by the state at that
/// time.
#[tokio::test]
async fn verify_the_generator_is_chosen_after_the_prefill() {
    let near = Upstream::always(stream(1, 2)).await;
    let far = Upstream::always(stream(1, 2)).await;
    let reader =
        Upstream::start(|_| vec![Step::Write(String::new()), signed("200 OK", "handle h1")]).await;
    let far_entry = far_engine("far", &far, Role::Decode);
    let engines = vec![
        engine("reader", &reader, Role::Prefill),
        engine("near", &near, Role::Decode),
        far_entry,
    ];
    let front = front_of(ONCE, engines.clone()).await;
    let mut leaving = engines;
    leaving[1].draining = true;
    front.gateway.fleet().replace(leaving);

    let answer = front.post("r1", PROMPT, "").await;

    assert_eq!(answer.status, 200);
    assert!(near.received().is_empty());
    assert_eq!(far.received().len(), 1);
}

/// Guards against a caller that waits beyond the route's timeout. The engine sends one event and
/// then nothing, and the stream can't be resumed. The timeout covers the whole answer, not only its
/// head.
#[tokio::test]
async fn verify_a_stalled_stream_ends_at_the_timeout() {
    let stalled = Upstream::always(vec![stream_head(), event(1), Step::Hang]).await;
    let front = front_of(ONCE, vec![engine("stalled", &stalled, Role::Decode)]).await;

    let answer = front.post("r1", PROMPT, "").await;

    assert_eq!((answer.status, answer.events()), (200, vec![1]));
    assert!(!answer.is_complete());
    stalled.client_closed().await;
}

/// Guards against truncating streams by a planned stop. Three seconds after the stop begins, a
/// keep-alive connection sends a request whose output takes longer than the time that is left. A
/// request that can't complete before the end is refused as not run, so that its caller retries
/// elsewhere.
#[tokio::test]
async fn verify_a_stream_that_a_stop_would_truncate_is_refused() {
    for (left, status, sent) in [(1_000, 503, 0), (60_000, 200, 1)] {
        let engine_of = Upstream::always(stream(1, 2)).await;
        let front = front_of(RESUMABLE, vec![engine("e", &engine_of, Role::Decode)]).await;
        let ends_at = SystemClock::new().now() + Millis(left);
        front.gateway.begin_stop(Stop { noticed_at: ends_at, ends_at });

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!(
            (answer.status, engine_of.received().len()),
            (status, sent),
            "{left}: {answer:?}"
        );
        assert!(answer.head.contains("connection: close"), "{left}: {answer:?}");
    }
}

/// Guards against truncating a stream by a planned stop. A prompt waits for its busy reader when
/// the signal to stop comes, and the reader becomes free only when too little time is left for the
/// output. Whether the end would truncate a stream is checked right before it is sent, not only on
/// arrival.
#[tokio::test]
async fn verify_a_stream_that_waits_when_the_stop_begins_is_refused() {
    let BusyReader { clock, front, reader, generator: _generator, backlog } =
        BusyReader::start().await;
    let gateway = front.gateway.clone();
    let service = std::sync::Arc::from("service");
    let left_before = gateway.budget_left(&service, clock.now());
    let stopping = async move {
        // A request adds its share to the budget when it begins to wait.
        while gateway.budget_left(&service, clock.now()) <= left_before {
            tokio::task::yield_now().await;
        }
        let ends_at = clock.now() + Millis(1_000);
        gateway.begin_stop(Stop { noticed_at: ends_at, ends_at });
        drop(backlog);
    };

    let (answer, ()) = tokio::join!(front.post_with_long_deadline("r1", LONG, ""), stopping);

    assert_eq!((answer.status, reader.received().len()), (503, 0), "{answer:?}");
    assert!(answer.head.contains("retry-after"), "{answer:?}");
}

/// Guards against sending a request to an engine long after its caller has left. An engine takes
/// long over a prompt, or refuses it late; the instance is short of CPU time or suspended, and
/// processes that answer only after the caller's limit. Whether the caller still waits is checked
/// right before each send.
#[tokio::test]
async fn verify_nothing_is_sent_for_a_caller_that_must_have_left() {
    for (stage, late_ms, forwarded) in
        [("read", 1_100, 0), ("read", 900, 1), ("refused", 1_100, 0), ("refused", 900, 1)]
    {
        let clock = ManualClock::new();
        let config = with_patience(&config(ONCE, 2, true), Millis(1_000));
        let advancing = clock.clone();
        let first = Upstream::start(move |_| {
            advancing.advance(Millis(late_ms));
            let answer = if stage == "read" { signed("200 OK", "handle h1") } else { refusal() };
            vec![answer]
        })
        .await;
        let next = Upstream::always(stream(1, 2)).await;
        let role = if stage == "read" { Role::Prefill } else { Role::Decode };
        let engines = vec![engine("first", &first, role), far_engine("next", &next, Role::Decode)];
        let front = start_with_clock(clock, Some(config), engines, ample_budget()).await;

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!(next.received().len(), forwarded, "{stage} {late_ms}: {answer:?}");
        let status = if forwarded == 1 { 200 } else { 503 };
        assert_eq!(answer.status, status, "{stage} {late_ms}: {answer:?}");
    }
}

/// Guards against short prompts that are late behind a long one that arrived just before them.
/// While the only reader is busy, a long and then a short prompt arrive. The long one waits at the
/// gateway until the reader is nearly free; the short one does not.
#[tokio::test]
async fn verify_a_long_prompt_waits_at_the_gateway_while_its_reader_is_busy() {
    let BusyReader { front, reader, generator: _generator, backlog, .. } =
        BusyReader::start().await;
    let mut long = Box::pin(front.post_with_long_deadline("long", LONG, ""));

    let short = tokio::select! {
        answer = front.post_with_long_deadline("short", PROMPT, "") => answer,
        answer = &mut long => panic!("the long one completed first: {answer:?}"),
    };

    assert_eq!((short.status, reader.received().len()), (200, 1));
    drop(backlog);
    assert_eq!((long.await.status, reader.received().len()), (200, 2));
}

/// Guards against spending the retry budget at one engine, so that other requests are refused for
/// lack of it. An engine that is ordered to change its role ends what it runs and refuses
/// everything else for longer than the change itself takes. It gets no work until it is listed with
/// the new role, or the order has certainly ended.
#[tokio::test]
async fn verify_an_engine_that_changes_its_role_gets_no_work_until_it_is_listed() {
    let changing = Upstream::always(vec![refusal()]).await;
    let other = Upstream::always(stream(1, 2)).await;
    let listed = |role| {
        let far = far_engine("other", &other, Role::Decode);
        vec![engine("changing", &changing, role), far]
    };
    let front = front_of(RESUMABLE, listed(Role::Prefill)).await;
    let view = front.gateway.fleet().view();
    let state = &view.get("changing").expect("listed").state;
    let until = SystemClock::new().now() + Millis(60_000);
    state.record_role_change(RoleChange { role: Role::Decode, until, is_own: true });

    let meanwhile = front.post("r1", PROMPT, "").await;
    assert_eq!((meanwhile.status, changing.received().len()), (200, 0));

    front.gateway.adopt_entries(listed(Role::Decode));
    let now = SystemClock::new().now();
    assert!(front.gateway.fleet().takes_work("changing", now), "it has the new role");
}

/// Guards against truncating a stream that breaks after some seconds although another engine could
/// resume it. Its events span a longer time than its caller would wait for one. Once a caller has
/// received events, its wait limit counts from the last one.
#[tokio::test(start_paused = true)]
async fn verify_a_long_stream_is_resumed_after_it_breaks() {
    let steps = vec![
        stream_head(),
        event(1),
        Step::Pause(300),
        event(2),
        Step::Pause(300),
        event(3),
        Step::Close,
    ];
    let lasting = Upstream::always(steps).await;
    let reader = Upstream::start(reader_script).await;
    let other = Upstream::always(stream(1, 4)).await;
    let far = far_engine("other", &other, Role::Decode);
    let engines =
        vec![engine("r", &reader, Role::Prefill), engine("e", &lasting, Role::Decode), far];
    let config = with_patience(&config(RESUMABLE, 2, true), Millis(500));
    let front = start_with_clock(TimerClock::new(), Some(config), engines, ample_budget()).await;

    let answer = front.post("r1", PROMPT, "").await;

    assert_eq!(answer.events(), [1, 2, 3, 4]);
    assert!(answer.is_complete(), "{answer:?}");
}

/// Guards against reading a prompt again, at the cost of the retry budget, because engines that were to generate refuse
/// connections: the engine that has read it still holds its KV cache.
#[tokio::test]
async fn verify_a_prompt_is_read_once_while_generating_engines_are_unreachable() {
    let reader = Upstream::always(vec![signed("200 OK", "handle h")]).await;
    let mut generators = Vec::new();
    for _ in 0..4 {
        generators.push(Upstream::always(stream(1, 2)).await);
    }
    let mut entries = vec![engine("r", &reader, Role::Prefill)];
    let ids = ["e0", "e1", "e2", "e3"].iter().zip(&generators);
    entries.extend(ids.map(|(id, one)| engine(id, one, Role::Decode)));
    let budget = BudgetOptions { share: 0.0, spare: 0.0, window: Millis(10_000) };
    for alive in 0..4 {
        let config = with_long_timeouts(&config(Repeats::Stream { resumable: false }, 2, true));
        let entries = entries.iter().cloned().map(|entry| {
            let is_generator = entry.role == Some(Role::Decode);
            let is_dead = is_generator && *entry.id != *format!("e{alive}");
            let port = if is_dead { 1 } else { entry.address.port() };
            Entry { address: SocketAddr::new(entry.address.ip(), port), ..entry }
        });
        let front = start(Some(config), entries.collect(), budget).await;
        let read_before = reads(&reader);

        let answer = front.post("r1", PROMPT, "body").await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "{alive}: {answer:?}");
        assert_eq!(reads(&reader) - read_before, 1, "{alive}");
    }
}

/// Returns how many prompts an engine was to read.
fn reads(reader: &Upstream) -> usize {
    reader.received().iter().filter(|one| one.header("t-stage").is_some()).count()
}
