//! The local demonstration. Runs a whole site in one process on the loopback interface, under load
//! and with faults.

mod audits;
mod kinds;
mod plans;
mod rows;
mod runs;
mod swings;

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::units::Millis;
use argh::FromArgs;
use serde::Serialize;

pub use audits::{CompletedRequest, Evidence, rows};
pub use kinds::Kind;
pub use plans::{Body, Fault, FaultKind, Plan, PlanOptions, Planned};
pub use rows::{Percentiles, Row, RowReport, micros_histogram, table};
pub use runs::Run;

use crate::sites::{CHAT_SERVICE, OPERATOR_TOKEN, TOKEN};

/// The length of the load.
const SPAN: Millis = Millis::from_secs(20);

/// The interval between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Run a whole site on loopback: stand-ins, three instances, a mixed load and faults. Ends with
/// status 1 if a request was doubled, lost, answered with another's answer, or falsely "not run".
#[derive(Clone, Debug, FromArgs)]
pub struct Args {
    /// keep the site up after the run and print its addresses
    #[argh(switch)]
    pub serve: bool,
    /// show roles following a mix that swings, instead of faults
    #[argh(switch)]
    pub swing: bool,
    /// print the table as one JSON object
    #[argh(switch)]
    pub json: bool,
    /// the seed of load and faults (1 unless given)
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// `Report` is the output of a run with `--json`.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The rows, one for each kind of request.
    pub rows: Vec<RowReport>,
    /// Requests that reached an engine later than allowed after it was listed as leaving.
    pub sent_to_leaving: usize,
    /// Whether the run met all guarantees.
    pub kept: bool,
}

/// Runs the demonstration and returns whether the run met all guarantees.
///
/// # Errors
///
/// Returns an error if the site cannot be started or the report cannot be printed.
pub async fn run(args: &Args) -> eyre::Result<bool> {
    if args.swing {
        return swings::run(args).await;
    }
    let options = PlanOptions {
        seed: args.seed,
        span: SPAN,
        scale: 1.0,
        engines: 12,
        plain: 3,
        instances: 3,
    };
    let plan = Plan::new(&options);
    let run = Run::start(&options).await?;
    let progress = tokio::spawn(show_progress(plan.requests.len()));
    eprintln!("seed {}: {} requests in {SPAN}", args.seed, plan.requests.len());
    let ended =
        run.execute(&plan, |fault| eprintln!("{:>6} ms  {:?}", fault.at.0, fault.kind)).await;
    progress.abort();

    let rows = rows(&ended, &run.evidence());
    let sent_to_leaving = run.sent_to_leaving();
    let kept = rows.iter().all(|row| row.violations() == 0) && sent_to_leaving == 0;
    if args.json {
        let rows = rows.iter().map(Row::report).collect();
        let report = Report { seed: args.seed, rows, sent_to_leaving, kept };
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{}", table(&rows));
        println!("sent to a leaving engine: {sent_to_leaving}");
    }
    if args.serve {
        serve(&run).await?;
    }
    Ok(kept)
}

async fn show_progress(requests: usize) {
    let mut elapsed = Duration::ZERO;
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        elapsed += PROGRESS_INTERVAL;
        eprintln!("{:>6} ms  of {SPAN}, {requests} requests in all", elapsed.as_millis());
    }
}

/// Prints how to use the site and keeps it running until SIGINT.
async fn serve(run: &Arc<Run>) -> eyre::Result<()> {
    println!("platform: http://{}", run.site.platform_address());
    let addresses = run.addresses();
    for (callers, operators) in &addresses {
        println!("instance: callers http://{callers}, operators http://{operators}");
    }
    if let Some((callers, operators)) = addresses.first() {
        println!("export ANVILHOOK_SERVER={operators} ANVILHOOK_TOKEN={OPERATOR_TOKEN}");
        println!("anvilhook status");
        println!(
            "curl -sN http://{callers}/v1/chat/completions -H 'Authorization: Bearer {TOKEN}' \
             -H 'Content-Type: application/json' -d '{{\"model\":\"{CHAT_SERVICE}\",\
             \"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\
             \"content\":\"Is the fridge log complete?\"}}]}}'"
        );
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}
