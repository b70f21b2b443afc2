//! Tests drains: which mark an acknowledgement clears, and which engine a plan drains next.

use std::collections::{BTreeMap, BTreeSet};

use anvilhook_core::drains::{
    DrainAck, DrainCause, DrainFollower, DrainMarks, DrainPlanner, DrainProgress, EngineView,
    PlanRefusal, progress,
};
use anvilhook_core::names::{InstanceName, PoolName, UpstreamName, ZoneName};
use anvilhook_core::resources::{DrainPlanSpec, DrainTarget};
use anvilhook_core::units::Millis;

fn engine(index: usize) -> UpstreamName {
    UpstreamName::try_new(&format!("runner-{index}")).unwrap()
}

fn pool(name: &str) -> PoolName {
    PoolName::try_new(name).unwrap()
}

fn me() -> InstanceName {
    InstanceName::try_new("entry-1").unwrap()
}

/// Guards against a change that interrupts requests although all instances have acknowledged. An engine
/// drains, serves again and drains again. The fault comes about if an acknowledgement is applied to another
/// drain, engine or pool.
#[test]
fn verify_an_acknowledgement_clears_only_its_own_mark() {
    let mut marks = DrainMarks::default();
    marks.mark(&engine(1), DrainCause::Change);
    let earlier = marks.engines[&engine(1)].since;
    marks.unmark(&engine(1), &DrainCause::Change);
    marks.mark(&engine(1), DrainCause::Change);
    let since = marks.engines[&engine(1)].since;
    for (acked_pool, acked_engine, acked_since, clears) in [
        ("verdicts", 1, since, true),
        ("verdicts", 1, earlier, false),
        ("verdicts", 1, since + 1, false),
        ("verdicts", 2, since, false),
        ("questions", 1, since, false),
    ] {
        let of_pool = BTreeMap::from([(engine(acked_engine), acked_since)]);
        let ack = DrainAck { instance: me(), pools: BTreeMap::from([(pool(acked_pool), of_pool)]) };

        let acknowledges =
            |_: &InstanceName, mark: &_| ack.clears(&pool("verdicts"), &engine(1), mark);
        let found = progress(marks.engines.get(&engine(1)), [&me()], acknowledges);

        let expected = if clears {
            DrainProgress::Acknowledged
        } else {
            DrainProgress::AwaitingInstances(BTreeSet::from([me()]))
        };
        assert_eq!(found, expected, "{ack:?}");
    }
}

/// Guards against an instance that routes to an engine whose drain it has acknowledged. This happens if
/// older marks, which were read before newer ones but arrive after them, are adopted.
#[test]
fn verify_a_follower_ignores_older_marks() {
    let mut older = DrainMarks::default();
    older.mark(&engine(1), DrainCause::Change);
    older.unmark(&engine(1), &DrainCause::Change);
    let mut newer = older.clone();
    newer.mark(&engine(1), DrainCause::Change);
    let mut follower = DrainFollower::default();

    assert!(follower.adopt(&pool("verdicts"), &newer));
    assert!(!follower.adopt(&pool("verdicts"), &older));

    assert!(follower.is_draining(&engine(1)));
    let ack = follower.ack(&me(), |_| 0);
    let mark = &newer.engines[&engine(1)];
    assert!(ack.clears(&pool("verdicts"), &engine(1), mark));
    assert!(!follower.ack(&me(), |_| 1).clears(&pool("verdicts"), &engine(1), mark));
}

/// An engine that drains for two causes serves again only after both causes have ended.
#[test]
fn verify_each_cause_keeps_an_engine_draining() {
    let plan = DrainCause::Plan("move".parse().unwrap());
    let mut marks = DrainMarks::default();
    marks.mark(&engine(1), DrainCause::Change);
    let generation = marks.generation;
    marks.mark(&engine(1), plan.clone());

    assert_eq!(marks.generation, generation, "acknowledgements of the first cause remain valid");
    marks.unmark(&engine(1), &DrainCause::Change);
    assert!(marks.is_marked(&engine(1)));
    marks.unmark(&engine(1), &plan);
    assert!(!marks.is_marked(&engine(1)));
}

/// Returns six engines, two in each of three zones. `.` is serving, `p` is marked by the plan, `d` is
/// drained by the plan, and `m` is marked for another cause.
fn views(states: &str) -> Vec<EngineView> {
    let view = |(index, state): (usize, char)| EngineView {
        name: engine(index),
        zone: ZoneName::try_new(["piraeus", "marousi", "glyfada"][index / 2]).unwrap(),
        marked: state != '.',
        planned: state == 'p' || state == 'd',
        drained: state == 'd',
    };
    states.chars().enumerate().map(view).collect()
}

#[test]
fn verify_which_engine_a_plan_drains_next() {
    let zone = |name: &str| ZoneName::try_new(name).unwrap();
    let zones = || DrainTarget::Zones(vec![zone("marousi"), zone("piraeus")]);
    let engines = || DrainTarget::Engines(vec![engine(0), engine(2), engine(3)]);
    for (target, states, min_serving, marked_at, expected) in [
        (zones(), "......", 1, None, Ok(engine(2))),
        (zones(), "..d...", 1, Some(0), Ok(engine(3))),
        (zones(), "..d...", 1, Some(5_000), Err(PlanRefusal::Pace(Millis(15_000)))),
        (zones(), "..pp..", 1, None, Err(PlanRefusal::ZoneDraining(zone("marousi")))),
        (zones(), "..dd..", 1, None, Ok(engine(0))),
        (zones(), "p.dd..", 1, None, Err(PlanRefusal::MaxAtOnce)),
        (zones(), "dddd..", 1, None, Err(PlanRefusal::AllMarked)),
        (zones(), "..dd..", 4, None, Err(PlanRefusal::MinServing)),
        (zones(), "m.dd..", 3, None, Ok(engine(0))),
        (engines(), "......", 1, None, Ok(engine(0))),
        (engines(), "p.....", 1, None, Err(PlanRefusal::ZoneDraining(zone("piraeus")))),
        (engines(), "d.....", 1, None, Ok(engine(2))),
        (engines(), "d.p...", 1, None, Err(PlanRefusal::MaxAtOnce)),
        (engines(), "d.dd..", 1, None, Err(PlanRefusal::AllMarked)),
    ] {
        let plan = DrainPlanSpec {
            pool: pool("verdicts"),
            target,
            max_at_once: 1,
            pace_ms: Millis(10_000),
            min_serving: 1,
        };
        let planner = DrainPlanner::new(marked_at.map(Millis));

        let next = planner.next(&plan, &views(states), min_serving, Millis(10_000));

        assert_eq!(next, expected, "{:?} {states}", plan.target);
    }
}
