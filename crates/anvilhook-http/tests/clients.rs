//! Tests that the verdict on a failed call is correct for every stage at which a call can fail.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilhook_core::Verdict;
use anvilhook_core::units::Millis;
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::collect_body;
use anvilhook_http::{ClientOptions, HttpClient, SendProgress, Stage};
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use volo_http::body::Body;

/// `Fault` is the server's misbehavior on a call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// No process listens on the address.
    Refuse,
    /// The connection is closed once the request has been read.
    CloseAfterRead,
    /// The connection is reset with most of the request unread.
    ResetHalfRead,
    /// The server never answers.
    Hang,
    /// The body ends before its announced length.
    CutBody,
}

const TIMEOUT: Millis = Millis(300);

/// A timeout that no test reaches.
const LONG: Millis = Millis(20_000);

async fn faulty_server(fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    if matches!(fault, Fault::Refuse) {
        return address;
    }
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(misbehave(stream, fault));
        }
    });
    address
}

async fn misbehave(mut stream: TcpStream, fault: Fault) {
    if matches!(fault, Fault::ResetHalfRead) {
        // Waits for the first byte. Otherwise the reset may arrive before the request is sent, and
        // then the verdict is correctly "not run".
        let _ = stream.read(&mut [0_u8; 1]).await;
        let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
        return;
    }
    let mut buf = [0_u8; 4096];
    let _ = stream.read(&mut buf).await;
    match fault {
        Fault::Hang => std::future::pending().await,
        Fault::CutBody => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf").await;
        }
        Fault::Refuse | Fault::CloseAfterRead | Fault::ResetHalfRead => {}
    }
}

/// Listens with a queue that one connection fills, so that further connections hang while they are
/// opened. Returns the address and what keeps the queue full.
async fn full_server() -> (SocketAddr, TcpListener, TcpStream) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let listener = socket.listen(0).expect("a listener");
    let address = listener.local_addr().expect("a bound address");
    let first = TcpStream::connect(address).await.expect("a connection");
    (address, listener, first)
}

fn request() -> Request<Body> {
    let builder = Request::builder().method("POST").uri("/call");
    builder.body(Body::from("request")).expect("a request")
}

/// Guards against reporting "not run" for a request that ran, which a caller would then send again.
/// This happens if a connection that breaks after the request was passed to it counts as a failed
/// connect.
#[tokio::test]
async fn verify_verdicts_of_failed_calls() {
    let cases = [
        (Fault::Refuse, Stage::Connect, false, Verdict::NotRun),
        (Fault::CloseAfterRead, Stage::FirstByte, false, Verdict::MayHaveRun),
        (Fault::ResetHalfRead, Stage::FirstByte, false, Verdict::MayHaveRun),
        (Fault::Hang, Stage::FirstByte, true, Verdict::MayHaveRun),
        (Fault::CutBody, Stage::Body, false, Verdict::MayHaveRun),
    ];
    let client = HttpClient::try_new(&ClientOptions::default()).expect("a client");
    for (fault, stage, timed_out, verdict) in cases {
        for connection in [Connection::Pooled, Connection::New] {
            let address = faulty_server(fault).await;

            let err = match client.send(address, request(), connection, TIMEOUT).await {
                Ok(answer) => collect_body(answer.into_body(), 64, TIMEOUT).await.map(drop),
                Err(err) => Err(err),
            }
            .expect_err("a failed call");

            assert_eq!(err.stage, stage, "{fault:?} {connection:?}: {err}");
            assert_eq!(err.timed_out, timed_out, "{fault:?} {connection:?}: {err}");
            assert_eq!(err.verdict(), verdict, "{fault:?} {connection:?}");
        }
    }
}

/// Guards against reporting "may have run" for a request whose connection was never opened: behind a network
/// partition it would be neither tried elsewhere nor refused truthfully.
#[tokio::test]
async fn verify_a_connection_that_is_never_opened_is_not_run() {
    let options = ClientOptions { connect_timeout: Millis(100), ..ClientOptions::default() };
    let client = HttpClient::try_new(&options).expect("a client");
    let (address, _listener, _first) = full_server().await;
    let empty = || Request::builder().uri("/call").body(Body::empty()).expect("a request");
    for connection in [Connection::Pooled, Connection::New] {
        for req in [request(), empty()] {
            let sent = client.send(address, req, connection, Millis(60_000));

            let err = sent.await.expect_err("no connection can be opened");

            assert_eq!(err.stage, Stage::Connect, "{connection:?}: {err}");
            assert!(err.timed_out, "{connection:?}: {err}");
            assert_eq!(err.verdict(), Verdict::NotRun, "{connection:?}");
        }
    }
}

#[tokio::test]
async fn verify_an_answer_larger_than_allowed_is_an_error() {
    let body = Body::from("0123456789");

    let err = collect_body(body, 4, TIMEOUT).await.expect_err("a body too large");

    assert_eq!(err.stage, Stage::Body);
    assert!(err.message.contains("larger than 4 bytes"), "{err}");
}

/// `Server` answers each request at once, on connections that stay open.
struct Server {
    address: SocketAddr,
    /// The ids of the requests received on each connection.
    received: Arc<Mutex<Vec<Vec<String>>>>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&received);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = {
                    let mut log = log.lock().expect("no panic");
                    log.push(Vec::new());
                    log.len() - 1
                };
                tokio::spawn(answer_all(stream, number, Arc::clone(&log)));
            }
        });
        Self { address, received }
    }

    fn received(&self) -> Vec<Vec<String>> {
        self.received.lock().expect("no panic").clone()
    }
}

/// Answers the requests of one connection. Each has an id as its target and a body of one byte.
async fn answer_all(mut stream: TcpStream, number: usize, log: Arc<Mutex<Vec<Vec<String>>>>) {
    let mut buf = Vec::new();
    loop {
        let end = buf.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 5);
        let Some(end) = end.filter(|end| buf.len() >= *end) else {
            match stream.read_buf(&mut buf).await {
                Ok(len) if len > 0 => continue,
                _ => return,
            }
        };
        let head = String::from_utf8_lossy(&buf[..end]).into_owned();
        let id = head.split(' ').nth(1).expect("a target").to_owned();
        log.lock().expect("no panic")[number].push(id);
        buf.drain(..end);
        if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.is_err() {
            return;
        }
    }
}

fn numbered(number: usize) -> Request<Body> {
    let builder = Request::builder().method("POST").uri(format!("/{number}"));
    builder.body(Body::from("b")).expect("a request")
}

/// Guards against a request that must not be repeated on a connection that has carried another one: the upstream may
/// have closed it, or may send a late second answer to the request before. The library's pool passes a connection
/// that has just become free to a call that waits for a new one.
#[tokio::test]
async fn verify_a_new_connection_has_carried_no_other_request() {
    const CALLS: usize = 400;
    let server = Server::start().await;
    let client = HttpClient::try_new(&ClientOptions::default()).expect("a client");
    let mut calls = JoinSet::new();
    for number in 0..CALLS {
        let (client, address) = (client.clone(), server.address);
        calls.spawn(async move {
            let sent = client.send(address, numbered(number), Connection::New, LONG);
            let answer = sent.await.expect("an answer");
            collect_body(answer.into_body(), 64, LONG).await.expect("a body");
        });
        tokio::time::sleep(Duration::from_micros(50)).await;
    }

    calls.join_all().await;

    let received = server.received();
    let reused = received.iter().filter(|ids| ids.len() > 1).count();
    assert_eq!((received.iter().map(Vec::len).sum::<usize>(), reused), (CALLS, 0));
}

/// Guards against taking a request for unsent that its connection takes in the same moment: where the runtime has
/// several threads, the connection may take it between the question whether it has and the end of the call.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn verify_no_request_that_counts_as_unsent_reaches_the_server() {
    const CALLS: usize = 2_000;
    let server = Server::start().await;
    let client = HttpClient::try_new(&ClientOptions::default()).expect("a client");
    let mut unsent = HashSet::new();
    for number in 0..CALLS {
        // Leaves an idle connection, which takes the next request at once.
        let warm = client.send(server.address, numbered(CALLS), Connection::Pooled, LONG).await;
        collect_body(warm.expect("an answer").into_body(), 64, LONG).await.expect("a body");
        let progress = SendProgress::default();
        let send = client.send_tracked(
            server.address,
            numbered(number),
            Connection::Pooled,
            LONG,
            &progress,
        );
        let mut send = Box::pin(send);
        let is_answered = futures_util::poll!(send.as_mut()).is_ready();
        for _ in 0..number % 64 {
            std::hint::spin_loop();
        }
        if !is_answered && progress.withdraw() {
            unsent.insert(format!("/{number}"));
            // The thread may be descheduled at any moment.
            for _ in 0..20_000 {
                std::hint::spin_loop();
            }
        } else if !is_answered {
            send.await.expect("an answer");
            continue;
        }
        drop(send);
    }

    // What a connection has taken arrives before it is closed, and the last request comes after all others.
    let last = client.send(server.address, numbered(CALLS), Connection::New, LONG);
    last.await.expect("an answer");

    let received: HashSet<String> = server.received().into_iter().flatten().collect();
    assert!(!unsent.is_empty());
    assert_eq!(unsent.intersection(&received).count(), 0, "of {} unsent", unsent.len());
}
