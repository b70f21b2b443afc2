//! Tests how each fault appears to the client, and whether the request ran.

mod fixtures;

use std::io::ErrorKind;

use anvilhook_core::attempts::{ATTEMPT_HEADER, AttemptId};
use anvilhook_core::units::Millis;
use anvilhook_engine::wire::{REFUSED_HEADER, REPORT_PATH};
use anvilhook_http::{CallError, Stage};
use anvilhook_standin::engines::EngineServer;
use anvilhook_standin::faults::{Fault, FaultPlan};
use anvilhook_standin::plain::{PlainAnswer, PlainServer, PlainServerOptions, body_digest};
use fixtures::{
    ANSWER_TIMEOUT, Events, SHORT_TIMEOUT, Seen, call, chat, client, completion, fast_engine,
    fetch, fetch_by, open, read_events, start,
};
use http::{Method, Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use volo_http::body::Body;

const A: AttemptId = AttemptId(0xa);
const B: AttemptId = AttemptId(0xb);
const BODY: &[u8] = b"fridge 3 is at 9 degrees";

async fn start_plain() -> PlainServer {
    PlainServer::start(PlainServerOptions::default()).await.expect("the kernel has a free port")
}

fn alert(attempt: AttemptId) -> Request<Body> {
    call(Method::POST, "/alerts", attempt, BODY.to_vec())
}

/// The way in which a fault appears to the client.
#[derive(Debug, Eq, PartialEq)]
enum View {
    /// The call failed at a stage; the flag indicates a timeout.
    Failed(Stage, bool),
    /// An answer with this status and echo arrived; `refused` indicates the refusal header.
    Answered { status: u16, echo: Option<AttemptId>, refused: bool },
}

fn view(seen: &Result<Seen, CallError>) -> View {
    match seen {
        Err(err) => View::Failed(err.stage, err.timed_out),
        Ok(seen) => {
            let echo = seen.headers.get(ATTEMPT_HEADER);
            View::Answered {
                status: seen.status.as_u16(),
                echo: echo.and_then(|echo| echo.to_str().ok()).and_then(|echo| echo.parse().ok()),
                refused: seen.headers.contains_key(REFUSED_HEADER),
            }
        }
    }
}

#[tokio::test]
async fn verify_each_fault_of_a_whole_answer_as_its_client_sees_it() {
    use Stage::{Body, FirstByte};
    let ok = |echo| View::Answered { status: 200, echo, refused: false };
    let unavailable = |refused| View::Answered { status: 503, echo: Some(A), refused };
    let cases = [
        (Fault::ResetBeforeFirstByte, View::Failed(FirstByte, false), 1),
        (Fault::CloseWithoutAnswer, View::Failed(FirstByte, false), 1),
        (Fault::HangBeforeFirstByte, View::Failed(FirstByte, true), 1),
        (Fault::ResetAfterFirstByte, View::Failed(Body, false), 1),
        (Fault::SilentMidAnswer, View::Failed(Body, true), 1),
        (Fault::CutShort, View::Failed(Body, false), 1),
        (Fault::NoClosingEvent, View::Failed(Body, false), 1),
        (Fault::NoEcho, ok(None), 1),
        (Fault::ForeignEcho, ok(Some(AttemptId(!A.0))), 1),
        (Fault::Duplicate, ok(Some(A)), 1),
        (Fault::OwnRefusal, unavailable(true), 0),
        (Fault::BareRefusal, unavailable(false), 1),
        (Fault::Crash, View::Failed(FirstByte, false), 1),
    ];
    assert_eq!(cases.len(), Fault::ALL.len());
    for (fault, expected, runs) in cases {
        let plain = start_plain().await;
        plain.front().switches().next(1, fault);
        let timeout =
            if matches!(expected, View::Failed(_, true)) { SHORT_TIMEOUT } else { ANSWER_TIMEOUT };

        let seen = fetch(plain.address(), alert(A), timeout).await;

        assert_eq!(view(&seen), expected, "{fault:?}");
        assert_eq!(plain.ledger().runs_of_body(BODY), runs, "{fault:?}");
    }
}

#[tokio::test]
async fn verify_faults_before_the_run_look_the_same_and_leave_the_request_unrun() {
    let cases = [
        (Fault::ResetBeforeFirstByte, ANSWER_TIMEOUT),
        (Fault::CloseWithoutAnswer, ANSWER_TIMEOUT),
        (Fault::HangBeforeFirstByte, SHORT_TIMEOUT),
        (Fault::BareRefusal, ANSWER_TIMEOUT),
    ];
    for (fault, timeout) in cases {
        let plain = start_plain().await;
        plain.front().switches().next(1, fault);
        plain.front().switches().next(1, FaultPlan::from(fault).before_run());

        let run = fetch(plain.address(), alert(A), timeout).await;
        let unrun = fetch(plain.address(), alert(A), timeout).await;

        assert_eq!(view(&run), view(&unrun), "{fault:?}");
        assert_eq!(plain.ledger().runs_of_body(BODY), 1, "{fault:?}");
    }
}

async fn stream_of(engine: &EngineServer, timeout: Millis) -> Events {
    let answer = open(engine.address(), completion(A, &chat("Go.", true, 4))).await;
    read_events(answer, timeout).await
}

#[tokio::test]
async fn verify_each_fault_of_a_stream_as_its_client_sees_it() {
    let cases: [(Fault, &[u64], bool, bool); 5] = [
        (Fault::ResetAfterFirstByte, &[1, 2], false, true),
        (Fault::SilentMidAnswer, &[1, 2], false, true),
        (Fault::CutShort, &[1, 2], false, true),
        (Fault::NoClosingEvent, &[1, 2, 3, 4], false, false),
        (Fault::Duplicate, &[1, 1, 2, 2, 3, 3, 4, 4], true, false),
    ];
    for (fault, numbers, closed, failed) in cases {
        let engine = start(fast_engine()).await;
        engine.front().switches().next(1, FaultPlan::from(fault).after_events(2));
        let timeout = if fault == Fault::SilentMidAnswer { SHORT_TIMEOUT } else { ANSWER_TIMEOUT };

        let events = stream_of(&engine, timeout).await;

        assert_eq!(events.numbers, numbers, "{fault:?}");
        assert_eq!((events.closed, events.failed), (closed, failed), "{fault:?}");
    }
}

#[tokio::test]
async fn verify_faults_apply_to_the_planned_number_of_requests() {
    let plain = start_plain().await;
    let switches = plain.front().switches();
    switches.always(Some(Fault::BareRefusal.into()));
    switches.next(2, Fault::OwnRefusal);

    let mut refused = Vec::new();
    for _ in 0..3 {
        let seen = fetch(plain.address(), alert(A), ANSWER_TIMEOUT).await.unwrap();
        refused.push(seen.headers.contains_key(REFUSED_HEADER));
    }
    switches.clear();
    let after = fetch(plain.address(), alert(A), ANSWER_TIMEOUT).await.unwrap();

    assert_eq!(refused, [true, true, false]);
    assert_eq!(after.status, StatusCode::OK);
}

/// Sends a call over a plain TCP socket and reads until the connection ends.
async fn read_to_end_of(plain: &PlainServer) -> Result<usize, ErrorKind> {
    let mut socket = TcpStream::connect(plain.address()).await.expect("the stand-in listens");
    let head = format!("POST /alerts HTTP/1.1\r\nhost: standin\r\n{ATTEMPT_HEADER}: {A}\r\n");
    let req = format!("{head}content-length: 0\r\n\r\n");
    socket.write_all(req.as_bytes()).await.expect("the socket accepts the request");
    let mut buf = Vec::new();
    let reading =
        tokio::time::timeout(ANSWER_TIMEOUT.as_duration(), socket.read_to_end(&mut buf)).await;
    reading.map_err(|_elapsed| ErrorKind::TimedOut)?.map_err(|err| err.kind())
}

#[tokio::test]
async fn verify_reset_and_close_differ_on_the_socket() {
    let cases = [
        (Fault::ResetBeforeFirstByte, Err(ErrorKind::ConnectionReset)),
        (Fault::CloseWithoutAnswer, Ok(0)),
        (Fault::Crash, Err(ErrorKind::ConnectionReset)),
    ];
    for (fault, expected) in cases {
        let plain = start_plain().await;
        plain.front().switches().next(1, fault);

        assert_eq!(read_to_end_of(&plain).await, expected, "{fault:?}");
    }
}

#[tokio::test]
async fn verify_refused_connections_run_nothing_and_the_port_reopens() {
    let plain = start_plain().await;
    let client = client();
    let before = fetch_by(&client, plain.address(), alert(A), ANSWER_TIMEOUT).await;

    plain.front().refuse_connections(true).await;
    let refused = fetch(plain.address(), alert(A), ANSWER_TIMEOUT).await.unwrap_err();
    let pooled = fetch_by(&client, plain.address(), alert(A), ANSWER_TIMEOUT).await;
    plain.front().refuse_connections(false).await;
    let after = fetch(plain.address(), alert(A), ANSWER_TIMEOUT).await;

    assert_eq!(refused.stage, Stage::Connect);
    assert!(before.is_ok() && pooled.is_ok() && after.is_ok());
    assert_eq!(plain.ledger().runs_of_body(BODY), 3);
}

#[tokio::test]
async fn verify_silent_connections_stay_silent_while_new_ones_work() {
    let plain = start_plain().await;
    let client = client();
    fetch_by(&client, plain.address(), alert(A), ANSWER_TIMEOUT).await.unwrap();

    plain.front().connections().silence_all();
    let silent = fetch_by(&client, plain.address(), alert(A), SHORT_TIMEOUT).await.unwrap_err();
    let new = fetch(plain.address(), alert(B), ANSWER_TIMEOUT).await;

    assert!(silent.timed_out);
    assert_eq!(plain.ledger().runs_of_body(BODY), 2, "a silent connection must not deliver a call");
    assert_eq!(new.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn verify_paused_server_runs_pending_calls_when_resumed() {
    // A timeout does not prove that a call did not run: a call sent to a paused process can run
    // after its sender has timed out, once the process resumes.
    let plain = start_plain().await;
    plain.front().pause(true);

    let sending = tokio::spawn(fetch(plain.address(), alert(A), ANSWER_TIMEOUT));
    let waiting = fetch(plain.address(), alert(B), SHORT_TIMEOUT).await.unwrap_err();
    let runs_while_paused = plain.ledger().all().len();
    plain.front().pause(false);
    let answered = sending.await.unwrap();

    assert!(waiting.timed_out);
    assert_eq!(runs_while_paused, 0);
    assert_eq!(answered.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn verify_crash_resets_connections_and_restart_serves_again() {
    let engine = start(Default::default()).await;
    let answer = open(engine.address(), completion(A, &chat("Go on.", true, 100_000))).await;

    engine.crash().await;
    let events = read_events(answer, ANSWER_TIMEOUT).await;
    let down = fetch(engine.address(), completion(B, &chat("Hm?", false, 1)), ANSWER_TIMEOUT).await;
    engine.restart().await;
    let up = fetch(engine.address(), completion(B, &chat("Hm?", false, 1)), ANSWER_TIMEOUT).await;

    assert!(events.failed && !events.closed);
    assert_eq!(down.unwrap_err().stage, Stage::Connect);
    assert_eq!(up.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn verify_plain_service_answers_to_the_call_and_reports_its_load() {
    let plain = start_plain().await;
    plain.set_leaving(true);

    let seen = fetch(plain.address(), alert(A), ANSWER_TIMEOUT).await.unwrap();
    let report = call(Method::GET, REPORT_PATH, B, Vec::new());
    let report = fetch(plain.address(), report, ANSWER_TIMEOUT).await.unwrap();

    let answer: PlainAnswer = serde_json::from_slice(&seen.body).unwrap();
    let expected = PlainAnswer { call: "POST /alerts".to_owned(), body: body_digest(BODY), run: 1 };
    assert_eq!(answer, expected);
    let report: serde_json::Value = serde_json::from_slice(&report.body).unwrap();
    assert_eq!((&report["leaving"], &report["running_requests"]), (&true.into(), &0.into()));
}

#[tokio::test]
async fn verify_full_plain_service_refuses_as_not_run() {
    let opts = PlainServerOptions { max_open: 0, ..PlainServerOptions::default() };
    let plain = PlainServer::start(opts).await.unwrap();

    let seen = fetch(plain.address(), alert(A), Millis::from_secs(5)).await.unwrap();

    assert_eq!(seen.headers[REFUSED_HEADER], "true");
    assert_eq!(plain.ledger().all(), []);
}
