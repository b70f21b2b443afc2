//! Take-overs under faults of the holder, at engines that check terms and at engines that do not.

mod fixtures;

use anvilhook_authority::ControllerOptions;
use anvilhook_core::leases::SessionRow;
use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Millis;
use anvilhook_standin::platform::Reach;
use fixtures::{EngineFault, Fleet, FleetOptions, adapter, check_logs, load};

const CHECKS: usize = 0;
const IGNORES: usize = 1;

/// Long enough for a lease to lapse, a candidate to notice and an order to be carried out.
const TAKE_OVER: Millis = Millis::from_secs(30);

/// When the fault strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Moment {
    /// The holder has nothing to do.
    Idle,
    /// An order runs at both engines.
    Running,
    /// The holder has recorded an order for the given engine, has checked its lease, and is paused
    /// before it sends.
    Sending(usize),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The process ends; the platform says later that it is gone.
    Killed,
    /// The keeper stands still at its next call of the table, which is before its check.
    PausedAtTable,
    /// The whole process stands still there.
    PausedWhole,
    /// Only what the moment says.
    None,
    CutFromEngines,
    CutFromPeers,
    CutFromTable,
    CutFromTableAndPeers,
    CutFromTableAndEngines,
    CutFromEverything,
}

fn strike(fleet: &mut Fleet, holder: usize, fault: Fault) {
    let name = fleet.instances[holder].name.to_string();
    match fault {
        Fault::Killed => fleet.kill(holder),
        Fault::None => {}
        Fault::PausedAtTable => fleet.reach(holder, Reach::Hanging, false),
        Fault::PausedWhole => {
            fleet.reach(holder, Reach::Hanging, false);
            fleet.instances[holder].paused = true;
        }
        Fault::CutFromEngines => fleet.engines.cut(&name, true),
        Fault::CutFromPeers => fleet.instances[holder].peers_cut = true,
        Fault::CutFromTable => fleet.reach(holder, Reach::Cut, true),
        Fault::CutFromTableAndPeers => {
            fleet.reach(holder, Reach::Cut, true);
            fleet.instances[holder].peers_cut = true;
        }
        Fault::CutFromTableAndEngines => {
            fleet.reach(holder, Reach::Cut, true);
            fleet.engines.cut(&name, true);
        }
        Fault::CutFromEverything => {
            fleet.reach(holder, Reach::Cut, true);
            fleet.engines.cut(&name, true);
            fleet.instances[holder].peers_cut = true;
        }
    }
}

fn heal(fleet: &mut Fleet, holder: usize) {
    let name = fleet.instances[holder].name.to_string();
    if !fleet.instances[holder].alive {
        fleet.declare_gone(holder);
    }
    fleet.reach(holder, Reach::Up, true);
    fleet.engines.cut(&name, false);
    fleet.engines.resume(&name);
    fleet.instances[holder].peers_cut = false;
    fleet.instances[holder].paused = false;
}

/// Brings the fleet to the moment at which the fault strikes, and returns the holder.
async fn reach_moment(fleet: &mut Fleet, moment: Moment) -> usize {
    fleet.run_until(TAKE_OVER, "first holder", |fleet| fleet.holder().is_some()).await;
    let holder = fleet.holder().unwrap();
    let name = fleet.instances[holder].name.to_string();
    match moment {
        Moment::Idle => fleet.run_for(Millis(1_000)).await,
        Moment::Running => {
            fleet.want(CHECKS, adapter("first"));
            fleet.want(IGNORES, adapter("first"));
            let runs = |fleet: &Fleet| fleet.row().is_some_and(|row| row.open.len() == 2);
            fleet.run_until(TAKE_OVER, "orders", runs).await;
        }
        Moment::Sending(engine) => {
            fleet.engines.fail_next_order(&name, EngineFault::PauseBeforeSending);
            fleet.want(engine, adapter("first"));
            let paused = |fleet: &Fleet| fleet.engines.is_paused(&name);
            fleet.run_until(TAKE_OVER, "sending", paused).await;
        }
    }
    holder
}

/// Symptom: after a fault of the holder an engine obeys two authorities, or none ever again.
/// Sequence: the holder fails at a bad moment, another order is wanted, a successor takes over, the
/// former holder comes back with what it was about to do.
/// Cause: a successor that trusts time where only evidence will do, or waits for evidence that the
/// fence makes needless.
#[tokio::test(flavor = "current_thread")]
async fn verify_one_authority_over_faults_of_the_holder() {
    // The last field says whether the engine that ignores terms may obey the successor before the
    // former holder is healed: only if it could say that it gives up.
    let cases = [
        (Moment::Idle, Fault::Killed, false),
        (Moment::Running, Fault::Killed, false),
        (Moment::Sending(CHECKS), Fault::Killed, false),
        (Moment::Sending(IGNORES), Fault::Killed, false),
        (Moment::Idle, Fault::PausedAtTable, false),
        (Moment::Running, Fault::PausedAtTable, false),
        (Moment::Idle, Fault::PausedWhole, false),
        (Moment::Sending(CHECKS), Fault::None, false),
        (Moment::Sending(IGNORES), Fault::None, false),
        (Moment::Sending(IGNORES), Fault::CutFromEverything, false),
        (Moment::Idle, Fault::CutFromEngines, true),
        (Moment::Running, Fault::CutFromEngines, true),
        (Moment::Idle, Fault::CutFromTable, true),
        (Moment::Running, Fault::CutFromTable, true),
        (Moment::Idle, Fault::CutFromTableAndPeers, false),
        (Moment::Running, Fault::CutFromTableAndPeers, false),
        (Moment::Idle, Fault::CutFromTableAndEngines, true),
        (Moment::Running, Fault::CutFromEverything, false),
    ];
    for (moment, fault, clears_itself) in cases {
        let case = format!("{moment:?}, {fault:?}");
        let mut fleet = Fleet::new(FleetOptions::default());
        let holder = reach_moment(&mut fleet, moment).await;

        strike(&mut fleet, holder, fault);
        fleet.want(CHECKS, adapter("second"));
        fleet.want(IGNORES, adapter("second"));

        let met = |engine| move |fleet: &Fleet| fleet.meets(engine, &adapter("second"));
        fleet.run_until(TAKE_OVER, &case, met(CHECKS)).await;
        assert_ne!(fleet.holder(), Some(holder), "{case}");
        let released = fault == Fault::CutFromEngines;
        assert!(released || fleet.session_ended(holder), "{case}: it cannot go on renewing");
        if clears_itself {
            fleet.run_until(TAKE_OVER, &case, met(IGNORES)).await;
        } else {
            fleet.run_for(TAKE_OVER).await;
            assert!(!fleet.meets(IGNORES, &adapter("second")), "{case}");
            let reason = fleet.reason(IGNORES);
            assert_eq!(reason.as_deref(), Some("AwaitingPredecessor"), "{case}");
        }
        heal(&mut fleet, holder);
        fleet.run_until(TAKE_OVER, &case, met(IGNORES)).await;
        fleet.run_for(Millis(5_000)).await;
        check_logs(&fleet, &case);
    }
}

/// Symptom: the engine that ignores terms obeys a third holder while the first still holds an order.
/// Sequence: the first holder is paused before it sends an order; the second takes the pool and is
/// killed; the third takes it; the platform says that the second is gone; the first wakes up.
/// Cause: evidence about the last holder taken for evidence about all before it.
#[tokio::test(flavor = "current_thread")]
async fn verify_evidence_is_asked_of_every_former_holder() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let first = reach_moment(&mut fleet, Moment::Sending(IGNORES)).await;
    fleet.want(CHECKS, adapter("second"));
    fleet.want(IGNORES, adapter("second"));
    let met = |engine| move |fleet: &Fleet| fleet.meets(engine, &adapter("second"));

    fleet.run_until(TAKE_OVER, "second holder", met(CHECKS)).await;
    let second = fleet.holder().unwrap();
    fleet.kill(second);
    fleet.want(CHECKS, adapter("third"));
    let third = |fleet: &Fleet| fleet.meets(CHECKS, &adapter("third"));
    fleet.run_until(TAKE_OVER, "third holder", third).await;
    fleet.declare_gone(second);
    fleet.run_for(TAKE_OVER).await;

    let uncleared = fleet.row().unwrap().uncleared;
    assert_eq!(uncleared.into_iter().collect::<Vec<_>>(), [fleet.instances[first].name.clone()]);
    assert!(!fleet.meets(IGNORES, &adapter("second")));
    heal(&mut fleet, first);
    fleet.run_until(TAKE_OVER, "after all", met(IGNORES)).await;
    check_logs(&fleet, "twice in a row");
}

/// Symptom: a planned stop delays changes like a crash.
/// Sequence: the holder stops as planned, with an order running.
/// Cause: a lease that is left to lapse, and a predecessor that is awaited though it has released.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_planned_stop_hands_over_at_once() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let holder = reach_moment(&mut fleet, Moment::Running).await;

    fleet.stop(holder).await;
    fleet.kill(holder);
    fleet.want(CHECKS, adapter("second"));
    fleet.want(IGNORES, adapter("second"));

    let met = |fleet: &Fleet| (0..2).all(|engine| fleet.meets(engine, &adapter("second")));
    fleet.run_until(Millis(9_000), "within less than a lease", met).await;
    check_logs(&fleet, "planned stop");
}

/// Symptom: two instances give orders at the same time.
/// Sequence: the holder's clock is slow and a challenger's is fast, by the stated bound together.
/// Cause: a wait that does not count for the difference.
#[tokio::test(flavor = "current_thread")]
async fn verify_clocks_that_differ_by_the_bound() {
    for ppm in [vec![-500, 500, 500], vec![500, -500, -500], vec![-500, 500, -500]] {
        let case = format!("{ppm:?}");
        let mut fleet = Fleet::new(FleetOptions { ppm, ..FleetOptions::default() });
        let holder = reach_moment(&mut fleet, Moment::Running).await;
        fleet.run_for(Millis::from_secs(600)).await;
        assert_eq!(fleet.holder(), Some(holder), "{case}: a healthy holder keeps the pool");

        strike(&mut fleet, holder, Fault::CutFromTable);
        fleet.want(CHECKS, adapter("second"));

        let met = |fleet: &Fleet| fleet.meets(CHECKS, &adapter("second"));
        fleet.run_until(TAKE_OVER, &case, met).await;
        check_logs(&fleet, &case);
    }
}

/// Symptom: an order of a former holder takes an engine out of service amid its requests.
/// Sequence: the holder drains an engine, records a load and is paused before it sends it; the load
/// is not wanted any more; a successor takes over; the former holder wakes up and sends.
/// Cause: a successor that lets the engine serve again while the order may still come.
#[tokio::test(flavor = "current_thread")]
async fn verify_an_order_that_comes_late_finds_the_engine_drained() {
    for engine in [CHECKS, IGNORES] {
        let case = format!("engine {engine}");
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.run_until(TAKE_OVER, &case, |fleet| fleet.holder().is_some()).await;
        let holder = fleet.holder().unwrap();
        let name = fleet.instances[holder].name.to_string();
        fleet.engines.fail_next_order(&name, EngineFault::PauseBeforeSending);
        fleet.want(engine, load(2));
        fleet.run_until(TAKE_OVER, &case, |fleet| fleet.engines.is_paused(&name)).await;

        fleet.want(engine, load(1));
        fleet.run_for(TAKE_OVER).await;
        assert_ne!(fleet.holder(), Some(holder), "{case}");
        heal(&mut fleet, holder);
        fleet.run_for(Millis(2_000)).await;

        let serves = |fleet: &Fleet| fleet.row().unwrap().drains.engines.is_empty();
        fleet.run_until(TAKE_OVER, &case, serves).await;
        assert!(fleet.meets(engine, &load(1)), "{case}");
        check_logs(&fleet, &case);
    }
}

/// Symptom: an order is given after the lease has lapsed.
/// Sequence: the table takes longer than a lease to record an order, and there is nobody to take
/// the pool meanwhile.
/// Cause: a lease that is checked before the record is written and not after.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_lease_is_checked_after_the_record_was_written() {
    let options =
        FleetOptions { instances: 1, engines: vec![Fencing::Checks], ..FleetOptions::default() };
    let mut fleet = Fleet::new(options);
    fleet.run_for(Millis(2_000)).await;
    let renewals = |fleet: &Fleet| {
        let row = fleet.platform.rows("authority/sessions/").pop().unwrap();
        serde_json::from_str::<SessionRow>(&row.value).unwrap().renewal
    };
    let before = renewals(&fleet);
    fleet.want(CHECKS, adapter("first"));
    fleet.instances[0].keeper_view.faults().set_delay(Millis::from_secs(20));
    fleet.run_for(Millis::from_secs(15)).await;
    fleet.instances[0].keeper_view.faults().set_delay(Millis::ZERO);

    let given = |fleet: &Fleet| fleet.engines.each(|model| model.orders().len())[0] > 0;
    fleet.run_until(TAKE_OVER, "order", given).await;

    assert!(renewals(&fleet) > before, "the order was given by a lease that had lapsed");
    check_logs(&fleet, "late record");
}

/// Symptom: losing the peer link costs the authority.
/// Sequence: the holder is cut off from its peers alone.
/// Cause: a hint that is taken for a decision.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_peer_link_decides_nothing() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let holder = reach_moment(&mut fleet, Moment::Idle).await;

    strike(&mut fleet, holder, Fault::CutFromPeers);
    fleet.want(CHECKS, load(2));
    fleet.want(IGNORES, load(2));

    let met = |fleet: &Fleet| (0..2).all(|engine| fleet.meets(engine, &load(2)));
    fleet.run_until(Millis::from_secs(60), "without peers", met).await;
    assert_eq!(fleet.holder(), Some(holder));
    check_logs(&fleet, "without peers");
}

/// Symptom: two successors give orders under one term, or two terms are used for one take-over.
/// Sequence: the holder is killed; two candidates look at the same moment, and the table is slow,
/// so that both have read the row before either writes.
/// Cause: a take-over that is not a compare-and-set on all that it rests on.
#[tokio::test(flavor = "current_thread")]
async fn verify_of_two_successors_one_wins() {
    for delay in [Millis::ZERO, Millis(250), Millis(500)] {
        let case = format!("a delay of {delay}");
        let mut keeper = ControllerOptions::default();
        keeper.candidates.first_interval_ms = Millis(250);
        keeper.candidates.last_interval_ms = Millis(250);
        let mut fleet = Fleet::new(FleetOptions { keeper, ..FleetOptions::default() });
        let holder = reach_moment(&mut fleet, Moment::Idle).await;
        for instance in &fleet.instances {
            instance.keeper_view.faults().set_delay(delay);
        }
        let term = fleet.row().unwrap().term;

        strike(&mut fleet, holder, Fault::Killed);
        fleet.want(CHECKS, adapter("second"));

        let met = |fleet: &Fleet| fleet.meets(CHECKS, &adapter("second"));
        let killed_at = fleet.now();
        fleet.run_until(TAKE_OVER, &case, met).await;
        println!("{case}: obeyed the successor {} after the kill", fleet.now() - killed_at);
        assert_eq!(fleet.row().unwrap().term.0, term.0 + 1, "{case}");
        let raced = fleet.platform.counts().conflicts > 0;
        assert!(raced || delay == Millis::ZERO, "{case}: both wrote on what they had read");
        check_logs(&fleet, &case);
    }
}
