//! `anvilhook-bench`: measurements, one subcommand each.

use anvilhook_bench::{control, proxy};
use argh::FromArgs;

/// Measure parts of anvilhook on this machine.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    bench: Bench,
}

/// `Bench` is the measurement asked for.
#[derive(FromArgs)]
#[argh(subcommand)]
enum Bench {
    Control(control::Args),
    Proxy(proxy::Args),
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match args.bench {
        Bench::Control(args) => control::run(&args),
        Bench::Proxy(args) => proxy::run(&args),
    }
}
