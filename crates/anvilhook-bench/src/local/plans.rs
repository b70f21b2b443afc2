//! What a run does: requests at their times, and faults at theirs. All of it follows from the seed.

use anvilhook_core::units::Millis;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::kinds::Kind;
use crate::callers::{ChatCall, PlainCall};

/// The manuals that long documents begin with; requests that share one share a prompt prefix.
const MANUALS: usize = 6;

/// The bytes of a manual, and of the log that follows it.
const MANUAL_BYTES: usize = 14_000;
const LOG_BYTES: std::ops::Range<usize> = 1_000..4_000;

/// The words that texts are made of.
const WORDS: [&str; 16] = [
    "fridge", "sink", "board", "fish", "oven", "towel", "glove", "shelf", "lot", "chair", "veneer",
    "hammer", "paddle", "dresser", "walnut", "label",
];

/// `Body` is what a planned request asks.
#[derive(Clone, Debug)]
pub enum Body {
    /// A chat completion.
    Chat(ChatCall),
    /// A call of a plain service.
    Plain(PlainCall),
}

impl Body {
    /// Returns whether the request has an idempotency key.
    pub fn has_key(&self) -> bool {
        matches!(self, Body::Plain(PlainCall { key: Some(_), .. }))
    }
}

/// `Planned` is one request.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When it is sent, from the start of the load.
    pub at: Millis,
    /// Its kind.
    pub kind: Kind,
    /// What it asks.
    pub body: Body,
}

/// `FaultKind` is something that goes wrong, or is done on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The process of an engine ends.
    CrashEngine(usize),
    /// It starts again.
    RestartEngine(usize),
    /// The process of a plain upstream ends.
    CrashPlain(usize),
    /// It starts again.
    RestartPlain(usize),
    /// The platform lists an engine as leaving.
    DrainEngine(usize),
    /// All connections of an engine that are open now go silent.
    SilenceEngine(usize),
    /// All connections of a plain upstream that are open now go silent.
    SilencePlain(usize),
    /// An instance is stopped gracefully.
    StopInstance(usize),
}

/// `Fault` is one fault at its time.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it happens, from the start of the load.
    pub at: Millis,
    /// What happens.
    pub kind: FaultKind,
}

/// `PlanOptions` describes a run.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// The seed of load and faults.
    pub seed: u64,
    /// How long requests arrive.
    pub span: Millis,
    /// How much of the usual load arrives.
    pub scale: f64,
    /// The number of engines.
    pub engines: usize,
    /// The number of plain upstreams.
    pub plain: usize,
    /// The number of instances.
    pub instances: usize,
}

/// `Plan` is what a run does.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The requests in the order of their times.
    pub requests: Vec<Planned>,
    /// The faults in the order of their times.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a plan.
    ///
    /// ```
    /// use anvilhook_bench::local::{Plan, PlanOptions};
    /// use anvilhook_core::units::Millis;
    ///
    /// let span = Millis::from_secs(20);
    /// let options =
    ///     PlanOptions { seed: 7, span, scale: 1.0, engines: 12, plain: 3, instances: 3 };
    /// let plan = Plan::new(&options);
    /// assert_eq!(plan.requests.len(), Plan::new(&options).requests.len());
    /// assert!(plan.faults.iter().all(|fault| fault.at < span));
    /// ```
    pub fn new(options: &PlanOptions) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let manuals: Vec<String> = (0..MANUALS).map(|_| text(MANUAL_BYTES, &mut rng)).collect();
        let mut requests = Vec::new();
        for kind in Kind::ALL {
            for at in arrivals(kind.rate_per_s() * options.scale, options.span, &mut rng) {
                let body = body(kind, requests.len(), &manuals, &mut rng);
                requests.push(Planned { at, kind, body });
            }
        }
        requests.sort_by_key(|planned| planned.at);
        Self { requests, faults: faults(options, &mut rng) }
    }
}

/// Draws the times of an open-loop load: callers do not wait for each other.
pub(super) fn arrivals(rate_per_s: f64, span: Millis, rng: &mut impl Rng) -> Vec<Millis> {
    let mut times = Vec::new();
    let mut at_s = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_s -= uniform.ln() / rate_per_s;
        let at = Millis((at_s * 1_000.0) as u64);
        if at >= span {
            return times;
        }
        times.push(at);
    }
}

fn body(kind: Kind, number: usize, manuals: &[String], rng: &mut impl Rng) -> Body {
    let deadline = kind.deadline();
    match kind {
        Kind::LongDocument => {
            let manual = &manuals[rng.random_range(0..manuals.len())];
            let log = text(rng.random_range(LOG_BYTES), rng);
            let prompt = format!("{manual} log {number}: {log}");
            let max_tokens = rng.random_range(16..48);
            Body::Chat(ChatCall { prompt, max_tokens, stream: rng.random_bool(0.5), deadline })
        }
        Kind::QuickQuestion => {
            let prompt = format!("question {number}: {}", text(rng.random_range(60..400), rng));
            let max_tokens = rng.random_range(8..40);
            Body::Chat(ChatCall { prompt, max_tokens, stream: true, deadline })
        }
        Kind::Alert | Kind::LedgerRecord => {
            let service = kind.plain_service().unwrap_or_default();
            let key = (kind == Kind::LedgerRecord).then(|| format!("record-{number}"));
            let body = format!("{{\"number\":{number},\"kind\":\"{kind}\"}}");
            Body::Plain(PlainCall { service, key, body, deadline })
        }
    }
}

pub(super) fn text(bytes: usize, rng: &mut impl Rng) -> String {
    let mut text = String::with_capacity(bytes + 16);
    while text.len() < bytes {
        text.push_str(WORDS[rng.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text
}

/// Draws whom the faults meet. Each meets an upstream of its own, so that their traces in the table
/// can be told apart.
fn faults(options: &PlanOptions, rng: &mut impl Rng) -> Vec<Fault> {
    let engines = distinct(3, options.engines, rng);
    let plain = distinct(2, options.plain, rng);
    let instance = rng.random_range(0..options.instances);
    let planned = [
        (0.15, FaultKind::CrashEngine(engines[0])),
        (0.20, FaultKind::CrashPlain(plain[0])),
        (0.30, FaultKind::DrainEngine(engines[1])),
        (0.40, FaultKind::SilenceEngine(engines[2])),
        (0.45, FaultKind::SilencePlain(plain[1])),
        (0.50, FaultKind::RestartEngine(engines[0])),
        (0.55, FaultKind::RestartPlain(plain[0])),
        (0.70, FaultKind::StopInstance(instance)),
    ];
    let jitter = options.span.0 as f64 * 0.04;
    let faults = planned.into_iter().map(|(share, kind)| {
        let at = options.span.0 as f64 * share + rng.random_range(0.0..jitter);
        Fault { at: Millis(at as u64), kind }
    });
    let mut faults: Vec<Fault> = faults.collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws numbers below `below` that differ, as far as there are enough of them.
fn distinct(count: usize, below: usize, rng: &mut impl Rng) -> Vec<usize> {
    let first = rng.random_range(0..below);
    (0..count).map(|i| (first + i * below.div_ceil(count).max(1)) % below).collect()
}
