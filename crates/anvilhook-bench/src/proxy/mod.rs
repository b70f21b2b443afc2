//! The cost of the way through an instance, against a direct call in the same run.

use argh::FromArgs;

/// Measure the added latency and the throughput of one instance against direct calls.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct Args {
    /// print the rows as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the measurement and prints it.
///
/// # Errors
///
/// Any failure to start the parts or to have a request answered.
pub fn run(_args: &Args) -> eyre::Result<()> {
    eyre::bail!("the proxy bench is not built yet")
}
