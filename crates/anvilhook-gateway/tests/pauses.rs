//! Upstreams that refuse requests and indicate when they accept the next one.

mod support;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, ManualClock, Millis};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::peers::seed_caches;
use support::fronts::{Front, ample_budget, config, start_with_clock, with_long_timeouts};
use support::upstreams::{Step, Upstream, engine, refusal, signed, stream};
use support::wires::entry;

const ONCE: Repeats = Repeats::Stream { resumable: false };
const PROMPT: &str = "T-Tokens: 100\r\n";

/// Returns a refusal that asks for a pause.
fn pause(text: &str) -> Step {
    let Step::Write(refusal) = refusal() else { unreachable!("a refusal is written") };
    Step::Write(
        refusal.replace("T-Not-Run: 1\r\n", &format!("T-Not-Run: 1\r\nRetry-After: {text}\r\n")),
    )
}

async fn front_before(
    clock: &ManualClock,
    repeats: Repeats,
    has_engine: bool,
    entries: Vec<Entry>,
) -> Front<ManualClock> {
    let config = with_long_timeouts(&config(repeats, 2, has_engine));
    start_with_clock(clock.clone(), Some(config), entries, ample_budget()).await
}

/// Guards against further requests to an upstream that sheds load and has asked for a pause.
#[tokio::test]
async fn verify_a_pause_is_respected_to_its_end() {
    let clock = ManualClock::new();
    clock.advance(Millis(1_000));
    let shedding = Upstream::always(vec![pause("2")]).await;
    let other = Upstream::always(vec![signed("200 OK", "other")]).await;
    let far = Entry { zone: "zone-b".into(), ..entry("far", other.address.port()) };
    let near = entry("near", shedding.address.port());
    let front = front_before(&clock, Repeats::AtMostOnce, false, vec![near, far]).await;
    let ask = async |id: &str| {
        let answer = front.post(id, "", id).await;
        assert_eq!(answer.body, "other");
        shedding.received().len()
    };

    assert_eq!(ask("r1").await, 1, "the request whose refusal asks for the pause");
    // Neither the end of an ejection, as after this success, nor a newer load report shortens the pause.
    let view = front.gateway.fleet().view();
    view.get("near").expect("listed").state.ejection().record_success(clock.now());
    clock.advance(Millis(1_999));
    assert_eq!(ask("r2").await, 1, "during the pause");
    clock.advance(Millis(2));
    assert_eq!(ask("r3").await, 2, "after the pause");
}

/// Guards against a pause that outlasts a restart of its upstream, and against one that ends when the
/// upstream is listed again.
#[tokio::test]
async fn verify_only_a_restart_ends_a_pause() {
    let clock = ManualClock::new();
    let shedding = Upstream::always(vec![pause("60")]).await;
    let listed = Entry { born: Some(5), ..entry("a", shedding.address.port()) };
    let front = front_before(&clock, Repeats::AtMostOnce, false, vec![listed.clone()]).await;
    front.post("r1", "", "").await;
    let adopt = |entry: Entry| {
        front.gateway.adopt_entries([]);
        front.gateway.adopt_entries([entry]);
        front.gateway.fleet().takes_work("a", clock.now())
    };

    assert!(!adopt(Entry { sequence: 9, ..listed.clone() }));
    assert!(adopt(Entry { born: Some(6), ..listed }));
}

/// Guards against callers that retry before the first pause ends when all upstreams have asked for one.
#[tokio::test]
async fn verify_callers_get_the_earliest_end_of_all_pauses() {
    let clock = ManualClock::new();
    let first = Upstream::always(vec![pause("9")]).await;
    let second = Upstream::always(vec![pause("4")]).await;
    let plain = vec![entry("a", first.address.port()), entry("b", second.address.port())];
    let engines = vec![engine("a", &first, Role::Decode), engine("b", &second, Role::Decode)];
    for (repeats, entries, headers) in [(Repeats::Idempotent, plain, ""), (ONCE, engines, PROMPT)] {
        let has_engine = !headers.is_empty();
        let front = front_before(&clock, repeats, has_engine, entries).await;
        front.post("r1", headers, "").await;
        let asked = first.received().len() + second.received().len();

        let answer = front.post("r2", headers, "").await;

        assert_eq!((answer.status, answer.body.as_str()), (503, "upstreams_paused"));
        assert!(answer.head.contains("retry-after: 4.000"), "{}", answer.head);
        assert_eq!(first.received().len() + second.received().len(), asked);
    }
}

/// Guards against an unreadable pause that stops an upstream's work for ever, and against a pause after an
/// answer that is no refusal.
#[tokio::test]
async fn verify_unreadable_pauses_and_pauses_without_refusal_are_ignored() {
    let without_refusal = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nRetry-After: 60\r\n\
                   Content-Length: 0\r\n\r\n";
    let cases = [pause("soon"), pause("-5"), pause(""), Step::Write(without_refusal.to_owned())];
    for step in cases {
        let upstream = Upstream::always(vec![step]).await;
        let entries = vec![entry("a", upstream.address.port())];
        let clock = ManualClock::new();
        let front = front_before(&clock, Repeats::AtMostOnce, false, entries).await;

        front.post("r1", "", "").await;
        front.post("r2", "", "").await;

        assert_eq!(upstream.received().len(), 2);
    }
}

/// Guards against an instance's own call to a paused engine, and against the loss of a stream because that
/// call is not made.
#[tokio::test]
async fn verify_own_calls_respect_a_pause_and_streams_outlast_it() {
    let clock = ManualClock::new();
    let mut steps = stream(1, 2);
    steps.insert(2, Step::Pause(2_500));
    let engines = [Upstream::start(move |received| match received.line.contains("/report") {
        true => vec![signed("200 OK", "decode idle")],
        false => steps.clone(),
    })
    .await];
    let entries = vec![engine("e", &engines[0], Role::Decode)];
    let repeats = Repeats::Stream { resumable: true };
    let front = front_before(&clock, repeats, true, entries).await;
    let pausing = async {
        support::until(|| !engines[0].received().is_empty()).await;
        let view = front.gateway.fleet().view();
        view.get("e").expect("listed").state.pause(Millis(60_000));
    };

    let (answer, ()) = tokio::join!(front.post_with_long_deadline("r1", PROMPT, ""), pausing);

    assert_eq!(answer.events(), [1, 2]);
    assert_eq!(engines[0].received().len(), 1);
}

/// Guards against a request for the cache contents of a paused engine.
#[tokio::test]
async fn verify_requests_for_cache_contents_respect_a_pause() {
    let clock = ManualClock::new();
    let paused = Upstream::always(vec![signed("200 OK", "")]).await;
    let other = Upstream::always(vec![signed("200 OK", "")]).await;
    let entries = vec![engine("p", &paused, Role::Prefill), engine("o", &other, Role::Prefill)];
    let front = front_before(&clock, ONCE, true, entries).await;
    let view = front.gateway.fleet().view();
    view.get("p").expect("listed").state.pause(Millis(60_000));

    seed_caches(front.gateway.clone(), clock).await;

    assert_eq!((paused.received().len(), other.received().len()), (0, 1));
}
