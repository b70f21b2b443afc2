//! Tests orders that are in doubt, refused, or interrupted by a crash, and the fencing that engines
//! report.

mod fixtures;

use anvilhook_core::orders::{Stamp, StampedOrder, Term};
use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Millis;
use anvilhook_engine::EngineControl;
use fixtures::{EngineFault, Fleet, FleetOptions, adapter, address, check_logs, load};

const LIMIT: Millis = Millis::from_secs(90);

/// The row of load slots when no load is in progress.
const NO_SLOTS: &str = r#"{"taken":[]}"#;

fn load_slots(fleet: &Fleet) -> String {
    fleet.platform.rows("authority/load-slots").pop().unwrap().value
}

/// Guards against an engine getting an order while another one may still arrive. The answer to an order
/// is lost, before or after the engine accepted it, and meanwhile another state is desired. An order in
/// doubt must not be assumed to have failed.
#[tokio::test(flavor = "current_thread")]
async fn verify_an_order_in_doubt_is_settled_before_the_next() {
    for engine in 0..2 {
        for fault in [EngineFault::LoseAnswer, EngineFault::LoseOrder, EngineFault::DeliverLate] {
            let case = format!("{fault:?} at engine {engine}");
            let mut fleet = Fleet::new(FleetOptions::default());
            fleet.run_for(Millis(3_000)).await;
            let holder = fleet.holder().unwrap();
            let name = fleet.instances[holder].name.to_string();
            fleet.engines.fail_next_order(&name, fault);
            fleet.set_desired(engine, adapter("first"));
            fleet.run_for(Millis(500)).await;
            assert_eq!(fleet.row().unwrap().open.len(), 1, "{case}");

            fleet.set_desired(engine, load(2));

            fleet.run_until(LIMIT, &case, |fleet| fleet.meets(engine, &load(2))).await;
            check_logs(&fleet, &case);
        }
    }
}

/// Guards against an engine staying out of service, or in the wrong state, after a crash during an
/// order. The engine crashes while it loads a model, and restarts with the old one. An accepted order
/// must not be assumed to be completed.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_crash_during_an_order_leads_to_a_known_state() {
    for engine in 0..2 {
        for down in [Millis::ZERO, Millis(5_000), Millis(20_000)] {
            let case = format!("engine {engine} down for {down}");
            let mut fleet = Fleet::new(FleetOptions::default());
            fleet.run_for(Millis(3_000)).await;
            fleet.set_desired(engine, load(2));
            let runs = move |fleet: &Fleet| {
                let records = fleet.engines.with(address(engine), |model| model.orders().to_vec());
                records.last().is_some_and(|record| record.end.is_none())
            };
            fleet.run_until(LIMIT, &case, runs).await;

            let now = fleet.now();
            fleet.engines.with(address(engine), |model| model.crash(now));
            fleet.run_for(down).await;
            let now = fleet.now();
            fleet.engines.with(address(engine), |model| model.restart(now));

            fleet.run_until(LIMIT, &case, |fleet| fleet.meets(engine, &load(2))).await;
            fleet.run_for(Millis(3_000)).await;
            assert!(fleet.row().unwrap().drains.engines.is_empty(), "{case}: it still drains");
            check_logs(&fleet, &case);
        }
    }
}

/// Guards against an engine being taken over immediately although it accepts orders of any holder. Its
/// declared fencing and the one that it reports differ; the safer of the two must be assumed.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_safer_of_declared_and_reported_fencing_applies() {
    for (reported, declared, reason) in [
        (Fencing::Ignores, Fencing::Checks, "DeclaredChecksButIgnores"),
        (Fencing::Checks, Fencing::Ignores, "DeclaredIgnoresButChecks"),
    ] {
        let options = FleetOptions { engines: vec![reported], ..FleetOptions::default() };
        let mut fleet = Fleet::new(options);
        fleet.plans[0].engines[0].fencing = declared;
        fleet.run_for(Millis(5_000)).await;
        let holder = fleet.holder().unwrap();
        let observed = &fleet.instances[holder].observed;
        let shown = observed.iter().any(|seen| seen.condition.reason == reason);
        assert!(shown, "{observed:?}");

        fleet.kill(holder);
        fleet.set_desired(0, adapter("first"));
        fleet.run_for(Millis::from_secs(40)).await;

        assert_eq!(fleet.reason(0).as_deref(), Some("AwaitingPredecessor"));
        assert!(!fleet.meets(0, &adapter("first")));
    }
}

/// Guards against an engine that refuses an order getting it again many times per second while it is
/// out of service. The engine runs an order that this system did not give, so it refuses others. A
/// refused order must not be retried immediately.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_foreign_order_is_waited_for() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.run_for(Millis(3_000)).await;
    let foreign = StampedOrder { stamp: Stamp::default(), order: adapter("foreign") };
    fleet.engines.for_caller("operator").order(address(1), &foreign).await.unwrap();

    fleet.set_desired(1, adapter("first"));
    fleet.step().await;
    fleet.step().await;

    assert_eq!(fleet.reason(1).as_deref(), Some("OrderRunning"));
    fleet.run_until(LIMIT, "after the order", |fleet| fleet.meets(1, &adapter("first"))).await;
    check_logs(&fleet, "foreign order");
}

/// Guards against an engine that lost its fence in a restart obeying two authorities in turn. A holder
/// is paused before it sends an order, and its successor fences it off. Then the engine is restarted
/// and forgets the fence, and another order is desired. The engine must not be assumed to check a
/// stamp that it has forgotten.
#[tokio::test(flavor = "current_thread")]
async fn verify_an_engine_that_lost_its_fence_needs_evidence() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.run_for(Millis(3_000)).await;
    let first = fleet.instances[fleet.holder().unwrap()].name.to_string();
    fleet.engines.fail_next_order(&first, EngineFault::PauseBeforeSending);
    fleet.set_desired(0, adapter("first"));
    fleet.run_until(LIMIT, "paused", |fleet| fleet.engines.is_paused(&first)).await;
    fleet.set_desired(0, adapter("second"));
    fleet.run_until(LIMIT, "successor", |fleet| fleet.meets(0, &adapter("second"))).await;
    let now = fleet.now();
    fleet.engines.with(address(0), |model| model.crash(now));
    fleet.run_for(Millis(1_000)).await;
    let now = fleet.now();
    fleet.engines.with(address(0), |model| model.restart(now));

    fleet.set_desired(0, adapter("third"));
    fleet.run_for(Millis::from_secs(20)).await;

    assert_eq!(fleet.reason(0).as_deref(), Some("AwaitingPredecessor"));
    fleet.engines.resume(&first);
    fleet.run_until(LIMIT, "after evidence", |fleet| fleet.meets(0, &adapter("third"))).await;
}

/// Guards against an engine that refuses all further orders. The table was restored from an older copy,
/// so its terms are lower than those that the engine has seen, and must be raised.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_term_is_raised_above_what_the_engine_has_seen() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let seen = Stamp { term: Term(9), seq: 4 };
    let order = StampedOrder { stamp: seen, order: adapter("before") };
    fleet.engines.for_caller("before").order(address(0), &order).await.unwrap();
    fleet.run_for(Millis(3_000)).await;

    fleet.set_desired(0, adapter("first"));
    fleet.run_until(LIMIT, "order", |fleet| fleet.meets(0, &adapter("first"))).await;

    assert!(fleet.row().unwrap().term > Term(9));
    check_logs(&fleet, "raised term");
}

/// Guards against a slot of the weight store that stays occupied after an engine was removed from the
/// configuration. The engine, or its whole pool, is undeclared while the engine loads a model; the open
/// order must still be closed.
#[tokio::test(flavor = "current_thread")]
async fn verify_an_undeclared_engine_leaves_no_order_and_no_slot() {
    for whole_pool in [false, true] {
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.run_for(Millis(3_000)).await;
        fleet.set_desired(0, load(2));
        let opened = |fleet: &Fleet| !fleet.rows()[0].open.is_empty();
        fleet.run_until(LIMIT, "order", opened).await;

        let plans = fleet.plans.clone();
        if whole_pool {
            fleet.plans.clear();
        } else {
            fleet.plans[0].engines.remove(0);
        }
        fleet.run_for(Millis(5_000)).await;

        assert_eq!(load_slots(&fleet), NO_SLOTS);
        fleet.plans = plans;
        let row = fleet.row().unwrap();
        assert!(row.open.is_empty());
        assert_eq!(row.holder.is_none(), whole_pool);
    }
}

/// Guards against a slot of the weight store that stays occupied for ever, or is freed while its load
/// runs or may still begin. A pool is undeclared while one of its engines loads a model, and its holder
/// terminates before it closes the order or before it sends it; the platform reports that immediately
/// or later. Another instance must take the undeclared pool, and the end of the holder alone must not
/// free the slot.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_terminated_holder_of_an_undeclared_pool_leaves_no_slot() {
    for (engine, sent, gone_at_once) in [
        (0, true, true),
        (0, true, false),
        (0, false, true),
        (0, false, false),
        (1, true, true),
        (1, true, false),
        (1, false, true),
        (1, false, false),
    ] {
        let case = format!("engine {engine}, sent: {sent}, gone at once: {gone_at_once}");
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.run_for(Millis(3_000)).await;
        let holder = fleet.holder().unwrap();
        if !sent {
            let name = fleet.instances[holder].name.to_string();
            fleet.engines.fail_next_order(&name, EngineFault::PauseBeforeSending);
        }
        fleet.set_desired(engine, load(2));
        let opened = |fleet: &Fleet| !fleet.rows()[0].open.is_empty();
        fleet.run_until(LIMIT, "order", opened).await;
        assert_eq!(loads(&fleet, engine), sent, "{case}");
        fleet.kill(holder);
        let plans = std::mem::take(&mut fleet.plans);

        if !gone_at_once {
            run_holding_slots(&mut fleet, engine, &case).await;
            // If it were only paused, the holder could still send the order, and no instance reads the
            // state of an undeclared engine.
            assert_ne!(load_slots(&fleet), NO_SLOTS, "{case}: before it is reported as gone");
        }
        fleet.declare_gone(holder);
        run_holding_slots(&mut fleet, engine, &case).await;

        assert_eq!(load_slots(&fleet), NO_SLOTS, "{case}");
        fleet.plans = plans;
        let row = fleet.row().unwrap();
        assert!(row.open.is_empty() && row.holder.is_none(), "{case}: {row:?}");
        // No instance takes the pool again once nothing is left to do there.
        fleet.plans.clear();
        let before = fleet.platform.rows("authority/pools/");
        fleet.run_for(Millis::from_secs(60)).await;
        assert_eq!(fleet.platform.rows("authority/pools/"), before, "{case}");
    }
}

/// Runs for a minute, during which a load that the engine carries out must occupy a slot.
async fn run_holding_slots(fleet: &mut Fleet, engine: usize, case: &str) {
    let end = fleet.now() + Millis::from_secs(60);
    while fleet.now() < end {
        fleet.step().await;
        let is_counted = load_slots(fleet) != NO_SLOTS;
        assert!(is_counted || !loads(fleet, engine), "{case}: a slot in use was freed");
    }
}

/// Returns whether an engine is carrying out an order.
fn loads(fleet: &Fleet, engine: usize) -> bool {
    let now = fleet.now();
    let state = fleet.engines.with(address(engine), |model| model.state(now));
    state.is_some_and(|state| state.running_order.is_some())
}
