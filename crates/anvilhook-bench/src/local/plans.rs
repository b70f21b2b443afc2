//! Plans a run: the times of its requests and of its faults. The seed determines the whole plan.

use anvilhook_core::units::Millis;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::kinds::Kind;
use crate::callers::{ChatCall, PlainCall};

/// The number of manuals with which long documents begin. Requests with the same manual share a
/// prompt prefix.
const MANUALS: usize = 6;

/// The bytes of a manual, and of the log that follows it.
const MANUAL_BYTES: usize = 14_000;
const LOG_BYTES: std::ops::Range<usize> = 1_000..4_000;

/// The words from which texts are generated.
const WORDS: [&str; 16] = [
    "fridge", "sink", "board", "fish", "oven", "towel", "glove", "shelf", "lot", "chair", "veneer",
    "hammer", "paddle", "dresser", "walnut", "label",
];

/// `Body` is the content of a planned request.
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

/// `Planned` is a planned request.
#[derive(Clone, Debug)]
pub struct Planned {
    /// The time at which it is sent, from the start of the load.
    pub at: Millis,
    /// Its kind.
    pub kind: Kind,
    /// Its content.
    pub body: Body,
}

/// `FaultKind` is a failure, or a planned action such as a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The process of an engine terminates.
    CrashEngine(usize),
    /// The engine restarts.
    RestartEngine(usize),
    /// The process of a plain upstream terminates.
    CrashPlain(usize),
    /// The plain upstream restarts.
    RestartPlain(usize),
    /// The platform lists an engine as leaving.
    DrainEngine(usize),
    /// All currently open connections of an engine stop carrying data.
    SilenceEngine(usize),
    /// All currently open connections of a plain upstream stop carrying data.
    SilencePlain(usize),
    /// An instance is stopped gracefully.
    StopInstance(usize),
}

/// `Fault` is a planned fault.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The time of the fault, from the start of the load.
    pub at: Millis,
    /// The kind of the fault.
    pub kind: FaultKind,
}

/// `PlanOptions` holds the parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// The seed of load and faults.
    pub seed: u64,
    /// The length of the load.
    pub span: Millis,
    /// The factor by which the usual load is multiplied.
    pub scale: f64,
    /// The number of engines.
    pub engines: usize,
    /// The number of plain upstreams.
    pub plain: usize,
    /// The number of instances.
    pub instances: usize,
}

/// `Plan` holds the requests and faults of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The requests in the order of their times.
    pub requests: Vec<Planned>,
    /// The faults in the order of their times.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a plan from the seed in the options.
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

/// Draws the arrival times of an open-loop load, in which no request waits for an earlier one.
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

/// Draws the targets and times of the faults. Each fault has a different upstream as its target, so
/// that the effects of the faults in the table can be distinguished.
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

/// Draws `count` numbers below `below`, which are distinct if there are enough of them.
fn distinct(count: usize, below: usize, rng: &mut impl Rng) -> Vec<usize> {
    let first = rng.random_range(0..below);
    (0..count).map(|i| (first + i * below.div_ceil(count).max(1)) % below).collect()
}
