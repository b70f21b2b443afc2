//! The whole request path on real sockets: callers, one daemon process and the stand-ins.

#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod processes;

use anvilhook_bench::callers::{Caller, ChatCall, Outcome, PlainCall};
use anvilhook_bench::sites::{ALERT_SERVICE, Site, SiteOptions};
use anvilhook_core::Verdict;
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_standin::engines::{EngineOptions, expected_output};
use anvilhook_standin::plain::{PlainAnswer, body_digest};
use http::StatusCode;
use processes::{DaemonProcess, POLL_INTERVAL};

fn chat(prompt: &str, max_tokens: u64, stream: bool) -> ChatCall {
    let deadline = Millis::from_secs(20);
    ChatCall { prompt: prompt.to_owned(), max_tokens, stream, deadline }
}

fn text(outcome: &Outcome) -> &str {
    match outcome.answer() {
        Some(answer) => &answer.text,
        None => panic!("not answered: {outcome:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_chat_whole_and_streamed() {
    let site = Site::start(&SiteOptions::default()).await.expect("the site starts");
    let daemon = DaemonProcess::start(&site, "chat").await;
    let caller = Caller::try_new().expect("a caller");

    for stream in [false, true] {
        let call = chat("Is the fridge log complete?", 12, stream);
        let outcome = caller.chat(daemon.callers(), &call).await;

        let expected = expected_output(&call.messages(), Tokens(call.max_tokens));
        assert!(text(&outcome).contains(&expected), "{outcome:?}");
    }
    let (status, metrics) = daemon.probe("/metrics").await;
    assert_eq!(status, StatusCode::OK);
    assert!(metrics.contains("process_resident_memory_bytes"), "{metrics}");
    assert!(metrics.contains("requests_total{"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_alert_runs_once() {
    let site = Site::start(&SiteOptions::default()).await.expect("the site starts");
    let daemon = DaemonProcess::start(&site, "alert").await;
    let caller = Caller::try_new().expect("a caller");
    let call = PlainCall {
        service: ALERT_SERVICE,
        key: None,
        body: r#"{"fridge":3,"celsius":9}"#.to_owned(),
        deadline: Millis::from_secs(5),
    };

    let outcome = caller.plain(daemon.callers(), &call).await;

    let answer: PlainAnswer = serde_json::from_str(text(&outcome)).expect("the service's answer");
    assert_eq!(answer.body, body_digest(call.body.as_bytes()));
    assert_eq!(site.ledger.runs_of_body(call.body.as_bytes()), 1);
}

/// Guards against an answer that is truncated whenever an instance is replaced: a long stream is open
/// when the process receives SIGTERM. The HTTP library closes the listener on a signal and ends open
/// connections after about 30 s.
#[tokio::test(flavor = "multi_thread")]
async fn verify_sigterm_cuts_no_stream() {
    let slow = EngineOptions { decode_step_ms: 20.0, ..EngineOptions::default() };
    let options = SiteOptions { engines: 1, engine: slow, ..SiteOptions::default() };
    let site = Site::start(&options).await.expect("the site starts");
    let mut daemon = DaemonProcess::start(&site, "sigterm").await;
    let caller = Caller::try_new().expect("a caller");
    let callers = daemon.callers();
    let long = chat("Read the whole manual.", 150, true);
    let open = {
        let (caller, long) = (caller.clone(), long.clone());
        tokio::spawn(async move { caller.chat(callers, &long).await })
    };
    while site.engines[0].open_attempts().is_empty() {
        tokio::time::sleep(POLL_INTERVAL.as_duration()).await;
    }

    daemon.terminate();
    daemon.wait_for_readiness(StatusCode::SERVICE_UNAVAILABLE).await;
    let late = caller.chat(callers, &chat("Too late?", 1, false)).await;

    let draining = Outcome::Failed { verdict: Verdict::NotRun, code: "draining".to_owned() };
    assert_eq!(late, draining);
    let outcome = open.await.expect("the caller's task ends");
    assert_eq!(text(&outcome), expected_output(&long.messages(), Tokens(long.max_tokens)));
    assert_eq!(daemon.ended().await.code(), Some(0));
    assert_eq!(site.engines[0].attempts().len(), 1, "the refused request did not run");
}
