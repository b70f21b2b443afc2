//! The promises of the system attacked on real daemon processes: kills, freezes, outages and races.
//! The decisions are covered under a manual clock elsewhere; these tests cover how they are wired.

#[path = "processes/calls.rs"]
mod calls;
#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
#[path = "processes/fleets.rs"]
mod fleets;
#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod processes;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvilhook_api::{ChangeStateAnswer, Code};
use anvilhook_bench::callers::{Caller, Outcome};
use anvilhook_bench::sites::{SiteOptions, name};
use anvilhook_core::Verdict;
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::InstanceName;
use anvilhook_core::orders::Term;
use anvilhook_core::resources::{Kind, Resource, ResourceKey, Spec};
use anvilhook_core::units::{Clock, Millis, Revision};
use anvilhook_platform::ListedState;
use anvilhook_standin::engines::EngineOptions;
use anvilhook_standin::platform::{Loss, Reach, Service};
use calls::{Sent, check_sent, plain_call};
use fleets::{Fleet, LEASE, Member, check_orders, replacing, until};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The seed of the ids of operators' changes. The site's declarations draw theirs from another.
const OPERATOR_SEED: u64 = 390;

/// How a frozen holder's fate becomes known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// It wakes up and acknowledges its successor.
    Wakes,
    /// The platform says that it is gone, and it wakes up all the same.
    ListedAsGone,
}

/// Returns whether `member` observes that some engine waits for `awaited`.
async fn waits_for(fleet: &Fleet, member: &Member, awaited: &InstanceName) -> bool {
    for engine in 0..fleet.site.engines.len() {
        let key = ResourceKey { kind: Kind::Engine, name: name(&format!("engine-{engine}")) };
        let Ok(why) = member.api.why(&key).await else { continue };
        let is_named = why.waiting.iter().any(|waiting| {
            waiting.observer == *member.name()
                && waiting.condition.message.contains(awaited.as_str())
        });
        if is_named {
            return true;
        }
    }
    false
}

/// Returns how many orders of a term or later all engines received.
fn orders_since(fleet: &Fleet, term: Term) -> usize {
    let logs = fleet.site.engines.iter().flat_map(|engine| engine.orders());
    logs.filter(|record| record.order.stamp.term >= term).count()
}

async fn attack_by_a_frozen_holder(test: &'static str, checks_fencing: bool, fate: Fate) {
    let case = format!("checks fencing: {checks_fencing}, {fate:?}");
    let engine = EngineOptions {
        checks_fencing,
        model_load: Millis(1_000),
        ..EngineOptions::default().faster(10.0)
    };
    let options = SiteOptions { engines: 3, engine, plain: 0, ..SiteOptions::default() };
    let fleet = Fleet::start(test, &options).await;
    let holder = fleet.holder().await;
    let (frozen, other) = (&fleet.members[holder], &fleet.members[1 - holder]);
    let before = other.lease().await.expect("a lease").term;

    // The holder freezes while its first order is being carried out and others are to follow.
    fleet.want_version(2).await;
    until("an order is given", async || orders_since(&fleet, before) > 0).await;
    frozen.daemon.signal("STOP");
    let mut term = before;
    until("the other instance takes over", async || {
        let Some(lease) = other.lease().await else { return false };
        term = lease.term;
        lease.holder.as_ref() == Some(other.name()) && lease.uncleared.contains(frozen.name())
    })
    .await;
    assert!(term > before, "{case}: a new holder has a new fencing number");
    until("the change waits for the frozen instance", async || {
        waits_for(&fleet, other, frozen.name()).await || orders_since(&fleet, term) > 0
    })
    .await;
    assert_eq!(orders_since(&fleet, term), 0, "{case}: an order without evidence");

    if fate == Fate::ListedAsGone {
        fleet.site.platform.enter_instance(frozen.line(ListedState::Gone));
        fleet.version_loaded(2).await;
    }
    frozen.daemon.signal("CONT");
    fleet.version_loaded(2).await;
    // One more change, which gives the woken instance the time to do harm.
    fleet.want_version(3).await;
    fleet.version_loaded(3).await;

    for (index, engine) in fleet.site.engines.iter().enumerate() {
        let log = engine.orders();
        check_orders(index, &log, &case);
        assert_eq!(log.len(), 2, "{case}: each engine is given each order once: {log:?}");
    }
    let lease = other.lease().await.expect("a lease");
    assert_eq!(lease.holder.as_ref(), Some(other.name()), "{case}: the new holder stays");
    assert!(lease.uncleared.is_empty(), "{case}: the former holder is cleared");
}

/// Symptom: an engine loads a model that was replaced long ago.
/// Sequence: the holder freezes amid a change, the other takes over, the first wakes up.
/// Cause: a process that goes by the authority it had when it fell asleep.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_frozen_holder_that_wakes_up_gives_no_order() {
    attack_by_a_frozen_holder("frozen-checks", true, Fate::Wakes).await;
}

/// Symptom: two orders at once at an engine that takes whatever comes.
/// Sequence: as above, at engines that ignore the fencing number.
/// Cause: a successor that gives orders while nothing says that the first will give no more.
#[tokio::test(flavor = "multi_thread")]
async fn verify_engines_that_ignore_fencing_wait_for_the_frozen_holder() {
    attack_by_a_frozen_holder("frozen-ignores", false, Fate::Wakes).await;
}

/// Symptom: a change waits for ever for an instance whose machine is gone.
/// Sequence: the frozen holder is listed as gone, its successor goes on, and it wakes up against the
/// platform's word.
/// Cause: a successor that does not read the list, or a sleeper that trusts its old lease.
#[tokio::test(flavor = "multi_thread")]
async fn verify_the_platforms_word_frees_the_engines_of_a_frozen_holder() {
    attack_by_a_frozen_holder("frozen-gone", false, Fate::ListedAsGone).await;
}

/// Calls the first instance until a call fails, and then has the second settle a keyed one.
async fn call_until_the_kill(
    caller: Caller,
    instances: [std::net::SocketAddr; 2],
    number: usize,
) -> Vec<Sent> {
    let is_keyed = number.is_multiple_of(2);
    let mut all = Vec::new();
    for turn in 0.. {
        let call = plain_call(number, turn, is_keyed);
        let outcome = caller.plain(instances[0], &call).await;
        let has_failed = outcome.answer().is_none();
        let mut sent = Sent { call, heard: vec![outcome] };
        if has_failed && is_keyed {
            sent.heard.push(caller.plain(instances[1], &sent.call).await);
        }
        all.push(sent);
        if has_failed {
            break;
        }
    }
    all
}

/// Symptom: a lot is sold twice after a machine failed.
/// Sequence: an instance is killed amid records and alerts; callers repeat at the other instance
/// under their keys.
/// Cause: a claim that does not stand before its request is sent, or that a repeat does not see.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_killed_instance_doubles_and_crosses_nothing() {
    let options = SiteOptions { engines: 1, ..SiteOptions::default() };
    let fleet = Fleet::start("killed", &options).await;
    let callers = [0, 1].map(|index| fleet.members[index].daemon.callers());
    let calling: Vec<_> = (0..24)
        .map(|number| tokio::spawn(call_until_the_kill(fleet.caller.clone(), callers, number)))
        .collect();
    until("calls are run", async || fleet.site.ledger.all().len() > 200).await;

    fleet.members[0].daemon.signal("KILL");
    let mut all = Vec::new();
    for task in calling {
        all.extend(task.await.expect("the caller's task ends"));
    }

    for sent in &all {
        check_sent(sent, &fleet.site.ledger);
    }
    let is_lost = |sent: &&Sent| matches!(sent.heard[0], Outcome::Lost { .. });
    assert!(
        all.iter().filter(is_lost).count() > 0,
        "the kill cut no call, so nothing was at stake"
    );
    let is_settled = |sent: &Sent| sent.heard.last().is_some_and(|last| last.answer().is_some());
    let repeated: Vec<&Sent> = all.iter().filter(|sent| sent.heard.len() > 1).collect();
    for sent in repeated.iter().filter(|sent| !is_settled(sent)) {
        let last = sent.heard.last();
        let in_doubt = matches!(last, Some(Outcome::Failed { verdict: Verdict::MayHaveRun, .. }));
        assert!(in_doubt, "a repeat is answered or in doubt, as the claim stands: {last:?}");
    }
}

fn account() -> ResourceKey {
    ResourceKey { kind: Kind::Account, name: name("kitchens") }
}

/// Puts another limit into the account at one instance, in place of what stands.
async fn change_account(
    member: &Member,
    standing: &Resource,
    requests_per_s: u32,
    id: ChangeId,
) -> anvilhook_api::Result<Revision> {
    let Spec::Account(mut spec) = standing.spec.clone() else { panic!("{standing:?}") };
    spec.requests_per_s = requests_per_s;
    let body = replacing(standing, &Spec::Account(spec));
    Ok(member.api.put(&account(), &body, id).await?.revision)
}

/// Returns the account as it is in force at an instance, for which no table is needed.
async fn standing_account(member: &Member) -> Resource {
    let all = member.api.configuration().await.expect("the configuration can be read");
    let account = all.items.into_iter().find(|item| item.spec.kind() == Kind::Account);
    account.expect("the account is declared")
}

/// Samples the revisions in force until it is told to stop; none may ever go back.
fn watch_revisions(member: &Member, done: Arc<AtomicBool>) -> tokio::task::JoinHandle<Revision> {
    let api = member.api.clone();
    tokio::spawn(async move {
        let mut last = Revision(0);
        while !done.load(Ordering::Acquire) {
            if let Ok(status) = api.status().await {
                assert!(status.in_force >= last, "{:?} after {last:?}", status.in_force);
                last = status.in_force;
            }
        }
        last
    })
}

/// Symptom: with the platform down, the site stands still or takes what it cannot keep.
/// Sequence: the table and the object store fail for longer than a lease; an instance restarts
/// meanwhile; then all comes back and a change is made.
/// Cause: a request path that waits for the table, or a start that needs it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_service_goes_on_while_the_platform_is_down() {
    let mut fleet = Fleet::start("outage", &SiteOptions::default()).await;
    let mut rng = ChaCha8Rng::seed_from_u64(OPERATOR_SEED);
    let standing = standing_account(&fleet.members[0]).await;
    let id = ChangeId::random(&mut rng);
    let accepted = change_account(&fleet.members[0], &standing, 1_000, id).await;
    let accepted = accepted.expect("the change is accepted");
    for member in &fleet.members {
        until("the change is in force", async || member.in_force().await == Some(accepted)).await;
        fleet.site.platform.enter_instance(member.line(ListedState::Live));
    }

    let faults = fleet.site.platform.faults();
    faults.set_reach_of(Service::Table, Reach::Refusing);
    faults.set_reach_of(Service::Objects, Reach::Refusing);
    let since = fleet.site.clock.now();
    let mut turn = 0;
    while fleet.site.clock.now() - since < Millis(LEASE.0 * 2) {
        turn += 1;
        let member = &fleet.members[turn % 2];
        let chat = fleet.answers_chat(member, &format!("question {turn}")).await;
        assert_eq!(chat, Ok(()), "chat needs no table");
        let alert = plain_call(0, turn, false);
        let outcome = fleet.caller.plain(member.daemon.callers(), &alert).await;
        assert!(outcome.answer().is_some(), "alerts need no table: {outcome:?}");
        assert_eq!(fleet.site.ledger.runs_of_body(alert.body.as_bytes()), 1);
        assert_eq!(member.in_force().await, Some(accepted), "what was accepted stays in force");
    }

    let record = plain_call(1, 0, true);
    let outcome = fleet.caller.plain(fleet.members[0].daemon.callers(), &record).await;
    assert!(outcome.is_not_run(), "a record that cannot be claimed is refused: {outcome:?}");
    let standing = standing_account(&fleet.members[0]).await;
    let id = ChangeId::random(&mut rng);
    let refused = change_account(&fleet.members[0], &standing, 1_500, id).await;
    let refused = refused.expect_err("no change is accepted without the table");
    assert_eq!(refused.verdict(), Verdict::NotRun, "{refused}");
    assert_eq!(refused.code(), Some(Code::NotAccepted), "{refused}");

    fleet.members[1].daemon.signal("KILL");
    let restarted = fleet.spawn(1).await;
    restarted.ready().await;
    assert_eq!(restarted.in_force().await, Some(accepted), "a peer hands the configuration on");
    until("the restarted instance answers", async || {
        fleet.answers_chat(&restarted, "Are you back?").await.is_ok()
    })
    .await;
    fleet.members[1] = restarted;

    faults.heal();
    let (last, mut changed) = (ChangeId::random(&mut rng), None);
    until("a change is accepted again", async || {
        changed = change_account(&fleet.members[1], &standing, 2_000, last).await.ok();
        changed.is_some()
    })
    .await;
    for member in &fleet.members {
        until("all converge", async || member.in_force().await == changed).await;
    }
    assert_eq!(fleet.site.ledger.runs_of_body(record.body.as_bytes()), 0, "refused as not run");
}

/// Makes a change and asks until its fate is known. Returns whether it was accepted.
async fn settled_change(
    member: &Member,
    standing: &Resource,
    requests_per_s: u32,
    id: ChangeId,
) -> bool {
    let err = match change_account(member, standing, requests_per_s, id).await {
        Ok(_revision) => return true,
        Err(err) => err,
    };
    let anvilhook_api::Error::Refused(refusal) = &err else { panic!("{err}") };
    match refusal.code {
        Code::Conflict | Code::NotAccepted => return false,
        Code::Unknown => (),
        code => panic!("{code:?}: {err}"),
    }
    let mut state = ChangeStateAnswer::Unknown;
    until("the change's fate is known", async || {
        if let Ok(answer) = member.api.change_state(id, refusal.base).await {
            state = answer;
        }
        state != ChangeStateAnswer::Unknown
    })
    .await;
    matches!(state, ChangeStateAnswer::Accepted { .. })
}

/// Symptom: an operator is told that a change failed, and it is in force; or two both succeed.
/// Sequence: two operators change one resource at two instances at once, while the answers of the
/// table are lost after the write.
/// Cause: a lost answer that is taken for a failure, or a repeat that does not see its first try.
#[tokio::test(flavor = "multi_thread")]
async fn verify_operators_who_race_hear_the_truth() {
    let options = SiteOptions { engines: 1, plain: 0, ..SiteOptions::default() };
    let fleet = Fleet::start("race", &options).await;
    let done = Arc::new(AtomicBool::new(false));
    let watching: Vec<_> =
        fleet.members.iter().map(|member| watch_revisions(member, Arc::clone(&done))).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(OPERATOR_SEED);
    let [first, second] = [&fleet.members[0], &fleet.members[1]];

    for round in 0..8_u32 {
        let before = standing_account(first).await;
        for member in &fleet.members {
            assert_eq!(standing_account(member).await.version, before.version);
            // Heartbeats may use up some of these.
            member.platform.faults().lose_next_writes(round as usize % 4, Loss::AfterEffect);
        }
        let ids = [ChangeId::random(&mut rng), ChangeId::random(&mut rng)];
        let values = [10_000 + round, 20_000 + round];

        let accepted = tokio::join!(
            settled_change(first, &before, values[0], ids[0]),
            settled_change(second, &before, values[1], ids[1]),
        );

        fleet.members.iter().for_each(|member| member.platform.faults().heal());
        let winner = match accepted {
            (true, false) => 0,
            (false, true) => 1,
            both => panic!("round {round}: exactly one change is accepted, not {both:?}"),
        };
        for member in &fleet.members {
            until("the winner is in force", async || {
                let standing = standing_account(member).await;
                let Spec::Account(spec) = standing.spec else { return false };
                spec.requests_per_s == values[winner]
            })
            .await;
        }
    }

    let head = first.api.status().await.expect("the status can be read").head;
    for member in &fleet.members {
        until("both are at the head", async || member.in_force().await == head).await;
    }
    done.store(true, Ordering::Release);
    for task in watching {
        let last = task.await.expect("no revision in force ever went back");
        assert!(Some(last) <= head);
    }
}
