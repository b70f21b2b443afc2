//! `anvilhook-bench` runs measurements, each as a subcommand.

use anvilhook_bench::{control, policy, proxy};
use argh::FromArgs;

/// Measure parts of anvilhook on this machine.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    bench: Bench,
}

/// `Bench` is the measurement to run.
#[derive(FromArgs)]
#[argh(subcommand)]
enum Bench {
    Control(control::Args),
    Policy(policy::Args),
    Proxy(proxy::Args),
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match args.bench {
        Bench::Control(args) => control::run(&args),
        Bench::Policy(args) => policy::run(&args),
        Bench::Proxy(args) => proxy::run(&args),
    }
}
