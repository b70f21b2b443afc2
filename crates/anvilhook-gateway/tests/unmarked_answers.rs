//! Tests of upstreams' answers that have neither a length nor chunks, and end with their connection.

mod support;

use anvilhook_core::orders::Role;
use anvilhook_gateway::configs::{Config, Repeats};
use anvilhook_gateway::fleets::Entry;
use support::fronts::{Answer, Front, ample_budget, config, request, start, with_long_timeouts};
use support::instances::{connect, instance};
use support::upstreams::{
    Received, Step, Upstream, engine, event, raw_event, signed, stream, stream_end, stream_head,
    unmarked_stream_head,
};
use support::wires::entry;

const RESUMABLE: Repeats = Repeats::Stream { resumable: true };
const ONCE: Repeats = Repeats::Stream { resumable: false };
const PROMPT: &str = "T-Tokens: 100\r\n";

/// The first part of an event.
fn event_start() -> Step {
    Step::Write("id: 3\ndata: tok".to_owned())
}

/// Returns an unmarked stream with two events, and what comes after them.
fn unmarked(end: &[Step]) -> Vec<Step> {
    let mut steps = vec![unmarked_stream_head(), raw_event(1), raw_event(2)];
    steps.extend_from_slice(end);
    steps
}

/// Returns the head of a signed plain answer, and the first part of its body.
fn unmarked_plain() -> Step {
    let head = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nConnection: close\r\n\r\n";
    Step::Write(format!("{head}the whole "))
}

async fn front(config: Config, entries: Vec<Entry>) -> Front {
    start(Some(with_long_timeouts(&config)), entries, ample_budget()).await
}

async fn stream_from(repeats: Repeats, steps: Vec<Step>) -> (Answer, Upstream) {
    let upstream = Upstream::always(steps).await;
    let front = front(config(repeats, 2, true), vec![engine("e", &upstream, Role::Decode)]).await;
    (front.post("r1", PROMPT, "body").await, upstream)
}

/// Guards against passing on a stream that was broken off as if it were complete, and against taking a complete one for
/// broken.
#[tokio::test]
async fn verify_an_unmarked_stream_is_complete_only_if_it_ends_between_events() {
    let cases = [
        ("whole", unmarked(&[Step::Close]), true),
        ("cut inside an event", unmarked(&[event_start(), Step::Close]), false),
        ("reset inside an event", unmarked(&[event_start(), Step::Reset]), false),
        ("reset between events", unmarked(&[Step::Pause(50), Step::Reset]), false),
    ];
    for (name, steps, is_complete) in cases {
        let (answer, _upstream) = stream_from(ONCE, steps).await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "{name}");
        assert_eq!(answer.is_complete(), is_complete, "{name}: {answer:?}");
    }
}

/// Guards against a stream that ends where it broke although it can be resumed, and against an event that arrives twice.
#[tokio::test]
async fn verify_an_unmarked_stream_that_breaks_is_resumed() {
    for broken in [[event_start(), Step::Close], [Step::Pause(50), Step::Reset]] {
        let script = move |received: &Received| match received.header("last-event-id") {
            Some("2") => vec![unmarked_stream_head(), raw_event(3), Step::Close],
            Some(_) => vec![signed("400 Bad Request", "unexpected")],
            None => unmarked(&broken),
        };
        let engines = [Upstream::start(script.clone()).await, Upstream::start(script).await];
        let entries = ["e0", "e1"].iter().zip(&engines);
        let entries = entries.map(|(id, one)| engine(id, one, Role::Decode)).collect();
        let front = front(config(RESUMABLE, 3, true), entries).await;

        let answer = front.post("r1", PROMPT, "body").await;

        assert_eq!(answer.events(), [1, 2, 3], "{answer:?}");
        assert!(answer.is_complete(), "{answer:?}");
    }
}

/// Guards against a plain answer that is passed on as whole although its connection was reset.
#[tokio::test]
async fn verify_an_unmarked_plain_answer_that_is_reset_is_not_whole() {
    let rest = || Step::Write("answer".to_owned());
    let cases = [
        ("whole", vec![unmarked_plain(), rest(), Step::Close], (200, "the whole answer")),
        ("reset", vec![unmarked_plain(), Step::Pause(50), Step::Reset], (502, "answer_cut")),
    ];
    for (name, steps, expected) in cases {
        let upstream = Upstream::always(steps).await;
        let entries = vec![entry("u", upstream.address.port())];
        let front = front(config(Repeats::AtMostOnce, 2, false), entries).await;

        let answer = front.post("r1", "", "body").await;

        assert_eq!((answer.status, answer.body.as_str()), expected, "{name}");
        assert!(answer.is_complete(), "{name}");
        assert_eq!(upstream.received().len(), 1, "{name}");
    }
}

/// Guards against a forwarder that turns the break of an answer into its end.
#[tokio::test]
async fn verify_a_forwarder_keeps_the_difference_between_an_end_and_a_break() {
    let whole = Step::Write("answer".to_owned());
    let plain = [
        ("whole", vec![unmarked_plain(), whole, Step::Close], 200),
        ("reset", vec![unmarked_plain(), Step::Pause(50), Step::Reset], 502),
    ];
    for (name, steps, status) in plain {
        let upstream = Upstream::always(steps).await;
        let make_config = || with_long_timeouts(&config(Repeats::AtMostOnce, 2, false));
        let answer = post_through_forwarder(make_config, entry("u", upstream.address.port())).await;

        assert_eq!(answer.status, status, "plain, {name}: {answer:?}");
    }
    let streams = [
        ("whole", unmarked(&[Step::Close]), true),
        ("cut inside an event", unmarked(&[event_start(), Step::Close]), false),
        ("reset between events", unmarked(&[Step::Pause(50), Step::Reset]), false),
    ];
    for (name, steps, is_complete) in streams {
        let upstream = Upstream::always(steps).await;
        let make_config = || with_long_timeouts(&config(ONCE, 2, true));
        let answer =
            post_through_forwarder(make_config, engine("e", &upstream, Role::Decode)).await;

        assert_eq!((answer.status, answer.events()), (200, vec![1, 2]), "stream, {name}");
        assert_eq!(answer.is_complete(), is_complete, "stream, {name}: {answer:?}");
    }
}

/// Sends a request to an instance that reaches the upstream through another one only.
async fn post_through_forwarder(make_config: impl Fn() -> Config, listed: Entry) -> Answer {
    let unused = tokio::net::TcpSocket::new_v4().expect("a socket");
    unused.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = unused.local_addr().expect("an address");
    let first = instance(1, &make_config, vec![Entry { address, ..listed.clone() }], true).await;
    let second = instance(2, &make_config, vec![listed], true).await;
    connect(&[&first, &second]).await;
    first.front.post("r1", PROMPT, "body").await
}

/// Guards against a prompt's handle that is used although the answer with it was broken off.
#[tokio::test]
async fn verify_an_unmarked_handle_that_is_broken_off_is_not_used() {
    let head = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nConnection: close\r\n\r\n";
    let handle = |text: &str| Step::Write(format!("{head}{text}"));
    let cases = [
        ("whole", vec![handle("handle h"), Step::Close], true),
        ("reset", vec![handle("handle h"), Step::Pause(50), Step::Reset], false),
        ("cut", vec![handle("hand"), Step::Close], false),
    ];
    for (name, steps, is_used) in cases {
        let reader = Upstream::always(steps).await;
        let generator = Upstream::always(stream(1, 2)).await;
        let entries =
            vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
        let front = front(config(RESUMABLE, 2, true), entries).await;

        front.post("r1", PROMPT, "body").await;

        let received = generator.received();
        let used = received.iter().filter(|one| one.header("t-kv-source").is_some()).count();
        assert_eq!(used, usize::from(is_used), "{name}: {received:?}");
    }
}

/// Guards against an answer whose break a caller can't notice because its own answer has no chunks either.
#[tokio::test]
async fn verify_a_caller_without_chunks_notices_a_break() {
    let marked = vec![stream_head(), event(1), event(2), Step::Pause(50), Step::Reset];
    let whole = vec![stream_head(), event(1), event(2), stream_end()];
    let cases = [
        ("whole", whole, true),
        ("marked, reset", marked, false),
        ("cut inside an event", unmarked(&[event_start(), Step::Close]), false),
        ("reset between events", unmarked(&[Step::Pause(50), Step::Reset]), false),
    ];
    for (name, steps, is_whole) in cases {
        let upstream = Upstream::always(steps).await;
        let front = front(config(ONCE, 2, true), vec![engine("e", &upstream, Role::Decode)]).await;
        let text = request("r1", PROMPT, "body").replace("HTTP/1.1", "HTTP/1.0");

        assert_eq!(is_complete_success(&front, &text).await, is_whole, "{name}");
    }
}

/// Sends a request and returns whether its caller must take the answer for a complete success: one that has its
/// length or, without a length, ends with its connection.
async fn is_complete_success(front: &Front, text: &str) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let mut stream = tokio::net::TcpStream::connect(front.address).await.expect("it listens");
    stream.write_all(text.as_bytes()).await.expect("it reads");
    let mut buf = Vec::new();
    let is_closed_normally = stream.read_to_end(&mut buf).await.is_ok();
    let text = String::from_utf8_lossy(&buf).to_lowercase();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_complete = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => is_closed_normally,
    };
    is_complete && head.starts_with("http/1.0 200")
}
