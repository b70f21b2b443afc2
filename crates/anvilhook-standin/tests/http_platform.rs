//! Failures that only the platform's HTTP binding can meet: malformed answers, an address without a
//! listener, and connections that stop responding.

use std::net::SocketAddr;

use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_platform::{
    Commit, Condition, Error, HttpPlatform, HttpPlatformOptions, RowKey, Table, Transaction, Write,
};
use anvilhook_standin::platform::{LocalPlatform, PlatformOptions, PlatformServer, Reach};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

fn insert(key: &str) -> Transaction {
    let key = RowKey::new(key);
    Transaction {
        conditions: vec![Condition::Absent { key: key.clone() }],
        writes: vec![Write::Put { key, value: "{}".to_owned() }],
    }
}

fn binding(address: SocketAddr, timeout: Millis) -> HttpPlatform {
    let options = HttpPlatformOptions { timeout, ..HttpPlatformOptions::default() };
    HttpPlatform::try_new(address, &options).unwrap()
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts a listener that answers the first request of every connection with `bytes` and closes it.
async fn answer_with(bytes: &'static [u8]) -> SocketAddr {
    let (listener, address) = listener().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(bytes).await;
        }
    });
    address
}

/// Forwards connections to `to`. A message on the returned sender makes all open connections stop
/// forwarding; later ones work.
async fn forward(to: SocketAddr) -> (SocketAddr, watch::Sender<()>) {
    let (listener, address) = listener().await;
    let (silence, _) = watch::channel(());
    let silence_events = silence.clone();
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let mut silenced = silence_events.subscribe();
            tokio::spawn(async move {
                let mut far = TcpStream::connect(to).await.unwrap();
                tokio::select! {
                    _ = copy_bidirectional(&mut near, &mut far) => (),
                    // Both ends stay open, and nothing is forwarded any more.
                    _ = silenced.changed() => std::future::pending().await,
                }
            });
        }
    });
    (address, silence)
}

#[tokio::test]
async fn verify_unclear_answers_leave_a_commit_in_doubt() {
    let cases: [(&[u8], bool); 9] = [
        (b"HTTP/1.1 503 X\r\nx-platform-refused: true\r\ncontent-length: 0\r\n\r\n", false),
        (b"HTTP/1.1 503 X\r\nx-platform-refused: false\r\ncontent-length: 0\r\n\r\n", true),
        (b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n", true),
        (b"HTTP/1.1 500 X\r\nx-platform-refused: true\r\ncontent-length: 0\r\n\r\n", true),
        (b"HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n", true),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", true),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"outcome\":\"done\"}", true),
        (b"not http at all\r\n\r\n", true),
        (b"", true),
    ];

    for (bytes, in_doubt) in cases {
        let table = binding(answer_with(bytes).await, Millis::from_secs(20));
        let commit = table.commit(&insert("a")).await;

        let text = String::from_utf8_lossy(bytes);
        match commit {
            Err(Error::AnswerLost { .. }) => assert!(in_doubt, "{text}"),
            Err(Error::Unavailable { .. }) => assert!(!in_doubt, "{text}"),
            other => panic!("{text}: {other:?}"),
        }
    }
}

#[tokio::test]
async fn verify_a_refused_connection_is_known_to_have_no_effect() {
    let (listener, address) = listener().await;
    drop(listener);
    let table = binding(address, Millis::from_secs(20));

    let commit = table.commit(&insert("a")).await;
    let read = table.read(&RowKey::new("a")).await;

    assert!(matches!(commit, Err(Error::Unavailable { .. })), "{commit:?}");
    assert!(matches!(read, Err(Error::Unavailable { .. })), "{read:?}");
}

#[tokio::test]
async fn verify_silent_connections_cost_one_timeout_in_all() {
    // Guards against an instance that loses its lease although the platform is healthy: a device on
    // the path drops all idle connections from its tables, and each renewal takes the next pooled
    // connection and waits for its timeout, because one timeout does not discard the others.
    let platform = LocalPlatform::new(ManualClock::new(), PlatformOptions::default());
    let server =
        PlatformServer::start("127.0.0.1:0".parse().unwrap(), platform.clone()).await.unwrap();
    let (address, silence) = forward(server.address()).await;
    let table = binding(address, Millis(1_500));
    let faults = platform.faults();
    faults.set_reach(Reach::Hanging);
    let commits: Vec<_> = ["a", "b", "c", "d"]
        .into_iter()
        .map(|key| {
            let table = table.clone();
            tokio::spawn(async move { table.commit(&insert(key)).await })
        })
        .collect();
    while faults.waiting_calls() < commits.len() {
        tokio::task::yield_now().await;
    }
    faults.heal();
    for commit in commits {
        assert_eq!(commit.await.unwrap(), Ok(Commit::Done));
    }

    silence.send_replace(());
    let mut lost = 0;
    for key in ["e", "f", "g", "h"] {
        lost += usize::from(table.commit(&insert(key)).await.is_err());
    }

    assert!(lost <= 1, "{lost} commits were lost");
    assert!(table.read(&RowKey::new("a")).await.unwrap().is_some());
}
