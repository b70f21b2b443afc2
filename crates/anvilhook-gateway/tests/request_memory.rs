//! Bodies of requests and answers that together exceed the memory of an instance.

mod support;

use std::pin::pin;
use std::sync::Arc;

use anvilhook_core::body_memory::BodyMemoryBounds;
use anvilhook_gateway::configs::{Config, Limits, Repeats};
use futures_util::future::join_all;
use support::fronts::{Answer, Front, config, start_with_memory, with_long_timeouts};
use support::until;
use support::upstreams::{Step, Upstream, signed};
use support::wires::entry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Starts an instance in front of one upstream, which accepts large bodies.
async fn start(memory: u64, upstream: &Upstream) -> Front {
    let config = with_long_timeouts(&config(Repeats::AtMostOnce, 1, false));
    let limits = Limits { max_body_bytes: 4 << 20, ..config.limits };
    let services = config.services().cloned().collect();
    let route = config.route("host.example", "/a/").expect("the route of the tests");
    let config = Config::new(config.version, limits, services, vec![(**route).clone()]);
    let listed = entry("u", upstream.address.port());
    start_with_memory(memory, Some(config), vec![listed]).await
}

/// Guards against an instance that is killed with all its requests, because it holds their bodies while upstreams are
/// slow to read or to answer. Those that don't fit are refused as not run, and others are still served.
#[tokio::test]
async fn verify_requests_that_exceed_the_memory_together_are_refused() {
    const MEMORY: u64 = 10_000_000;
    const BODY_BYTES: usize = 1 << 20;
    const REQUESTS: usize = 8;
    /// The requests whose bodies fit into their share of the memory.
    const FITTING: usize = 3;
    /// Pieces that arrive between two checks.
    const SLACK: usize = 1 << 20;
    let release = Arc::new(Notify::new());
    let awaiting = Arc::clone(&release);
    let upstream = Upstream::start(move |received| match received.body.len() {
        BODY_BYTES => vec![Step::Await(Arc::clone(&awaiting)), signed("200 OK", "well")],
        _ => vec![signed("200 OK", "well")],
    })
    .await;
    let front = start(MEMORY, &upstream).await;
    let body = "x".repeat(BODY_BYTES);
    let large = |id: String| {
        let (front, body) = (&front, &body);
        async move { front.post_with_long_deadline(&id, "", body).await }
    };

    let asking = join_all((0..REQUESTS).map(|at| large(format!("r{at}"))));
    let mut most = 0;
    let releasing = async {
        until(|| {
            most = most.max(front.gateway.received_bytes());
            front.gateway.in_flight() == FITTING as u64 && upstream.received().len() == FITTING
        })
        .await;
        let small = front.post_with_long_deadline("small", "", "x").await;
        release.notify_waiters();
        small
    };
    let (answers, small) = tokio::join!(asking, releasing);
    let later = pin!(large("later".to_owned()));
    let ending = async {
        until(|| upstream.received().len() == FITTING + 2).await;
        release.notify_waiters();
    };
    let (later, ()) = tokio::join!(later, ending);

    let with = |status| answers.iter().filter(|one| one.status == status).collect::<Vec<&Answer>>();
    assert_eq!((with(200).len(), with(503).len()), (FITTING, REQUESTS - FITTING));
    for refused in with(503) {
        assert_eq!(refused.body, "no_request_memory");
        assert!(refused.head.contains("retry-after: "), "{refused:?}");
    }
    assert_eq!((small.status, later.status), (200, 200), "{small:?} {later:?}");
    let bounds = BodyMemoryBounds::of(Some(MEMORY));
    assert!(most <= bounds.requests + SLACK, "{most} bytes");
    until(|| front.gateway.received_bytes() == 0).await;
}

/// Guards against an instance that is killed because callers don't read its answers: an answer took no memory once it had
/// been collected.
#[tokio::test]
async fn verify_answers_that_callers_do_not_read_count() {
    const MEMORY: u64 = 60_000_000;
    /// More than the sockets hold, and more than half of the memory for answers.
    const ANSWER_BYTES: usize = 13 << 20;
    let answer = "x".repeat(ANSWER_BYTES);
    let upstream = Upstream::always(vec![signed("200 OK", &answer)]).await;
    let front = start(MEMORY, &upstream).await;
    let asking = async |id: &str| {
        let mut stream = TcpStream::connect(front.address).await.expect("the front listens");
        let req = support::fronts::request(id, "", "");
        stream.write_all(req.as_bytes()).await.expect("the front reads");
        stream
    };

    let mut unread = asking("r1").await;
    until(|| front.gateway.collected_bytes() == ANSWER_BYTES).await;
    let refused = front.post_with_long_deadline("r2", "", "").await;
    let mut buf = Vec::new();
    unread.read_to_end(&mut buf).await.expect("the answer");
    until(|| front.gateway.collected_bytes() == 0).await;
    let served = front.post_with_long_deadline("r3", "", "").await;

    assert_eq!((refused.status, refused.body.as_str()), (502, "no_answer_memory"));
    assert!(buf.len() > ANSWER_BYTES);
    assert_eq!(served.status, 200, "{}", served.head);
}
