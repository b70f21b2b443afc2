//! Tests of the watch endpoint over a socket.

mod operators_fixture;

use std::net::SocketAddr;
use std::time::Duration;

use anvilhook_api::{Code, WatchEvent, WatchReader};
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::Configuration;
use anvilhook_core::units::{Millis, Revision, WallTime};
use anvilhook_daemon::operators::OperatorOptions;
use anvilhook_http::Phase;
use anvilhook_standin::platform::Reach;
use anvilhook_store::ArchiveStep;
use operators_fixture::{Api, OPERATOR, READER, account, key, put_body};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// The time after which a test fails with a message instead of hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads events up to the bookmark of a revision and returns their names and revisions.
async fn read_to(watch: &mut WatchReader, bookmark: u64) -> Vec<(&'static str, u64)> {
    let mut seen = Vec::new();
    loop {
        let event =
            tokio::time::timeout(TEST_TIMEOUT, watch.next()).await.unwrap().unwrap().unwrap();
        seen.push((event.name(), event.revision().0));
        if seen.last() == Some(&("bookmark", bookmark)) {
            return seen;
        }
    }
}

#[tokio::test]
async fn verify_a_watch_sends_past_and_new_changes() {
    let api = Api::start().await;
    api.declare("a", 1, 0).await;
    api.declare("b", 1, 0).await;
    let client = api.client(READER);

    let mut from_start = client.watch(Revision(0)).await.unwrap();
    assert_eq!(read_to(&mut from_start, 2).await, [("put", 1), ("put", 2), ("bookmark", 2)]);
    let mut from_now = client.watch(Revision(2)).await.unwrap();
    assert_eq!(read_to(&mut from_now, 2).await, [("bookmark", 2)]);

    api.client(OPERATOR).delete(&key("a"), Revision(1), ChangeId(9)).await.unwrap();
    for watch in [&mut from_start, &mut from_now] {
        assert_eq!(read_to(watch, 3).await, [("delete", 3), ("bookmark", 3)]);
    }
}

/// Guards against a watcher that retains a deleted resource: while the table is down, the instance
/// receives a newer configuration from a peer and does not know the changes in between. It then sends
/// only the changes that it knows.
#[tokio::test]
async fn verify_a_watch_waits_for_changes_that_only_the_table_has() {
    let api =
        Api::start_with(OperatorOptions { watch_retry: Millis(1), ..Default::default() }).await;
    api.declare("a", 1, 0).await;
    let mut watch = api.client(READER).watch(Revision(1)).await.unwrap();
    read_to(&mut watch, 1).await;
    let elsewhere = Api::start_beside(&api).await;
    elsewhere.client(OPERATOR).delete(&key("a"), Revision(1), ChangeId(9)).await.unwrap();
    elsewhere.declare("c", 1, 0).await;
    let newer = Configuration::clone(&elsewhere.follower.current());

    api.platform.faults().set_reach(Reach::Refusing);
    api.follower.offer(newer);
    tokio::task::yield_now().await;
    api.platform.faults().heal();

    assert_eq!(read_to(&mut watch, 3).await, [("delete", 2), ("put", 3), ("bookmark", 3)]);
}

#[tokio::test]
async fn verify_too_old_explains_how_to_start_again() {
    let api = Api::start().await;
    let mut rest = 0;
    for n in 0..8 {
        rest = api.declare(&format!("a{n}"), 1, 0).await.0;
    }
    while api.archive.step(WallTime(5_000)).await.unwrap() != ArchiveStep::Idle {}
    // This instance did not receive the changes itself.
    let other = Api::start_beside(&api).await;
    other.follower.poll_once().await.unwrap();
    let client = other.client(READER);

    let err = client.watch(Revision(2)).await.err().unwrap();
    let list = client.configuration().await.unwrap();
    let mut watch = client.watch(list.revision).await.unwrap();

    assert_eq!(err.code(), Some(Code::TooOld));
    assert!(err.to_string().contains("Start anew: get the list"), "{err}");
    assert_eq!((list.revision.0, list.items.len()), (rest, 8));
    assert_eq!(read_to(&mut watch, rest).await, [("bookmark", rest)]);
    // The audit trail is still listed completely, from the table and the archive.
    let mut revisions = Vec::new();
    let mut from = Some(Revision(1));
    while let Some(next) = from {
        let page = client.audit(Some(next), 4).await.unwrap();
        revisions.extend(page.entries.iter().map(|entry| entry.revision.0));
        from = page.next;
    }
    assert_eq!(revisions, (1..=rest).collect::<Vec<_>>());
}

#[tokio::test]
async fn verify_watchers_are_limited_and_end_with_the_instance() {
    let api = Api::start_with(OperatorOptions { max_watchers: 1, ..Default::default() }).await;
    let client = api.client(READER);
    let mut watch = client.watch(Revision(0)).await.unwrap();
    read_to(&mut watch, 0).await;

    let err = client.watch(Revision(0)).await.err().unwrap();
    assert_eq!(err.code(), Some(Code::TooManyWatchers));

    api.shutdown.advance(Phase::Draining);
    let end = tokio::time::timeout(TEST_TIMEOUT, watch.next()).await.unwrap().unwrap();
    assert_eq!(end, None::<WatchEvent>);
}

/// Connects with a small receive buffer, so that a few large events fill all buffers on the path.
async fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    const BYTES: u32 = 4 << 10;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

/// Guards against an instance whose memory grows until it is killed: a watcher stops reading and leaves
/// its connection open while changes continue, and its events are buffered for as long as it is
/// connected.
#[tokio::test]
async fn verify_a_watcher_that_does_not_read_is_dropped() {
    let options = OperatorOptions {
        max_watchers: 1,
        watch_buffer: 2,
        watch_wait_limit: Millis(20),
        ..Default::default()
    };
    let api = Api::start_with(options).await;
    let mut stream = connect_with_small_buffer(api.address).await;
    let head = "GET /api/v1/watch?from=0 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer reader-token\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");

    // Each event is large, so that the socket buffers fill soon.
    let mut large = account(1);
    large["token_sha256"] = json!(vec!["0".repeat(64); 4_000]);
    // The kernel closes such a connection by itself after 20 s. This many changes take a fifth of that
    // time; a busy machine only makes them slower.
    const MAX_CHANGES: u64 = 60;
    let client = api.client(OPERATOR);
    for version in 0..MAX_CHANGES {
        let body = put_body(large.clone(), version);
        let accepted =
            client.put(&key("a"), &body, ChangeId(u128::from(version) + 1)).await.unwrap();
        assert_eq!(accepted.revision, Revision(version + 1));
        if client.watch(accepted.revision).await.is_ok() {
            return;
        }
    }
    panic!("the watcher is still connected after {MAX_CHANGES} changes");
}
