//! Bench of the policy. Runs the core's decisions against the engine stand-in's state machine on a
//! manual clock and compares the result with baselines and with an upper bound.

mod deployments;
mod instances;
mod kinds;
mod outcomes;
mod policies;
mod reports;
mod role_control;
mod runs;
mod scenarios;
mod workloads;
mod worlds;

use std::path::PathBuf;

use argh::FromArgs;

pub use deployments::Deployment;
pub use kinds::Kind;
pub use outcomes::Row;
pub use policies::{HolderRule, Planning, Policy, Router, Split};
pub use runs::{Compared, RunOptions, best_split, run_all};
pub use scenarios::Scenario;
pub use workloads::Workload;
pub use worlds::run as run_one;

/// compare the policy with its baselines and the bound
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct Args {
    /// print the rows as JSON
    #[argh(switch)]
    json: bool,
    /// the seed, by default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// the site: papadakis or association, by default both
    #[argh(option)]
    deployment: Option<String>,
    /// only this scenario
    #[argh(option)]
    scenario: Option<String>,
    /// only this load, as a percentage
    #[argh(option)]
    load: Option<u32>,
    /// only this policy
    #[argh(option)]
    policy: Option<String>,
    /// compare with other rules for engines that hold a prefix, in place of the baselines
    #[argh(switch)]
    holder_rules: bool,
    /// compare with the policy less one of its parts, in place of the baselines
    #[argh(switch)]
    ablations: bool,
    /// write a page with charts into this directory
    #[argh(option)]
    report: Option<PathBuf>,
    /// the length of a run in seconds, by default 1200
    #[argh(option, default = "1200")]
    secs: u64,
}

/// Runs the policy bench and prints or writes its rows.
///
/// # Errors
///
/// Returns an error if an argument names nothing known or an output cannot be written.
pub fn run(args: &Args) -> eyre::Result<()> {
    let options = RunOptions::try_new(args)?;
    let rows = run_all(&options);
    if let Some(dir) = &args.report {
        reports::write(dir, &rows)?;
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        runs::print_table(&rows);
    }
    Ok(())
}
