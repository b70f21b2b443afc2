//! Tests that a caller receives a correct verdict under every fault of an upstream, and that a call that
//! must not be repeated never runs twice.

#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod support;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use anvilhook_core::resources::{Configuration, ServiceSpec};
use anvilhook_core::units::Millis;
use anvilhook_daemon::front::FrontOptions;
use anvilhook_daemon::proxy::{NoClaims, ProxyOptions};
use support::fakes::{self, EVENTS, Fault, Ledger, SharedLedger};
use support::fronts::{self, FrontUnderTest, TEST_TIMEOUT, chat_body, configuration};

const RECORD: &str = "{\"lot\":7}";
const UNBOUNDED: (u32, u32) = (100_000, 100_000);

/// `Ask` is a kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ask {
    /// A plain call that may be repeated.
    Idempotent,
    /// A plain call that must not be repeated.
    NonIdempotent,
    /// A chat completion with a single answer.
    Chat,
    /// A chat completion with a streamed answer.
    Streamed,
}

const ASKS: [Ask; 4] = [Ask::Idempotent, Ask::NonIdempotent, Ask::Chat, Ask::Streamed];

fn ledger(faults: &[Fault], repeats: bool) -> SharedLedger {
    let faults = VecDeque::from(faults.to_vec());
    Arc::new(Mutex::new(Ledger { faults, repeats, ..Default::default() }))
}

async fn configured(ledger: &SharedLedger, fault: Fault, repeats: bool) -> Configuration {
    let mut addresses = Vec::new();
    for i in 0..2 {
        let is_dead = fault == Fault::ConnectRefused && (repeats || i == 0);
        let address = if is_dead { fakes::dead_address() } else { fakes::start(ledger).await };
        addresses.push(address);
    }
    configuration(&addresses, |spec| shorten(spec, fault), UNBOUNDED)
}

/// Shortens the time limits for an upstream that stops responding, so that all attempts fit into the
/// caller's wait limit. A healthy upstream still has several seconds for its answer.
fn shorten(spec: &mut ServiceSpec, fault: Fault) {
    const SHORT: Millis = Millis(4_000);
    if matches!(fault, Fault::SilentBeforeHead | Fault::SilentWithinBody | Fault::SilentConnection)
    {
        spec.first_byte_ms = SHORT;
        spec.between_events_ms = SHORT;
    }
}

/// Sends one request, and returns the caller's outcome and the number of runs.
async fn ask(front: &FrontUnderTest<NoClaims>, ledger: &SharedLedger, ask: Ask) -> (String, u32) {
    let (outcome, body) = match ask {
        Ask::Idempotent => {
            let answer = front.ask("PUT", "/services/ledger/records/7", &[], RECORD).await;
            (answer.outcome(), RECORD.to_owned())
        }
        Ask::NonIdempotent => {
            let answer = front.ask("POST", "/services/ledger/records", &[], RECORD).await;
            (answer.outcome(), RECORD.to_owned())
        }
        Ask::Chat => {
            let body = chat_body("which lot?", false);
            (front.ask("POST", "/v1/chat/completions", &[], &body).await.outcome(), body)
        }
        Ask::Streamed => {
            let body = chat_body("which lot?", true);
            let (numbers, outcome) = front.ask_streamed(&body).await;
            let in_order: Vec<u64> = (1..=numbers.len() as u64).collect();
            assert_eq!(numbers, in_order, "each event arrives once and in order");
            if outcome == "answered" {
                assert_eq!(numbers.len() as u64, EVENTS, "a whole stream");
            }
            (outcome, body)
        }
    };
    let runs = ledger.lock().expect("a ledger").runs.get(&body).copied().unwrap_or(0);
    (outcome, runs)
}

/// Sends requests to each upstream, so that the next request finds an idle connection.
async fn warm(front: &FrontUnderTest<NoClaims>, ledger: &SharedLedger) {
    let faults = std::mem::take(&mut ledger.lock().expect("a ledger").faults);
    for i in 0..8 {
        let answer = front.ask("PUT", "/services/ledger/records/0", &[], &format!("{i}")).await;
        assert_eq!(answer.outcome(), "answered");
    }
    ledger.lock().expect("a ledger").faults = faults;
}

/// Guards against a record that is entered twice, or reported as "not run" although it was entered: an
/// upstream fails at any byte of a request or its answer, and the caller or the system sends the request
/// again. The verdict claims more than can be known, or a retry violates the verdict.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn verify_verdicts_under_every_fault() {
    const A: &str = "answered";
    const M: &str = "may-have-run";
    const N: &str = "not-run";
    // For each fault, the outcomes of the four kinds of request: with one such fault and a healthy second
    // upstream, and with a fault that is repeated without end.
    let table = [
        (Fault::None, [A, A, A, A], [A, A, A, A]),
        (Fault::ConnectRefused, [A, A, A, A], [N, N, N, N]),
        (Fault::ResetBeforeFirstByte, [A, M, A, A], [M, M, M, M]),
        (Fault::ResetAfterFirstByte, [A, M, A, A], [M, M, M, M]),
        (Fault::PooledClosed, [A, M, A, A], [A, M, A, A]),
        (Fault::SilentBeforeHead, [A, M, A, A], [M, M, M, M]),
        (Fault::SilentWithinBody, [A, M, A, A], [M, M, M, M]),
        (Fault::OwnRefusal, [A, A, A, A], [N, N, N, N]),
        (Fault::CutShort, [A, M, A, A], [M, M, M, M]),
        (Fault::NoClosingEvent, [A, A, A, A], [A, A, A, M]),
        (Fault::OtherAttempt, [A, M, A, A], [M, M, M, M]),
        (Fault::NoEcho, [A, M, A, A], [M, M, M, M]),
        (Fault::OtherBody, [A, A, A, A], [A, A, M, M]),
        (Fault::Duplicate, [A, A, A, A], [A, A, A, A]),
        (Fault::SilentConnection, [A, M, A, A], [A, M, A, A]),
    ];
    let mut checks = Vec::new();
    for (fault, once, always) in table {
        for (i, way) in ASKS.into_iter().enumerate() {
            checks.push(tokio::spawn(check(fault, way, false, once[i])));
            checks.push(tokio::spawn(check(fault, way, true, always[i])));
        }
    }
    let mut failures = Vec::new();
    for check in checks {
        failures.extend(check.await.expect("a check that ends").err());
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Checks one case, and returns the rule that it violates as an error.
async fn check(fault: Fault, way: Ask, repeats: bool, expected: &str) -> Result<(), String> {
    let ledger = ledger(&[fault], repeats);
    let cfg = configured(&ledger, fault, repeats).await;
    let front = fronts::start(&cfg, FrontOptions::default(), NoClaims).await;
    if matches!(fault, Fault::PooledClosed | Fault::SilentConnection) {
        warm(&front, &ledger).await;
    }

    let (outcome, runs) = ask(&front, &ledger, way).await;

    let may_repeat = way != Ask::NonIdempotent;
    let rules = [
        (outcome == expected, "unexpected outcome"),
        (outcome != "not-run" || runs == 0, "a false \"not run\""),
        (runs <= 1 || may_repeat, "ran more than once"),
        (runs >= 1 || outcome != "answered", "an answer without a run"),
    ];
    let broken = rules.iter().find(|(holds, _)| !holds).map(|(_, rule)| rule);
    match broken {
        None => Ok(()),
        Some(rule) => Err(format!(
            "{rule}: {fault:?}, {way:?}, repeats: {repeats}: {outcome} after {runs} runs, \
             expected {expected}"
        )),
    }
}

/// Guards against a caller that receives the answer to an earlier request: an upstream answers twice on
/// one connection, and the second copy is used as the answer to the next request on that connection
/// without a check of the echoed attempt id.
#[tokio::test]
async fn verify_a_second_answer_reaches_no_other_request() {
    let ledger = ledger(&[Fault::Duplicate], true);
    let address = fakes::start(&ledger).await;
    let cfg = configuration(&[address], |_| {}, UNBOUNDED);
    let front = fronts::start(&cfg, FrontOptions::default(), NoClaims).await;

    for i in 0..20 {
        let body = format!("{{\"record\":{i}}}");
        let answer = front.ask("POST", "/services/ledger/records", &[], &body).await;

        let runs = ledger.lock().expect("a ledger").runs.get(&body).copied().unwrap_or(0);
        match answer.outcome().as_str() {
            "answered" => assert!(answer.body.contains(&format!("record\\\":{i}")), "{answer:?}"),
            "may-have-run" => assert!(runs <= 1),
            "not-run" => assert_eq!(runs, 0),
            other => panic!("unknown outcome {other}"),
        }
    }
}

/// Guards against an engine that generates output which no caller reads: a caller closes its connection
/// while its stream is open, and the task of the stream is not notified.
#[tokio::test]
async fn verify_a_disconnected_caller_cancels_its_engine_work() {
    let ledger = ledger(&[], false);
    ledger.lock().expect("a ledger").endless = true;
    let address = fakes::start(&ledger).await;
    let cfg = configuration(&[address], |spec| spec.between_events_ms.0 = 60_000, UNBOUNDED);
    let front = fronts::start(&cfg, FrontOptions::default(), NoClaims).await;

    let answer = front.send("POST", "/v1/chat/completions", &[], &chat_body("x", true)).await;
    assert_eq!(front.front.in_flight(), 1);
    drop(answer);

    let engine = "e0".parse().expect("a name");
    let all_ended = async {
        while ledger.lock().expect("a ledger").cancels == 0
            || front.front.in_flight() > 0
            || front.front.in_flight_at(&engine) > 0
        {
            tokio::task::yield_now().await;
        }
    };
    let ended = tokio::time::timeout(TEST_TIMEOUT.as_duration(), all_ended).await;
    assert!(ended.is_ok(), "the engine's work was not cancelled");
    assert_eq!(ledger.lock().expect("a ledger").cancels, 1);
}

/// Guards against a request that fails although an upstream is healthy: a device on the network path
/// drops the state of all idle connections, a request is sent on one of them, and its retry on another
/// pooled connection, which does not respond either.
#[tokio::test]
async fn verify_a_retry_uses_a_new_connection() {
    let ledger = ledger(&[Fault::SilentConnection], true);
    let cfg = configured(&ledger, Fault::SilentConnection, true).await;
    let proxy = ProxyOptions { max_attempts: 2, ..Default::default() };
    let options = FrontOptions { proxy, ..Default::default() };
    let front = fronts::start(&cfg, options, NoClaims).await;
    warm(&front, &ledger).await;

    let (outcome, _) = ask(&front, &ledger, Ask::Idempotent).await;

    assert_eq!(outcome, "answered");
}

/// Guards against a stream that occupies its engine's slot long after its caller needs it: an engine
/// streams without end within the time limit between events, or the caller stays connected and does not
/// read. The time limit between events alone does not end the stream.
#[tokio::test]
async fn verify_a_stream_ends_at_its_deadline() {
    for reads in [true, false] {
        let ledger = ledger(&[], false);
        ledger.lock().expect("a ledger").endless = true;
        let address = fakes::start(&ledger).await;
        let edit = |spec: &mut ServiceSpec| {
            spec.between_events_ms = TEST_TIMEOUT;
            spec.deadline_ms = Millis(3_000);
        };
        let cfg = configuration(&[address], edit, UNBOUNDED);
        let front = fronts::start(&cfg, FrontOptions::default(), NoClaims).await;
        let body = chat_body("x", true);

        let unread = if reads {
            let (numbers, outcome) = front.ask_streamed(&body).await;
            assert_eq!((numbers, outcome.as_str()), (vec![1], "may-have-run"));
            None
        } else {
            Some(front.send("POST", "/v1/chat/completions", &[], &body).await)
        };

        let idle = tokio::time::timeout(TEST_TIMEOUT.as_duration(), front.front.idle()).await;
        assert!(idle.is_ok(), "the stream still counts as in flight; reads: {reads}");
        drop(unread);
    }
}
