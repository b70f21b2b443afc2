//! Requests under which engines end, at a gateway on real sockets.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::orders::Role;
use anvilhook_core::units::{ManualClock, Millis, SystemClock};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::controls;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::peers::{Digest, exchange};
use anvilhook_gateway::suspects::{Interruption, SuspectEvent, SuspectUpdate};
use http::Method;
use http_body_util::BodyExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::fronts::{Front, ample_budget, config, start, start_with_clock, with_long_timeouts};
use support::until;
use support::upstreams::{Received, Step, Upstream, engine, event, signed, stream, stream_head};
use support::wires::entry;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use volo_http::body::Body;
use volo_http::request::Request;

const RESUMABLE: Repeats = Repeats::Stream { resumable: true };
const ONCE: Repeats = Repeats::Stream { resumable: false };
const PROMPT: &str = "T-Tokens: 100\r\n";
const POISON: &str = "poison";

/// Longer than a look at an engine takes.
const LOOK: Duration = Duration::from_millis(500);

/// An engine that ends when it begins to run the poison request, and streams to any other.
async fn mortal() -> Upstream {
    Upstream::start(|received| match received.body.as_str() {
        POISON => vec![stream_head(), event(1), Step::Terminate],
        _ => stream(1, 3),
    })
    .await
}

async fn mortals(count: usize) -> Vec<Upstream> {
    let mut engines = Vec::new();
    for _ in 0..count {
        engines.push(mortal().await);
    }
    engines
}

fn listed(engines: &[Upstream]) -> Vec<Entry> {
    let ids = (0..engines.len()).map(|number| format!("e{number}"));
    ids.zip(engines).map(|(id, one)| engine(&id, one, Role::Decode)).collect()
}

async fn front(repeats: Repeats, entries: Vec<Entry>) -> Front {
    let config = with_long_timeouts(&config(repeats, 2, true));
    start(Some(config), entries, ample_budget()).await
}

/// Returns the requests for output that engines have got with a body.
fn runs(engines: &[Upstream], body: &str) -> usize {
    let is_run = |received: &Received| received.line.starts_with("POST") && received.body == body;
    engines.iter().map(|one| one.received().iter().filter(|one| is_run(one)).count()).sum()
}

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of("", "/a/b?c=d", body.as_bytes())
}

/// Returns how many engines have ended under a request, by what an instance holds.
fn standing(front: &Front, body: &str) -> Option<usize> {
    let request = fingerprint(body);
    let suspects = front.gateway.suspects().list(Millis::ZERO);
    let own = suspects.into_iter().find(|(one, ..)| *one == request);
    own.map(|(_, _, ends)| ends.len())
}

/// A request that ends each engine comes again under new ids, and each repeat is sent on.
#[tokio::test]
async fn verify_a_request_under_which_three_engines_ended_is_sent_on_no_more() {
    let engines = mortals(6).await;
    let front = front(ONCE, listed(&engines)).await;
    for (repeat, ends) in (1..=3).enumerate() {
        front.post(&format!("r{repeat}"), PROMPT, POISON).await;
        until(|| standing(&front, POISON) == Some(ends)).await;
    }

    let answer = front.post("r4", PROMPT, POISON).await;
    let other = front.post("r5", PROMPT, "harmless").await;

    assert_eq!((answer.status, answer.body.as_str()), (400, "quarantined"));
    assert!(!answer.head.contains("retry-after"), "{}", answer.head);
    assert_eq!(other.status, 200);
    assert_eq!(runs(&engines, POISON), 3);
}

/// One attempt of a caller ends engine after engine, as its stream is resumed each time.
#[tokio::test]
async fn verify_the_ends_within_one_attempt_count() {
    let engines = mortals(8).await;
    let front = front(RESUMABLE, listed(&engines)).await;

    for attempt in 0..6 {
        front.post(&format!("r{attempt}"), PROMPT, POISON).await;
    }

    until(|| standing(&front, POISON) == Some(3)).await;
    assert_eq!(runs(&engines, POISON), 3);
}

/// A plain service's upstreams end under a request as engines do, and its repeats find the last ones.
#[tokio::test]
async fn verify_plain_upstreams_that_end_count_too() {
    let mortal = || {
        Upstream::start(|received| match received.body.as_str() {
            POISON => vec![Step::Terminate],
            _ => vec![signed("200 OK", "fine")],
        })
    };
    let upstreams = [mortal().await, mortal().await, mortal().await, mortal().await];
    let ports = upstreams.iter().enumerate();
    let entries = ports.map(|(number, one)| entry(&format!("p{number}"), one.address.port()));
    let config = with_long_timeouts(&config(Repeats::Idempotent, 2, false));
    let front = start(Some(config), entries.collect(), ample_budget()).await;

    for attempt in 0..6 {
        front.post(&format!("r{attempt}"), "", POISON).await;
    }

    until(|| standing(&front, POISON) == Some(3)).await;
    assert_eq!(runs(&upstreams, POISON), 3);
    assert_eq!(front.post("r9", "", "harmless").await.status, 200);
}

/// Upstreams of a service end twice under two requests that were tried there together, and the harmless one
/// meets a third end beside the other, at the only upstream that is left.
#[tokio::test]
async fn verify_suspects_that_shared_all_ends_are_tried_in_turns() {
    let upstream = Upstream::always(vec![signed("500 Error", "why")]).await;
    let config = with_long_timeouts(&config(Repeats::AtMostOnce, 2, false));
    let entries = vec![entry("u0", upstream.address.port())];
    let clock = ManualClock::new();
    let front = start_with_clock(clock.clone(), Some(config), entries, ample_budget()).await;
    let (suspects, bodies) = (front.gateway.suspects(), ["one", "other"]);
    for engine in [901, 902] {
        for body in bodies {
            suspects.record_interruption(engine, fingerprint(body), Interruption::Broken);
        }
        suspects.confirm_end(engine, Millis::ZERO);
    }

    let mut turns = Vec::new();
    for turn in 0..4 {
        let asked = bodies.map(|body| (body, format!("{body}{turn}")));
        let mut sent_on = Vec::new();
        for (body, id) in &asked {
            if front.post(id, "", body).await.status == 500 {
                sent_on.push(*body);
            }
        }
        turns.push(sent_on);
        clock.advance(Millis(2_000));
    }

    turns.sort();
    let nobody: Vec<&str> = Vec::new();
    assert_eq!(turns, [nobody.clone(), nobody, vec!["one"], vec!["other"]]);
}

/// A request that ran beside is refused for ever, though it does no harm.
#[tokio::test]
async fn verify_a_run_that_ends_well_clears_what_ran_beside() {
    let engines = [
        Upstream::start(|_| vec![stream_head(), event(1), Step::Terminate]).await,
        Upstream::always(stream(1, 3)).await,
    ];
    let front = front(ONCE, listed(&engines)).await;
    let mut repeat = 0;
    while standing(&front, "beside").is_none() {
        repeat += 1;
        front.post(&format!("r{repeat}"), PROMPT, "beside").await;
        tokio::task::yield_now().await;
        if runs(&engines[..1], "beside") > 0 {
            until(|| standing(&front, "beside").is_some()).await;
        }
    }

    let answer = front.post("again", PROMPT, "beside").await;

    assert_eq!(answer.events(), [1, 2, 3]);
    until(|| standing(&front, "beside").is_none()).await;
}

/// What fails at an engine that goes on living is taken for what ends engines, and refused.
#[tokio::test]
async fn verify_an_engine_that_has_not_ended_speaks_against_nobody() {
    let report = || signed("200 OK", "decode");
    let cases: [(&str, Vec<Step>); 4] = [
        ("cut", vec![stream_head(), event(1), Step::Reset]),
        ("reset", vec![Step::Reset]),
        ("spoilt", vec![Step::Write("rubbish\r\n\r\n".to_owned()), Step::Close]),
        ("failed", vec![signed("500 Error", "")]),
    ];
    for (name, steps) in cases {
        let script = move |received: &Received| match received.line.contains("/report") {
            true => vec![report()],
            false => steps.clone(),
        };
        let engine = [Upstream::start(script).await];
        let front = front(ONCE, listed(&engine)).await;

        for repeat in 0..4 {
            front.post(&format!("r{repeat}"), PROMPT, "harmless").await;
        }

        let looked = || engine[0].received().iter().any(|one| one.line.contains("/report"));
        if name != "failed" {
            until(looked).await;
            tokio::time::sleep(LOOK).await;
        }
        assert_eq!(standing(&front, "harmless"), None, "{name}");
        assert_eq!(runs(&engine, "harmless"), 4, "{name}");
    }
}

/// The end of an engine that leaves is its own, and is held against what it still ran.
#[tokio::test]
async fn verify_the_end_of_a_leaving_engine_speaks_against_nobody() {
    let ends = Arc::new(Notify::new());
    let steps = vec![stream_head(), event(1), Step::Await(Arc::clone(&ends)), Step::Terminate];
    let engines = [Upstream::always(steps).await];
    let front = front(ONCE, listed(&engines)).await;
    let asking = async { front.post("r1", PROMPT, "beside").await };
    let leaving = async {
        until(|| runs(&engines, "beside") == 1).await;
        let view = front.gateway.fleet().view();
        view.get("e0").expect("listed").state.mark_gone(true);
        ends.notify_one();
    };

    let (answer, ()) = tokio::join!(asking, leaving);
    tokio::time::sleep(LOOK).await;

    assert!(!answer.is_complete());
    assert_eq!(standing(&front, "beside"), None);
}

/// Links an instance to others, and returns where it listens for them.
async fn link(front: &Front, clock: SystemClock, number: u64, others: &[SocketAddr]) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("an address");
    others.iter().for_each(|other| front.gateway.peers().add(*other));
    let rng = ChaCha8Rng::seed_from_u64(number);
    tokio::spawn(exchange(socket, number, rng, front.gateway.clone(), clock));
    address
}

/// Starts instances before the same engines that tell each other.
async fn linked(count: u64, engines: &[Upstream]) -> (Vec<Front>, Vec<SocketAddr>) {
    let (mut fronts, mut addresses) = (Vec::new(), Vec::new());
    for number in 1..=count {
        let clock = SystemClock::new();
        let config = with_long_timeouts(&config(ONCE, 2, true));
        let front = start_with_clock(clock, Some(config), listed(engines), ample_budget()).await;
        addresses.push(link(&front, clock, number, &addresses).await);
        fronts.push(front);
    }
    (fronts, addresses)
}

/// Each of three instances has seen one engine end, and none knows the request.
#[tokio::test]
async fn verify_ends_seen_by_three_instances_count_together() {
    let engines = mortals(6).await;
    let (fronts, _) = linked(3, &engines).await;

    for (sent, front) in fronts.iter().enumerate() {
        front.post(&format!("r{sent}"), PROMPT, POISON).await;
        until(|| fronts.iter().all(|front| standing(front, POISON) == Some(sent + 1))).await;
    }

    for front in &fronts {
        assert_eq!(front.post("again", PROMPT, POISON).await.status, 400);
    }
    assert_eq!(runs(&engines, POISON), 3);
}

/// An instance that has just started sends a request on that the others have long quarantined.
#[tokio::test]
async fn verify_a_new_instance_learns_what_is_quarantined() {
    let engines = mortals(6).await;
    let (fronts, addresses) = linked(2, &engines).await;
    for ends in 1..=3 {
        fronts[0].post(&format!("r{ends}"), PROMPT, POISON).await;
        until(|| standing(&fronts[0], POISON) == Some(ends)).await;
    }

    let clock = SystemClock::new();
    let new =
        start_with_clock(clock, Some(config(ONCE, 2, true)), listed(&engines), ample_budget())
            .await;
    link(&new, clock, 9, &addresses).await;

    until(|| standing(&new, POISON) == Some(3)).await;
}

/// Lifted at one instance, a request goes on being refused at the others.
#[tokio::test]
async fn verify_a_lifted_quarantine_is_lifted_everywhere() {
    let engines = mortals(6).await;
    let (fronts, _) = linked(2, &engines).await;
    for ends in 1..=3 {
        fronts[0].post(&format!("r{ends}"), PROMPT, POISON).await;
        until(|| fronts.iter().all(|front| standing(front, POISON) == Some(ends))).await;
    }

    assert!(fronts[1].gateway.lift(fingerprint(POISON)));

    until(|| fronts.iter().all(|front| standing(front, POISON).is_none())).await;
}

/// The end of an engine is lost on the way, or told by an instance that has not heard that it was cleared.
#[tokio::test]
async fn verify_news_is_told_again_and_old_ends_are_not_believed() {
    let one = linked(1, &[]).await.0.remove(0);
    let clock = SystemClock::new();
    let other = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let address = link(&one, clock, 5, &[other.local_addr().expect("an address")]).await;
    let request = fingerprint(POISON);
    let tell = async |engine, age_ms| {
        let news = SuspectUpdate { request, fate: SuspectEvent::Ended { engine, age_ms } };
        let digest =
            Digest { from: 7, is_partial: true, suspects: vec![news], ..Digest::default() };
        let buf = postcard::to_stdvec(&digest).expect("it can be written");
        other.send_to(&buf, address).await.expect("loopback");
    };
    tell(1, 0).await;
    until(|| standing(&one, POISON) == Some(1)).await;

    one.gateway.lift(request);
    let mut told = 0;
    let mut buf = [0; 2_000];
    while told < 3 {
        let len = other.recv(&mut buf).await.expect("loopback");
        let digest: Digest = postcard::from_bytes(&buf[..len]).expect("a digest");
        told += digest.suspects.iter().filter(|news| news.fate == SuspectEvent::Lifted).count();
    }
    tell(2, 60_000).await;
    tell(3, 0).await;

    let ends = || one.gateway.suspects().ends(request, Millis::ZERO);
    until(|| ends().iter().any(|end| end.engine == 3)).await;
    assert_eq!(ends().len(), 1);
}

/// An engine that fails a request at once clears it of the engines that it has ended.
#[tokio::test]
async fn verify_an_error_is_no_run_that_ended_well() {
    let upstreams = [
        Upstream::start(|_| vec![Step::Terminate]).await,
        Upstream::always(vec![signed("500 Error", "")]).await,
    ];
    let ports = upstreams.iter().enumerate();
    let entries = ports.map(|(number, one)| entry(&format!("p{number}"), one.address.port()));
    let config = with_long_timeouts(&config(Repeats::AtMostOnce, 1, false));
    let front = start(Some(config), entries.collect(), ample_budget()).await;
    front.gateway.fleet().view().get("p1").expect("listed").state.mark_closed(Millis::MAX, false);
    front.post("r1", "", POISON).await;
    until(|| standing(&front, POISON) == Some(1)).await;

    let answer = front.post("r2", "", POISON).await;

    assert_eq!(answer.status, 500);
    assert_eq!(standing(&front, POISON), Some(1));
}

/// Hundreds of instances know that a request runs well, and each says so to each that suspects it.
#[tokio::test]
async fn verify_one_instance_that_knows_better_spares_the_others() {
    let engines = [Upstream::always(stream(1, 3)).await];
    let one = linked(1, &engines).await.0.remove(0);
    let other = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let address =
        link(&one, SystemClock::new(), 5, &[other.local_addr().expect("an address")]).await;
    one.post("r1", PROMPT, "popular").await;
    let request = fingerprint("popular");
    let tell = async |fate| {
        let suspects = vec![SuspectUpdate { request, fate }];
        let digest = Digest { from: 7, is_partial: true, suspects, ..Digest::default() };
        let buf = postcard::to_stdvec(&digest).expect("it can be written");
        other.send_to(&buf, address).await.expect("loopback");
    };
    let says_well = async || {
        let mut buf = [0; 2_000];
        loop {
            let len = other.recv(&mut buf).await.expect("loopback");
            let digest: Digest = postcard::from_bytes(&buf[..len]).expect("a digest");
            if digest.suspects.iter().any(|news| news.fate == SuspectEvent::RanWell) {
                return;
            }
        }
    };

    tell(SuspectEvent::Ended { engine: 1, age_ms: 0 }).await;
    says_well().await;
    assert_eq!(standing(&one, "popular"), None);
}

/// An operator can't see what is quarantined, or lifts another request by a slip.
#[tokio::test]
async fn verify_an_operator_sees_and_lifts_a_quarantine() {
    let engines = mortals(4).await;
    let front = front(ONCE, listed(&engines)).await;
    for ends in 1..=3 {
        front.post(&format!("r{ends}"), PROMPT, POISON).await;
        until(|| standing(&front, POISON) == Some(ends)).await;
    }
    let ask = async |method: Method, path: &str| {
        let mut req = Request::new(Body::empty());
        (*req.method_mut(), *req.uri_mut()) = (method, path.parse().expect("a path"));
        let answer = controls::answer(&front.gateway, &req);
        let (status, body) = (answer.status().as_u16(), answer.into_body().collect().await);
        (status, String::from_utf8(body.expect("it is there").to_bytes().into()).expect("text"))
    };
    let own = fingerprint(POISON);

    let (_, seen) = ask(Method::GET, "/quarantine").await;
    assert!(seen.contains(&own.to_string()) && seen.contains("\"is_quarantined\":true"), "{seen}");
    let refused = [
        (Method::DELETE, "/quarantine/xyz".to_owned(), 400),
        (Method::DELETE, "/quarantine/".to_owned(), 400),
        (Method::DELETE, format!("/quarantine/{}", fingerprint("other")), 404),
        (Method::POST, format!("/quarantine/{own}"), 405),
    ];
    for (method, path, status) in refused {
        assert_eq!(ask(method, &path).await.0, status, "{path}");
        assert_eq!(standing(&front, POISON), Some(3), "{path}");
    }
    assert_eq!(ask(Method::DELETE, &format!("/quarantine/{own}")).await.0, 200);
    assert_eq!(standing(&front, POISON), None);
    assert!(ask(Method::GET, "/metrics").await.1.contains("quarantined_requests 0"));
}

/// A long stream that many callers ask for is refused, as engines end under it whatever ends them.
#[tokio::test]
async fn verify_a_stream_that_has_lasted_is_beyond_suspicion() {
    let steps = [stream_head(), event(1), Step::Pause(2_100), event(2), event(3), Step::Terminate];
    let engines = [Upstream::always(steps.to_vec()).await];
    let front = front(ONCE, listed(&engines)).await;

    let answer = front.post_with_long_deadline("r1", PROMPT, "long").await;
    tokio::time::sleep(LOOK).await;

    assert!(!answer.is_complete());
    assert_eq!(standing(&front, "long"), None);
}
