//! Tests drains: which instances are awaited, what blocks a drain, and at which pace plans drain.

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
enum Outage {
    /// The process is paused.
    Paused,
    /// The process terminated, and other instances must assume that it has a request in flight.
    Killed,
    /// It is partitioned from the table and from its peers, and continues to route.
    Partitioned,
    /// It started while it was partitioned from the table, so it has not announced itself.
    NeverAnnounced,
    /// It is paused, and the instance list does not contain it any more.
    Unlisted,
}

/// Guards against a change that aborts the requests of an instance that does not respond. One instance
/// stops responding, then an engine is to be changed; later the instance comes back, or the platform
/// reports that it has terminated. A missing answer must not count as an acknowledgement.
#[tokio::test(flavor = "current_thread")]
async fn verify_an_unresponsive_instance_blocks_a_change_and_is_named() {
    for peers in [true, false] {
        for outage in [
            Outage::Paused,
            Outage::Killed,
            Outage::Partitioned,
            Outage::NeverAnnounced,
            Outage::Unlisted,
        ] {
            let case = format!("{outage:?}, peers: {peers}");
            let mut fleet = Fleet::new(FleetOptions { peers, ..FleetOptions::default() });
            fleet.run_for(Millis(4_000)).await;
            let holder = fleet.holder().unwrap();
            let mut affected = (holder + 1) % 3;
            match outage {
                Outage::Paused => fleet.instances[affected].paused = true,
                Outage::Unlisted => {
                    fleet.instances[affected].paused = true;
                    let name = fleet.instances[affected].name.as_str().parse().unwrap();
                    fleet.platform.remove_instance(&name);
                }
                Outage::Killed => fleet.kill(affected),
                Outage::Partitioned => fleet.reach(affected, Reach::Cut, true),
                Outage::NeverAnnounced => {
                    affected = fleet.start_instance();
                    fleet.reach(affected, Reach::Cut, true);
                }
            }
            fleet.instances[affected].peers_cut = true;

            fleet.set_desired(0, load(2));
            fleet.run_for(LIMIT).await;

            assert!(!fleet.meets(0, &load(2)), "{case}");
            assert_eq!(fleet.reason(0).as_deref(), Some("AwaitingInstances"), "{case}");
            let name = fleet.instances[affected].name.to_string();
            let observed = &fleet.instances[fleet.holder().unwrap()].observed;
            let named = observed.iter().any(|seen| seen.condition.message.contains(&name));
            assert!(named, "{case}: {observed:?}");

            if outage == Outage::Killed {
                fleet.declare_gone(affected);
            }
            fleet.reach(affected, Reach::Up, true);
            fleet.instances[affected].paused = false;
            fleet.instances[affected].peers_cut = false;
            fleet.run_until(LIMIT, &case, |fleet| fleet.meets(0, &load(2))).await;
            check_logs(&fleet, &case);
            let left = fleet.platform.rows(DRAIN_ACK_PREFIX);
            let left = left.iter().any(|row| row.key.as_str().ends_with(&name));
            assert!(!left || outage != Outage::Killed, "{case}: a terminated instance has a row");
        }
    }
}

/// Guards against a change that aborts the first requests of a new instance. An instance starts at
/// various moments of a drain. If the holder read the instances before it wrote the mark, it does not
/// wait for the new one.
#[tokio::test(flavor = "current_thread")]
async fn verify_an_instance_that_starts_during_a_drain_is_awaited() {
    for steps in 0..12 {
        let case = format!("started after {steps} steps");
        // The instances are read rarely, so that the holder has a result from before the mark.
        let controller =
            ControllerOptions { awaited_read_ms: Millis(3_000), ..ControllerOptions::default() };
        let mut fleet = Fleet::new(FleetOptions { controller, ..FleetOptions::default() });
        fleet.run_for(Millis(4_000)).await;
        if steps % 2 == 0 {
            fleet.set_desired(0, load(2));
        }
        for _ in 0..steps {
            fleet.step().await;
        }

        fleet.start_instance();
        fleet.step().await;
        fleet.set_desired(0, load(2));

        fleet.run_until(LIMIT, &case, |fleet| fleet.meets(0, &load(2))).await;
        check_logs(&fleet, &case);
    }
}

/// Guards against a new instance routing requests to an engine during a change. The instance announces
/// itself after the holder has read the instances and before the holder marks the engine; then it is
/// partitioned, so that it does not see the mark. The holder must not use a result from before the
/// mark.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_instances_are_read_after_the_mark() {
    for wait in 0..8 {
        let case = format!("wanted {wait} steps after the start");
        let controller =
            ControllerOptions { awaited_read_ms: Millis(4_000), ..ControllerOptions::default() };
        let options = FleetOptions { controller, max_changing: 2, ..FleetOptions::default() };
        let mut fleet = Fleet::new(options);
        fleet.run_for(Millis(4_000)).await;
        // A drain that waits for a long request makes the holder read the instances periodically.
        fleet.submit_long(1, 400);
        fleet.set_desired(1, load(2));
        fleet.run_for(Millis(1_000)).await;
        let new = fleet.start_instance();
        fleet.instances[new].peers_cut = true;
        fleet.instances[new].route_every = 8;
        fleet.step().await;
        fleet.reach(new, Reach::Cut, true);
        for _ in 0..wait {
            fleet.step().await;
        }

        fleet.set_desired(0, load(2));
        fleet.run_for(LIMIT).await;

        assert_eq!(fleet.reason(0).as_deref(), Some("AwaitingInstances"), "{case}");
        fleet.reach(new, Reach::Up, true);
        fleet.run_until(LIMIT, &case, |fleet| fleet.meets(0, &load(2))).await;
        check_logs(&fleet, &case);
    }
}

/// Guards against too many engines, or engines of two zones, being out of service at once, because a
/// drain plan does not count the engines that are out of service for other reasons. A plan drains
/// several zones of a pool; a long request delays the drain of one engine.
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
    // A long request delays the drain of one engine of the first zone.
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
        assert_eq!(in_zone(2).count(), 0, "three must keep serving");
    }
    assert_eq!(marked.len(), 6);

    fleet.plans[0].drains[0].spec.target = DrainTarget::Zones(vec![zone(1), zone(0)]);
    fleet.run_for(Millis(1_000)).await;
    assert!(reasons(&fleet, &name).contains("Drained"));
    fleet.plans[0].drains.clear();
    fleet.run_for(Millis(2_000)).await;
    assert!(fleet.row().unwrap().drains.engines.is_empty(), "marks of a deleted plan remain");
    check_logs(&fleet, "plan");
}

fn reasons(fleet: &Fleet, plan: &ResourceName) -> BTreeSet<String> {
    let observed = &fleet.instances[fleet.holder().unwrap()].observed;
    let of_plan = observed.iter().filter(|seen| seen.key.name == *plan);
    of_plan.map(|seen| seen.condition.reason.clone()).collect()
}

/// Guards against the second change of an engine aborting requests, because an acknowledgement of the
/// first drain counts for the second. An engine is changed several times, and acknowledgements are
/// exchanged only through the table.
#[tokio::test(flavor = "current_thread")]
async fn verify_an_old_acknowledgement_does_not_count() {
    let mut fleet = Fleet::new(FleetOptions { peers: false, ..FleetOptions::default() });
    for version in 2..5 {
        fleet.set_desired(0, load(version));
        fleet.run_until(LIMIT, "change", |fleet| fleet.meets(0, &load(version))).await;
        fleet.run_for(Millis(3_000)).await;
    }

    check_logs(&fleet, "old acknowledgements");
}

/// Guards against a change that aborts a request that no announced instance has sent, such as one of a
/// terminated instance that still runs at the engine. Acknowledgements do not suffice; the engine must
/// also report that no request is open.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_engine_must_report_no_open_requests() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.run_for(Millis(4_000)).await;
    // The requests end one after the other, so that the number of open requests changes often.
    for halves in 1..=20 {
        fleet.submit_long(0, 20 * halves);
    }

    fleet.set_desired(0, load(2));
    fleet.run_for(Millis(8_000)).await;

    assert_eq!(fleet.reason(0).as_deref(), Some("RequestsOpen"));
    let reports: usize = fleet.instances.iter().map(|instance| instance.reports).sum();
    assert!(reports < 15, "{reports} reports, each a write, in 48 steps");
    fleet.run_until(LIMIT, "change", |fleet| fleet.meets(0, &load(2))).await;
    check_logs(&fleet, "long request");
}

/// Guards against more concurrent loads than the weight store allows, because each holder counts only
/// its own. Two pools with different holders change the model of all engines at once.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_load_limit_applies_to_all_holders_together() {
    let options = FleetOptions {
        engines: vec![Fencing::Checks; 8],
        pools: 2,
        max_changing: 4,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::new(options);
    fleet.run_for(Millis(4_000)).await;

    let holders: BTreeSet<_> = fleet.rows().into_iter().map(|row| row.holder).collect();
    assert_eq!(holders.len(), 2, "each pool has its own holder");

    for engine in 0..8 {
        fleet.set_desired(engine, load(2));
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

    assert_eq!(most, 2, "the limit of the weight store is reached but not exceeded");
    check_logs(&fleet, "loads");
}
