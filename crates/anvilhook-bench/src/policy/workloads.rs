//! Generates the requests of a run and computes the bound on how many of them can be answered in
//! time.

use std::sync::Arc;

use anvilhook_core::reports::{PREFIX_BLOCK_TOKENS, PrefixHash};
use anvilhook_core::routing::{Speeds, Work};
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_standin::engines::EngineOptions;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployments::Deployment;
use super::kinds::Kind;
use super::scenarios::Scenario;

/// Requests that arrive before this time are not counted, because all caches are empty at the
/// start.
pub const WARM_UP: Millis = Millis::from_secs(30);

/// Requests that arrive within this time of the run's end are not counted, because they might not
/// complete.
pub const TAIL: Millis = Millis::from_secs(16);

/// Alerts or ledger records per second.
const RECORDS_PER_S: f64 = 20.0;

/// The accounts that share a site's load.
pub const ACCOUNTS: usize = 6;

/// The account that floods. `FLOOD_SHARE` is the share of the site's capacity that it requests in
/// addition to its usual part, and `FLOOD_LIMIT_SHARE` the share that any account may use.
pub const FLOODING: usize = 0;
const FLOOD_SHARE: f64 = 1.0;
const FLOOD_LIMIT_SHARE: f64 = 0.4;

/// `Request` is one request of a run.
#[derive(Clone, Debug)]
pub struct Request {
    /// The time of arrival at an instance.
    pub at: Millis,
    /// The time by which the caller must have the complete answer.
    pub deadline: Millis,
    /// Its kind.
    pub kind: Kind,
    /// The account that sends it.
    pub account: usize,
    /// Its size.
    pub work: Work,
    /// The hashes of the complete blocks of its prompt.
    pub blocks: Arc<[PrefixHash]>,
    /// The minimum engine time that it needs when its shared part is cached.
    pub least_ms: f64,
    /// Whether it is counted in the figures.
    pub counts: bool,
    /// Whether it belongs to the account that exceeds its limit.
    pub of_flood: bool,
}

/// `Workload` is all requests of a run, in the order of their arrival.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The site.
    pub deployment: Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// The load, as a percentage of what a perfect plan could carry.
    pub load_pct: u32,
    /// The seed.
    pub seed: u64,
    /// The length of the run.
    pub horizon: Millis,
    /// The requests.
    pub requests: Vec<Request>,
    /// The limit of each account, in requests per second.
    pub account_limit: f64,
    /// The number of the flooding account's requests that its limit allows. The others are refused
    /// correctly.
    pub allowed_of_flood: usize,
}

/// Returns the speeds that the engine options declare.
pub fn speeds(options: &EngineOptions) -> Speeds {
    Speeds {
        prefill_tokens_per_ms: f64::from(options.prefill_tokens_per_s) / 1_000.0,
        decode_step_ms: options.decode_step_ms,
        decode_step_per_request_ms: options.decode_step_per_request_ms,
        max_batch: f64::from(options.max_batch),
    }
}

impl Workload {
    /// Draws the requests of a run. Equal arguments give equal requests.
    pub fn new(
        deployment: Deployment,
        scenario: Scenario,
        load_pct: u32,
        seed: u64,
        horizon: Millis,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
        let mut requests = Vec::new();
        let capacity = Deployment::ENGINES as f64 * f64::from(load_pct) / 100.0;
        let share_of = |kind: Kind, at: Millis| match kind {
            Kind::Verdict => scenario.verdict_share(at, horizon),
            _ => 1.0 - scenario.verdict_share(at, horizon),
        };
        for kind in [Kind::Verdict, Kind::Question] {
            let rate = |at: Millis| capacity * share_of(kind, at) / mean_ms(deployment, kind);
            let accounts = ACCOUNTS;
            draw(deployment, kind, horizon, &mut rng, rate, |rng| rng.random_range(0..accounts))
                .for_each(|request| requests.push(request));
        }
        let records = |_| RECORDS_PER_S / 1_000.0;
        draw(deployment, Kind::Record, horizon, &mut rng, records, |rng| {
            rng.random_range(0..ACCOUNTS)
        })
        .for_each(|request| requests.push(request));

        let question_ms = mean_ms(deployment, Kind::Question);
        let account_limit = FLOOD_LIMIT_SHARE * Deployment::ENGINES as f64 * 1_000.0 / question_ms;
        if scenario == Scenario::Flood {
            let rate = |_| FLOOD_SHARE * Deployment::ENGINES as f64 / question_ms;
            draw(deployment, Kind::Question, horizon, &mut rng, rate, |_| FLOODING)
                .for_each(|request| requests.push(request));
        }
        requests.sort_by_key(|request| request.at);
        let flooded = scenario == Scenario::Flood;
        for request in &mut requests {
            request.of_flood =
                flooded && request.account == FLOODING && request.kind != Kind::Record;
        }
        let mut workload = Self {
            deployment,
            scenario,
            load_pct,
            seed,
            horizon,
            requests,
            account_limit,
            allowed_of_flood: 0,
        };
        workload.allowed_of_flood = (workload.counted_secs() * account_limit) as usize;
        workload
    }

    /// Returns the length of the period in which requests are counted, in seconds.
    pub fn counted_secs(&self) -> f64 {
        (self.horizon - WARM_UP - TAIL).as_secs_f64()
    }

    /// Returns the upper bound on the model requests that can be answered in time, which no policy
    /// can exceed. It serves the requests with the least work first until all engines have spent
    /// the time from the first counted arrival to the end on useful work. Withdrawn engines add no
    /// capacity.
    pub fn bound(&self) -> f64 {
        let model = self.requests.iter().filter(|r| r.counts && r.kind != Kind::Record);
        let sorted_costs = |of_flood: bool| {
            let some = model.clone().filter(|request| request.of_flood == of_flood);
            let mut costs: Vec<f64> = some.map(|request| request.least_ms).collect();
            costs.sort_by(f64::total_cmp);
            costs
        };
        let mut costs = sorted_costs(false);
        costs.extend(sorted_costs(true).into_iter().take(self.allowed_of_flood));
        costs.sort_by(f64::total_cmp);
        let mut left = self.capacity_ms();
        let mut count = 0.0;
        for cost in costs {
            if cost > left {
                return count + left / cost;
            }
            left -= cost;
            count += 1.0;
        }
        count
    }

    /// Returns the engine time that is available for counted requests, in milliseconds.
    pub fn capacity_ms(&self) -> f64 {
        let span = (self.horizon - WARM_UP).0 as f64;
        let lost: f64 = match self.scenario {
            Scenario::Withdrawn => {
                let faults = self.scenario.faults(self.horizon);
                faults.iter().map(|(at, _, _)| (self.horizon - *at).0 as f64).sum()
            }
            _ => 0.0,
        };
        span * Deployment::ENGINES as f64 - lost
    }
}

/// Returns the mean of the minimum engine time of a kind's requests, in milliseconds.
fn mean_ms(deployment: Deployment, kind: Kind) -> f64 {
    let spec = deployment.kind(kind);
    let speeds = speeds(&deployment.engine_options());
    spec.mean_own() / speeds.prefill_tokens_per_ms
        + spec.mean_output() / speeds.decode_tokens_per_ms()
}

/// Draws requests as a Poisson process whose rate, in requests per millisecond, changes with time.
fn draw(
    deployment: Deployment,
    kind: Kind,
    horizon: Millis,
    rng: &mut ChaCha8Rng,
    rate: impl Fn(Millis) -> f64,
    account: impl Fn(&mut ChaCha8Rng) -> usize,
) -> impl Iterator<Item = Request> {
    let spec = deployment.kind(kind);
    let speeds = speeds(&deployment.engine_options());
    let mut at = 0.0;
    let mut requests = Vec::new();
    loop {
        let now = Millis(at as u64);
        // The rate changes over minutes, so it is nearly constant between two arrivals.
        at += -(1.0 - rng.random::<f64>()).ln() / rate(now).max(1e-9);
        if at >= horizon.0 as f64 {
            return requests.into_iter();
        }
        let now = Millis(at as u64);
        let own = Tokens(rng.random_range(spec.own.clone()));
        let output = Tokens(rng.random_range(spec.output.clone()));
        let topic = rng.random_range(0..spec.topics);
        let work = Work::new(Tokens(spec.shared) + own, output, kind.time_limit(output));
        requests.push(Request {
            at: now,
            deadline: now + kind.time_limit(output),
            kind,
            account: account(rng),
            work,
            blocks: blocks(kind, topic, spec.shared, work.prompt, rng.random()),
            least_ms: speeds.least_ms(own, output),
            counts: now >= WARM_UP && now + TAIL < horizon,
            of_flood: false,
        });
    }
}

fn blocks(kind: Kind, topic: u64, shared: u64, prompt: Tokens, own: u64) -> Arc<[PrefixHash]> {
    let of_topic = (kind.priority() as u64 + 1) << 40 | topic << 20;
    let shared_blocks = shared / PREFIX_BLOCK_TOKENS;
    let block = |index: u64| {
        let name = if index < shared_blocks { of_topic + index } else { own.wrapping_add(index) };
        PrefixHash(name)
    };
    (0..prompt.0 / PREFIX_BLOCK_TOKENS).map(block).collect()
}
