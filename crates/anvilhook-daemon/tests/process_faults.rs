//! Tests of the system's guarantees on real daemon processes under kills, freezes, outages and races. Other
//! tests cover the decisions under a manual clock; these tests cover how the parts are connected.

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

/// The seed of the ids of operators' changes. The declarations of the site use a different seed.
const OPERATOR_SEED: u64 = 390;

/// `HolderOutcome` is the way in which it becomes known that a frozen holder gives no more orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HolderOutcome {
    /// The holder resumes and acknowledges its successor.
    Resumes,
    /// The platform lists the holder as gone, but the holder resumes later.
    ListedAsGone,
}

/// Returns whether `member` reports that an engine waits for the instance `awaited`.
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

/// Returns how many orders of the given or a later term all engines together received.
fn orders_since(fleet: &Fleet, term: Term) -> usize {
    let logs = fleet.site.engines.iter().flat_map(|engine| engine.orders());
    logs.filter(|record| record.order.stamp.term >= term).count()
}

async fn verify_frozen_holder(test: &'static str, checks_fencing: bool, outcome: HolderOutcome) {
    let case = format!("checks fencing: {checks_fencing}, {outcome:?}");
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

    // The holder freezes while its first order is running and others are pending.
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
    assert!(term > before, "{case}: a new holder has a higher fencing number");
    until("the change waits for the frozen instance", async || {
        waits_for(&fleet, other, frozen.name()).await || orders_since(&fleet, term) > 0
    })
    .await;
    assert_eq!(
        orders_since(&fleet, term),
        0,
        "{case}: an order before the frozen instance was known to give none"
    );

    if outcome == HolderOutcome::ListedAsGone {
        fleet.site.platform.enter_instance(frozen.list_entry(ListedState::Gone));
        fleet.version_loaded(2).await;
    }
    frozen.daemon.signal("CONT");
    fleet.version_loaded(2).await;
    // One more change gives the resumed instance time to send an incorrect order.
    fleet.want_version(3).await;
    fleet.version_loaded(3).await;

    for (index, engine) in fleet.site.engines.iter().enumerate() {
        let log = engine.orders();
        check_orders(index, &log, &case);
        assert_eq!(log.len(), 2, "{case}: each engine receives each order once: {log:?}");
    }
    let lease = other.lease().await.expect("a lease");
    assert_eq!(lease.holder.as_ref(), Some(other.name()), "{case}: the new holder stays");
    assert!(lease.uncleared.is_empty(), "{case}: the former holder is cleared");
}

/// Guards against an engine that loads a model which was replaced long ago: the holder freezes during a
/// change, the other instance takes over, and the first one resumes and still relies on the authority
/// that it had before the freeze.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_frozen_holder_that_resumes_gives_no_order() {
    verify_frozen_holder("frozen-checks", true, HolderOutcome::Resumes).await;
}

/// Guards against two orders at once at an engine that accepts every order: the holder freezes as in the
/// test above, the engines ignore the fencing number, and the successor gives orders before it is known
/// that the first holder gives no more.
#[tokio::test(flavor = "multi_thread")]
async fn verify_engines_that_ignore_fencing_wait_for_the_frozen_holder() {
    verify_frozen_holder("frozen-ignores", false, HolderOutcome::Resumes).await;
}

/// Guards against a change that waits for ever for an instance whose machine is gone, because the
/// successor does not read the instance list. The frozen holder is listed as gone, its successor
/// continues, and the holder resumes in spite of the list. It must not rely on its old lease.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_listing_as_gone_releases_the_engines_of_a_frozen_holder() {
    verify_frozen_holder("frozen-gone", false, HolderOutcome::ListedAsGone).await;
}

/// Calls the first instance until a call fails, and repeats the failed call at the second instance if
/// it has a key.
async fn call_until_killed(
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
        let mut sent = Sent { call, outcomes: vec![outcome] };
        if has_failed && is_keyed {
            sent.outcomes.push(caller.plain(instances[1], &sent.call).await);
        }
        all.push(sent);
        if has_failed {
            break;
        }
    }
    all
}

/// Guards against a record that is entered twice after a machine failed: an instance is killed during
/// records and alerts, and callers repeat keyed calls at the other instance. The claim was not stored
/// before its request was sent, or the repeated call does not find it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_killed_instance_duplicates_no_call_and_mixes_up_no_answer() {
    let options = SiteOptions { engines: 1, ..SiteOptions::default() };
    let fleet = Fleet::start("killed", &options).await;
    let callers = [0, 1].map(|index| fleet.members[index].daemon.callers());
    let calling: Vec<_> = (0..24)
        .map(|number| tokio::spawn(call_until_killed(fleet.caller.clone(), callers, number)))
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
    let is_lost = |sent: &&Sent| matches!(sent.outcomes[0], Outcome::Lost { .. });
    assert!(
        all.iter().filter(is_lost).count() > 0,
        "the kill interrupted no call, so the test checked nothing"
    );
    let is_settled = |sent: &Sent| sent.outcomes.last().is_some_and(|last| last.answer().is_some());
    let repeated: Vec<&Sent> = all.iter().filter(|sent| sent.outcomes.len() > 1).collect();
    for sent in repeated.iter().filter(|sent| !is_settled(sent)) {
        let last = sent.outcomes.last();
        let in_doubt = matches!(last, Some(Outcome::Failed { verdict: Verdict::MayHaveRun, .. }));
        assert!(in_doubt, "a repeated call is answered or may have run: {last:?}");
    }
}

fn account() -> ResourceKey {
    ResourceKey { kind: Kind::Account, name: name("kitchens") }
}

/// Changes the request limit of the account at one instance, given the account's current state.
async fn change_account(
    member: &Member,
    current: &Resource,
    requests_per_s: u32,
    id: ChangeId,
) -> anvilhook_api::Result<Revision> {
    let Spec::Account(mut spec) = current.spec.clone() else { panic!("{current:?}") };
    spec.requests_per_s = requests_per_s;
    let body = replacing(current, &Spec::Account(spec));
    Ok(member.api.put(&account(), &body, id).await?.revision)
}

/// Returns the account that an instance has applied. The instance answers this without the table.
async fn current_account(member: &Member) -> Resource {
    let all = member.api.configuration().await.expect("the configuration can be read");
    let account = all.items.into_iter().find(|item| item.spec.kind() == Kind::Account);
    account.expect("the account is declared")
}

/// Reads the applied revision of an instance until `done` is set, and fails if it ever decreases.
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

/// Guards against a site that stops serving, or accepts changes that it cannot store, while the platform
/// is down: a request path waits for the table, or an instance needs the table to start. The table and
/// the object store fail for longer than a lease, an instance restarts meanwhile, and then the platform
/// recovers and a change is made.
#[tokio::test(flavor = "multi_thread")]
async fn verify_service_goes_on_while_the_platform_is_down() {
    let mut fleet = Fleet::start("outage", &SiteOptions::default()).await;
    let mut rng = ChaCha8Rng::seed_from_u64(OPERATOR_SEED);
    let current = current_account(&fleet.members[0]).await;
    let id = ChangeId::random(&mut rng);
    let accepted = change_account(&fleet.members[0], &current, 1_000, id).await;
    let accepted = accepted.expect("the change is accepted");
    for member in &fleet.members {
        until("the change is applied", async || member.in_force().await == Some(accepted)).await;
        fleet.site.platform.enter_instance(member.list_entry(ListedState::Live));
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
        assert_eq!(member.in_force().await, Some(accepted), "the accepted revision stays applied");
    }

    let record = plain_call(1, 0, true);
    let outcome = fleet.caller.plain(fleet.members[0].daemon.callers(), &record).await;
    assert!(outcome.is_not_run(), "a record that cannot be claimed is refused: {outcome:?}");
    let current = current_account(&fleet.members[0]).await;
    let id = ChangeId::random(&mut rng);
    let refused = change_account(&fleet.members[0], &current, 1_500, id).await;
    let refused = refused.expect_err("no change is accepted without the table");
    assert_eq!(refused.verdict(), Verdict::NotRun, "{refused}");
    assert_eq!(refused.code(), Some(Code::NotAccepted), "{refused}");

    fleet.members[1].daemon.signal("KILL");
    let restarted = fleet.spawn(1).await;
    restarted.ready().await;
    assert_eq!(restarted.in_force().await, Some(accepted), "a peer forwards the configuration");
    until("the restarted instance answers", async || {
        fleet.answers_chat(&restarted, "Are you back?").await.is_ok()
    })
    .await;
    fleet.members[1] = restarted;

    faults.heal();
    let (last, mut changed) = (ChangeId::random(&mut rng), None);
    until("a change is accepted again", async || {
        changed = change_account(&fleet.members[1], &current, 2_000, last).await.ok();
        changed.is_some()
    })
    .await;
    for member in &fleet.members {
        until("all have applied the change", async || member.in_force().await == changed).await;
    }
    assert_eq!(fleet.site.ledger.runs_of_body(record.body.as_bytes()), 0, "refused as not run");
}

/// Makes a change, queries it until its outcome is known and returns whether it was accepted.
async fn change_and_settle(
    member: &Member,
    current: &Resource,
    requests_per_s: u32,
    id: ChangeId,
) -> bool {
    let err = match change_account(member, current, requests_per_s, id).await {
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
    until("the outcome of the change is known", async || {
        if let Ok(answer) = member.api.change_state(id, refusal.base).await {
            state = answer;
        }
        state != ChangeStateAnswer::Unknown
    })
    .await;
    matches!(state, ChangeStateAnswer::Accepted { .. })
}

/// Guards against a change that is reported as failed although it was applied, and against two
/// conflicting changes that both succeed: two operators change one resource at two instances at once
/// while the table's answers are lost after the write. A lost answer is treated as a failure, or a
/// retry does not find its first attempt.
#[tokio::test(flavor = "multi_thread")]
async fn verify_racing_operators_get_correct_outcomes() {
    let options = SiteOptions { engines: 1, plain: 0, ..SiteOptions::default() };
    let fleet = Fleet::start("race", &options).await;
    let done = Arc::new(AtomicBool::new(false));
    let watching: Vec<_> =
        fleet.members.iter().map(|member| watch_revisions(member, Arc::clone(&done))).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(OPERATOR_SEED);
    let [first, second] = [&fleet.members[0], &fleet.members[1]];

    for round in 0..8_u32 {
        let before = current_account(first).await;
        for member in &fleet.members {
            assert_eq!(current_account(member).await.version, before.version);
            // Writes of heartbeats may use up some of the losses.
            member.platform.faults().lose_next_writes(round as usize % 4, Loss::AfterEffect);
        }
        let ids = [ChangeId::random(&mut rng), ChangeId::random(&mut rng)];
        let values = [10_000 + round, 20_000 + round];

        let accepted = tokio::join!(
            change_and_settle(first, &before, values[0], ids[0]),
            change_and_settle(second, &before, values[1], ids[1]),
        );

        fleet.members.iter().for_each(|member| member.platform.faults().heal());
        let winner = match accepted {
            (true, false) => 0,
            (false, true) => 1,
            both => panic!("round {round}: exactly one change is accepted, not {both:?}"),
        };
        for member in &fleet.members {
            until("the accepted change is applied", async || {
                let current = current_account(member).await;
                let Spec::Account(spec) = current.spec else { return false };
                spec.requests_per_s == values[winner]
            })
            .await;
        }
    }

    let head = first.api.status().await.expect("the status can be read").head;
    for member in &fleet.members {
        until("both have applied the latest revision", async || member.in_force().await == head)
            .await;
    }
    done.store(true, Ordering::Release);
    for task in watching {
        let last = task.await.expect("the applied revision never decreases");
        assert!(Some(last) <= head);
    }
}
