//! Runs all combinations of sites, scenarios, loads and policies on several threads.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use anvilhook_core::units::Millis;
use eyre::{OptionExt, Result};

use super::deployments::Deployment;
use super::outcomes::Row;
use super::policies::{Planning, Policy, Split};
use super::scenarios::Scenario;
use super::workloads::Workload;
use super::{Args, worlds};

/// The loads, as percentages of what a perfect plan could carry.
const LOADS: [u32; 5] = [60, 80, 100, 120, 150];

/// The length of the runs that search for the best fixed split.
const SEARCH_HORIZON: Millis = Millis::from_secs(300);

/// The splits that are tried, as the numbers of prefill and decode engines.
const SPLITS: [(usize, usize); 8] =
    [(0, 0), (1, 1), (2, 2), (2, 4), (3, 6), (4, 4), (4, 8), (6, 6)];

/// `Compared` selects what this project's policy is compared with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Compared {
    /// The baselines.
    Baselines,
    /// Other rules for engines that hold a prefix.
    HolderRules,
    /// Variants of the policy with one part left out or changed.
    Ablations,
}

/// `RunOptions` selects what is run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The sites.
    pub deployments: Vec<Deployment>,
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// The loads.
    pub loads: Vec<u32>,
    /// What the policy is compared with.
    pub compared: Compared,
    /// The only policy to run; `None` runs all of them.
    pub policy: Option<String>,
    /// The seed.
    pub seed: u64,
    /// The length of a run.
    pub horizon: Millis,
}

impl RunOptions {
    /// Reads the options from the command line's arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument names nothing known.
    pub fn try_new(args: &Args) -> Result<Self> {
        let mut deployments = Deployment::ALL.to_vec();
        if let Some(name) = &args.deployment {
            deployments.retain(|deployment| deployment.name() == name);
            deployments.first().ok_or_eyre("--deployment: expected papadakis or association")?;
        }
        let mut scenarios = Scenario::ALL.to_vec();
        if let Some(name) = &args.scenario {
            scenarios.retain(|scenario| scenario.name() == name);
            scenarios.first().ok_or_eyre("--scenario: expected the name of a scenario")?;
        }
        let loads = args.load.map_or(LOADS.to_vec(), |load| vec![load]);
        let horizon = Millis::from_secs(args.secs.max(120));
        let compared = match (args.holder_rules, args.ablations) {
            (true, _) => Compared::HolderRules,
            (false, true) => Compared::Ablations,
            (false, false) => Compared::Baselines,
        };
        let policy = args.policy.clone();
        Ok(Self { deployments, scenarios, loads, compared, policy, seed: args.seed, horizon })
    }
}

/// Runs all selected combinations and returns the rows in a fixed order.
pub fn run_all(options: &RunOptions) -> Vec<Row> {
    let mut workloads = Vec::new();
    for deployment in &options.deployments {
        for scenario in &options.scenarios {
            for load in &options.loads {
                workloads.push((*deployment, *scenario, *load));
            }
        }
    }
    let rows = in_parallel(workloads.len(), |index| {
        let (deployment, scenario, load) = workloads[index];
        run_workload(options, deployment, scenario, load)
    });
    rows.into_iter().flatten().collect()
}

fn run_workload(
    options: &RunOptions,
    deployment: Deployment,
    scenario: Scenario,
    load: u32,
) -> Vec<Row> {
    let workload = Workload::new(deployment, scenario, load, options.seed, options.horizon);
    let wanted = |name: &str| options.policy.as_ref().is_none_or(|policy| policy == name);
    let searches = options.compared == Compared::Baselines && wanted("fixed-roles");
    let best = if searches {
        best_split(deployment, scenario, load, options.seed)
    } else {
        Split::default()
    };
    let mut policies = vec![Policy::ours()];
    match options.compared {
        Compared::Baselines => policies.extend(Policy::baselines(best)),
        Compared::HolderRules => policies.extend(Policy::holder_rules()),
        Compared::Ablations => policies.extend(Policy::ablations()),
    }
    policies.retain(|policy| wanted(policy.name));
    policies.iter().map(|policy| worlds::run(&workload, policy)).collect()
}

/// Returns the fixed split with the highest goodput on a shorter run of the same scenario.
pub fn best_split(deployment: Deployment, scenario: Scenario, load: u32, seed: u64) -> Split {
    let workload = Workload::new(deployment, scenario, load, seed, SEARCH_HORIZON);
    let baseline =
        Policy::baselines(Split::default()).into_iter().find(|p| p.name == "fixed-roles");
    let Some(baseline) = baseline else { return Split::default() };
    let splits =
        SPLITS.iter().map(|(prefill, decode)| Split { prefill: *prefill, decode: *decode });
    let goodput = |split: &Split| {
        let policy = Policy { planning: Planning::Fixed(*split), ..baseline };
        worlds::run(&workload, &policy).goodput
    };
    let best = splits
        .map(|split| (goodput(&split), split))
        .reduce(|best, next| if next.0 > best.0 { next } else { best });
    best.map_or(Split::default(), |(_, split)| split)
}

/// Computes `count` results on all processors and returns them in the order of their indices.
pub fn in_parallel<T: Send>(count: usize, work: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new((0..count).map(|_| None).collect::<Vec<Option<T>>>());
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(count.max(1));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= count {
                        return;
                    }
                    let result = work(index);
                    let mut results = results.lock().unwrap_or_else(|held| held.into_inner());
                    results[index] = Some(result);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(|held| held.into_inner());
    results.into_iter().flatten().collect()
}

/// Prints the rows as a table.
pub fn print_table(rows: &[Row]) {
    println!(
        "{:<11} {:<17} {:>4} {:<18} {:>8} {:>8} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>6} {:>7} \
         {:>6} {:>6} {:>6} {:>5} roles",
        "deployment",
        "scenario",
        "load",
        "policy",
        "goodput",
        "bound",
        "share",
        "work",
        "verdict",
        "quest.",
        "record",
        "others",
        "late",
        "refused",
        "first",
        "gap",
        "hits",
        "chg"
    );
    for row in rows {
        println!(
            "{:<11} {:<17} {:>4} {:<18} {:>8.2} {:>8.2} {:>6.3} {:>6.3} {:>7.4} {:>7.4} {:>7.4} \
             {:>7.4} {:>6} {:>7} {:>6} {:>6.1} {:>6.3} {:>5} {:?}",
            row.deployment,
            row.scenario,
            row.load_pct,
            row.policy,
            row.goodput,
            row.bound,
            row.bound_share,
            row.work_share,
            row.verdict_in_time,
            row.question_in_time,
            row.record_in_time,
            row.others_in_time,
            row.late,
            row.refused,
            row.first_token_p95_ms,
            row.between_tokens_p95_ms,
            row.cache_hit_share,
            row.role_changes,
            row.roles,
        );
    }
}
