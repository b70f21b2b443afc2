//! Checks regression bounds of the policy on short runs with fixed seeds.

use anvilhook_bench::policy::{
    Deployment, Policy, Row, RunOptions, Scenario, Split, Workload, run_one,
};
use anvilhook_core::units::Millis;

const SEED: u64 = 1;

/// The length of a run, in which the mix swings from its one extreme to the other.
const HORIZON: Millis = Millis::from_secs(300);

fn run(deployment: Deployment, scenario: Scenario, load_pct: u32, policy: &Policy) -> Row {
    let workload = Workload::new(deployment, scenario, load_pct, SEED, HORIZON);
    run_one(&workload, policy)
}

fn baseline(name: &str) -> Policy {
    let all = Policy::baselines(Split { prefill: 4, decode: 4 });
    all.into_iter().find(|policy| policy.name == name).expect("the name of a baseline")
}

#[test]
fn verify_same_seed_gives_same_figures() {
    let row = || run(Deployment::Papadakis, Scenario::CrashMidChange, 100, &Policy::ours());

    assert_eq!(row(), row());
}

#[test]
fn verify_share_of_the_bound() {
    // Each entry holds the site, the scenario, the load and the minimum share of the bound.
    let least = [
        (Deployment::Papadakis, Scenario::Swing, 80, 0.95),
        (Deployment::Papadakis, Scenario::Swing, 120, 0.74),
        (Deployment::Papadakis, Scenario::LaggedReports, 80, 0.95),
        (Deployment::Papadakis, Scenario::LateCacheEvents, 80, 0.95),
        (Deployment::Association, Scenario::Flapping, 80, 0.92),
        (Deployment::Association, Scenario::Flood, 60, 0.85),
    ];
    for (deployment, scenario, load_pct, least) in least {
        let row = run(deployment, scenario, load_pct, &Policy::ours());

        let what = format!("{} {} {load_pct}", row.deployment, row.scenario);
        assert!(row.bound_share >= least, "{what}: {}", row.bound_share);
        assert!(row.bound_share <= 1.0, "{what}: no policy can exceed the bound");
        assert!(row.record_in_time >= 0.999, "{what}: {} of records", row.record_in_time);
        assert_eq!(
            row.role_changes, 0,
            "{what}: no role change is worth its cost in the users' mixes"
        );
    }
}

#[test]
fn verify_no_baseline_is_ahead() {
    let names = ["least-outstanding", "cache-affinity", "fixed-roles", "greedy-roles"];
    for deployment in Deployment::ALL {
        let ours = run(deployment, Scenario::Swing, 60, &Policy::ours());
        for name in names {
            let row = run(deployment, Scenario::Swing, 60, &baseline(name));

            assert!(row.goodput < ours.goodput, "{name}: {} of {}", row.goodput, ours.goodput);
            assert_eq!(row.bound, ours.bound, "{name}: the load must be the same");
        }
    }
}

#[test]
fn verify_unknown_names_in_arguments_are_refused() {
    let args = |name: &str, value: &str| {
        use argh::FromArgs;
        anvilhook_bench::policy::Args::from_args(&["policy"], &[name, value]).expect("parses")
    };

    for name in ["--deployment", "--scenario"] {
        let err = RunOptions::try_new(&args(name, "nowhere")).expect_err("the name is unknown");
        assert!(err.to_string().starts_with(name), "{err}");
    }
}
