//! Tests the answer to each request that the front refuses, and that no refused request ran.

#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod support;

use std::sync::{Arc, Mutex};

use anvilhook_daemon::front::FrontOptions;
use anvilhook_daemon::proxy::NoClaims;
use anvilhook_http::Phase;
use prometheus_client::encoding::text::encode;
use support::fakes::{self, Ledger, SharedLedger};
use support::fronts::{self, FrontUnderTest, chat_body, configuration};

const CHAT: &str = "/v1/chat/completions";
const RECORDS: &str = "/services/ledger/records";

/// `Case` is a method, a path, headers, a body, and the status and code of the refusal.
type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

async fn front(
    options: FrontOptions,
    account: (u32, u32),
) -> (FrontUnderTest<NoClaims>, SharedLedger) {
    let ledger: SharedLedger = Arc::new(Mutex::new(Ledger::default()));
    let address = fakes::start(&ledger).await;
    let edit = |spec: &mut anvilhook_core::resources::ServiceSpec| spec.max_answer_bytes = 300;
    let cfg = configuration(&[address], edit, account);
    (fronts::start(&cfg, options, NoClaims).await, ledger)
}

fn runs(ledger: &SharedLedger) -> usize {
    ledger.lock().expect("a ledger").runs.len()
}

#[tokio::test]
async fn verify_each_refusal_has_its_own_answer() {
    let (front, ledger) = front(FrontOptions::default(), (100_000, 100_000)).await;
    let large = "x".repeat(10_001);
    let large_chat = chat_body(&large, false);
    let long_header = "h".repeat(20_000);
    let other_model = chat_body("x", false).replace("\"m\"", "\"other\"");
    let cases: &[Case<'_>] = &[
        ("POST", RECORDS, &[("authorization", "Bearer other")], "", 401, "unknown-credential"),
        ("POST", RECORDS, &[("authorization", "Basic x")], "", 401, "unknown-credential"),
        ("POST", "/nothing", &[("authorization", "Bearer other")], "", 401, "unknown-credential"),
        ("POST", "/nothing", &[], "", 404, "unknown-call"),
        ("POST", "/services/other/records", &[], "", 404, "unknown-service"),
        ("POST", "/services/verdicts/records", &[], "", 404, "unknown-service"),
        ("DELETE", RECORDS, &[], "", 404, "unknown-call"),
        ("POST", "/services/ledger/recordsx", &[], "", 404, "unknown-call"),
        ("PUT", "/services/ledger/records/../x", &[], "", 404, "unknown-call"),
        ("PUT", "/services/ledger/records/%2E%2e/x", &[], "", 404, "unknown-call"),
        ("POST", RECORDS, &[("x-anvilhook-deadline-ms", "soon")], "", 400, "bad-request"),
        ("POST", RECORDS, &[("x-anvilhook-deadline-ms", "0")], "", 400, "bad-request"),
        ("POST", RECORDS, &[("x-anvilhook-priority", "256")], "", 400, "bad-request"),
        ("POST", RECORDS, &[("x-anvilhook-request", "7")], "", 400, "bad-request"),
        ("POST", RECORDS, &[("idempotency-key", "")], "", 400, "bad-request"),
        ("POST", RECORDS, &[("x-long", &long_header)], "", 431, "headers-too-large"),
        ("POST", RECORDS, &[], &large, 413, "body-too-large"),
        ("POST", RECORDS, &[("idempotency-key", "k")], "", 503, "claims-unavailable"),
        ("POST", CHAT, &[], &large_chat, 413, "body-too-large"),
        ("POST", CHAT, &[], &other_model, 404, "unknown-service"),
        ("POST", CHAT, &[], "{}", 400, "bad-request"),
        ("GET", CHAT, &[], "", 404, "unknown-call"),
    ];
    for (method, path, headers, body, status, code) in cases {
        let answer = front.ask(method, path, headers, body).await;

        let case = format!("{method} {path} {headers:.60?}: {answer:?}");
        let json: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
        assert_eq!(answer.status.as_u16(), *status, "{case}");
        assert_eq!(json["error"]["code"], *code, "{case}");
        assert_eq!(json["error"]["verdict"], "not-run", "{case}");
        assert_eq!(answer.outcome(), "not-run", "{case}");
        let request = answer.headers["x-anvilhook-request"].to_str().expect("text");
        assert_eq!(json["error"]["request"], request, "{case}");
    }
    assert_eq!(runs(&ledger), 0);
}

#[tokio::test]
async fn verify_a_request_keeps_its_id_and_may_name_the_service() {
    let (front, _ledger) = front(FrontOptions::default(), (100_000, 100_000)).await;
    let id = "0123456789abcdef0123456789abcdef";
    let body = chat_body("x", false).replace("\"m\"", "\"verdicts\"");

    let answer = front.ask("POST", CHAT, &[("x-anvilhook-request", id)], &body).await;

    assert_eq!(answer.outcome(), "answered");
    assert_eq!(answer.headers["x-anvilhook-request"], id);
    assert!(answer.body.contains("\\\"model\\\":\\\"m\\\""), "{}", answer.body);
}

#[tokio::test]
async fn verify_answers_larger_than_allowed_are_not_handed_on() {
    let (front, _ledger) = front(FrontOptions::default(), (100_000, 100_000)).await;

    let answer = front.ask("PUT", RECORDS, &[], &"y".repeat(400)).await;
    let (numbers, streamed) = front.ask_streamed(&chat_body("x", true)).await;

    assert!(answer.body.contains("answer-too-large"), "{answer:?}");
    assert_eq!((answer.status.as_u16(), answer.outcome().as_str()), (502, "may-have-run"));
    assert!(numbers.len() < fakes::EVENTS as usize);
    assert_eq!(streamed, "may-have-run");
}

#[tokio::test]
async fn verify_limits_on_open_requests_and_accounts() {
    let full = FrontOptions { max_open_requests: 0, ..Default::default() };
    let cases = [
        (full, (100_000, 100_000), 503, "too-many-open-requests"),
        (FrontOptions::default(), (100_000, 0), 429, "account-limit"),
        (FrontOptions::default(), (0, 100_000), 429, "account-limit"),
    ];
    for (options, account, status, code) in cases {
        let (front, ledger) = front(options, account).await;

        let answer = front.ask("POST", RECORDS, &[], "{}").await;

        assert_eq!(answer.status.as_u16(), status, "{answer:?}");
        assert!(answer.body.contains(code), "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        assert_eq!((answer.outcome().as_str(), runs(&ledger)), ("not-run", 0));
    }
}

/// Guards against a stopping instance that truncates a stream, or accepts work that it cannot finish: the
/// phase changes to draining while a stream is open and new requests arrive, and requests stop counting
/// as in flight before their answers are forwarded.
#[tokio::test]
async fn verify_draining_refuses_new_work_and_waits_for_the_old() {
    let (mut front, ledger) = front(FrontOptions::default(), (100_000, 100_000)).await;
    ledger.lock().expect("a ledger").endless = true;
    let open = front.send("POST", CHAT, &[], &chat_body("x", true)).await;

    front.shutdown.advance(Phase::Draining);
    let answer = front.ask("POST", RECORDS, &[], "{}").await;

    assert!(answer.body.contains("draining"), "{answer:?}");
    assert_eq!((answer.outcome().as_str(), answer.status.as_u16()), ("not-run", 503));
    assert_eq!(answer.headers["connection"], "close");
    assert_eq!(front.front.in_flight(), 1);
    drop(open);
    let idle = tokio::time::timeout(fronts::TEST_TIMEOUT.as_duration(), front.front.idle()).await;
    assert!(idle.is_ok(), "the stream still counts as in flight");
    let mut text = String::new();
    encode(&mut text, &std::mem::take(&mut front.registry)).expect("metrics");
    let line = "requests_total{service=\"\",outcome=\"draining\",verdict=\"not-run\"} 1";
    assert!(text.contains(line), "{text}");
}
