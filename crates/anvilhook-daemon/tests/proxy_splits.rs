//! Requests that two engines share: whole answers, true verdicts and counts under every fault of a
//! part, on the stand-in engines.

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
use support::fronts::{self, FrontUnderTest, PATIENCE, chat_body, configuration};
use volo_http::body::Body;

const PROMPT: &str = "Lot 7, a walnut bureau: which century?";
/// The stand-in's output where the request names no length.
const OUTPUT: Tokens = Tokens(64);
/// What the instance believes: two engines read, two generate.
const BELIEVED: [Role; 4] = [Role::Prefill, Role::Prefill, Role::Decode, Role::Decode];
const READERS: [usize; 2] = [0, 1];
const WRITERS: [usize; 2] = [2, 3];

/// `Trouble` is what is wrong with an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    None,
    /// Its process has ended.
    Dead,
    /// Its completions run and are reset before their answers' first byte.
    Resets,
    /// It refuses completions before running.
    Refuses,
    /// Its role is another than its last report says.
    OtherRole,
    /// KV caches are gone from it when they are fetched.
    KvGone,
    /// It ends the connection of whoever has it pull.
    PullBroken,
}

async fn engines(trouble: Trouble, at: &[usize]) -> Vec<EngineServer> {
    let mut engines = Vec::new();
    for (index, believed) in BELIEVED.into_iter().enumerate() {
        let troubled = at.contains(&index);
        let role = match (troubled && trouble == Trouble::OtherRole, believed) {
            (true, Role::Prefill) => Role::Decode,
            (true, _) => Role::Prefill,
            (false, role) => role,
        };
        let engine = EngineOptions { role, ..EngineOptions::default().faster(50.0) };
        let opts = EngineServerOptions { engine, ..Default::default() };
        let server = EngineServer::start(opts).await.expect("a free port");
        match trouble {
            _ if !troubled => {}
            Trouble::None | Trouble::OtherRole => {}
            Trouble::Dead => server.crash().await,
            Trouble::Resets => {
                server.front().switches().always(Some(Fault::ResetBeforeFirstByte.into()))
            }
            Trouble::Refuses => server.front().switches().always(Some(Fault::OwnRefusal.into())),
            Trouble::KvGone => server.set_loses_kv(true),
            Trouble::PullBroken => {
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
    // No case waits for a timeout, so these may be generous.
    let edit = |spec: &mut anvilhook_core::resources::ServiceSpec| {
        spec.deadline_ms = PATIENCE;
        spec.first_byte_ms = Millis(PATIENCE.0 / 2);
        spec.between_events_ms = Millis(PATIENCE.0 / 2);
        spec.max_answer_bytes = 1_000_000;
    };
    configuration(&addresses, edit, (100_000, 100_000))
}

async fn start(engines: &[EngineServer]) -> FrontUnderTest<NoClaims> {
    let front = fronts::start(&configured(engines), FrontOptions::default(), NoClaims).await;
    for (index, role) in BELIEVED.into_iter().enumerate() {
        front.front.state().upstreams()[&engine_name(index)].set_role(role);
    }
    front
}

fn engine_name(index: usize) -> UpstreamName {
    format!("e{index}").parse().expect("a name")
}

/// Waits until the instance counts nothing in at any engine.
async fn wait_until_idle(front: &FrontUnderTest<NoClaims>) -> bool {
    let in_flight = || (0..BELIEVED.len()).any(|i| front.front.in_flight_at(&engine_name(i)) > 0);
    let idle = async {
        while in_flight() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE.as_duration(), idle).await.is_ok()
}

fn ended(engine: &EngineServer, how: AttemptEnd) -> HashSet<AttemptId> {
    let attempts = engine.attempts().into_iter();
    attempts.filter(|it| it.end.is_some_and(|(end, _)| end == how)).map(|it| it.attempt).collect()
}

/// Asks once and returns the outcome, and whether an answer was the whole right one.
async fn ask(front: &FrontUnderTest<NoClaims>, stream: bool) -> (String, bool) {
    let body = chat_body(PROMPT, stream);
    if stream {
        let (numbers, outcome) = front.ask_streamed(&body).await;
        return (outcome, numbers == (1..=OUTPUT.0).collect::<Vec<u64>>());
    }
    let told = front.ask("POST", "/v1/chat/completions", &[], &body).await;
    let message = ChatMessage { role: "user".to_owned(), content: PROMPT.to_owned() };
    (told.outcome(), told.body.contains(&expected_output(&[message], OUTPUT)))
}

/// Symptom: a caller gets a part of an answer, or hears "not run" of a request whose prompt was
/// read, or an engine that is being drained still has a request.
/// Sequence: one of the two engines that share a request dies, refuses, has lost the KV cache, or
/// has another role than its last report says.
/// Cause: the failure of one part taken for that of the whole request, or one of the two counts
/// forgotten.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn verify_every_fault_of_a_part() {
    const A: &str = "answered";
    const M: &str = "may-have-run";
    const N: &str = "not-run";
    // The outcomes where one engine has the trouble, and where both of its kind have.
    let table = [
        (Trouble::None, READERS, [A, A]),
        (Trouble::Dead, READERS, [A, N]),
        (Trouble::Resets, READERS, [A, M]),
        (Trouble::Refuses, READERS, [A, N]),
        (Trouble::OtherRole, READERS, [A, N]),
        (Trouble::KvGone, READERS, [A, M]),
        (Trouble::PullBroken, WRITERS, [A, M]),
        (Trouble::Dead, WRITERS, [A, M]),
        (Trouble::Resets, WRITERS, [A, M]),
        (Trouble::Refuses, WRITERS, [A, M]),
        (Trouble::OtherRole, WRITERS, [A, M]),
    ];
    let mut failures = Vec::new();
    for (trouble, kind, [one, both]) in table {
        for stream in [false, true] {
            for (at, expected) in [(&kind[..1], one), (&kind[..], both)] {
                failures.extend(check(trouble, at, stream, expected).await.err());
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Returns what does not hold of one case.
async fn check(trouble: Trouble, at: &[usize], stream: bool, expected: &str) -> Result<(), String> {
    let engines = engines(trouble, at).await;
    let front = start(&engines).await;

    let (outcome, is_whole) = ask(&front, stream).await;

    let is_idle = wait_until_idle(&front).await;
    let answered = outcome == "answered";
    let ran = engines.iter().any(|engine| engine.attempts().iter().any(|it| it.ran()));
    let of = |how| engines.iter().flat_map(move |engine| ended(engine, how)).collect();
    let (read, written): (HashSet<_>, HashSet<_>) =
        (of(AttemptEnd::Prefilled), of(AttemptEnd::Finished));
    let rules = [
        (outcome == expected, "another outcome"),
        (answered == is_whole, "a part taken for the answer"),
        (outcome != "not-run" || !ran, "a false \"not run\""),
        (written.is_subset(&read), "generated what no other engine had read"),
        (!answered || !written.is_empty(), "an answer to nothing"),
        (written.len() <= 1 || trouble == Trouble::Resets, "generated twice"),
        (is_idle, "still counted in"),
    ];
    let broken = rules.iter().find(|(holds, _)| !holds).map(|(_, rule)| rule);
    match broken {
        None => Ok(()),
        Some(rule) => Err(format!(
            "{rule}: {trouble:?} at {at:?}, stream: {stream}: {outcome}, expected {expected}"
        )),
    }
}

/// Symptom: an engine's role is changed while another fetches a KV cache from it, or an engine
/// keeps the cache of a request whose caller has gone.
/// Sequence: the caller goes while the cache moves from one engine to the other.
/// Cause: the request counted in, or cancelled, at one of the two engines only.
#[tokio::test(flavor = "multi_thread")]
async fn verify_both_engines_hold_the_request_until_its_cancel() {
    let engines = engines(Trouble::None, &[]).await;
    for writer in WRITERS {
        let hang = FaultPlan::from(Fault::HangBeforeFirstByte).before_run();
        engines[writer].pulls().always(Some(hang));
    }
    let front = start(&engines).await;
    let held = |kind: [usize; 2]| -> u64 {
        kind.into_iter().map(|i| front.front.in_flight_at(&engine_name(i))).sum()
    };

    let body = chat_body(PROMPT, false);
    let asking = front.ask("POST", "/v1/chat/completions", &[], &body);
    let moving = async {
        while WRITERS.into_iter().all(|writer| engines[writer].pull_count() == 0) {
            tokio::task::yield_now().await;
        }
        (held(READERS), held(WRITERS))
    };
    // The caller's connection is dropped with the call.
    let both_held = tokio::select! {
        told = asking => panic!("answered without a cache: {told:?}"),
        held = moving => held,
    };
    let is_idle = wait_until_idle(&front).await;

    assert_eq!(both_held, (1, 1), "a drain of either engine waits");
    assert!(is_idle, "cancelled at both");
    let read = |i: &usize| !ended(&engines[*i], AttemptEnd::Prefilled).is_empty();
    let reader = &engines[READERS.into_iter().find(read).expect("the prompt was read")];
    assert_eq!(export(reader).await, StatusCode::NOT_FOUND, "its cache is freed");
}

/// Asks an engine for the KV cache of its only attempt.
async fn export(engine: &EngineServer) -> StatusCode {
    let attempt = engine.attempts()[0].attempt.to_string();
    let req = Request::get(format!("{KV_PATH}/{attempt}")).header(ATTEMPT_HEADER, attempt);
    let req = req.body(Body::empty()).expect("a request");
    let client = HttpClient::try_new(&ClientOptions::default()).expect("a client");
    let answer = client.send(engine.address(), req, Connection::New, PATIENCE).await;
    answer.expect("an answer").status()
}
