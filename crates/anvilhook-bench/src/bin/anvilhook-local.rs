//! `anvilhook-local` runs the local demonstration.

use std::process::ExitCode;

use anvilhook_bench::local;

fn main() -> eyre::Result<ExitCode> {
    let args: local::Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let kept = runtime.block_on(local::run(&args))?;
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
