//! Measures the latency and the throughput of small answers that are not streamed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anvilhook_core::attempts::AttemptId;
use eyre::bail;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use super::MAX_TIME;
use super::processes::InstanceProcess;
use super::reports::LatencyRow;
use crate::callers::{Caller, Outcome, PlainCall, micros};
use crate::local::micros_histogram;
use crate::sites::{ECHO_PATH, LEDGER_SERVICE};

/// How long each side is called before the measurement starts, and how long it is measured.
const WARM_UP: Duration = Duration::from_millis(500);
const MEASURED: Duration = Duration::from_secs(3);

/// `Side` holds the measurement of one side, direct or proxied.
struct Side {
    histogram: Histogram<u64>,
    elapsed: Duration,
}

impl Side {
    fn rps(&self) -> f64 {
        self.histogram.len() as f64 / self.elapsed.as_secs_f64()
    }

    fn value_at(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }
}

/// `Target` is the server that is called.
#[derive(Clone, Copy)]
enum Target {
    /// The plain upstream.
    Upstream(SocketAddr),
    /// The instance in front of the upstream.
    Instance(SocketAddr),
}

/// Measures both sides with the given number of callers, each of which waits for its answer before
/// it sends the next call.
pub async fn measure(
    upstream: SocketAddr,
    instance: &InstanceProcess,
    caller: &Caller,
    callers: usize,
) -> eyre::Result<LatencyRow> {
    let direct = call_for(caller, callers, Target::Upstream(upstream)).await?;

    let before = instance.usage()?;
    let proxied = call_for(caller, callers, Target::Instance(instance.callers())).await?;
    let cpu_seconds = instance.usage()?.cpu_seconds - before.cpu_seconds;

    // The instance's processor time includes the warm-up, so the calls of the warm-up are counted
    // too.
    let calls = (WARM_UP + proxied.elapsed).as_secs_f64() * proxied.rps();
    Ok(LatencyRow {
        callers,
        direct_rps: direct.rps(),
        proxied_rps: proxied.rps(),
        proxied_rps_per_core: calls / cpu_seconds,
        direct_p50_us: direct.value_at(0.50),
        proxied_p50_us: proxied.value_at(0.50),
        direct_p99_us: direct.value_at(0.99),
        proxied_p99_us: proxied.value_at(0.99),
    })
}

/// Runs callers that call repeatedly, and returns the times of the measured calls.
async fn call_for(caller: &Caller, callers: usize, target: Target) -> eyre::Result<Side> {
    let mut tasks = JoinSet::new();
    for number in 0..callers {
        tasks.spawn(call_repeatedly(caller.clone(), target, number as u64));
    }
    let mut histogram = micros_histogram();
    while let Some(ended) = tasks.join_next().await {
        histogram.add(ended??)?;
    }
    Ok(Side { histogram, elapsed: MEASURED })
}

async fn call_repeatedly(
    caller: Caller,
    target: Target,
    seed: u64,
) -> eyre::Result<Histogram<u64>> {
    let call = echo();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut histogram = micros_histogram();
    let started_at = Instant::now();
    loop {
        let elapsed = started_at.elapsed();
        if elapsed >= WARM_UP + MEASURED {
            return Ok(histogram);
        }
        let outcome = match target {
            Target::Upstream(upstream) => {
                let attempt = AttemptId::random(&mut rng);
                caller.plain_direct(upstream, ECHO_PATH, &call, attempt).await
            }
            Target::Instance(instance) => caller.plain_at(instance, ECHO_PATH, &call).await,
        };
        let Outcome::Answered(answer) = outcome else { bail!("not answered: {outcome:?}") };
        if elapsed >= WARM_UP {
            histogram.saturating_record(micros(answer.whole));
        }
    }
}

fn echo() -> PlainCall {
    PlainCall {
        service: LEDGER_SERVICE,
        key: None,
        body: r#"{"sale":17}"#.to_owned(),
        deadline: MAX_TIME,
    }
}
