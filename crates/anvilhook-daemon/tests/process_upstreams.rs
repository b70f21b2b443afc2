//! Tests of planned changes, and of upstreams that leave or stop responding, with load on real daemon
//! processes.

#[path = "processes/calls.rs"]
mod calls;
#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
#[path = "processes/fleets.rs"]
mod fleets;
#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod processes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use anvilhook_bench::callers::{Caller, ChatCall, Outcome};
use anvilhook_bench::sites::{SiteOptions, engine_name, name, redeclare, zone};
use anvilhook_core::Verdict;
use anvilhook_core::resources::{
    ConditionState, DrainPlanSpec, DrainTarget, Kind, ResourceKey, Spec,
};
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_platform::{ListedInstance, ListedState};
use anvilhook_standin::engines::{AttemptEnd, EngineOptions, EngineServer, expected_output};
use anvilhook_standin::faults::FrontOptions;
use anvilhook_standin::plain::{PlainServer, PlainServerOptions, RunLedger};
use calls::{Sent, check_sent, plain_call};
use fleets::{Fleet, Member, check_orders, until};
use tokio::task::JoinHandle;

/// The number of tokens of a long stream, which takes a few seconds at a slow engine.
const LONG: u64 = 100;

fn slow_engine() -> EngineOptions {
    EngineOptions {
        decode_step_ms: 20.0,
        model_load: Millis(300),
        ..EngineOptions::default().faster(10.0)
    }
}

fn stream(prompt: String, max_tokens: u64) -> ChatCall {
    ChatCall { prompt, max_tokens, stream: true, deadline: Millis::from_secs(20) }
}

fn open_stream(fleet: &Fleet, member: &Member, call: &ChatCall) -> JoinHandle<Outcome> {
    let (caller, call) = (fleet.caller.clone(), call.clone());
    let instance = member.daemon.callers();
    tokio::spawn(async move { caller.chat(instance, &call).await })
}

/// Starts upstreams that run a call immediately and answer it after a delay.
async fn slow_plain_servers(ledger: &RunLedger) -> Vec<PlainServer> {
    let front = FrontOptions { holds_connections: true, ..FrontOptions::default() };
    let mut servers = Vec::new();
    for _ in 0..2 {
        let (ledger, run_time) = (ledger.clone(), Millis(100));
        let opts = PlainServerOptions { front, ledger, run_time, ..Default::default() };
        servers.push(PlainServer::start(opts).await.expect("an upstream starts"));
    }
    servers
}

fn is_whole(call: &ChatCall, outcome: &Outcome) -> bool {
    let expected = expected_output(&call.messages(), Tokens(call.max_tokens));
    outcome.answer().is_some_and(|answer| answer.text == expected)
}

fn open_attempts(engines: &[EngineServer]) -> usize {
    engines.iter().map(|engine| engine.open_attempts().len()).sum()
}

fn orders(fleet: &Fleet) -> usize {
    fleet.site.engines.iter().map(|engine| engine.orders().len()).sum()
}

/// Returns whether `member` reports that a resource waits for `awaited`.
async fn waits_for(member: &Member, key: &ResourceKey, awaited: &str) -> bool {
    let Ok(why) = member.api.why(key).await else { return false };
    why.waiting.iter().any(|waiting| waiting.condition.message.contains(awaited))
}

fn engine_key(index: usize) -> ResourceKey {
    ResourceKey { kind: Kind::Engine, name: name(engine_name(index).as_str()) }
}

/// Sends one chat request after another until `done` is set, and returns the calls with their outcomes.
fn ask_repeatedly(
    caller: Caller,
    instance: SocketAddr,
    done: Arc<AtomicBool>,
) -> JoinHandle<Vec<(ChatCall, Outcome)>> {
    tokio::spawn(async move {
        let mut ended = Vec::new();
        while !done.load(Ordering::Acquire) {
            let call = stream(format!("question {} at {instance}", ended.len()), 10);
            let outcome = caller.chat(instance, &call).await;
            ended.push((call, outcome));
        }
        ended
    })
}

/// Guards against a stream that is truncated when engines are changed while an instance does not
/// respond: an instance freezes with a stream open, a drain and a new model version are declared, and
/// the frozen instance resumes later. A missing acknowledgement is treated as an acknowledgement.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_frozen_instance_delays_planned_changes_and_no_stream_is_truncated() {
    let options =
        SiteOptions { engines: 3, engine: slow_engine(), plain: 0, ..SiteOptions::default() };
    let fleet = Fleet::start("veto", &options).await;
    let holder = fleet.holder().await;
    let (holder_member, frozen) = (&fleet.members[holder], &fleet.members[1 - holder]);
    let done = Arc::new(AtomicBool::new(false));
    let asking: Vec<_> = (0..2)
        .map(|_| {
            ask_repeatedly(fleet.caller.clone(), holder_member.daemon.callers(), Arc::clone(&done))
        })
        .collect();
    let long = stream("Read the whole manual.".to_owned(), LONG);
    let open = open_stream(&fleet, frozen, &long);
    let digest = anvilhook_standin::engines::prompt_digest(&long.messages());
    until("the long stream has begun", async || {
        let attempts = fleet.site.engines.iter().flat_map(EngineServer::attempts);
        attempts.into_iter().any(|attempt| attempt.prompt == digest)
    })
    .await;
    frozen.daemon.signal("STOP");

    let plan = DrainPlanSpec {
        pool: name("runners"),
        target: DrainTarget::Engines(vec![engine_name(2)]),
        max_at_once: 1,
        pace_ms: Millis::ZERO,
        min_serving: 1,
    };
    let plan_key = ResourceKey { kind: Kind::DrainPlan, name: name("spring-clean") };
    let declared = vec![(plan_key.name.clone(), Spec::DrainPlan(plan))];
    redeclare(&fleet.site.platform, declared).await.expect("the plan is declared");
    fleet.want_version(2).await;
    until("the change waits for the frozen instance by name", async || {
        let mut is_named = false;
        for engine in 0..options.engines {
            is_named |= waits_for(holder_member, &engine_key(engine), frozen.name().as_str()).await;
        }
        is_named || orders(&fleet) > 0
    })
    .await;
    assert_eq!(orders(&fleet), 0, "an order without the frozen instance's acknowledgement");

    frozen.daemon.signal("CONT");
    fleet.version_loaded(2).await;
    until("the drain is done", async || {
        let Ok(why) = holder_member.api.why(&plan_key).await else { return false };
        why.observed.iter().any(|seen| seen.condition.state == ConditionState::True)
    })
    .await;
    done.store(true, Ordering::Release);

    let outcome = open.await.expect("the caller's task ends");
    assert!(is_whole(&long, &outcome), "the frozen instance's stream: {outcome:?}");
    for task in asking {
        for (call, outcome) in task.await.expect("the caller's task ends") {
            assert!(is_whole(&call, &outcome), "{call:?}: {outcome:?}");
        }
    }
    for (index, engine) in fleet.site.engines.iter().enumerate() {
        check_orders(index, &engine.orders(), "veto");
        let is_interrupted = |end| matches!(end, Some((AttemptEnd::Cut, _)));
        assert!(
            !engine.attempts().iter().any(|attempt| is_interrupted(attempt.end)),
            "engine {index}"
        );
    }
}

/// Guards against callers that wait for ever, or an alert that is sent twice, after a network switch
/// lost its connection state: all open connections to all upstreams stop delivering data during streams
/// and alerts, while new connections work. The wait on such a connection has no limit, or a call is sent
/// again on a new connection although it may have run.
#[tokio::test(flavor = "multi_thread")]
async fn verify_silent_connections_lose_no_stream_and_duplicate_no_call() {
    let ledger = RunLedger::default();
    let plain = slow_plain_servers(&ledger).await;
    let other_plain = plain.iter().map(PlainServer::address).collect();
    let options =
        SiteOptions { engine: slow_engine(), plain: 0, other_plain, ..SiteOptions::default() };
    let fleet = Fleet::start("silence", &options).await;
    let streams: Vec<_> = (0..8)
        .map(|number| {
            let call = stream(format!("manual {number}"), LONG);
            let open = open_stream(&fleet, &fleet.members[number % 2], &call);
            (call, open)
        })
        .collect();
    let (ended, done) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let calling: Vec<_> = (0..12)
        .map(|number| {
            let (caller, ended, done) = (fleet.caller.clone(), ended.clone(), done.clone());
            let instance = fleet.members[number % 2].daemon.callers();
            tokio::spawn(async move {
                let mut all = Vec::new();
                while !done.load(Ordering::Acquire) {
                    let call = plain_call(number, all.len(), number.is_multiple_of(3));
                    let outcome = caller.plain(instance, &call).await;
                    ended.fetch_add(1, Ordering::AcqRel);
                    all.push(Sent { call, outcomes: vec![outcome] });
                }
                all
            })
        })
        .collect();
    until("all streams run", async || open_attempts(&fleet.site.engines) == streams.len()).await;

    until("calls have run and are unanswered", async || {
        ledger.all().len() >= ended.load(Ordering::Acquire) + calling.len() / 2
    })
    .await;
    fleet.site.engines.iter().for_each(|engine| engine.front().connections().silence_all());
    plain.iter().for_each(|plain| plain.front().connections().silence_all());
    let runs = ledger.all().len();
    until("calls run on new connections", async || ledger.all().len() > runs + 50).await;
    done.store(true, Ordering::Release);

    for (call, open) in streams {
        let outcome = open.await.expect("the caller's task ends");
        let is_true =
            matches!(outcome, Outcome::Failed { verdict, .. } if verdict != Verdict::NotRun);
        assert!(is_whole(&call, &outcome) || is_true, "{call:?}: {outcome:?}");
    }
    let mut in_doubt = 0;
    for task in calling {
        for sent in task.await.expect("the caller's task ends") {
            in_doubt += usize::from(sent.outcomes[0].answer().is_none());
            let is_lost = matches!(sent.outcomes[0], Outcome::Lost { .. } | Outcome::Unreachable);
            assert!(!is_lost, "the instance reports each call's outcome: {:?}", sent.outcomes);
            check_sent(&sent, &ledger);
        }
    }
    assert!(in_doubt > 0, "no call was open on a silent connection, so the test checked nothing");
}

/// Guards against requests that are interrupted when a machine is removed although its removal was
/// announced long before: the platform lists an engine as leaving during a stream, and callers continue
/// to send requests. The list is read, but the router does not receive the update.
#[tokio::test(flavor = "multi_thread")]
async fn verify_an_engine_listed_as_leaving_gets_no_new_work() {
    let options = SiteOptions {
        engine: slow_engine(),
        plain: 0,
        list_lag: Millis::ZERO,
        ..SiteOptions::default()
    };
    let fleet = Fleet::start("leaving", &options).await;
    let leaving = &fleet.site.engines[0];
    let mut streams = Vec::new();
    until("the leaving engine has a stream", async || {
        let call = stream(format!("manual {}", streams.len()), LONG);
        let open = open_stream(&fleet, &fleet.members[streams.len() % 2], &call);
        streams.push((call, open));
        !leaving.open_attempts().is_empty()
    })
    .await;

    fleet.site.platform.enter_instance(ListedInstance {
        name: engine_name(0),
        address: leaving.address(),
        zone: zone(0),
        state: ListedState::Leaving,
    });
    // Several parts of an instance read the list. After this many calls each has read it at least twice.
    let reads = |member: &Member| member.platform.counts().list_calls;
    let before: Vec<u64> = fleet.members.iter().map(reads).collect();
    until("both instances have read the list", async || {
        fleet.members.iter().zip(&before).all(|(member, before)| reads(member) >= before + 20)
    })
    .await;
    let (begun, elsewhere) = (leaving.attempts().len(), fleet.site.engines[1].attempts().len());
    for turn in 0..20 {
        let member = &fleet.members[turn % 2];
        let answered = fleet.answers_chat(member, &format!("question {turn}")).await;
        assert_eq!(answered, Ok(()), "question {turn}");
    }

    assert_eq!(leaving.attempts().len(), begun, "new work at the leaving engine");
    assert!(
        fleet.site.engines[1].attempts().len() >= elsewhere + 20,
        "the other engine runs the requests"
    );
    for (call, open) in streams {
        let outcome = open.await.expect("the caller's task ends");
        assert!(is_whole(&call, &outcome), "{call:?}: {outcome:?}");
    }
}
