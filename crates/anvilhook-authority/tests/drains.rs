//! Drains: who is awaited, who is a veto, at which pace.

mod fixtures;

use std::collections::BTreeSet;

use anvilhook_authority::{ControllerOptions, DRAIN_ACK_PREFIX, DeclaredDrain};
use anvilhook_core::names::ResourceName;
use anvilhook_core::resources::{DrainPlanSpec, DrainTarget, Fencing};
use anvilhook_core::units::Millis;
use anvilhook_standin::platform::Reach;
use fixtures::{Fleet, FleetOptions, check_logs, engine_name, load, zone};

const LIMIT: Millis = Millis::from_secs(60);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Silence {
    /// The process stands still.
    Paused,
    /// The process ended, with a request under way as far as anybody knows.
    Killed,
    /// It is cut off from the table and from its peers, and goes on routing.
    CutOff,
    /// It started while it was cut off from the table, so it has not announced itself.
    NeverAnnounced,
    /// It stands still, and the platform's list does not show it any more.
    Vanished,
}

/// Symptom: a change cuts the requests of an instance that nobody could ask.
/// Sequence: one instance falls silent, then an engine is to be changed; later the instance comes
/// back, or the platform says that it is gone.
/// Cause: silence taken for a yes.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_silent_instance_is_a_veto_that_status_names() {
    for peers in [true, false] {
        for silence in [
            Silence::Paused,
            Silence::Killed,
            Silence::CutOff,
            Silence::NeverAnnounced,
            Silence::Vanished,
        ] {
            let case = format!("{silence:?}, peers: {peers}");
            let mut fleet = Fleet::new(FleetOptions { peers, ..FleetOptions::default() });
            fleet.run_for(Millis(4_000)).await;
            let holder = fleet.holder().unwrap();
            let mut silent = (holder + 1) % 3;
            match silence {
                Silence::Paused => fleet.instances[silent].paused = true,
                Silence::Vanished => {
                    fleet.instances[silent].paused = true;
                    let name = fleet.instances[silent].name.as_str().parse().unwrap();
                    fleet.platform.remove_instance(&name);
                }
                Silence::Killed => fleet.kill(silent),
                Silence::CutOff => fleet.reach(silent, Reach::Cut, true),
                Silence::NeverAnnounced => {
                    silent = fleet.start_instance();
                    fleet.reach(silent, Reach::Cut, true);
                }
            }
            fleet.instances[silent].peers_cut = true;

            fleet.want(0, load(2));
            fleet.run_for(LIMIT).await;

            assert!(!fleet.meets(0, &load(2)), "{case}");
            assert_eq!(fleet.reason(0).as_deref(), Some("AwaitingInstances"), "{case}");
            let name = fleet.instances[silent].name.to_string();
            let observed = &fleet.instances[fleet.holder().unwrap()].observed;
            let named = observed.iter().any(|seen| seen.condition.message.contains(&name));
            assert!(named, "{case}: {observed:?}");

            if silence == Silence::Killed {
                fleet.declare_gone(silent);
            }
            fleet.reach(silent, Reach::Up, true);
            fleet.instances[silent].paused = false;
            fleet.instances[silent].peers_cut = false;
            fleet.run_until(LIMIT, &case, |fleet| fleet.meets(0, &load(2))).await;
            check_logs(&fleet, &case);
            let left = fleet.platform.rows(DRAIN_ACK_PREFIX);
            let left = left.iter().any(|row| row.key.as_str().ends_with(&name));
            assert!(!left || silence != Silence::Killed, "{case}: a gone instance leaves no row");
        }
    }
}

/// Symptom: a change cuts the first requests of a new instance.
/// Sequence: an instance starts at every moment of a drain.
/// Cause: instances read before the mark was written, so the new one was not asked.
#[tokio::test(flavor = "current_thread")]
async fn verify_an_instance_that_starts_amid_a_drain_is_asked() {
    for steps in 0..12 {
        let case = format!("started after {steps} steps");
        // The instances are read seldom, so that a reading from before the mark is at hand.
        let keeper =
            ControllerOptions { awaited_read_ms: Millis(3_000), ..ControllerOptions::default() };
        let mut fleet = Fleet::new(FleetOptions { keeper, ..FleetOptions::default() });
        fleet.run_for(Millis(4_000)).await;
        if steps % 2 == 0 {
            fleet.want(0, load(2));
        }
        for _ in 0..steps {
            fleet.step().await;
        }

        fleet.start_instance();
        fleet.step().await;
        fleet.want(0, load(2));

        fleet.run_until(LIMIT, &case, |fleet| fleet.meets(0, &load(2))).await;
        check_logs(&fleet, &case);
    }
}

/// Symptom: a new instance's requests meet an engine amid a change.
/// Sequence: an instance announces itself after the holder read the instances, and before it marks
/// the engine; then it is cut off, so that it does not see the mark.
/// Cause: a reading of the instances from before the mark.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_instances_are_read_after_the_mark() {
    for wait in 0..8 {
        let case = format!("wanted {wait} steps after the start");
        let keeper =
            ControllerOptions { awaited_read_ms: Millis(4_000), ..ControllerOptions::default() };
        let options = FleetOptions { keeper, max_changing: 2, ..FleetOptions::default() };
        let mut fleet = Fleet::new(options);
        fleet.run_for(Millis(4_000)).await;
        // A drain that awaits a long request makes the holder read the instances now and then.
        fleet.submit_long(1, 400);
        fleet.want(1, load(2));
        fleet.run_for(Millis(1_000)).await;
        let new = fleet.start_instance();
        fleet.instances[new].peers_cut = true;
        fleet.instances[new].route_every = 8;
        fleet.step().await;
        fleet.reach(new, Reach::Cut, true);
        for _ in 0..wait {
            fleet.step().await;
        }

        fleet.want(0, load(2));
        fleet.run_for(LIMIT).await;

        assert_eq!(fleet.reason(0).as_deref(), Some("AwaitingInstances"), "{case}");
        fleet.reach(new, Reach::Up, true);
        fleet.run_until(LIMIT, &case, |fleet| fleet.meets(0, &load(2))).await;
        check_logs(&fleet, &case);
    }
}

/// Symptom: too many engines, or engines of two zones, are out of service at once.
/// Sequence: a plan drains two zones of a pool while the pool also changes its model.
/// Cause: a plan that does not count what else is out of service.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_drain_plan_keeps_its_pace_and_zones() {
    let engines = vec![Fencing::Checks; 9];
    let options = FleetOptions { engines, min_serving: 3, ..FleetOptions::default() };
    let mut fleet = Fleet::new(options);
    fleet.run_for(Millis(4_000)).await;
    let name = ResourceName::try_new("move").unwrap();
    let spec = DrainPlanSpec {
        pool: fleet.plans[0].pool.clone(),
        target: DrainTarget::Zones(vec![zone(1), zone(0), zone(2)]),
        max_at_once: 2,
        pace_ms: Millis(1_000),
        min_serving: 3,
    };
    // A long request keeps one engine of the first zone from being drained for a while.
    let long_until = fleet.submit_long(4, 400);

    fleet.plans[0].drains = vec![DeclaredDrain { name: name.clone(), spec: spec.clone() }];
    let mut marked = BTreeSet::new();
    while !reasons(&fleet, &name).contains("MinServing") {
        assert!(fleet.now() < Millis::from_secs(60), "{:?}", reasons(&fleet, &name));
        fleet.step().await;
        let before = marked.len();
        marked = fleet.row().unwrap().drains.engines.into_keys().collect();
        assert!(marked.len() <= before + 1, "one at a time, by the pace");
        let in_zone =
            |at: usize| (at..9).step_by(3).filter(|at| marked.contains(&engine_name(*at)));
        assert!(in_zone(0).count() == 0 || fleet.now() >= long_until, "one zone at a time");
        assert_eq!(in_zone(2).count(), 0, "three must go on serving");
    }
    assert_eq!(marked.len(), 6);

    fleet.plans[0].drains[0].spec.target = DrainTarget::Zones(vec![zone(1), zone(0)]);
    fleet.run_for(Millis(1_000)).await;
    assert!(reasons(&fleet, &name).contains("Drained"));
    fleet.plans[0].drains.clear();
    fleet.run_for(Millis(2_000)).await;
    assert!(fleet.row().unwrap().drains.engines.is_empty(), "a deleted plan lets them serve");
    check_logs(&fleet, "plan");
}

fn reasons(fleet: &Fleet, plan: &ResourceName) -> BTreeSet<String> {
    let observed = &fleet.instances[fleet.holder().unwrap()].observed;
    let of_plan = observed.iter().filter(|seen| seen.key.name == *plan);
    of_plan.map(|seen| seen.condition.reason.clone()).collect()
}

/// Symptom: the second change of an engine cuts requests.
/// Sequence: an engine is changed twice in a row, where acknowledgements go by the table only.
/// Cause: the acknowledgement of the first drain taken for one of the second.
#[tokio::test(flavor = "current_thread")]
async fn verify_an_old_acknowledgement_says_nothing() {
    let mut fleet = Fleet::new(FleetOptions { peers: false, ..FleetOptions::default() });
    for version in 2..5 {
        fleet.want(0, load(version));
        fleet.run_until(LIMIT, "change", |fleet| fleet.meets(0, &load(version))).await;
        fleet.run_for(Millis(3_000)).await;
    }

    check_logs(&fleet, "old acknowledgements");
}

/// Symptom: a change cuts a request that no announced instance has sent.
/// Sequence: an instance is gone for good, but its request still runs at the engine.
/// Cause: acknowledgements trusted without the engine's own word.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_engine_itself_must_agree() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.run_for(Millis(4_000)).await;
    // They end one after the other, so that the number of open requests changes often.
    for halves in 1..=20 {
        fleet.submit_long(0, 20 * halves);
    }

    fleet.want(0, load(2));
    fleet.run_for(Millis(8_000)).await;

    assert_eq!(fleet.reason(0).as_deref(), Some("RequestsOpen"));
    let reports: usize = fleet.instances.iter().map(|instance| instance.reports).sum();
    assert!(reports < 15, "{reports} reports, each a write, in 48 steps");
    fleet.run_until(LIMIT, "change", |fleet| fleet.meets(0, &load(2))).await;
    check_logs(&fleet, "long request");
}

/// Symptom: the weight store is asked for more than it bears.
/// Sequence: two pools with different holders change the model of all engines at once.
/// Cause: a limit that each holder counts for itself.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_weight_store_bears_the_loads_of_all_holders() {
    let options = FleetOptions {
        engines: vec![Fencing::Checks; 8],
        pools: 2,
        max_changing: 4,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::new(options);
    fleet.run_for(Millis(4_000)).await;

    let holders: BTreeSet<_> = fleet.rows().into_iter().map(|row| row.holder).collect();
    assert_eq!(holders.len(), 2, "each pool has a holder of its own");

    for engine in 0..8 {
        fleet.want(engine, load(2));
    }
    let mut most = 0;
    let all = |fleet: &Fleet| (0..8).all(|engine| fleet.meets(engine, &load(2)));
    while !all(&fleet) {
        assert!(fleet.now() < Millis::from_secs(180), "{:?}", fleet.reason(0));
        fleet.step().await;
        let now = fleet.now();
        let loads = fleet
            .engines
            .each(|model| model.state(now).is_some_and(|state| state.running_order.is_some()));
        most = most.max(loads.into_iter().filter(|loads| *loads).count());
    }

    assert_eq!(most, 2, "as many as the weight store bears, and no more");
    check_logs(&fleet, "loads");
}
