//! Upstreams whose answers break after their heads, at once or without end.

mod support;

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use anvilhook_core::body_memory::BodyMemoryBounds;
use anvilhook_core::orders::Role;
use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use support::fronts::{Front, ample_budget, config, start, start_with_clock, with_long_timeouts};
use support::upstreams::{Step, Upstream, chunk, engine, signed, stream, stream_end, stream_head};
use support::wires::entry;

/// The number of failures after which an upstream is not used for a while.
const FAILURES: usize = 3;

fn write(text: &str) -> Step {
    Step::Write(text.to_owned())
}

/// Starts a gateway with two upstreams, of which the first one is nearer.
async fn front_of(
    repeats: Repeats,
    role: Option<Role>,
    upstreams: [&Upstream; 2],
    clock: &ManualClock,
) -> Front<ManualClock> {
    let [near, far] = upstreams;
    let near = Entry { role, ..entry("near", near.address.port()) };
    let far = Entry { role, zone: "zone-b".into(), ..entry("far", far.address.port()) };
    let config = with_long_timeouts(&config(repeats, 2, role.is_some()));
    start_with_clock(clock.clone(), Some(config), vec![near, far], ample_budget()).await
}

/// Returns how many requests of callers an upstream has received.
fn runs(upstream: &Upstream) -> usize {
    upstream.received().iter().filter(|one| one.line.starts_with("POST")).count()
}

/// Guards against an upstream that draws nearly all requests because its answers break at once, so that it always seems
/// idle. Each head counted as a success, and the broken rest as one failure after it.
#[tokio::test]
async fn verify_an_upstream_whose_answers_break_is_not_used_for_a_while() {
    const REQUESTS: usize = 12;
    let stream = Repeats::Stream { resumable: true };
    let cut = "HTTP/1.1 200 OK\r\nT-Signature: s\r\nContent-Length: 9\r\n\r\ncut";
    let unsigned = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let bad_chunk = "HTTP/1.1 200 OK\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    let cases = [
        (Repeats::Idempotent, vec![write(cut), Step::Close]),
        (Repeats::Idempotent, vec![write(unsigned)]),
        (Repeats::Idempotent, vec![write(bad_chunk)]),
        (stream, vec![write(cut), Step::Close]),
        (stream, vec![write(unsigned)]),
        (stream, vec![stream_head(), Step::Close]),
        (stream, vec![stream_head(), chunk("id: 1\ndata: "), Step::Close]),
        (stream, vec![stream_head(), stream_end()]),
    ];
    for (repeats, steps) in cases {
        let is_sound = Arc::new(AtomicBool::new(false));
        let (is_mended, name) = (Arc::clone(&is_sound), format!("{repeats:?} {steps:?}"));
        let sound = match repeats {
            Repeats::Stream { .. } => self::stream(1, 2),
            _ => vec![signed("200 OK", "well")],
        };
        let other = Upstream::always(sound.clone()).await;
        let breaking = Upstream::start(move |_| match is_mended.load(Ordering::SeqCst) {
            true => sound.clone(),
            false => steps.clone(),
        })
        .await;
        let clock = ManualClock::new();
        let front = front_of(repeats, None, [&breaking, &other], &clock).await;

        for at in 0..REQUESTS {
            let answer = front.post_with_long_deadline(&format!("r{at}"), "", "").await;
            assert_eq!(answer.status, 200, "{name}: {answer:?}");
        }
        let broken = runs(&breaking);
        is_sound.store(true, Ordering::SeqCst);
        clock.advance(Millis::from_secs(3));
        for at in 0..REQUESTS {
            let answer = front.post_with_long_deadline(&format!("s{at}"), "", "").await;
            assert_eq!(answer.status, 200, "{name}: {answer:?}");
        }

        assert_eq!(broken, FAILURES, "{name}");
        assert_eq!(runs(&breaking) - broken, REQUESTS, "{name}: it is sound again");
    }
}

/// `Endless` is an answer that goes on until its reader closes the connection.
struct Endless {
    name: &'static str,
    repeats: Repeats,
    /// What comes first, and what is repeated after it.
    begin: &'static str,
    repeated: &'static str,
    /// The maximum number of bytes that are read of it.
    max_read: usize,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nT-Signature: s\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const STREAM: Repeats = Repeats::Stream { resumable: true };

const fn endless(
    name: &'static str,
    repeats: Repeats,
    begin: &'static str,
    repeated: &'static str,
    max_read: usize,
) -> Endless {
    Endless { name, repeats, begin, repeated, max_read }
}

/// The maximum size of a head, of an answer that is collected, and of an event.
const MAX_HEAD: usize = 1 << 20;
const MAX_ANSWER: usize = 16 << 20;
const MAX_EVENT: usize = 2 << 20;

const ENDLESS: [Endless; 15] = [
    endless("header", Repeats::Idempotent, "HTTP/1.1 200 OK\r\nX-A: ", "x", MAX_HEAD),
    endless("header lines", Repeats::Idempotent, HEAD, "X-A: b\r\n", MAX_HEAD),
    endless("empty lines", Repeats::Idempotent, "", "\r\n", MAX_HEAD),
    endless("interim answers", Repeats::Idempotent, "", "HTTP/1.1 102 Go\r\n\r\n", MAX_HEAD),
    endless("continue", STREAM, "", "HTTP/1.1 100 Continue\r\n\r\n", MAX_HEAD),
    endless(
        "body without a length",
        Repeats::Idempotent,
        "HTTP/1.1 200 OK\r\nT-Signature: s\r\n\r\n",
        "x",
        MAX_ANSWER,
    ),
    endless("zero-filled chunks", Repeats::Idempotent, CHUNKED, "4\r\n\0\0\0\0\r\n", MAX_HEAD),
    endless("chunks of a byte", Repeats::Idempotent, CHUNKED, "1\r\nx\r\n", MAX_HEAD),
    endless(
        "chunk extension",
        Repeats::Idempotent,
        "HTTP/1.1 200 OK\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        "x",
        MAX_HEAD,
    ),
    endless(
        "trailers",
        Repeats::Idempotent,
        "HTTP/1.1 200 OK\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-A: b\r\n",
        MAX_HEAD,
    ),
    endless(
        "after a whole answer",
        Repeats::Idempotent,
        "HTTP/1.1 200 OK\r\nT-Signature: s\r\nContent-Length: 2\r\n\r\nok",
        "x",
        MAX_HEAD,
    ),
    endless(
        "event",
        STREAM,
        "HTTP/1.1 200 OK\r\nT-Signature: s\r\n\r\nid: 1\ndata: ",
        "x",
        MAX_EVENT,
    ),
    endless("event in chunks", STREAM, CHUNKED, "1\r\nx\r\n", MAX_HEAD),
    endless(
        "lines of an event",
        STREAM,
        "HTTP/1.1 200 OK\r\nT-Signature: s\r\n\r\nid: 1\n",
        "data: x\n",
        MAX_EVENT,
    ),
    endless(
        "stream of a failure",
        STREAM,
        "HTTP/1.1 500 No\r\nT-Signature: s\r\n\r\n",
        "x",
        MAX_ANSWER,
    ),
];

/// Returns the largest buffers that the system gives to the two ends of a connection, in bytes: what an upstream may
/// write beyond what is read of it.
fn socket_buffers() -> usize {
    let max_of = |name: &str| {
        let text = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}"));
        let text = text.expect("each Linux machine has the limit");
        text.split_whitespace().last().and_then(|max| max.parse::<usize>().ok()).expect("a number")
    };
    max_of("tcp_rmem") + max_of("tcp_wmem")
}

/// Guards against an answer without end that fills the memory, keeps the instance from its other requests, or keeps its
/// caller from another attempt.
#[tokio::test]
async fn verify_answers_without_end_are_cut_and_tried_elsewhere() {
    let buffers = socket_buffers();
    for case in &ENDLESS {
        let written = Arc::new(AtomicUsize::new(0));
        let steps = vec![write(case.begin), Step::Repeat(case.repeated, Arc::clone(&written))];
        let near = Upstream::always(steps).await;
        let far = match case.repeats {
            Repeats::Stream { .. } => Upstream::always(stream(1, 2)).await,
            _ => Upstream::always(vec![signed("200 OK", "well")]).await,
        };
        let front = front_of(case.repeats, None, [&near, &far], &ManualClock::new()).await;

        let answer = front.post_with_long_deadline("r1", "", "").await;
        near.client_closed().await;

        assert!(answer.status == 200 && answer.is_complete(), "{}: {answer:?}", case.name);
        let read = written.load(Ordering::SeqCst);
        assert!(read <= case.max_read + buffers, "{}: {read} bytes", case.name);
        assert_eq!(front.gateway.collected_bytes(), 0, "{}", case.name);
    }
}

/// Guards against the same faults where an engine that reads a prompt ahead answers so: the other engine reads it itself.
#[tokio::test]
async fn verify_answers_without_end_to_prompts_read_ahead_are_cut() {
    let buffers = socket_buffers();
    for case in ENDLESS.iter().filter(|case| case.repeats == Repeats::Idempotent) {
        let written = Arc::new(AtomicUsize::new(0));
        let steps = vec![write(case.begin), Step::Repeat(case.repeated, Arc::clone(&written))];
        let reader = Upstream::always(steps).await;
        let generator = Upstream::always(stream(1, 2)).await;
        let engines =
            vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
        let config = Some(with_long_timeouts(&config(STREAM, 2, true)));
        let front = start(config, engines, ample_budget()).await;

        let answer = front.post_with_long_deadline("r1", "T-Tokens: 400\r\n", "").await;
        reader.client_closed().await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "{}", case.name);
        assert!(!reader.received().is_empty(), "{}", case.name);
        let read = written.load(Ordering::SeqCst);
        assert!(read <= case.max_read + buffers, "{}: {read} bytes", case.name);
        assert_eq!(front.gateway.collected_bytes(), 0, "{}", case.name);
    }
}

/// Guards against a stream of whole events without end that goes on past its caller's deadline, and against other
/// requests that wait for it.
#[tokio::test]
async fn verify_a_stream_without_end_ends_at_its_deadline_and_holds_up_no_other() {
    for repeated in ["d\r\n: comment\n\n\r\n", "c\r\ndata: xxxxx\n\r\n1\r\n\n\r\n"] {
        let written = Arc::new(AtomicUsize::new(0));
        let steps = vec![write(CHUNKED), Step::Repeat(repeated, Arc::clone(&written))];
        let without_end = Upstream::always(steps).await;
        let other = Upstream::always(stream(1, 2)).await;
        let near = entry("near", without_end.address.port());
        let far = Entry { zone: "zone-b".into(), ..entry("far", other.address.port()) };
        let config = Some(config(STREAM, 1, false));
        let front = start(config, vec![near, far], ample_budget()).await;
        let (gateway, address) = (front.gateway.clone(), front.address);
        let begun =
            tokio::spawn(async move { Front { gateway, address }.post("r1", "", "").await });
        support::until(|| written.load(Ordering::SeqCst) > 1 << 20).await;
        let view = front.gateway.fleet().view();
        view.get("near").expect("it is listed").state.mark_own_away(Millis::from_secs(60));
        for at in 0..20 {
            assert_eq!(front.post(&format!("s{at}"), "", "").await.status, 200, "{at}");
        }

        let answer = begun.await.expect("no panic");
        without_end.client_closed().await;

        assert!(answer.status == 200 && !answer.is_complete(), "{}", answer.head);
    }
}

/// Guards against answers that are each within their bound and together exceed the memory.
#[tokio::test]
async fn verify_answers_without_end_stay_within_the_memory_together() {
    const REQUESTS: usize = 6;
    /// Pieces that arrive between two checks.
    const SLACK: usize = 1 << 20;
    let written = Arc::new(AtomicUsize::new(0));
    let begin = "HTTP/1.1 200 OK\r\nT-Signature: s\r\n\r\n";
    let steps = vec![write(begin), Step::Repeat("x", Arc::clone(&written))];
    let upstream = Upstream::always(steps).await;
    let config = with_long_timeouts(&config(Repeats::AtMostOnce, 1, false));
    let entries = vec![entry("u", upstream.address.port())];
    let front = start_with_clock(ManualClock::new(), Some(config), entries, ample_budget()).await;

    let ids: Vec<_> = (0..REQUESTS).map(|at| format!("r{at}")).collect();
    let asking = ids.iter().map(|id| front.post_with_long_deadline(id, "", ""));
    let mut asking = pin!(futures_util::future::join_all(asking));
    let mut most = 0;
    let answers = loop {
        most = most.max(front.gateway.collected_bytes());
        tokio::select! {
            biased;
            answers = &mut asking => break answers,
            () = tokio::task::yield_now() => {}
        }
    };

    assert!(answers.iter().all(|answer| answer.status == 502), "{answers:?}");
    assert!(most <= BodyMemoryBounds::of(None).answers + SLACK, "{most} bytes");
    assert_eq!(front.gateway.collected_bytes(), 0);
}
