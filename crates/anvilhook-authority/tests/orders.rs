//! Orders in doubt, refused, or interrupted by a crash; what engines say of fencing.

mod fixtures;

use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Millis;
use anvilhook_engine::EngineControl;
use fixtures::{EngineFault, Fleet, FleetOptions, adapter, address, check_logs, load};

const LIMIT: Millis = Millis::from_secs(90);

/// Symptom: an engine is given an order while another one is on its way.
/// Sequence: the answer to an order is lost, after the engine took it or before; another order is
/// wanted by then.
/// Cause: an order in doubt that is taken for dead.
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
            fleet.want(engine, adapter("first"));
            fleet.run_for(Millis(500)).await;
            assert_eq!(fleet.row().unwrap().open.len(), 1, "{case}");

            fleet.want(engine, load(2));

            fleet.run_until(LIMIT, &case, |fleet| fleet.meets(engine, &load(2))).await;
            check_logs(&fleet, &case);
        }
    }
}

/// Symptom: an engine stays out of service, or in the wrong state, after a crash amid an order.
/// Sequence: the engine crashes while it loads a model, and starts again with the old one.
/// Cause: an order that is taken for done because it was accepted.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_crash_amid_an_order_comes_back_to_a_known_state() {
    for engine in 0..2 {
        for down in [Millis::ZERO, Millis(5_000), Millis(20_000)] {
            let case = format!("engine {engine} down for {down}");
            let mut fleet = Fleet::new(FleetOptions::default());
            fleet.run_for(Millis(3_000)).await;
            fleet.want(engine, load(2));
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
            assert!(fleet.row().unwrap().drains.engines.is_empty(), "{case}: it serves again");
            check_logs(&fleet, &case);
        }
    }
}

/// Symptom: an engine is taken over at once though it obeys anyone.
/// Sequence: what is declared of an engine and what it says of itself differ.
/// Cause: the less safe of the two taken for true.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_safer_of_declared_and_said_holds() {
    for (said, declared, reason) in [
        (Fencing::Ignores, Fencing::Checks, "DeclaredChecksButIgnores"),
        (Fencing::Checks, Fencing::Ignores, "DeclaredIgnoresButChecks"),
    ] {
        let options = FleetOptions { engines: vec![said], ..FleetOptions::default() };
        let mut fleet = Fleet::new(options);
        fleet.plans[0].engines[0].fencing = declared;
        fleet.run_for(Millis(5_000)).await;
        let holder = fleet.holder().unwrap();
        let observed = &fleet.instances[holder].observed;
        let shown = observed.iter().any(|seen| seen.condition.reason == reason);
        assert!(shown, "{observed:?}");

        fleet.kill(holder);
        fleet.want(0, adapter("first"));
        fleet.run_for(Millis::from_secs(40)).await;

        assert_eq!(fleet.reason(0).as_deref(), Some("AwaitingPredecessor"));
        assert!(!fleet.meets(0, &adapter("first")));
    }
}

/// Symptom: an engine that refuses an order gets it again many times a second, out of service.
/// Sequence: an order runs that the system did not give, so the engine refuses another.
/// Cause: a refusal that is taken for a reason to try at once.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_foreign_order_is_waited_for() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.run_for(Millis(3_000)).await;
    let foreign = anvilhook_core::orders::StampedOrder {
        stamp: anvilhook_core::orders::Stamp::default(),
        order: adapter("foreign"),
    };
    fleet.engines.for_caller("operator").order(address(1), &foreign).await.unwrap();

    fleet.want(1, adapter("first"));
    fleet.step().await;
    fleet.step().await;

    assert_eq!(fleet.reason(1).as_deref(), Some("OrderRunning"));
    fleet.run_until(LIMIT, "after it", |fleet| fleet.meets(1, &adapter("first"))).await;
    check_logs(&fleet, "foreign order");
}
