//! Tests the graceful shutdown against the library's own time limit. The test sends SIGTERM to its own
//! process, so this file must not contain other tests.

use std::process::Command;

use anvilhook_core::units::Millis;
use anvilhook_http::clients::Connection;
use anvilhook_http::{ClientOptions, HttpClient, Phase, Shutdown, serve};
use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::net::TcpListener;
use volo_http::body::Body;
use volo_http::server::route::{Router, get};

/// The number of pieces in the answer, and the time between two of them. Together they take more than
/// twice as long as the library would wait.
const PIECES: u32 = 8;
const PAUSE: Millis = Millis::from_secs(10);

/// The caller's timeout for the head of the answer.
const HEAD_TIMEOUT: Millis = Millis::from_secs(3_600);

fn slow_answer() -> Response<Body> {
    let pieces = stream::unfold(0, |sent| async move {
        if sent == PIECES {
            return None;
        }
        tokio::time::sleep(PAUSE.as_duration()).await;
        Some((Ok(Frame::data(Bytes::from_static(b"piece"))), sent + 1))
    });
    Response::new(Body::from_stream(pieces))
}

/// Guards against truncating a long answer on SIGTERM: the answer has begun, SIGTERM arrives, and the
/// answer continues for another 70 s, but the library closes open connections about 30 s after the
/// signal. The test uses tokio's paused clock, which also drives the library's timers.
#[tokio::test(start_paused = true)]
async fn verify_an_answer_outlives_the_limit_of_the_library() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let shutdown = Shutdown::new();
    let router: Router = Router::new().route("/slow", get(async || slow_answer()));
    let serving = tokio::spawn(serve(listener, router, shutdown.clone()));
    let client = HttpClient::try_new(&ClientOptions::default()).expect("a client");
    let req = Request::get("/slow").body(Body::empty()).expect("a request");
    let answer = client.send(address, req, Connection::New, HEAD_TIMEOUT).await.expect("a head");
    let mut body = answer.into_body();
    let first = body.frame().await.expect("the answer begins").expect("a piece");

    let pid = std::process::id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("kill can be run");
    assert!(sent.success());
    let rest = body.collect().await.expect("the rest is complete");

    let mut whole = first.into_data().expect("data").to_vec();
    whole.extend_from_slice(&rest.to_bytes());
    assert_eq!(whole, b"piece".repeat(PIECES as usize));
    assert!(
        !serving.is_finished(),
        "the server waits until its owner reports that no request is in flight"
    );
    shutdown.advance(Phase::Closed);
    serving.await.expect("the server's task ends").expect("the server ends without an error");
}
