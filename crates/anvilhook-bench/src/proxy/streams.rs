//! Measures the number of streamed events per second.

use std::net::SocketAddr;
use std::time::Instant;

use anvilhook_core::attempts::AttemptId;
use eyre::{OptionExt, bail};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use super::MAX_TIME;
use super::processes::InstanceProcess;
use super::reports::StreamRow;
use crate::callers::{Caller, ChatCall, Outcome};
use crate::sites::Site;

/// The number of events of each stream.
const EVENTS: u64 = 2_000;

/// Measures how many events per second reach the callers of the given number of streams, direct and
/// proxied.
pub async fn measure(
    site: &Site,
    instance: &InstanceProcess,
    caller: &Caller,
    streams: usize,
) -> eyre::Result<StreamRow> {
    let engines: Vec<SocketAddr> = site.engines.iter().map(|engine| engine.address()).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut tasks = JoinSet::new();
    let started_at = Instant::now();
    for number in 0..streams {
        let (caller, call) = (caller.clone(), call(number));
        let engine = engines[number % engines.len()];
        let attempt = AttemptId::random(&mut rng);
        tasks.spawn(async move { caller.chat_direct(engine, &call, attempt).await });
    }
    let direct = events(tasks).await? as f64 / started_at.elapsed().as_secs_f64();

    let before = instance.usage()?;
    let address = instance.callers();
    let mut tasks = JoinSet::new();
    let started_at = Instant::now();
    for number in 0..streams {
        let (caller, call) = (caller.clone(), call(number));
        tasks.spawn(async move { caller.chat(address, &call).await });
    }
    let count = events(tasks).await? as f64;
    let proxied = count / started_at.elapsed().as_secs_f64();
    let cpu_seconds = instance.usage()?.cpu_seconds - before.cpu_seconds;
    Ok(StreamRow {
        streams,
        direct_events_per_s: direct,
        proxied_events_per_s: proxied,
        proxied_events_per_s_per_core: count / cpu_seconds,
    })
}

async fn events(mut tasks: JoinSet<Outcome>) -> eyre::Result<u64> {
    let mut count = 0;
    while let Some(ended) = tasks.join_next().await {
        let outcome = ended?;
        let Outcome::Answered(answer) = &outcome else { bail!("not answered: {outcome:?}") };
        count += 1 + answer.gaps.len() as u64;
    }
    (count > 0).then_some(count).ok_or_eyre("no event was received")
}

fn call(number: usize) -> ChatCall {
    let prompt = format!("stream {number}");
    ChatCall { prompt, max_tokens: EVENTS, stream: true, deadline: MAX_TIME }
}
