//! Bench of the control plane. Measures its cost and its delays with the control parts of many
//! instances in one process.
//!
//! Each instance follows the configuration over HTTP from the platform stand-in, reports its
//! revision, and runs its peer link over the loopback interface, as the daemon does. The time until
//! a change is applied is measured from the moment at which it was accepted.

mod controllers;
mod engines;
mod fleets;
mod instances;
mod processes;
mod rows;
mod scenarios;
mod sizes;
mod takeovers;

use argh::FromArgs;

use rows::{Row, check_bounds, print_rows, print_slopes};
use scenarios::{Plan, run_size};
use sizes::print_sizes;
use takeovers::run_takeovers;

/// The default numbers of instances.
const SIZES: [usize; 4] = [3, 9, 27, 81];

/// Measure how long a change takes to be in force everywhere, and what control costs an instance.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Args {
    /// print the rows as JSON, one a line
    #[argh(switch)]
    pub json: bool,

    /// numbers of instances, each measured by itself; may be repeated; 3, 9, 27 and 81 if none
    #[argh(option)]
    pub instances: Vec<usize>,

    /// seconds of each scenario
    #[argh(option, default = "10")]
    pub seconds: u64,

    /// changes made in each scenario
    #[argh(option, default = "8")]
    pub changes: u32,

    /// leave the take-overs out
    #[argh(switch)]
    pub no_takeovers: bool,

    /// resources of the configuration
    #[argh(option, default = "200")]
    pub resources: usize,
}

/// Runs the measurement and prints it.
///
/// # Errors
///
/// Returns an error if a part cannot be started or a change is not applied on all instances in
/// time.
pub fn run(args: &Args) -> eyre::Result<()> {
    let sizes = if args.instances.is_empty() { SIZES.to_vec() } else { args.instances.clone() };
    let plan = Plan { seconds: args.seconds, changes: args.changes, resources: args.resources };
    let memory_before = processes::resident_bytes()?;
    let mut rows: Vec<Row> = Vec::new();
    let mut sizes_of = Vec::new();
    for size in sizes {
        let (found, sizes) = run_size(size, &plan, memory_before)?;
        print_rows(&found, args.json)?;
        rows.extend(found);
        // Only the sizes of the last fleet, by default the largest, are printed.
        sizes_of = sizes;
    }
    if !args.no_takeovers {
        let found = run_takeovers(memory_before)?;
        print_rows(&found, args.json)?;
        rows.extend(found);
    }
    print_slopes(&rows, args.json)?;
    print_sizes(&sizes_of, args.json)?;
    check_bounds(&rows)
}
