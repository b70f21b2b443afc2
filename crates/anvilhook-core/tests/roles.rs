//! Tests the role planner.

use anvilhook_core::orders::Role;
use anvilhook_core::resources::RolePolicy;
use anvilhook_core::roles::{
    EngineRole, Flow, ObservedWork, PlanOptions, RoleBounds, RoleChange, RoleCounts, RolePlanner,
};
use anvilhook_core::units::Millis;

const STEP: Millis = Millis::from_secs(5);

fn policy(change_weight: f64) -> RolePolicy {
    RolePolicy {
        automatic: true,
        change_weight,
        max_changing_share: 0.25,
        min_dwell_ms: Millis::from_secs(60),
    }
}

fn pool() -> Vec<EngineRole> {
    let engine = |index: usize| EngineRole {
        name: format!("engine-{index}").parse().expect("a name"),
        role: Role::Mixed,
        changing: false,
        serving: true,
        changed_at: None,
    };
    (0..12).map(engine).collect()
}

/// Returns work of long prompts whose output is streamed to the caller. Prefill delays the tokens of other
/// streams.
fn long_and_tight() -> ObservedWork {
    let tight = Flow { requests: 17.0, prefill: 34_000.0, prompt: 34_000.0, output: 5_100.0 };
    ObservedWork { tight, patient: Flow::default() }
}

/// Returns work of short prompts with long output. A pool that is split for long prompts has too few engines
/// that generate.
fn short() -> ObservedWork {
    let tight = Flow { requests: 30.0, prefill: 6_000.0, prompt: 6_000.0, output: 10_000.0 };
    ObservedWork { tight, patient: Flow::default() }
}

/// Simulates a changing mix of work and applies each planned change immediately. Returns the changes with
/// their times, and the engines at the end.
fn simulate(
    options: PlanOptions,
    secs: u64,
    mix: impl Fn(u64) -> ObservedWork,
) -> (Vec<(Millis, RoleChange)>, Vec<EngineRole>) {
    let mut planner = RolePlanner::new(options);
    let mut engines = pool();
    let mut all = Vec::new();
    let mut now = Millis::ZERO;
    while now < Millis::from_secs(secs) {
        now += STEP;
        planner.observe(&mix(now.0 / 1_000), now);
        for change in planner.plan(&engines, now) {
            let engine = engines.iter_mut().find(|e| e.name == change.engine).expect("named");
            engine.role = change.role;
            engine.changed_at = Some(now);
            all.push((now, change));
        }
    }
    (all, engines)
}

fn counts(engines: &[EngineRole]) -> RoleCounts {
    let mut counts = RoleCounts::default();
    engines.iter().for_each(|engine| counts.add(engine.role));
    counts
}

#[test]
fn verify_a_lasting_mix_changes_roles_step_by_step() {
    let (changes, engines) = simulate(PlanOptions::new(policy(1.0)), 1_800, |_| long_and_tight());

    let counts = counts(&engines);
    assert!(counts.prefill >= 2 && counts.decode >= 2, "{counts:?}");
    let mut changes_at = std::collections::BTreeMap::<Millis, usize>::new();
    changes.iter().for_each(|(at, _)| *changes_at.entry(*at).or_default() += 1);
    assert!(changes_at.values().all(|changes| *changes <= 3), "{changes_at:?}");
    let first = changes.first().expect("a change").0;
    assert!(first >= Millis::from_secs(120), "at {first}: too little work had been observed");
}

#[test]
fn verify_a_flapping_mix_does_not_make_roles_flap() {
    // Guards against engines that are drained and changed back and forth, and serve no requests meanwhile. The
    // mix switches between two extremes every two minutes. The fault comes about if the planner assumes that
    // the current mix will last.
    for weight in [1.0, 10.0] {
        let flap =
            |secs: u64| if (secs / 120).is_multiple_of(2) { short() } else { long_and_tight() };
        let (changes, _) = simulate(PlanOptions::new(policy(weight)), 2 * 3_600, flap);

        // The first plan may be applied during the first hour. After it, at most two changes per hour are
        // allowed.
        let later = changes.iter().filter(|(at, _)| *at > Millis::from_secs(3_600)).count();
        assert!(later <= 2, "weight {weight}: {later} changes");
    }
}

#[test]
fn verify_policy_bounds_and_dwell_are_observed() {
    let usual = PlanOptions::new(policy(1.0));
    let manual = RolePolicy { automatic: false, ..policy(1.0) };
    let max = RoleCounts { prefill: 1, decode: 1, mixed: usize::MAX };
    let bounds = RoleBounds { min: RoleCounts::default(), max };
    let cases = [
        ("not automatic", PlanOptions { policy: manual, ..usual.clone() }, 0),
        ("bounded", PlanOptions { bounds, ..usual.clone() }, 1),
        ("too expensive", PlanOptions { policy: policy(1e6), ..usual }, 0),
    ];
    for (what, options, max_count) in cases {
        let (_, engines) = simulate(options, 1_800, |_| long_and_tight());

        let counts = counts(&engines);
        assert!(counts.prefill <= max_count && counts.decode <= max_count, "{what}: {counts:?}");
    }
}
