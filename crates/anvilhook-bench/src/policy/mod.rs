//! The bench of the policy: the core's decisions against the engine stand-in's state machine, on a
//! manual clock, beside baselines and the bound.

mod deployments;
mod instances;
mod kinds;
mod outcomes;
mod policies;
mod role_control;
mod runs;
mod scenarios;
mod workloads;
mod worlds;

use argh::FromArgs;

pub use deployments::Deployment;
pub use kinds::Kind;
pub use outcomes::Row;
pub use policies::{HolderRule, Planning, Policy, Router, Split};
pub use runs::{RunOptions, best_split, run_all};
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
    /// the length of a run in seconds, by default 1200
    #[argh(option, default = "1200")]
    secs: u64,
}

/// Runs the bench.
///
/// # Errors
///
/// An argument that names nothing, or an output that cannot be written.
pub fn run(args: &Args) -> eyre::Result<()> {
    let options = RunOptions::try_new(args)?;
    let rows = run_all(&options);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        runs::print_table(&rows);
    }
    Ok(())
}
