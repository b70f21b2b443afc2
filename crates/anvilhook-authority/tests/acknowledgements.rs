//! Tests how soon a holder that has lost its pools acknowledges the successor's term.

mod fixtures;

use anvilhook_core::orders::Term;
use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Millis;
use fixtures::{Fleet, FleetOptions, adapter, check_logs};

use anvilhook_standin::platform::Reach;

/// Long enough for a lease to lapse and a candidate to notice.
const TAKE_OVER: Millis = Millis::from_secs(30);

/// The number of engines, and of the pools over which they are spread.
const CASES: [(usize, usize); 4] = [(1, 1), (6, 1), (12, 2), (24, 2)];

async fn fleet_with_holder(engines: usize, pools: usize) -> (Fleet, usize) {
    let engines = vec![Fencing::Ignores; engines];
    let mut fleet = Fleet::new(FleetOptions { engines, pools, ..FleetOptions::default() });
    fleet.run_until(TAKE_OVER, "first holder", |fleet| fleet.holder().is_some()).await;
    fleet.run_for(Millis(5_000)).await;
    let holder = fleet.holder().unwrap();
    (fleet, holder)
}

/// Guards against engines that ignore fencing having no authority for half a minute after their
/// holder was partitioned from the table, although its peers reach it. The successor waits for the
/// holder's acknowledgement. The holder renewed its session before each of its engines, each renewal
/// took two time-outs, and it processed the successor's hint only in the next step.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_partitioned_holder_acknowledges_within_one_call() {
    for (engines, pools) in CASES {
        let (mut fleet, holder) = fleet_with_holder(engines, pools).await;
        let first = fleet.row().unwrap().term;
        fleet.reach(holder, Reach::Cut, true);

        // Until there is a successor, no step waits for more than one call.
        let end = fleet.now() + TAKE_OVER;
        while fleet.row().unwrap().term == first {
            assert!(fleet.now() < end, "{engines} engines: no successor");
            let before = fleet.lost_calls(holder);
            fleet.step().await;
            let lost = fleet.lost_calls(holder) - before;
            assert!(lost <= 1, "{engines} engines: {lost} calls without an answer in one step");
        }

        // The step that receives the successor's hint waits for no call.
        let term = Term(first.0 + 1);
        let before = fleet.lost_calls(holder);
        fleet.step().await;
        assert!(fleet.has_acknowledged(holder, term), "{engines} engines: no acknowledgement");
        assert_eq!(fleet.lost_calls(holder), before, "{engines} engines: a call came first");
    }
}

/// Guards against an engine that ignores fencing accepting an order of its former holder after one of
/// the successor. The holder is within a step, at a call that hangs, when the successor's hint
/// arrives. If it acknowledged then, an order of that step could still be sent.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_holder_within_a_step_acknowledges_nothing() {
    let (mut fleet, holder) = fleet_with_holder(2, 1).await;
    let name = fleet.instances[holder].name.to_string();
    let first = fleet.row().unwrap().term;
    fleet.engines.fail_next_order(&name, fixtures::EngineFault::PauseBeforeSending);
    fleet.set_desired(0, adapter("first"));
    fleet.run_until(TAKE_OVER, "sending", |fleet| fleet.engines.is_paused(&name)).await;
    fleet.reach(holder, Reach::Cut, true);

    fleet.run_until(TAKE_OVER, "successor", |fleet| fleet.row().unwrap().term > first).await;
    fleet.set_desired(0, adapter("second"));
    fleet.run_for(TAKE_OVER).await;
    assert!(!fleet.has_acknowledged(holder, Term(first.0 + 1)));
    assert!(!fleet.meets(0, &adapter("second")));

    fleet.engines.resume(&name);
    fleet.run_until(TAKE_OVER, "second", |fleet| fleet.meets(0, &adapter("second"))).await;
    check_logs(&fleet, "paused within a step");
}
