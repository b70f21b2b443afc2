//! Tests of what a gateway accepts while its instance stops, and of the end of the stop.

mod support;

use std::sync::{Arc, OnceLock};
use std::task::Poll;

use anvilhook_core::orders::Role;
use anvilhook_core::stops::Stop;
use anvilhook_core::units::{Clock, ManualClock, Millis};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use bytes::Bytes;
use http::header::HeaderValue;
use http_body::Frame;
use http_body_util::BodyExt;
use support::clocks::TimerClock;
use support::fronts::{Front, ample_budget, config, gateway, request, start_with_clock};
use support::upstreams::{
    Step, Upstream, chunk, engine, event, signed, stream, stream_end, stream_head,
};
use support::wires::entry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use volo_http::body::Body;
use volo_http::request::Request;

const STREAM: Repeats = Repeats::Stream { resumable: false };
const PROMPT: &str = "T-Tokens: 400\r\n";

/// How long the callers of the tests wait.
const LIMIT: Millis = Millis(2_000);

/// The time to an end that comes before the callers' limit.
const TOO_SOON: Millis = Millis(1_990);

async fn front_of(
    clock: &ManualClock,
    repeats: Repeats,
    has_engine: bool,
    entries: Vec<Entry>,
) -> Front<ManualClock> {
    start_with_clock(clock.clone(), Some(config(repeats, 2, has_engine)), entries, ample_budget())
        .await
}

/// Records outputs of this duration in the gateway's speed estimate.
fn record_outputs(front: &Front<ManualClock>, output_ms: f64) {
    let service = Arc::from("service");
    (0..20).for_each(|_| front.gateway.speeds().record_output(&service, 8, output_ms));
}

/// Returns a request whose caller waits for as long as the route allows, which is 3 s.
fn long_request(id: &str) -> String {
    request(id, PROMPT, "").replace("T-Deadline: 2000", "T-Deadline: 60000")
}

/// Returns the stop of an instance that ends in `time`. `is_noticed` says whether load balancers
/// already know of it.
fn stop_in(clock: &ManualClock, time: Millis, is_noticed: bool) -> Stop {
    let ends_at = clock.now() + time;
    let noticed_at = if is_noticed { clock.now() } else { ends_at };
    Stop { noticed_at, ends_at }
}

/// Guards against accepting requests that the end of the instance truncates. A stream accepted 3.3
/// s after SIGTERM was truncated because its output took three times as long as expected. So once
/// the stop is noticed, an expectation does not count, and before that only one based on recorded
/// outputs does. A request that the caller's own limit bounds is accepted. The same holds for
/// streams of services without engines and for plain requests.
#[tokio::test]
async fn verify_only_requests_sure_to_complete_are_accepted() {
    // Whether the stop is noticed, the time to the end, the duration of recorded outputs, and the
    // status.
    let of_engines = [
        (false, TOO_SOON, None, 503),
        (false, TOO_SOON, Some(100.0), 200),
        (false, TOO_SOON, Some(9_000.0), 503),
        (true, TOO_SOON, Some(100.0), 503),
        (true, LIMIT, None, 200),
    ];
    let of_others =
        [(false, TOO_SOON, None, 503), (true, TOO_SOON, None, 503), (true, LIMIT, None, 200)];
    let kinds = [
        (STREAM, Some(Role::Decode), &of_engines[..]),
        (STREAM, None, &of_others[..]),
        (Repeats::Idempotent, None, &of_others[..]),
        (Repeats::AtMostOnce, None, &of_others[..]),
    ];
    for (repeats, role, cases) in kinds {
        for &(is_noticed, ends_in, output_ms, status) in cases {
            let clock = ManualClock::new();
            let whole = if repeats == STREAM { stream(1, 2) } else { vec![signed("200 OK", "ok")] };
            let upstream = Upstream::always(whole).await;
            let entries = vec![Entry { role, ..entry("u", upstream.address.port()) }];
            let front = front_of(&clock, repeats, role.is_some(), entries).await;
            output_ms.into_iter().for_each(|output_ms| record_outputs(&front, output_ms));
            front.gateway.begin_stop(stop_in(&clock, ends_in, is_noticed));

            let answer = front.post("r1", PROMPT, "").await;

            let case = format!("{repeats:?} {role:?} {is_noticed} {ends_in:?} {output_ms:?}");
            assert_eq!(answer.status, status, "{case}: {answer:?}");
            assert_eq!(upstream.received().len(), usize::from(status == 200), "{case}");
            let is_retryable = answer.head.contains("retry-after: 0.000");
            assert_eq!(is_retryable, status == 503, "{case}: {answer:?}");
        }
    }
}

/// Guards against starting output after the stop is noticed, when the check came before the
/// prefill. The check is repeated before the output starts, and the caller is told that nothing has
/// run.
#[tokio::test]
async fn verify_a_stream_whose_prefill_outlasts_the_notice_is_refused() {
    for (reading_ms, status) in [(900, 200), (1_100, 503)] {
        let clock = ManualClock::new();
        let advancing = clock.clone();
        let reader = Upstream::start(move |_| {
            advancing.advance(Millis(reading_ms));
            vec![signed("200 OK", "handle h1")]
        })
        .await;
        let generator = Upstream::always(stream(1, 2)).await;
        let engines =
            vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
        let front = front_of(&clock, STREAM, true, engines).await;
        record_outputs(&front, 100.0);
        let now = clock.now();
        let stop = Stop { noticed_at: now + Millis(1_000), ends_at: now + Millis(2_990) };
        front.gateway.begin_stop(stop);

        let answer = front.raw(&long_request("r1")).await;

        assert_eq!(answer.status, status, "{reading_ms}: {answer:?}");
        let outputs =
            generator.received().iter().filter(|one| one.line.starts_with("POST")).count();
        assert_eq!(outputs, usize::from(status == 200), "{reading_ms}");
    }
}

/// Starts a gateway that is stopping: the stop is noticed while the first upstream runs the
/// request, and the end comes just before the caller's limit, or at it.
async fn stopping(
    first: Vec<Step>,
    role: Option<Role>,
) -> (Front<ManualClock>, Upstream, Upstream) {
    let clock = ManualClock::new();
    let advancing = clock.clone();
    let first = Upstream::start(move |_| {
        advancing.advance(Millis(1_100));
        first.clone()
    })
    .await;
    let second = Upstream::always(stream(2, 3)).await;
    let near = Entry { role, ..entry("first", first.address.port()) };
    let far = Entry { role, zone: "zone-b".into(), ..entry("second", second.address.port()) };
    let repeats = Repeats::Stream { resumable: true };
    let front = front_of(&clock, repeats, role.is_some(), vec![near, far]).await;
    record_outputs(&front, 100.0);
    let now = clock.now();
    // Nothing is known of the outputs of a service without engines, so only a request that its
    // caller's limit bounds is accepted.
    let ends_in = if role.is_some() { Millis(2_990) } else { Millis(3_000) };
    let noticed_at = now + Millis(1_000);
    front.gateway.begin_stop(Stop { noticed_at, ends_at: now + ends_in });
    (front, first, second)
}

/// Guards against abandoning a stream that breaks during a stop although another engine could
/// complete it in time. Its caller has the beginning, so another attempt costs it nothing.
#[tokio::test]
async fn verify_a_broken_stream_is_resumed_after_the_notice() {
    for role in [Some(Role::Decode), None] {
        let broken = vec![stream_head(), event(1), Step::Close];
        let (front, _first, _second) = stopping(broken, role).await;

        let answer = front.raw(&long_request("r1")).await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2, 3]), "{role:?}: {answer:?}");
        assert!(answer.is_complete(), "{role:?}: {answer:?}");
    }
}

/// Guards against abandoning a stream that began before the signal and breaks after the notice. It
/// used to be abandoned because the instance was ending, although another attempt would have cost
/// its caller nothing.
#[tokio::test]
async fn verify_a_stream_begun_before_the_signal_is_resumed_after_the_notice() {
    for role in [Some(Role::Decode), None] {
        let clock = ManualClock::new();
        let stop = stop_in(&clock, TOO_SOON, true);
        let started: Arc<OnceLock<Front<ManualClock>>> = Arc::default();
        let stopping = Arc::clone(&started);
        let first = Upstream::start(move |_| {
            stopping.get().expect("it was started").gateway.begin_stop(stop);
            vec![stream_head(), event(1), Step::Close]
        })
        .await;
        let second = Upstream::always(stream(2, 3)).await;
        let near = Entry { role, ..entry("first", first.address.port()) };
        let far = Entry { role, zone: "zone-b".into(), ..entry("second", second.address.port()) };
        let repeats = Repeats::Stream { resumable: true };
        let front = front_of(&clock, repeats, role.is_some(), vec![near, far]).await;
        let front = started.get_or_init(|| front);

        let answer = front.raw(&long_request("r1")).await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2, 3]), "{role:?}: {answer:?}");
        assert!(answer.is_complete(), "{role:?}: {answer:?}");
    }
}

/// Guards against reporting a request as not run that an engine had accepted but not answered. This
/// happened when the stop was noticed before the request could be retried.
#[tokio::test]
async fn verify_a_request_that_may_have_run_is_not_reported_as_refused() {
    let (front, _first, second) = stopping(vec![Step::Close], Some(Role::Decode)).await;

    let answer = front.raw(&long_request("r1")).await;

    let runs = second.received().iter().filter(|one| one.line.starts_with("POST")).count();
    assert_eq!((answer.status, runs), (502, 0), "{answer:?}");
}

/// Sends bytes and reads to the end of the answer's head. The connection may stay open afterwards.
async fn head_of(front: &Front<ManualClock>, bytes: &str) -> String {
    let mut caller = TcpStream::connect(front.address).await.expect("the front listens");
    caller.write_all(bytes.as_bytes()).await.expect("the front reads");
    let mut buf = Vec::new();
    while !buf.windows(4).any(|window| window == b"\r\n\r\n") {
        assert_ne!(
            caller.read_buf(&mut buf).await.expect("the front answers"),
            0,
            "the connection closed before the end of the head"
        );
    }
    String::from_utf8_lossy(&buf).into_owned()
}

/// Guards against a caller that keeps using its connection to an instance that is about to end.
#[tokio::test]
async fn verify_answers_of_a_stopping_instance_close_their_connections() {
    for (ends_in, status) in [(LIMIT, 200), (TOO_SOON, 503)] {
        let clock = ManualClock::new();
        let upstream = Upstream::always(vec![signed("200 OK", "ok")]).await;
        let entries = vec![entry("u", upstream.address.port())];
        let front = front_of(&clock, Repeats::AtMostOnce, false, entries).await;
        front.gateway.begin_stop(stop_in(&clock, ends_in, true));
        let keep_alive = request("r1", "", "").replace("Connection: close\r\n", "");

        let head = head_of(&front, &keep_alive).await;

        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        assert!(head.to_lowercase().contains("connection: close"), "{head}");
    }
}

/// Guards against closing a connection without an answer. Requests to a frozen upstream got no
/// answer when their instance ended; each must be answered with whether it may have run.
#[tokio::test]
async fn verify_waiting_callers_get_a_verdict_at_the_end() {
    let hanging = || vec![Step::Hang];
    let cases = [
        (Repeats::AtMostOnce, None, 502, "plain"),
        (Repeats::Idempotent, None, 502, "plain, idempotent"),
        (STREAM, Some(Role::Decode), 502, "output not started"),
        (STREAM, Some(Role::Prefill), 503, "prefill in progress"),
    ];
    for (repeats, role, status, name) in cases {
        let clock = ManualClock::new();
        let upstream = Upstream::always(hanging()).await;
        let other = Upstream::always(stream(1, 2)).await;
        let mut entries = vec![Entry { role, ..entry("u", upstream.address.port()) }];
        if role == Some(Role::Prefill) {
            entries.push(engine("g", &other, Role::Decode));
        }
        let front = front_of(&clock, repeats, role.is_some(), entries).await;
        let ending = async {
            while upstream.received().is_empty() {
                tokio::task::yield_now().await;
            }
            front.gateway.begin_stop(stop_in(&clock, LIMIT, true));
            front.gateway.end();
        };

        let req = long_request("r1");
        let (answer, ()) = tokio::join!(front.raw(&req), ending);

        assert_eq!(answer.status, status, "{name}: {answer:?}");
        assert!(answer.is_complete() && answer.body == "stopping", "{name}: {answer:?}");
        assert!(answer.head.contains("connection: close"), "{name}: {answer:?}");
        assert_eq!(front.gateway.in_flight(), 0, "{name}");
    }
}

/// Guards against leaving a caller without an answer that is still sending its request when the
/// instance ends. Nothing has run, and the answer reports that.
#[tokio::test]
async fn verify_a_request_still_being_received_at_the_end_is_refused() {
    let clock = ManualClock::new();
    let upstream = Upstream::always(vec![signed("200 OK", "ok")]).await;
    let entries = vec![entry("u", upstream.address.port())];
    let front = front_of(&clock, Repeats::AtMostOnce, false, entries).await;
    let half = request("r1", "", "whole").replace("whole", "ha");
    let mut caller = TcpStream::connect(front.address).await.expect("the front listens");
    caller.write_all(half.as_bytes()).await.expect("the front reads");
    while front.gateway.in_flight() == 0 {
        tokio::task::yield_now().await;
    }

    front.gateway.begin_stop(stop_in(&clock, LIMIT, true));
    front.gateway.end();

    let mut text = String::new();
    caller.read_to_string(&mut text).await.expect("the front answers and closes");
    assert!(text.contains(" 503 ") && text.to_lowercase().contains("retry-after"), "{text}");
    assert!(upstream.received().is_empty());
}

/// Guards against processing a request that was read after the end of its instance. By chance it
/// was either handled as usual or refused as stopping. In this test no route matches it.
#[tokio::test]
async fn verify_no_request_is_processed_after_the_end() {
    const REQUESTS: usize = 64;
    let clock = ManualClock::new();
    let front = front_of(&clock, Repeats::AtMostOnce, false, Vec::new()).await;
    front.gateway.begin_stop(stop_in(&clock, LIMIT, true));
    front.gateway.end();

    for _ in 0..REQUESTS {
        let mut req = received("r1", Body::empty());
        *req.uri_mut() = "/none/b".parse().expect("a path");
        let answer = front.gateway.handle(req).await;

        assert_eq!(answer.status(), 503);
    }
}

/// Guards against a second stop that postpones the end, so that the process is killed before it.
#[tokio::test]
async fn verify_a_second_stop_does_not_postpone_the_end() {
    let clock = ManualClock::new();
    let upstream = Upstream::always(vec![signed("200 OK", "ok")]).await;
    let entries = vec![entry("u", upstream.address.port())];
    let front = front_of(&clock, Repeats::AtMostOnce, false, entries).await;

    front.gateway.begin_stop(stop_in(&clock, TOO_SOON, true));
    front.gateway.begin_stop(stop_in(&clock, Millis(60_000), true));

    assert_eq!(front.post("r1", "", "").await.status, 503);
}

/// Returns a request as the server passes it to the gateway.
fn received(id: &str, body: Body) -> Request {
    let req = http::Request::post("/a/b").header("Host", "host.example");
    req.header("T-Id", id).header("T-Deadline", "2000").body(body).expect("a request")
}

/// Guards against ending the process while it still holds a part of an answer. A caller that read a
/// large answer slowly during a stop got 9,103,747 of 9,250,000 bytes. The request counted as
/// completed once its last piece was handed to the connection, while up to 400 kB were still in the
/// process. In this test the test itself holds the pieces for as long as a connection would.
#[tokio::test]
async fn verify_a_request_is_in_flight_until_its_answer_has_left_the_process() {
    const LARGE: usize = 200_000;
    let cases = [
        ("small", Repeats::AtMostOnce, vec![signed("200 OK", "ok")]),
        ("large", Repeats::AtMostOnce, vec![signed("200 OK", &"x".repeat(LARGE))]),
        ("stream", STREAM, stream(1, 3)),
    ];
    for (name, repeats, steps) in cases {
        let upstream = Upstream::always(steps).await;
        let entries = vec![entry("u", upstream.address.port())];
        let front = front_of(&ManualClock::new(), repeats, false, entries).await;
        let mut body = front.gateway.handle(received("r1", Body::empty())).await.into_body();
        let mut written = Vec::new();
        while let Some(frame) = body.frame().await {
            written.push(frame.expect("the body is complete").into_data());
        }

        drop(body);
        let before = front.gateway.in_flight();
        drop(written);

        assert_eq!((before, front.gateway.in_flight()), (1, 0), "{name}");
    }
}

/// Returns a stream of events with `bytes` bytes of text each, written all at once.
fn stream_at_once(events: usize, bytes: usize) -> Vec<Step> {
    let text = "x".repeat(bytes);
    let events = (1..=events).map(|id| chunk(&format!("id: {id}\ndata: {text}\n\n")));
    let steps = [stream_head()].into_iter().chain(events).chain([stream_end()]);
    let texts = steps.map(|step| match step {
        Step::Write(text) => text,
        other => panic!("{other:?} writes nothing"),
    });
    vec![Step::Write(texts.collect())]
}

/// Guards against a stream that continues past its caller's limit, on which its acceptance during
/// the stop relied, and is then truncated by the end of the instance. The engine wrote faster than
/// the caller read, so the next event was always ready and the limit never applied: 199 of 200
/// events were forwarded after it. A short stream that is completely available when the limit
/// passes is not truncated; otherwise its caller would get no answer at all.
#[tokio::test]
async fn verify_a_stream_ends_at_its_callers_limit_although_events_are_ready() {
    const MAX_BYTES: usize = 64 << 10;
    // The number of events, the bytes of each, and whether the stream is truncated.
    for (events, bytes, expected) in [(200, 10_000, true), (3, 10, false)] {
        let clock = ManualClock::new();
        let upstream = Upstream::always(stream_at_once(events, bytes)).await;
        let entries = vec![entry("u", upstream.address.port())];
        let front = front_of(&clock, Repeats::Stream { resumable: true }, false, entries).await;
        front.gateway.begin_stop(stop_in(&clock, LIMIT, true));
        let mut body = front.gateway.handle(received("r1", Body::empty())).await.into_body();
        let first = body.frame().await.expect("the stream begins").expect("an event");

        clock.advance(LIMIT);
        let mut forwarded = 0;
        let is_truncated = loop {
            match body.frame().await {
                Some(Ok(frame)) => forwarded += frame.into_data().expect("data").len(),
                end => break end.is_some(),
            }
        };

        assert!(first.is_data());
        assert!(
            is_truncated == expected && forwarded <= MAX_BYTES,
            "{events} events: {forwarded} bytes, {is_truncated}"
        );
    }
}

/// Guards against a stream that outlasts its caller's limit, on which its acceptance relied. Its
/// engine froze, and shortly before the limit the gateway polled it for whether it still worked on
/// the stream. That call had a timeout of its own, and the stream ended half a second after its
/// limit.
#[tokio::test]
async fn verify_a_stream_whose_engine_freezes_ends_at_its_callers_limit() {
    let clock = TimerClock::new();
    let frozen = Upstream::start(|received| match received.line.starts_with("POST") {
        true => vec![stream_head(), event(1), Step::Hang],
        false => vec![Step::Hang],
    })
    .await;
    let config = Some(config(Repeats::Stream { resumable: true }, 2, true));
    let entries = vec![engine("u", &frozen, Role::Decode)];
    let gateway = gateway(clock, config, entries, ample_budget());
    let req = received("r1", Body::empty());
    let (mut head, body) = req.into_parts();
    head.headers.insert("t-tokens", HeaderValue::from_static("400"));
    let mut body = gateway.handle(Request::from_parts(head, body)).await.into_body();
    let first = body.frame().await.expect("the stream begins").expect("an event");
    let ends_at = clock.now() + LIMIT;
    tokio::time::pause();

    let next = body.frame().await;

    let late = clock.now() - ends_at;
    assert!(first.is_data() && next.is_some_and(|next| next.is_err()));
    assert!(late <= Millis(100), "{late:?} after the limit");
}

/// Guards against resending a stream that breaks after the end of its instance. Another engine ran
/// it although no caller was left.
#[tokio::test]
async fn verify_a_stream_that_breaks_after_the_end_is_not_sent_again() {
    let clock = ManualClock::new();
    let first = Upstream::always(vec![stream_head(), event(1), Step::Close]).await;
    let second = Upstream::always(stream(2, 3)).await;
    let far = Entry { zone: "zone-b".into(), ..entry("second", second.address.port()) };
    let entries = vec![entry("first", first.address.port()), far];
    let front = front_of(&clock, Repeats::Stream { resumable: true }, false, entries).await;
    let mut body = front.gateway.handle(received("r1", Body::empty())).await.into_body();
    let begun = body.frame().await.expect("the stream begins").expect("an event");

    front.gateway.begin_stop(stop_in(&clock, LIMIT, true));
    front.gateway.end();
    let next = body.frame().await;

    assert!(begun.is_data() && next.is_some_and(|next| next.is_err()));
    assert!(second.received().is_empty());
}

/// Guards against starting a request that is completely received at the moment its instance ends.
/// By chance it was sent to an upstream at that moment, and its caller was told that it may have
/// run. It has not run and must be refused.
#[tokio::test]
async fn verify_no_request_is_started_at_the_moment_of_the_end() {
    const ROUNDS: usize = 32;
    for round in 0..ROUNDS {
        let clock = ManualClock::new();
        let upstream = Upstream::always(vec![signed("200 OK", "ok")]).await;
        let entries = vec![entry("u", upstream.address.port())];
        let front = front_of(&clock, Repeats::AtMostOnce, false, entries).await;
        let ending = front.gateway.clone();
        let last = futures_util::stream::poll_fn(move |_| {
            ending.end();
            Poll::Ready(None::<Result<Frame<Bytes>, _>>)
        });

        let answer = front.gateway.handle(received("r1", Body::from_stream(last))).await;

        assert_eq!((answer.status().as_u16(), upstream.received().len()), (503, 0), "{round}");
    }
}
