//! Tests of requests that are split between two engines: complete answers, correct verdicts and correct
//! counts under every fault of one part, on the stand-in engines.

#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod support;

use std::collections::HashSet;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::names::UpstreamName;
use anvilhook_core::orders::Role;
use anvilhook_core::resources::Configuration;
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_daemon::front::FrontOptions;
use anvilhook_daemon::proxy::NoClaims;
use anvilhook_engine::wire::{ATTEMPT_HEADER, ChatMessage, KV_PATH};
use anvilhook_http::clients::Connection;
use anvilhook_http::{ClientOptions, HttpClient};
use anvilhook_standin::engines::{
    AttemptEnd, EngineOptions, EngineServer, EngineServerOptions, expected_output,
};
use anvilhook_standin::faults::{Fault, FaultPlan};
use http::{Request, StatusCode};
use support::fronts::{self, FrontUnderTest, TEST_TIMEOUT, chat_body, configuration};
use volo_http::body::Body;

const PROMPT: &str = "Lot 7, a walnut bureau: which century?";
/// The length of the stand-in's output if the request names none.
const OUTPUT: Tokens = Tokens(64);
/// The roles in the cached state of the instance: two engines read (prefill), two generate (decode).
const CACHED_ROLES: [Role; 4] = [Role::Prefill, Role::Prefill, Role::Decode, Role::Decode];
const READERS: [usize; 2] = [0, 1];
const GENERATORS: [usize; 2] = [2, 3];

/// `EngineFault` is the fault of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EngineFault {
    None,
    /// Its process has terminated.
    Dead,
    /// It runs completions, but resets their connections before the first byte of the answer.
    Resets,
    /// It refuses completions before running them.
    Refuses,
    /// Its role differs from the role in its last report.
    OtherRole,
    /// It has lost the KV caches when they are fetched.
    KvGone,
    /// It closes the connection of a caller that requests it to pull a KV cache.
    PullBroken,
}

async fn engines(fault: EngineFault, at: &[usize]) -> Vec<EngineServer> {
    let mut engines = Vec::new();
    for (index, cached_role) in CACHED_ROLES.into_iter().enumerate() {
        let is_faulty = at.contains(&index);
        let role = match (is_faulty && fault == EngineFault::OtherRole, cached_role) {
            (true, Role::Prefill) => Role::Decode,
            (true, _) => Role::Prefill,
            (false, role) => role,
        };
        let engine = EngineOptions { role, ..EngineOptions::default().faster(50.0) };
        let opts = EngineServerOptions { engine, ..Default::default() };
        let server = EngineServer::start(opts).await.expect("a free port");
        match fault {
            _ if !is_faulty => {}
            EngineFault::None | EngineFault::OtherRole => {}
            EngineFault::Dead => server.crash().await,
            EngineFault::Resets => {
                server.front().switches().always(Some(Fault::ResetBeforeFirstByte.into()))
            }
            EngineFault::Refuses => {
                server.front().switches().always(Some(Fault::OwnRefusal.into()))
            }
            EngineFault::KvGone => server.set_loses_kv(true),
            EngineFault::PullBroken => {
                server
                    .pulls()
                    .always(Some(FaultPlan::from(Fault::CloseWithoutAnswer).before_run()));
            }
        }
        engines.push(server);
    }
    engines
}

fn configured(engines: &[EngineServer]) -> Configuration {
    let addresses: Vec<_> = engines.iter().map(EngineServer::address).collect();
    // No case waits for a timeout, so these limits can be long.
    let edit = |spec: &mut anvilhook_core::resources::ServiceSpec| {
        spec.deadline_ms = TEST_TIMEOUT;
        spec.first_byte_ms = Millis(TEST_TIMEOUT.0 / 2);
        spec.between_events_ms = Millis(TEST_TIMEOUT.0 / 2);
        spec.max_answer_bytes = 1_000_000;
    };
    configuration(&addresses, edit, (100_000, 100_000))
}

async fn start(engines: &[EngineServer]) -> FrontUnderTest<NoClaims> {
    let front = fronts::start(&configured(engines), FrontOptions::default(), NoClaims).await;
    for (index, role) in CACHED_ROLES.into_iter().enumerate() {
        front.front.state().upstreams()[&engine_name(index)].set_role(role);
    }
    front
}

fn engine_name(index: usize) -> UpstreamName {
    format!("e{index}").parse().expect("a name")
}

/// Waits until the instance counts no request in flight at any engine. Returns false on a timeout.
async fn wait_until_idle(front: &FrontUnderTest<NoClaims>) -> bool {
    let in_flight =
        || (0..CACHED_ROLES.len()).any(|i| front.front.in_flight_at(&engine_name(i)) > 0);
    let idle = async {
        while in_flight() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT.as_duration(), idle).await.is_ok()
}

fn ended(engine: &EngineServer, how: AttemptEnd) -> HashSet<AttemptId> {
    let attempts = engine.attempts().into_iter();
    attempts.filter(|it| it.end.is_some_and(|(end, _)| end == how)).map(|it| it.attempt).collect()
}

/// Sends one request, and returns its outcome and whether the answer was complete and correct.
async fn ask(front: &FrontUnderTest<NoClaims>, stream: bool) -> (String, bool) {
    let body = chat_body(PROMPT, stream);
    if stream {
        let (numbers, outcome) = front.ask_streamed(&body).await;
        return (outcome, numbers == (1..=OUTPUT.0).collect::<Vec<u64>>());
    }
    let answer = front.ask("POST", "/v1/chat/completions", &[], &body).await;
    let message = ChatMessage { role: "user".to_owned(), content: PROMPT.to_owned() };
    (answer.outcome(), answer.body.contains(&expected_output(&[message], OUTPUT)))
}

/// Guards against a caller that receives a partial answer, or "not run" for a request whose prompt was
/// read, and against a request that remains at a drained engine: one of the two engines of a split
/// request terminates, refuses, has lost the KV cache, or has another role than in its last report. The
/// failure of one part is treated as that of the whole request, or one of the two counts is missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn verify_every_fault_of_a_part() {
    const A: &str = "answered";
    const M: &str = "may-have-run";
    const N: &str = "not-run";
    // The outcomes if one engine of the kind has the fault, and if both have it.
    let table = [
        (EngineFault::None, READERS, [A, A]),
        (EngineFault::Dead, READERS, [A, N]),
        (EngineFault::Resets, READERS, [A, M]),
        (EngineFault::Refuses, READERS, [A, N]),
        (EngineFault::OtherRole, READERS, [A, N]),
        (EngineFault::KvGone, READERS, [A, M]),
        (EngineFault::PullBroken, GENERATORS, [A, M]),
        (EngineFault::Dead, GENERATORS, [A, M]),
        (EngineFault::Resets, GENERATORS, [A, M]),
        (EngineFault::Refuses, GENERATORS, [A, M]),
        (EngineFault::OtherRole, GENERATORS, [A, M]),
    ];
    let mut failures = Vec::new();
    for (fault, kind, [one, both]) in table {
        for stream in [false, true] {
            for (at, expected) in [(&kind[..1], one), (&kind[..], both)] {
                failures.extend(check(fault, at, stream, expected).await.err());
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Checks one case, and returns the rule that it violates as an error.
async fn check(
    fault: EngineFault,
    at: &[usize],
    stream: bool,
    expected: &str,
) -> Result<(), String> {
    let engines = engines(fault, at).await;
    let front = start(&engines).await;

    let (outcome, is_whole) = ask(&front, stream).await;

    let is_idle = wait_until_idle(&front).await;
    let answered = outcome == "answered";
    let ran = engines.iter().any(|engine| engine.attempts().iter().any(|it| it.ran()));
    let of = |how| engines.iter().flat_map(move |engine| ended(engine, how)).collect();
    let (read, generated): (HashSet<_>, HashSet<_>) =
        (of(AttemptEnd::Prefilled), of(AttemptEnd::Finished));
    let rules = [
        (outcome == expected, "unexpected outcome"),
        (answered == is_whole, "a partial answer counted as whole, or a whole one as failed"),
        (outcome != "not-run" || !ran, "a false \"not run\""),
        (generated.is_subset(&read), "generated output without another engine's prefill"),
        (!answered || !generated.is_empty(), "an answer without a run"),
        (generated.len() <= 1 || fault == EngineFault::Resets, "generated twice"),
        (is_idle, "still counted as in flight"),
    ];
    let broken = rules.iter().find(|(holds, _)| !holds).map(|(_, rule)| rule);
    match broken {
        None => Ok(()),
        Some(rule) => Err(format!(
            "{rule}: {fault:?} at {at:?}, stream: {stream}: {outcome}, expected {expected}"
        )),
    }
}

/// Guards against a role change of an engine from which another engine fetches a KV cache, and against a
/// cache that is retained after its caller disconnected: the caller disconnects during the transfer of
/// the cache, and the request is counted or cancelled at only one of the two engines.
#[tokio::test(flavor = "multi_thread")]
async fn verify_both_engines_hold_the_request_until_its_cancel() {
    let engines = engines(EngineFault::None, &[]).await;
    for generator in GENERATORS {
        let hang = FaultPlan::from(Fault::HangBeforeFirstByte).before_run();
        engines[generator].pulls().always(Some(hang));
    }
    let front = start(&engines).await;
    let held = |kind: [usize; 2]| -> u64 {
        kind.into_iter().map(|i| front.front.in_flight_at(&engine_name(i))).sum()
    };

    let body = chat_body(PROMPT, false);
    let asking = front.ask("POST", "/v1/chat/completions", &[], &body);
    let moving = async {
        while GENERATORS.into_iter().all(|generator| engines[generator].pull_count() == 0) {
            tokio::task::yield_now().await;
        }
        (held(READERS), held(GENERATORS))
    };
    // Dropping the call closes the caller's connection.
    let both_held = tokio::select! {
        answer = asking => panic!("answered without a cache: {answer:?}"),
        held = moving => held,
    };
    let is_idle = wait_until_idle(&front).await;

    assert_eq!(both_held, (1, 1), "a drain of either engine waits");
    assert!(is_idle, "cancelled at both");
    let read = |i: &usize| !ended(&engines[*i], AttemptEnd::Prefilled).is_empty();
    let reader = &engines[READERS.into_iter().find(read).expect("the prompt was read")];
    assert_eq!(export(reader).await, StatusCode::NOT_FOUND, "its cache is freed");
}

/// Requests the KV cache of an engine's only attempt.
async fn export(engine: &EngineServer) -> StatusCode {
    let attempt = engine.attempts()[0].attempt.to_string();
    let req = Request::get(format!("{KV_PATH}/{attempt}")).header(ATTEMPT_HEADER, attempt);
    let req = req.body(Body::empty()).expect("a request");
    let client = HttpClient::try_new(&ClientOptions::default()).expect("a client");
    let answer = client.send(engine.address(), req, Connection::New, TEST_TIMEOUT).await;
    answer.expect("an answer").status()
}
