//! What a gateway takes on while its instance stops, and how it ends.

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

/// How long callers of the tests wait.
const LIMIT: Millis = Millis(2_000);

/// An end that comes before the callers' limit.
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

/// Has a gateway see outputs that took so long.
fn teach(front: &Front<ManualClock>, output_ms: f64) {
    let service = Arc::from("service");
    (0..20).for_each(|_| front.gateway.speeds().record_output(&service, 8, output_ms));
}

/// Returns a request whose caller waits for as long as the route allows, which is 3 s.
fn patient_request(id: &str) -> String {
    request(id, PROMPT, "").replace("T-Deadline: 2000", "T-Deadline: 60000")
}

/// Returns the stop of an instance that ends in `time`, and of which load balancers know already or
/// not yet.
fn stop_in(clock: &ManualClock, time: Millis, is_noticed: bool) -> Stop {
    let ends_at = clock.now() + time;
    let noticed_at = if is_noticed { clock.now() } else { ends_at };
    Stop { noticed_at, ends_at }
}

/// A stream that an instance took 3.3 s after SIGTERM was cut by its end: what it expected of the
/// output was a third of what it took. So after the stop is noticed an expectation counts for nothing,
/// and before only one that comes from outputs seen. What the caller's own limit bounds is taken. The
/// same holds for streams of services without engines and for plain requests.
#[tokio::test]
async fn verify_only_what_surely_ends_is_taken_on() {
    // Whether the stop is noticed, when the end comes, the outputs seen, and the status.
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
            output_ms.into_iter().for_each(|output_ms| teach(&front, output_ms));
            front.gateway.begin_stop(stop_in(&clock, ends_in, is_noticed));

            let answer = front.post("r1", PROMPT, "").await;

            let case = format!("{repeats:?} {role:?} {is_noticed} {ends_in:?} {output_ms:?}");
            assert_eq!(answer.status, status, "{case}: {answer:?}");
            assert_eq!(upstream.received().len(), usize::from(status == 200), "{case}");
            let comes_back = answer.head.contains("retry-after: 0.000");
            assert_eq!(comes_back, status == 503, "{case}: {answer:?}");
        }
    }
}

/// A prompt was read while the stop was noticed, and its output begun then: the look had come before
/// the reading. It is repeated before the output is begun, and the caller is told that nothing has run.
#[tokio::test]
async fn verify_a_stream_whose_prompt_was_read_past_the_notice_is_refused() {
    for (reading_ms, status) in [(900, 200), (1_100, 503)] {
        let clock = ManualClock::new();
        let passing = clock.clone();
        let reader = Upstream::start(move |_| {
            passing.advance(Millis(reading_ms));
            vec![signed("200 OK", "handle h1")]
        })
        .await;
        let generator = Upstream::always(stream(1, 2)).await;
        let engines =
            vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
        let front = front_of(&clock, STREAM, true, engines).await;
        teach(&front, 100.0);
        let now = clock.now();
        let stop = Stop { noticed_at: now + Millis(1_000), ends_at: now + Millis(2_990) };
        front.gateway.begin_stop(stop);

        let answer = front.raw(&patient_request("r1")).await;

        assert_eq!(answer.status, status, "{reading_ms}: {answer:?}");
        let outputs =
            generator.received().iter().filter(|one| one.line.starts_with("POST")).count();
        assert_eq!(outputs, usize::from(status == 200), "{reading_ms}");
    }
}

/// Starts a gateway that stops: the stop is noticed while the first upstream has the request, and the end
/// comes just before the caller's limit, or with it.
async fn stopping(
    first: Vec<Step>,
    role: Option<Role>,
) -> (Front<ManualClock>, Upstream, Upstream) {
    let clock = ManualClock::new();
    let passing = clock.clone();
    let first = Upstream::start(move |_| {
        passing.advance(Millis(1_100));
        first.clone()
    })
    .await;
    let second = Upstream::always(stream(2, 3)).await;
    let near = Entry { role, ..entry("first", first.address.port()) };
    let far = Entry { role, zone: "zone-b".into(), ..entry("second", second.address.port()) };
    let repeats = Repeats::Stream { resumable: true };
    let front = front_of(&clock, repeats, role.is_some(), vec![near, far]).await;
    teach(&front, 100.0);
    let now = clock.now();
    // Of a service without engines nothing is known: only what its caller bounds is taken on.
    let ends_in = if role.is_some() { Millis(2_990) } else { Millis(3_000) };
    let noticed_at = now + Millis(1_000);
    front.gateway.begin_stop(Stop { noticed_at, ends_at: now + ends_in });
    (front, first, second)
}

/// A stream that broke during a stop was given up, though another engine could have gone on with it in
/// time. Its caller has the beginning, and nothing to lose by the attempt.
#[tokio::test]
async fn verify_a_broken_stream_goes_on_past_the_notice() {
    for role in [Some(Role::Decode), None] {
        let broken = vec![stream_head(), event(1), Step::Close];
        let (front, _first, _second) = stopping(broken, role).await;

        let answer = front.raw(&patient_request("r1")).await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2, 3]), "{role:?}: {answer:?}");
        assert!(answer.is_complete(), "{role:?}: {answer:?}");
    }
}

/// A stream that had begun before the signal broke past the notice, and was given up for the instance's
/// end, though its caller had nothing to lose by another attempt.
#[tokio::test]
async fn verify_a_stream_from_before_the_signal_goes_on_past_the_notice() {
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

        let answer = front.raw(&patient_request("r1")).await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2, 3]), "{role:?}: {answer:?}");
        assert!(answer.is_complete(), "{role:?}: {answer:?}");
    }
}

/// A request that an engine had taken and not answered would have been refused as not run, when the stop
/// was noticed before it could be sent again.
#[tokio::test]
async fn verify_a_request_that_may_have_run_is_not_called_refused() {
    let (front, _first, second) = stopping(vec![Step::Close], Some(Role::Decode)).await;

    let answer = front.raw(&patient_request("r1")).await;

    let runs = second.received().iter().filter(|one| one.line.starts_with("POST")).count();
    assert_eq!((answer.status, runs), (502, 0), "{answer:?}");
}

/// Sends bytes and reads to the end of the answer's head, after which the connection may stay open.
async fn head_of(front: &Front<ManualClock>, bytes: &str) -> String {
    let mut caller = TcpStream::connect(front.address).await.expect("it listens");
    caller.write_all(bytes.as_bytes()).await.expect("it reads");
    let mut buf = Vec::new();
    while !buf.windows(4).any(|window| window == b"\r\n\r\n") {
        assert_ne!(caller.read_buf(&mut buf).await.expect("it answers"), 0, "a head comes");
    }
    String::from_utf8_lossy(&buf).into_owned()
}

/// A caller went on using a connection to an instance that was about to end.
#[tokio::test]
async fn verify_answers_of_a_stopping_instance_close_their_connections() {
    for (ends_in, status) in [(LIMIT, 200), (TOO_SOON, 503)] {
        let clock = ManualClock::new();
        let upstream = Upstream::always(vec![signed("200 OK", "ok")]).await;
        let entries = vec![entry("u", upstream.address.port())];
        let front = front_of(&clock, Repeats::AtMostOnce, false, entries).await;
        front.gateway.begin_stop(stop_in(&clock, ends_in, true));
        let keeps = request("r1", "", "").replace("Connection: close\r\n", "");

        let head = head_of(&front, &keeps).await;

        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        assert!(head.to_lowercase().contains("connection: close"), "{head}");
    }
}

/// Requests to an upstream that had frozen got no answer at all when their instance ended: the
/// connection was closed, which tells a caller nothing. Now each is told whether it may have run.
#[tokio::test]
async fn verify_whoever_waits_at_the_end_is_told_what_became_of_the_request() {
    let hanging = || vec![Step::Hang];
    let cases = [
        (Repeats::AtMostOnce, None, 502, "plain"),
        (Repeats::Idempotent, None, 502, "plain, may run again"),
        (STREAM, Some(Role::Decode), 502, "output that has not begun"),
        (STREAM, Some(Role::Prefill), 503, "prompt that is being read"),
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

        let req = patient_request("r1");
        let (answer, ()) = tokio::join!(front.raw(&req), ending);

        assert_eq!(answer.status, status, "{name}: {answer:?}");
        assert!(answer.is_complete() && answer.body == "stopping", "{name}: {answer:?}");
        assert!(answer.head.contains("connection: close"), "{name}: {answer:?}");
        assert_eq!(front.gateway.in_flight(), 0, "{name}");
    }
}

/// A caller that was still sending its request when the instance ended got no answer. Nothing has run,
/// and it is told so.
#[tokio::test]
async fn verify_a_request_that_is_still_coming_at_the_end_is_refused() {
    let clock = ManualClock::new();
    let upstream = Upstream::always(vec![signed("200 OK", "ok")]).await;
    let entries = vec![entry("u", upstream.address.port())];
    let front = front_of(&clock, Repeats::AtMostOnce, false, entries).await;
    let half = request("r1", "", "whole").replace("whole", "ha");
    let mut caller = TcpStream::connect(front.address).await.expect("it listens");
    caller.write_all(half.as_bytes()).await.expect("it reads");
    while front.gateway.in_flight() == 0 {
        tokio::task::yield_now().await;
    }

    front.gateway.begin_stop(stop_in(&clock, LIMIT, true));
    front.gateway.end();

    let mut text = String::new();
    caller.read_to_string(&mut text).await.expect("it answers and closes");
    assert!(text.contains(" 503 ") && text.to_lowercase().contains("retry-after"), "{text}");
    assert!(upstream.received().is_empty());
}

/// A request that was read after the end of its instance was looked into as any other, or refused as
/// stopping, as chance would have it. Here no route would be found for it.
#[tokio::test]
async fn verify_nothing_is_looked_into_after_the_end() {
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

/// A stop that was begun twice would have put the end off, and the process been killed before it.
#[tokio::test]
async fn verify_a_stop_that_is_begun_again_does_not_put_the_end_off() {
    let clock = ManualClock::new();
    let upstream = Upstream::always(vec![signed("200 OK", "ok")]).await;
    let entries = vec![entry("u", upstream.address.port())];
    let front = front_of(&clock, Repeats::AtMostOnce, false, entries).await;

    front.gateway.begin_stop(stop_in(&clock, TOO_SOON, true));
    front.gateway.begin_stop(stop_in(&clock, Millis(60_000), true));

    assert_eq!(front.post("r1", "", "").await.status, 503);
}

/// Returns a request as the gateway is given it by its server.
fn received(id: &str, body: Body) -> Request {
    let req = http::Request::post("/a/b").header("Host", "host.example");
    req.header("T-Id", id).header("T-Deadline", "2000").body(body).expect("a request")
}

/// A caller read a large answer slowly while its instance stopped, and got all but its end: of 9,250,000
/// bytes 9,103,747. The request counted as over with the last piece that was handed to its connection, of
/// which up to 400 kB lay in the process still; nothing seemed to be in flight, and the process ended.
/// Here the test has the pieces for as long as a connection would.
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
            written.push(frame.expect("it is whole").into_data());
        }

        drop(body);
        let before = front.gateway.in_flight();
        drop(written);

        assert_eq!((before, front.gateway.in_flight()), (1, 0), "{name}");
    }
}

/// Returns a stream of events with so many bytes of text, which all come at once.
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

/// A stream was taken on because its caller's limit would end it before the instance. Its engine wrote
/// faster than the caller read, so that the next event was always there, and the limit ended nothing: 199
/// of 200 events were passed on after it. What goes on so is cut by the end of the instance. A short stream
/// that is there whole as the limit passes is not cut: its caller would get no answer at all.
#[tokio::test]
async fn verify_a_stream_ends_at_its_callers_limit_though_events_are_there() {
    const MOST: usize = 64 << 10;
    // The events, the bytes of each, and whether the stream is cut.
    for (events, bytes, cut) in [(200, 10_000, true), (3, 10, false)] {
        let clock = ManualClock::new();
        let upstream = Upstream::always(stream_at_once(events, bytes)).await;
        let entries = vec![entry("u", upstream.address.port())];
        let front = front_of(&clock, Repeats::Stream { resumable: true }, false, entries).await;
        front.gateway.begin_stop(stop_in(&clock, LIMIT, true));
        let mut body = front.gateway.handle(received("r1", Body::empty())).await.into_body();
        let first = body.frame().await.expect("it begins").expect("an event");

        clock.advance(LIMIT);
        let mut passed_on = 0;
        let is_cut = loop {
            match body.frame().await {
                Some(Ok(frame)) => passed_on += frame.into_data().expect("data").len(),
                end => break end.is_some(),
            }
        };

        assert!(first.is_data());
        assert!(is_cut == cut && passed_on <= MOST, "{events} events: {passed_on} bytes, {is_cut}");
    }
}

/// A stream was taken on because its caller's limit would end it in time. Its engine froze, and was asked
/// shortly before the limit whether it still works on the stream. The question had a time of its own, and
/// the stream ended half a second after its limit.
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
    let first = body.frame().await.expect("it begins").expect("an event");
    let ends_at = clock.now() + LIMIT;
    tokio::time::pause();

    let next = body.frame().await;

    let late = clock.now() - ends_at;
    assert!(first.is_data() && next.is_some_and(|next| next.is_err()));
    assert!(late <= Millis(100), "{late:?} after the limit");
}

/// A stream broke after its instance had ended, and was sent to another engine, which ran it for nobody.
#[tokio::test]
async fn verify_a_stream_that_breaks_after_the_end_is_not_sent_again() {
    let clock = ManualClock::new();
    let first = Upstream::always(vec![stream_head(), event(1), Step::Close]).await;
    let second = Upstream::always(stream(2, 3)).await;
    let far = Entry { zone: "zone-b".into(), ..entry("second", second.address.port()) };
    let entries = vec![entry("first", first.address.port()), far];
    let front = front_of(&clock, Repeats::Stream { resumable: true }, false, entries).await;
    let mut body = front.gateway.handle(received("r1", Body::empty())).await.into_body();
    let begun = body.frame().await.expect("it begins").expect("an event");

    front.gateway.begin_stop(stop_in(&clock, LIMIT, true));
    front.gateway.end();
    let next = body.frame().await;

    assert!(begun.is_data() && next.is_some_and(|next| next.is_err()));
    assert!(second.received().is_empty());
}

/// A request had come whole in the very moment in which its instance ended, and by chance was sent to an
/// upstream in that moment. Its caller was told that it may have run; it has not, and is refused.
#[tokio::test]
async fn verify_nothing_is_begun_in_the_moment_of_the_end() {
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
