//! Bench of the proxy. Measures the cost of calls through an instance against direct calls in the
//! same run.
//!
//! The instance and the upstream of small calls run as separate processes. The callers and all
//! other stand-ins share the bench's process.

mod latencies;
mod memories;
mod processes;
mod reports;
mod streams;

use std::net::SocketAddr;
use std::path::PathBuf;

use anvilhook_core::units::Millis;
use anvilhook_standin::engines::EngineOptions;
use argh::FromArgs;

pub use reports::{LatencyRow, MemoryPoint, MemoryRow, Report, StreamRow};

use crate::callers::Caller;
use crate::sites::{Bounds, Site, SiteOptions};
use processes::{InstanceProcess, UpstreamProcess};

/// The numbers of callers that are tried.
const CALLERS: [usize; 3] = [1, 16, 256];

/// The number of concurrent streams when events are counted.
const STREAMS: usize = 64;

/// The numbers of open streams from which the slope of the memory is computed. Each stream takes
/// two file descriptors in the instance and two in the bench, and a process may open 20,000 here.
const OPEN_STREAMS: [usize; 4] = [1_000, 3_000, 6_000, 9_000];

/// The time between two events of a stream: when events are counted, and when streams are only kept
/// open.
const FAST_STEP_MS: f64 = 1.0;
const SLOW_STEP_MS: f64 = 3_000.0;

/// The deadline and time limit of all requests in this bench.
const MAX_TIME: Millis = Millis::from_secs(3_600);

/// Measure the added latency, the throughput and the memory of one instance against direct calls.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct Args {
    /// print the rows as JSON
    #[argh(switch)]
    pub json: bool,
    /// run an instance with these settings; the bench starts itself with it
    #[argh(option)]
    pub instance: Option<PathBuf>,
    /// run a plain upstream; the bench starts itself with it
    #[argh(switch)]
    pub upstream: bool,
}

/// Runs the measurement and prints it.
///
/// # Errors
///
/// Returns an error if a part cannot be started or a request is not answered.
pub fn run(args: &Args) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    if let Some(settings) = &args.instance {
        return runtime.block_on(processes::serve_instance(settings));
    }
    if args.upstream {
        return runtime.block_on(processes::serve_upstream());
    }
    let report = runtime.block_on(measure())?;
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

async fn measure() -> eyre::Result<Report> {
    let upstream = UpstreamProcess::start()?;
    let site = Site::start(&site_options(FAST_STEP_MS, upstream.address())).await?;
    let instance = InstanceProcess::start(&site)?;
    let caller = Caller::try_new()?;

    let mut latencies = Vec::new();
    for callers in CALLERS {
        eprintln!("{callers} callers");
        latencies.push(latencies::measure(upstream.address(), &instance, &caller, callers).await?);
    }
    eprintln!("{STREAMS} streams");
    let streams = streams::measure(&site, &instance, &caller, STREAMS).await?;
    drop(instance);

    eprintln!("open streams");
    let site = Site::start(&site_options(SLOW_STEP_MS, upstream.address())).await?;
    let instance = InstanceProcess::start(&site)?;
    let memory = memories::measure(&site, &instance, &caller, &OPEN_STREAMS).await?;
    Ok(Report { latencies, streams, memory })
}

/// Returns a site whose engines add almost no time and accept thousands of streams.
fn site_options(decode_step_ms: f64, upstream: SocketAddr) -> SiteOptions {
    let engine = EngineOptions {
        prefill_tokens_per_s: 100_000_000,
        decode_step_ms,
        decode_step_per_request_ms: 0.0,
        max_batch: 20_000,
        max_queue: 20_000,
        ..EngineOptions::default()
    };
    let bounds = Bounds {
        chat_deadline: MAX_TIME,
        chat_first_byte: Millis::from_secs(60),
        between_events: MAX_TIME,
        ..Bounds::default()
    };
    SiteOptions {
        engines: 4,
        engine,
        plain: 0,
        other_plain: vec![upstream],
        bounds,
        holds_connections: false,
        ..SiteOptions::default()
    }
}
