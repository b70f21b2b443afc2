//! Contract tests of the engine's server against `anvilhook_engine::wire`.

mod fixtures;

use anvilhook_core::attempts::{ATTEMPT_HEADER, AttemptId};
use anvilhook_core::orders::{Order, Role, Stamp, StampedOrder, Term};
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_engine::wire::{
    ChatAnswer, ChatChunk, KV_PATH, ORDERS_PATH, REFUSED_HEADER, STREAMS_PATH,
};
use anvilhook_http::Stage;
use anvilhook_standin::engines::{
    AttemptEnd, EngineOptions, EngineServer, EngineServerOptions, expected_output,
};
use anvilhook_standin::faults::{Fault, FaultPlan};
use fixtures::{
    ANSWER_TIMEOUT, call, chat, completion, fast_engine, fetch, open, read_events, start,
};
use http::{Method, StatusCode};

const A: AttemptId = AttemptId(0xa);

#[tokio::test]
async fn verify_whole_answer_is_derived_from_the_prompt_and_echoes_its_attempt() {
    let engine = start(fast_engine()).await;
    let req = chat("Is the fridge cold enough?", false, 5);

    let seen = fetch(engine.address(), completion(A, &req), ANSWER_TIMEOUT).await.unwrap();

    let answer: ChatAnswer = serde_json::from_slice(&seen.body).unwrap();
    assert_eq!(seen.status, StatusCode::OK);
    assert_eq!(seen.headers[ATTEMPT_HEADER], A.to_string().as_str());
    assert_eq!(answer.choices[0].message.content, expected_output(&req.messages, Tokens(5)));
    assert_eq!(answer.usage.completion_tokens, 5);
    assert_eq!(engine.attempts()[0].end.map(|(end, _)| end), Some(AttemptEnd::Finished));
}

#[tokio::test]
async fn verify_stream_numbers_its_events_and_closes() {
    let engine = start(fast_engine()).await;
    let req = chat("Which sink is for fish?", true, 6);

    let answer = open(engine.address(), completion(A, &req)).await;
    let events = read_events(answer, ANSWER_TIMEOUT).await;

    let text: String = events
        .data
        .iter()
        .map(|data| serde_json::from_str::<ChatChunk>(data).unwrap())
        .map(|chunk| chunk.choices[0].delta.content.clone())
        .collect();
    assert_eq!(events.numbers, [1, 2, 3, 4, 5, 6]);
    assert_eq!(text, expected_output(&req.messages, Tokens(6)));
    assert!(events.closed && !events.failed);
}

#[tokio::test]
async fn verify_broken_stream_resumes_after_any_event() {
    let engine = start(fast_engine()).await;
    let req = chat("Which sink is for fish?", true, 6);
    engine.front().switches().next(1, FaultPlan::from(Fault::ResetAfterFirstByte).after_events(3));

    let broken =
        read_events(open(engine.address(), completion(A, &req)).await, ANSWER_TIMEOUT).await;
    let path = format!("{STREAMS_PATH}/{A}?after=2");
    let resumed = open(engine.address(), call(Method::GET, &path, A, Vec::new())).await;
    let echo = resumed.headers()[ATTEMPT_HEADER].clone();
    let resumed = read_events(resumed, ANSWER_TIMEOUT).await;

    assert_eq!(broken.numbers, [1, 2, 3]);
    assert!(broken.failed && !broken.closed);
    assert_eq!(resumed.numbers, [3, 4, 5, 6]);
    assert_eq!(resumed.data[0], broken.data[2]);
    assert_eq!(echo, A.to_string().as_str());
    assert!(resumed.closed);
}

#[tokio::test]
async fn verify_unknown_stream_is_not_found_and_its_cancel_changes_nothing() {
    let engine = start(fast_engine()).await;
    let path = format!("{STREAMS_PATH}/{A}");

    let get =
        fetch(engine.address(), call(Method::GET, &path, A, Vec::new()), ANSWER_TIMEOUT).await;
    let delete =
        fetch(engine.address(), call(Method::DELETE, &path, A, Vec::new()), ANSWER_TIMEOUT).await;

    assert_eq!(get.unwrap().status, StatusCode::NOT_FOUND);
    assert_eq!(delete.unwrap().status, StatusCode::NO_CONTENT);
}

#[tokio::test]
async fn verify_cancel_ends_the_work() {
    let engine = start(EngineOptions::default()).await;
    let answer = open(engine.address(), completion(A, &chat("Go on.", true, 100_000))).await;
    let open_before = engine.open_attempts();

    let path = format!("{STREAMS_PATH}/{A}");
    fetch(engine.address(), call(Method::DELETE, &path, A, Vec::new()), ANSWER_TIMEOUT)
        .await
        .unwrap();
    let events = read_events(answer, ANSWER_TIMEOUT).await;

    assert_eq!(open_before, [A]);
    assert_eq!(engine.open_attempts(), []);
    assert_eq!(engine.attempts()[0].end.map(|(end, _)| end), Some(AttemptEnd::Cancelled));
    assert!(events.failed && !events.closed);
}

#[tokio::test]
async fn verify_kv_cache_moves_from_prefill_to_decode() {
    let prefill = start(EngineOptions { role: Role::Prefill, ..fast_engine() }).await;
    let decode = start(EngineOptions { role: Role::Decode, ..fast_engine() }).await;
    let other = start(EngineOptions { role: Role::Decode, ..fast_engine() }).await;
    let kv_path = format!("{KV_PATH}/{A}");
    let dossier = "Lot 7, a walnut bureau. ".repeat(200);

    let without_kv =
        fetch(decode.address(), completion(A, &chat(&dossier, false, 4)), ANSWER_TIMEOUT).await;
    let prefilled =
        fetch(prefill.address(), completion(A, &chat(&dossier, false, 0)), ANSWER_TIMEOUT).await;
    let kv =
        fetch(prefill.address(), call(Method::GET, &kv_path, A, Vec::new()), ANSWER_TIMEOUT).await;
    let kv = kv.unwrap().body.to_vec();
    let put = fetch(decode.address(), call(Method::POST, &kv_path, A, kv), ANSWER_TIMEOUT).await;
    let pull_path = format!("{kv_path}?from={}", prefill.address());
    let pull = || call(Method::POST, &pull_path, A, Vec::new());
    let pulled = fetch(other.address(), pull(), ANSWER_TIMEOUT).await;
    let after_pull =
        fetch(other.address(), completion(A, &chat(&dossier, false, 4)), ANSWER_TIMEOUT).await;
    prefill.set_loses_kv(true);
    let lost = fetch(other.address(), pull(), ANSWER_TIMEOUT).await;
    let decoded =
        fetch(decode.address(), completion(A, &chat(&dossier, false, 4)), ANSWER_TIMEOUT).await;

    let without_kv = without_kv.unwrap();
    assert_eq!(without_kv.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(without_kv.headers[REFUSED_HEADER], "true");
    assert_eq!(prefilled.unwrap().status, StatusCode::OK);
    assert_eq!(put.unwrap().status, StatusCode::NO_CONTENT);
    assert_eq!(pulled.unwrap().status, StatusCode::NO_CONTENT);
    assert_eq!(after_pull.unwrap().status, StatusCode::OK);
    assert_eq!(lost.unwrap().status, StatusCode::NOT_FOUND);
    let answer: ChatAnswer = serde_json::from_slice(&decoded.unwrap().body).unwrap();
    let expected = expected_output(&chat(&dossier, false, 4).messages, Tokens(4));
    assert_eq!(answer.choices[0].message.content, expected);
}

#[tokio::test]
async fn verify_disconnect_during_a_whole_answer_frees_the_engine() {
    let engine = start(EngineOptions::default()).await;

    let left =
        fetch(engine.address(), completion(A, &chat("Go on.", false, 100_000)), Millis(50)).await;
    let end = engine.ended(A).await;

    assert!(left.unwrap_err().timed_out);
    assert_eq!(end, AttemptEnd::Abandoned);
}

#[tokio::test]
async fn verify_unread_stream_is_abandoned_after_its_resume_window() {
    let resume_window = Millis(20);
    let opts = EngineServerOptions { resume_window, ..EngineServerOptions::default() };
    let engine = EngineServer::start(opts).await.unwrap();

    drop(open(engine.address(), completion(A, &chat("Go on.", true, 100_000))).await);
    let end = engine.ended(A).await;
    let path = format!("{STREAMS_PATH}/{A}");
    let late =
        fetch(engine.address(), call(Method::GET, &path, A, Vec::new()), ANSWER_TIMEOUT).await;

    assert_eq!(end, AttemptEnd::Abandoned);
    assert_eq!(late.unwrap().status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn verify_role_order_drops_open_requests() {
    // An order given before the drain is complete truncates callers' answers at a planned change:
    // here a stream and a whole answer are open when the engine is ordered to change its role.
    let engine = start(EngineOptions::default()).await;
    let stream = open(engine.address(), completion(A, &chat("Go on.", true, 100_000))).await;
    let whole = completion(AttemptId(0xb), &chat("Go on.", false, 100_000));
    let whole = tokio::spawn(fetch(engine.address(), whole, ANSWER_TIMEOUT));
    while engine.open_attempts().len() < 2 {
        tokio::task::yield_now().await;
    }

    let stamp = Stamp { term: Term(1), seq: 1 };
    let order = StampedOrder { stamp, order: Order::SetRole { role: Role::Decode } };
    let order = call(Method::POST, ORDERS_PATH, A, serde_json::to_vec(&order).unwrap());
    fetch(engine.address(), order, ANSWER_TIMEOUT).await.unwrap();
    let events = read_events(stream, ANSWER_TIMEOUT).await;
    let whole = whole.await.unwrap();

    assert!(events.failed && !events.closed);
    assert_eq!(whole.unwrap_err().stage, Stage::FirstByte);
    assert_eq!(engine.orders()[0].cut, [A, AttemptId(0xb)]);
    assert_eq!(engine.ended(A).await, AttemptEnd::Cut);
}
