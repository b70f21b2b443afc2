//! Measures the memory of an open stream, as the slope of the memory over the number of streams.

use std::time::Duration;

use eyre::bail;
use tokio::task::JoinSet;

use super::MAX_TIME;
use super::processes::InstanceProcess;
use super::reports::{MemoryPoint, MemoryRow};
use crate::callers::{Caller, ChatCall, Outcome};
use crate::sites::Site;

/// The interval between two checks of the number of open streams.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long streams stay open before the memory is read. It is long enough for the first event of
/// each stream, with which the instance creates the stream's state.
const SETTLE: Duration = Duration::from_secs(6);

/// The tokens of each stream. They keep it open during the measurement and are few enough for the
/// deadline to be met.
const TOKENS: u64 = 400;

/// The maximum number of streams opened at once, so that the listener's queue does not overflow.
const OPENED_AT_ONCE: usize = 200;

/// Opens streams up to each step's number in turn and reads the instance's memory at each step.
pub async fn measure(
    site: &Site,
    instance: &InstanceProcess,
    caller: &Caller,
    steps: &[usize],
) -> eyre::Result<MemoryRow> {
    let mut tasks = JoinSet::new();
    let mut points = Vec::new();
    for step in steps {
        while tasks.len() < *step {
            let more = OPENED_AT_ONCE.min(*step - tasks.len());
            for _ in 0..more {
                let (caller, address) = (caller.clone(), instance.callers());
                let call = call(tasks.len());
                tasks.spawn(async move { caller.chat(address, &call).await });
            }
            wait_for_open(site, &mut tasks).await?;
        }
        tokio::time::sleep(SETTLE).await;
        points
            .push(MemoryPoint { streams: *step, resident_bytes: instance.usage()?.resident_bytes });
    }
    tasks.shutdown().await;
    Ok(MemoryRow::new(points))
}

/// Waits until all streams have reached the engines.
async fn wait_for_open(site: &Site, tasks: &mut JoinSet<Outcome>) -> eyre::Result<()> {
    loop {
        if let Some(ended) = tasks.try_join_next() {
            bail!("a stream ended: {:?}", ended?);
        }
        let open: usize = site.engines.iter().map(|engine| engine.open_attempts().len()).sum();
        if open >= tasks.len() {
            return Ok(());
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn call(number: usize) -> ChatCall {
    let prompt = format!("open stream {number}");
    ChatCall { prompt, max_tokens: TOKENS, stream: true, deadline: MAX_TIME }
}
