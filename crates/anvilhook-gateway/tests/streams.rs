//! Streams of model engines: reading and generating apart, resumption, and the end.

mod support;

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::stops::Stop;
use anvilhook_core::units::{Clock, ManualClock, Millis, SystemClock};
use anvilhook_gateway::budgets::BudgetOptions;
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::loads::{Held, RoleChange};
use anvilhook_gateway::prompts::Part;
use futures_util::FutureExt;
use support::clocks::TimerClock;
use support::fronts::{
    Front, ample_budget, config, start, start_with_clock, with_long_timeouts, with_patience,
    without_timeout,
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
/// A prompt that shares nothing with [`PROMPT`], so that an engine that has read that one has still to read
/// all of it.
const LONG: &str = "T-Tokens: 20000\r\nT-First-Part: 11\r\n";

/// Returns a stream that breaks after `last`, in the middle of the next event.
fn broken(last: u64, end: Step) -> Vec<Step> {
    let mut steps = vec![stream_head()];
    steps.extend((1..=last).map(event));
    steps.extend([chunk("id: 99\nda"), end]);
    steps
}

/// Returns the same as `engine`, in another availability zone than the gateway's, so that it comes
/// second.
fn far_engine(id: &str, upstream: &Upstream, role: Role) -> Entry {
    Entry { zone: "zone-b".into(), ..engine(id, upstream, role) }
}

async fn front_of(repeats: Repeats, engines: Vec<Entry>) -> Front {
    start(Some(config(repeats, 2, true)), engines, ample_budget()).await
}

/// `BusyReader` is a gateway whose only reader reads for as long as `backlog` is held, and whose time
/// stands still, so that no stall of the machine makes what waits there late.
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

/// Symptom: an event is missing, comes twice, or is cut; or a cut stream looks complete.
/// Sequence: the first engine breaks off in one of the ways below.
/// Cause: only whole events are passed on, and another run goes on after the last one.
#[tokio::test]
async fn verify_a_broken_stream_goes_on_or_is_seen_to_be_cut() {
    let repeat = |received: &Received| match received.header("last-event-id") {
        // Engines may send what the caller has already.
        Some("2") => stream(2, 4),
        Some(_) => stream(1, 4),
        None => stream(1, 4),
    };
    let cases = [
        ("resumable, closed", RESUMABLE, broken(2, Step::Close), true),
        ("resumable, reset", RESUMABLE, broken(2, Step::Reset), true),
        ("once, closed", ONCE, broken(2, Step::Close), false),
        ("once, reset", ONCE, broken(2, Step::Reset), false),
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

/// Symptom: a whole answer is cut, or a stream hangs that could go on.
/// Sequence: a resumable stream falls silent after two events; its engine is alive and goes on once it has
/// been asked, or is gone, or has started again under its id.
/// Cause: silence alone says nothing; an engine that answers a call may still work on the stream,
/// unless it is another start of it that answers.
#[tokio::test]
async fn verify_a_silent_stream_goes_on_elsewhere_only_if_its_engine_is_gone() {
    // The start that the engine's entry names, its report, and whether the two say that it lives on.
    let cases = [
        (Some(1), Some("decode"), true),
        (Some(1), Some("decode again"), false),
        (Some(2), Some("decode again"), true),
        (None, Some("decode again"), true),
        (Some(1), None, false),
    ];
    for (born, report, is_alive) in cases {
        let asked = Arc::new(Notify::new());
        let script = move |received: &Received| {
            let began = vec![stream_head(), event(1), event(2)];
            if received.line.starts_with("GET /report") {
                asked.notify_one();
                vec![report.map_or(Step::Close, |report| signed("200 OK", report))]
            } else if is_alive {
                let goes_on =
                    vec![Step::Await(Arc::clone(&asked)), event(3), event(4), stream_end()];
                [began, goes_on].concat()
            } else {
                [began, vec![Step::Hang]].concat()
            }
        };
        let silent = Upstream::start(script).await;
        let other = Upstream::always(stream(1, 4)).await;
        let far = far_engine("other", &other, Role::Decode);
        let silent = Entry { born, ..engine("silent", &silent, Role::Decode) };
        let config = with_long_timeouts(&config(RESUMABLE, 2, true));
        let front = start(Some(config), vec![silent, far], ample_budget()).await;

        let answer = front.post_with_long_deadline("r1", PROMPT, "").await;

        assert_eq!(answer.events(), [1, 2, 3, 4], "{born:?} {report:?}");
        assert!(answer.is_complete(), "{born:?} {report:?}");
        assert_eq!(other.received().len(), usize::from(!is_alive), "{born:?} {report:?}");
    }
}

/// Symptom: a stream that runs at most once runs again.
/// Sequence: its engine closes the connection before the first event.
/// Cause: a request that was sent may have run, unless the engine says that it has not.
#[tokio::test]
async fn verify_a_stream_without_events_is_sent_again_only_where_allowed() {
    let cases = [
        ("resumable, closed", RESUMABLE, vec![Step::Close], 200, 1),
        ("once, closed", ONCE, vec![Step::Close], 502, 0),
        ("once, head only", ONCE, vec![stream_head(), Step::Close], 502, 0),
        ("once, refused", ONCE, vec![refusal()], 200, 1),
        ("once, unsigned", ONCE, vec![unsigned(), event(1), stream_end()], 502, 0),
    ];
    for (name, repeats, first, status, sent_again) in cases {
        let first = Upstream::always(first).await;
        let second = Upstream::always(stream(1, 2)).await;
        let far = far_engine("second", &second, Role::Decode);
        let front = front_of(repeats, vec![engine("first", &first, Role::Decode), far]).await;

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!(answer.status, status, "{name}: {answer:?}");
        assert_eq!(second.received().len(), sent_again, "{name}");
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

/// Symptom: a prompt is read where others' output is generated, or a caller gets a handle.
/// Sequence: a plain request to a service whose engines take one stage each.
/// Cause: the reader is asked for its stage only, and the generator fetches from it.
#[tokio::test]
async fn verify_a_prompt_is_read_by_one_engine_and_generated_by_another() {
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

/// Symptom: the prompts of several instances go to the same idle engine.
/// Sequence: a prompt is read that is long work, and one that is little.
/// Cause: long work is told to the others when it begins, not with the next digest.
#[tokio::test]
async fn verify_long_work_is_told_at_once() {
    for (tokens, is_told) in [(10_000, true), (100, false)] {
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
        assert_eq!(announced.is_some(), is_told, "{tokens} tokens");
    }
}

/// Symptom: streams wait at engines whose places are taken, while other engines have room.
/// Sequence: a stream takes one of the last places of an engine, or one of many.
/// Cause: that the last places go is told to the others at once.
#[tokio::test]
async fn verify_a_taken_place_of_a_nearly_full_engine_is_told_at_once() {
    for (taken, is_told) in [(2, true), (0, false)] {
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
        assert_eq!(announced.is_some(), is_told, "{} taken", held.len());
    }
}

/// Symptom: an engine's memory fills with handles that nobody takes.
/// Sequence: the prompt is read, and then no engine generates.
/// Cause: a handle that is not used is freed by whoever has it.
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

/// Symptom: a request fails although another reader could have served it.
/// Sequence: the first reader fails in one of the ways below.
/// Cause: reading a prompt is not running the request, so it may be asked of another.
#[tokio::test]
async fn verify_reading_is_asked_of_another_engine() {
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

        // A part's home may be either reader; among several requests some meet the bad one.
        for round in 0..3 {
            let answer = front.post(&format!("r{round}"), PROMPT, "").await;
            assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "{name}");
        }
        assert_eq!(generator.received().len(), 3, "{name}");
    }
}

/// Symptom: requests are refused and the retry budget is spent, though other engines are well.
/// Sequence: one reader's handles lapse at once, so the generator refuses each of them.
/// Cause: reading succeeds there every time; only the refused handles tell.
#[tokio::test]
async fn verify_a_reader_whose_handles_are_refused_is_left_alone() {
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
    assert_eq!(bad_reads(), 3, "it may be well again");
}

/// Symptom: under a full load 1,605 generations are refused, and the retry budget is spent.
/// Sequence: engines change their roles; the table is away, and the list goes on showing the old ones.
/// Cause: an engine that refuses a stage has the other role, until a later report of its own is listed.
#[tokio::test]
async fn verify_an_engine_that_refuses_a_stage_is_used_for_the_other() {
    let turned = Upstream::start(|received| match received.header("t-stage") {
        Some(_) => vec![signed("200 OK", "handle h1")],
        None if received.line.starts_with("DELETE") => vec![signed("200 OK", "")],
        None => vec![signed("421 Misdirected Request", "")],
    })
    .await;
    let other = Upstream::always(stream(1, 2)).await;
    let far = far_engine("other", &other, Role::Decode);
    let listed = engine("turned", &turned, Role::Decode);
    let front = front_of(ONCE, vec![listed.clone(), far]).await;
    let role = || front.gateway.fleet().view().get("turned").expect("listed").role();

    for round in 0..3 {
        let answer = front.post(&format!("r{round}"), PROMPT, "").await;
        assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "request {round}");
    }

    assert_eq!(role(), Some(Role::Prefill));
    let refused = turned.received().iter().filter(|one| one.header("t-stage").is_none()).count();
    assert_eq!(refused, 1);
    front.gateway.adopt_entries([Entry { sequence: 2, ..listed }]);
    assert_eq!(role(), Some(Role::Decode), "its own later report says so");
}

/// Symptom: when a quarter of the engines have crashed, one request in five is refused for want of a
/// retry budget.
/// Sequence: the engine that is chosen is gone, and its host refuses connections; another one is well.
/// Cause: what never arrived is no extra arrival, and is tried elsewhere. The engine is left alone then.
#[tokio::test]
async fn verify_a_refused_connection_costs_no_budget() {
    for role in [Role::Prefill, Role::Decode] {
        let closed = {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
            listener.local_addr().expect("an address").port()
        };
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
        let none = BudgetOptions { share: 0.0, spare: 0.0, window: Millis(10_000) };
        let front = start(Some(config(ONCE, 2, true)), engines, none).await;
        let view = front.gateway.fleet().view();
        let state = &view.get("crashed").expect("listed").state;

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "{role:?}: {answer:?}");
        assert!(!state.is_healthy(SystemClock::new().now()), "{role:?}: it is left alone");
    }
}

/// Symptom: nearly two thousand requests get one engine's error though other engines are well.
/// Sequence: an engine answers each request at once with an error, and says that it is well.
/// Cause: what may run again is sent to another engine; what may not gets the error as it came.
#[tokio::test]
async fn verify_an_engines_own_error_is_made_up_for_where_allowed() {
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

/// Symptom: output comes from an engine that had begun to leave.
/// Sequence: the generator's entry says draining while the prompt is being read.
/// Cause: the generator is chosen after the reading, by what is believed then.
#[tokio::test]
async fn verify_the_generator_is_chosen_after_the_reading() {
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

/// Symptom: a caller waits beyond the route's timeout for a stream that does not end.
/// Sequence: the engine sends one event and falls silent; the stream can't be resumed.
/// Cause: the timeout covers the whole answer, not only its head.
#[tokio::test]
async fn verify_a_silent_stream_ends_at_the_timeout() {
    let silent = Upstream::always(vec![stream_head(), event(1), Step::Hang]).await;
    let front = front_of(ONCE, vec![engine("silent", &silent, Role::Decode)]).await;

    let answer = front.post("r1", PROMPT, "").await;

    assert_eq!((answer.status, answer.events()), (200, vec![1]));
    assert!(!answer.is_complete());
    silent.client_closed().await;
}

/// Symptom: streams are cut by a planned stop.
/// Sequence: an instance stops; a connection that is kept brings a request three seconds later, whose
/// output takes longer than the time that is left.
/// Cause: what can't be whole before the end is refused as not run, so that its caller goes elsewhere.
#[tokio::test]
async fn verify_a_stream_that_a_stop_would_cut_is_refused() {
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

/// Symptom: a stream is cut by a planned stop.
/// Sequence: a prompt waits for its reader, which is busy; the signal to stop comes; the reader is
/// free only when too little time is left for the output.
/// Cause: whether the end would cut a stream is asked right before it is sent, not only on arrival.
#[tokio::test]
async fn verify_a_stream_that_waits_when_the_stop_begins_is_refused() {
    let BusyReader { clock, front, reader, generator: _generator, backlog } =
        BusyReader::start().await;
    let gateway = front.gateway.clone();
    let service = std::sync::Arc::from("service");
    let left_before = gateway.budget_left(&service, clock.now());
    let stopping = async move {
        // A request earns its share of the budget when it begins to wait.
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

/// Symptom: a request reaches an engine though its caller has left long before.
/// Sequence: an engine takes long over a prompt, or refuses it late. The instance has too little of
/// its processor, or is suspended, and takes up that answer only after the caller's time.
/// Cause: whether the caller still waits is asked right before each send.
#[tokio::test]
async fn verify_nothing_is_sent_for_a_caller_that_must_have_left() {
    for (stage, late_ms, sent_on) in
        [("read", 1_100, 0), ("read", 900, 1), ("refused", 1_100, 0), ("refused", 900, 1)]
    {
        let clock = ManualClock::new();
        let config = with_patience(&config(ONCE, 2, true), Millis(1_000));
        let passing = clock.clone();
        let first = Upstream::start(move |_| {
            passing.advance(Millis(late_ms));
            let answer = if stage == "read" { signed("200 OK", "handle h1") } else { refusal() };
            vec![answer]
        })
        .await;
        let next = Upstream::always(stream(1, 2)).await;
        let role = if stage == "read" { Role::Prefill } else { Role::Decode };
        let engines = vec![engine("first", &first, role), far_engine("next", &next, Role::Decode)];
        let front = start_with_clock(clock, Some(config), engines, ample_budget()).await;

        let answer = front.post("r1", PROMPT, "").await;

        assert_eq!(next.received().len(), sent_on, "{stage} {late_ms}: {answer:?}");
        let status = if sent_on == 1 { 200 } else { 503 };
        assert_eq!(answer.status, status, "{stage} {late_ms}: {answer:?}");
    }
}

/// Symptom: short prompts are late behind a long one that came just before.
/// Sequence: the only reader reads; a long prompt comes, then a short one; then the reader is free.
/// Cause: the long one waits here until the reader is nearly free, and the short one does not.
#[tokio::test]
async fn verify_a_long_prompt_waits_here_while_its_reader_reads() {
    let BusyReader { front, reader, generator: _generator, backlog, .. } =
        BusyReader::start().await;
    let mut long = Box::pin(front.post_with_long_deadline("long", LONG, ""));

    let short = tokio::select! {
        answer = front.post_with_long_deadline("short", PROMPT, "") => answer,
        answer = &mut long => panic!("the long one came first: {answer:?}"),
    };

    assert_eq!((short.status, reader.received().len()), (200, 1));
    drop(backlog);
    assert_eq!((long.await.status, reader.received().len()), (200, 2));
}

/// Symptom: the retry budget is spent at one engine, and other requests are refused for want of it.
/// Sequence: an engine is ordered to take another role; it ends what runs, and refuses all else for
/// longer than the change itself takes.
/// Cause: it gets no work until it is listed with the new role, or the order is surely over.
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

/// Symptom: a stream that breaks after some seconds is cut, though another engine could go on.
/// Sequence: its events come for longer than its caller would wait for one; then its engine ends.
/// Cause: a caller that has had events counts its patience from the last one.
#[tokio::test(start_paused = true)]
async fn verify_a_stream_that_has_lasted_is_gone_on_with() {
    let lasting = vec![
        stream_head(),
        event(1),
        Step::Pause(300),
        event(2),
        Step::Pause(300),
        event(3),
        Step::Close,
    ];
    let lasting = Upstream::always(lasting).await;
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
