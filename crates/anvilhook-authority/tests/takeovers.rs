//! Tests take-overs under faults of the holder, with engines that check terms and engines that do not.

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

/// `Moment` is the state of the holder when the fault is injected.
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
    /// The process terminates; the platform reports that later.
    Killed,
    /// The controller hangs at its next call to the table, before it checks its lease.
    PausedAtTable,
    /// The controller hangs there, and the rest of the process is paused.
    PausedWhole,
    /// No fault besides the one of the moment.
    None,
    CutFromEngines,
    CutFromPeers,
    CutFromTable,
    CutFromTableAndPeers,
    CutFromTableAndEngines,
    CutFromEverything,
}

fn inject(fleet: &mut Fleet, holder: usize, fault: Fault) {
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

/// Runs the fleet until the moment at which the fault is injected, and returns the holder.
async fn reach_moment(fleet: &mut Fleet, moment: Moment) -> usize {
    fleet.run_until(TAKE_OVER, "first holder", |fleet| fleet.holder().is_some()).await;
    let holder = fleet.holder().unwrap();
    let name = fleet.instances[holder].name.to_string();
    match moment {
        Moment::Idle => fleet.run_for(Millis(1_000)).await,
        Moment::Running => {
            fleet.set_desired(CHECKS, adapter("first"));
            fleet.set_desired(IGNORES, adapter("first"));
            let runs = |fleet: &Fleet| fleet.row().is_some_and(|row| row.open.len() == 2);
            fleet.run_until(TAKE_OVER, "orders", runs).await;
        }
        Moment::Sending(engine) => {
            fleet.engines.fail_next_order(&name, EngineFault::PauseBeforeSending);
            fleet.set_desired(engine, adapter("first"));
            let paused = |fleet: &Fleet| fleet.engines.is_paused(&name);
            fleet.run_until(TAKE_OVER, "sending", paused).await;
        }
    }
    holder
}

/// Guards against an engine that obeys two authorities after a fault of the holder, or none any more.
/// The holder fails at a critical moment, another order is desired, a successor takes over, and the
/// former holder resumes what it was about to do. The successor must not rely on time where evidence
/// is needed, and must not wait for evidence where the fence suffices.
#[tokio::test(flavor = "current_thread")]
async fn verify_one_authority_over_faults_of_the_holder() {
    // The last field tells whether the engine that ignores terms may obey the successor before the
    // former holder is healed, which requires that the former holder could acknowledge or release.
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

        inject(&mut fleet, holder, fault);
        fleet.set_desired(CHECKS, adapter("second"));
        fleet.set_desired(IGNORES, adapter("second"));

        let met = |engine| move |fleet: &Fleet| fleet.meets(engine, &adapter("second"));
        fleet.run_until(TAKE_OVER, &case, met(CHECKS)).await;
        assert_ne!(fleet.holder(), Some(holder), "{case}");
        let released = fault == Fault::CutFromEngines;
        assert!(released || fleet.session_ended(holder), "{case}: it can still renew");
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

/// Guards against an engine that ignores terms obeying the third holder while the first may still send
/// an order. The first holder is paused before it sends an order; the second takes the pool and is
/// killed; the third takes it; the platform reports that the second has terminated; the first resumes.
/// Evidence about the last holder is no evidence about the earlier ones.
#[tokio::test(flavor = "current_thread")]
async fn verify_evidence_is_asked_of_every_former_holder() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let first = reach_moment(&mut fleet, Moment::Sending(IGNORES)).await;
    fleet.set_desired(CHECKS, adapter("second"));
    fleet.set_desired(IGNORES, adapter("second"));
    let met = |engine| move |fleet: &Fleet| fleet.meets(engine, &adapter("second"));

    fleet.run_until(TAKE_OVER, "second holder", met(CHECKS)).await;
    let second = fleet.holder().unwrap();
    fleet.kill(second);
    fleet.set_desired(CHECKS, adapter("third"));
    let third = |fleet: &Fleet| fleet.meets(CHECKS, &adapter("third"));
    fleet.run_until(TAKE_OVER, "third holder", third).await;
    fleet.declare_gone(second);
    fleet.run_for(TAKE_OVER).await;

    let uncleared = fleet.row().unwrap().uncleared;
    assert_eq!(uncleared.into_iter().collect::<Vec<_>>(), [fleet.instances[first].name.clone()]);
    assert!(!fleet.meets(IGNORES, &adapter("second")));
    heal(&mut fleet, first);
    fleet.run_until(TAKE_OVER, "first holder healed", met(IGNORES)).await;
    check_logs(&fleet, "two consecutive take-overs");
}

/// Guards against a planned stop that delays changes as long as a crash. The holder stops as planned
/// while an order runs. Its lease must not have to lapse, and the successor must not wait for a
/// predecessor that has released the pool.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_planned_stop_hands_over_at_once() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let holder = reach_moment(&mut fleet, Moment::Running).await;

    fleet.stop(holder).await;
    fleet.kill(holder);
    fleet.set_desired(CHECKS, adapter("second"));
    fleet.set_desired(IGNORES, adapter("second"));

    let met = |fleet: &Fleet| (0..2).all(|engine| fleet.meets(engine, &adapter("second")));
    fleet.run_until(Millis(9_000), "within less than a lease", met).await;
    check_logs(&fleet, "planned stop");
}

/// Guards against two instances giving orders at the same time. The holder's clock is slow and a
/// challenger's is fast, together by the stated bound, which the wait for a lease must include.
#[tokio::test(flavor = "current_thread")]
async fn verify_clocks_that_differ_by_the_bound() {
    for ppm in [vec![-500, 500, 500], vec![500, -500, -500], vec![-500, 500, -500]] {
        let case = format!("{ppm:?}");
        let mut fleet = Fleet::new(FleetOptions { ppm, ..FleetOptions::default() });
        let holder = reach_moment(&mut fleet, Moment::Running).await;
        fleet.run_for(Millis::from_secs(600)).await;
        assert_eq!(fleet.holder(), Some(holder), "{case}: a healthy holder lost the pool");

        inject(&mut fleet, holder, Fault::CutFromTable);
        fleet.set_desired(CHECKS, adapter("second"));

        let met = |fleet: &Fleet| fleet.meets(CHECKS, &adapter("second"));
        fleet.run_until(TAKE_OVER, &case, met).await;
        check_logs(&fleet, &case);
    }
}

/// Guards against an order of a former holder taking an engine out of service while it has requests.
/// The holder drains an engine, records a load and is paused before it sends it; the load is no longer
/// desired; a successor takes over; the former holder resumes and sends it. The successor must not let
/// the engine serve again while the order may still arrive.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_engine_is_still_drained_when_a_late_order_arrives() {
    for engine in [CHECKS, IGNORES] {
        let case = format!("engine {engine}");
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.run_until(TAKE_OVER, &case, |fleet| fleet.holder().is_some()).await;
        let holder = fleet.holder().unwrap();
        let name = fleet.instances[holder].name.to_string();
        fleet.engines.fail_next_order(&name, EngineFault::PauseBeforeSending);
        fleet.set_desired(engine, load(2));
        fleet.run_until(TAKE_OVER, &case, |fleet| fleet.engines.is_paused(&name)).await;

        fleet.set_desired(engine, load(1));
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

/// Guards against an order that is given after the lease has lapsed, because the lease is checked only
/// before the order is recorded. The table takes longer than a lease to record the order, and no other
/// instance takes the pool meanwhile.
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
    fleet.set_desired(CHECKS, adapter("first"));
    fleet.instances[0].controller_view.faults().set_delay(Millis::from_secs(20));
    fleet.run_for(Millis::from_secs(15)).await;
    fleet.instances[0].controller_view.faults().set_delay(Millis::ZERO);

    let given = |fleet: &Fleet| fleet.engines.each(|model| model.orders().len())[0] > 0;
    fleet.run_until(TAKE_OVER, "order", given).await;

    assert!(renewals(&fleet) > before, "the order was given under a lapsed lease");
    check_logs(&fleet, "late record");
}

/// Guards against a holder losing its authority because it is partitioned from its peers only. The peer
/// link carries hints, and no decision may depend on it.
#[tokio::test(flavor = "current_thread")]
async fn verify_authority_does_not_depend_on_the_peer_link() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let holder = reach_moment(&mut fleet, Moment::Idle).await;

    inject(&mut fleet, holder, Fault::CutFromPeers);
    fleet.set_desired(CHECKS, load(2));
    fleet.set_desired(IGNORES, load(2));

    let met = |fleet: &Fleet| (0..2).all(|engine| fleet.meets(engine, &load(2)));
    fleet.run_until(Millis::from_secs(60), "without peers", met).await;
    assert_eq!(fleet.holder(), Some(holder));
    check_logs(&fleet, "without peers");
}

/// Guards against two successors that give orders under one term, or two terms used for one take-over.
/// The holder is killed; two candidates check the pool at the same time, and the table is slow, so that
/// both have read the row before either writes. A take-over must be a compare-and-set on all rows that
/// it depends on.
#[tokio::test(flavor = "current_thread")]
async fn verify_only_one_of_two_successors_takes_the_pool() {
    for delay in [Millis::ZERO, Millis(250), Millis(500)] {
        let case = format!("a delay of {delay}");
        let mut controller = ControllerOptions::default();
        controller.candidates.first_interval_ms = Millis(250);
        controller.candidates.last_interval_ms = Millis(250);
        let mut fleet = Fleet::new(FleetOptions { controller, ..FleetOptions::default() });
        let holder = reach_moment(&mut fleet, Moment::Idle).await;
        for instance in &fleet.instances {
            instance.controller_view.faults().set_delay(delay);
        }
        let term = fleet.row().unwrap().term;

        inject(&mut fleet, holder, Fault::Killed);
        fleet.set_desired(CHECKS, adapter("second"));

        let met = |fleet: &Fleet| fleet.meets(CHECKS, &adapter("second"));
        let killed_at = fleet.now();
        fleet.run_until(TAKE_OVER, &case, met).await;
        println!("{case}: obeyed the successor {} after the kill", fleet.now() - killed_at);
        assert_eq!(fleet.row().unwrap().term.0, term.0 + 1, "{case}");
        let raced = fleet.platform.counts().conflicts > 0;
        assert!(raced || delay == Millis::ZERO, "{case}: the candidates did not race");
        check_logs(&fleet, &case);
    }
}
