//! Records the outcomes of a run's requests and summarises them in a row.

use anvilhook_core::units::Millis;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::kinds::Kind;
use super::workloads::{FLOODING, Workload};

/// The largest value that the histograms record, in milliseconds.
const MAX_RECORDED_MS: u64 = 3_600_000;

/// `Outcome` is the result of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Outcome {
    /// The request was not answered before the run's end.
    #[default]
    Open,
    /// The request was answered completely.
    Answered {
        /// The time at which the caller had received the first token.
        first_at: Millis,
        /// The time at which the caller had received the complete answer.
        at: Millis,
    },
    /// The request was refused as not run.
    Refused,
    /// The caller abandoned the request at the deadline.
    Late,
    /// All attempts failed.
    Failed,
}

impl Outcome {
    /// Returns whether the caller received the complete answer by the deadline.
    pub fn is_in_time(&self, deadline: Millis) -> bool {
        matches!(self, Outcome::Answered { at, .. } if *at <= deadline)
    }
}

/// `Row` holds the figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The site.
    pub deployment: &'static str,
    /// The scenario.
    pub scenario: &'static str,
    /// The load, as a percentage of what a perfect plan could carry.
    pub load_pct: u32,
    /// The policy; this project's is `anvilhook`.
    pub policy: &'static str,
    /// The seed.
    pub seed: u64,
    /// Model requests answered completely and in time, per second.
    pub goodput: f64,
    /// The upper bound of the goodput for any policy, per second.
    pub bound: f64,
    /// `goodput` over `bound`.
    pub bound_share: f64,
    /// The useful engine time of the requests answered in time, divided by the engine time that the
    /// requests needed or that was available, whichever is less.
    pub work_share: f64,
    /// The number of orders to change a role.
    pub role_changes: u32,
    /// Role changes per hour after the first ten minutes.
    pub later_changes_per_hour: f64,
    /// Verdicts answered in time, per second.
    pub goodput_verdict: f64,
    /// Questions answered in time, per second.
    pub goodput_question: f64,
    /// The share of verdicts answered in time.
    pub verdict_in_time: f64,
    /// The share of questions answered in time.
    pub question_in_time: f64,
    /// The share of alerts or ledger records answered in time.
    pub record_in_time: f64,
    /// The share of requests answered in time among the accounts that don't flood.
    pub others_in_time: f64,
    /// Counted model requests that were answered late or not at all.
    pub late: u64,
    /// Counted model requests that were refused as not run.
    pub refused: u64,
    /// Counted model requests whose attempts all failed.
    pub failed: u64,
    /// The 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: u64,
    /// The 95th percentile over all answers of the mean time between tokens, in milliseconds.
    pub between_tokens_p95_ms: f64,
    /// The share of shared prompt tokens that were found in a cache.
    pub cache_hit_share: f64,
    /// The number of engines in the roles prefill, decode and mixed at the end of the run.
    pub roles: [usize; 3],
    /// The goodput in each minute, for the plot.
    #[serde(skip)]
    pub by_minute: Vec<f64>,
    /// The times of role changes, for the plot.
    #[serde(skip)]
    pub changes_at: Vec<Millis>,
}

/// `Totals` holds the counts of a run in addition to the outcomes.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// The times of role changes.
    pub changes_at: Vec<Millis>,
    /// Shared prompt tokens sent to engines.
    pub shared_tokens: u64,
    /// Shared prompt tokens that were found in caches.
    pub cached_tokens: u64,
    /// The number of engines in the roles prefill, decode and mixed.
    pub roles: [usize; 3],
}

impl Row {
    /// Computes the figures of a run.
    pub fn new(
        workload: &Workload,
        policy: &'static str,
        outcomes: &[Outcome],
        totals: Totals,
    ) -> Self {
        let secs = workload.counted_secs();
        let bound = workload.bound() / secs;
        let mut tally = Tally::default();
        let mut left_of_flood = workload.allowed_of_flood;
        for (request, outcome) in workload.requests.iter().zip(outcomes) {
            if !request.counts {
                continue;
            }
            let in_time = outcome.is_in_time(request.deadline);
            if request.of_flood {
                // Beyond the account's limit an answer adds no goodput, and a missing answer is no
                // failure.
                if !in_time || left_of_flood == 0 {
                    continue;
                }
                left_of_flood -= 1;
            }
            let kind = &mut tally.kinds[request.kind as usize];
            kind.all += 1;
            kind.in_time += u64::from(in_time);
            if request.kind == Kind::Record {
                continue;
            }
            tally.offered_ms += request.least_ms;
            if request.account != FLOODING {
                tally.others.all += 1;
                tally.others.in_time += u64::from(in_time);
            }
            let minute = (request.at.0 / 60_000) as usize;
            if tally.by_minute.len() <= minute {
                tally.by_minute.resize(minute + 1, 0.0);
            }
            if in_time {
                tally.useful_ms += request.least_ms;
                tally.by_minute[minute] += 1.0 / 60.0;
            }
            match outcome {
                Outcome::Answered { first_at, at } => {
                    tally.late += u64::from(!in_time);
                    tally.first.saturating_record((*first_at - request.at).0.max(1));
                    if request.work.output.0 > 1 {
                        let gaps = request.work.output.0 - 1;
                        let gap_us = (*at - *first_at).0 * 1_000 / gaps;
                        tally.gaps.saturating_record(gap_us.max(1));
                    }
                }
                Outcome::Refused => tally.refused += 1,
                Outcome::Failed => tally.failed += 1,
                Outcome::Late | Outcome::Open => tally.late += 1,
            }
        }
        let [_, verdict, question] = &tally.kinds;
        let goodput = (verdict.in_time + question.in_time) as f64 / secs;
        let settled = Millis::from_secs(600);
        let later = totals.changes_at.iter().filter(|at| **at > settled).count();
        let later_hours = (workload.horizon - settled).as_secs_f64() / 3_600.0;
        Row {
            deployment: workload.deployment.name(),
            scenario: workload.scenario.name(),
            load_pct: workload.load_pct,
            policy,
            seed: workload.seed,
            goodput,
            bound,
            bound_share: goodput / bound,
            work_share: tally.useful_ms / tally.offered_ms.min(workload.capacity_ms()),
            role_changes: totals.changes_at.len() as u32,
            later_changes_per_hour: if later == 0 { 0.0 } else { later as f64 / later_hours },
            goodput_verdict: verdict.in_time as f64 / secs,
            goodput_question: question.in_time as f64 / secs,
            verdict_in_time: verdict.share(),
            question_in_time: question.share(),
            record_in_time: tally.kinds[0].share(),
            others_in_time: tally.others.share(),
            late: tally.late,
            refused: tally.refused,
            failed: tally.failed,
            first_token_p95_ms: tally.first.value_at_quantile(0.95),
            between_tokens_p95_ms: tally.gaps.value_at_quantile(0.95) as f64 / 1_000.0,
            cache_hit_share: totals.cached_tokens as f64 / totals.shared_tokens.max(1) as f64,
            roles: totals.roles,
            by_minute: tally.by_minute,
            changes_at: totals.changes_at,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    all: u64,
    in_time: u64,
}

impl Count {
    fn share(&self) -> f64 {
        if self.all == 0 { 1.0 } else { self.in_time as f64 / self.all as f64 }
    }
}

struct Tally {
    kinds: [Count; 3],
    others: Count,
    offered_ms: f64,
    useful_ms: f64,
    late: u64,
    refused: u64,
    failed: u64,
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    by_minute: Vec<f64>,
}

impl Default for Tally {
    fn default() -> Self {
        // A plot or a table shows no more than three significant digits.
        let histogram = || Histogram::new_with_bounds(1, MAX_RECORDED_MS, 3).expect("valid bounds");
        Self {
            kinds: Default::default(),
            others: Count::default(),
            offered_ms: 0.0,
            useful_ms: 0.0,
            late: 0,
            refused: 0,
            failed: 0,
            first: histogram(),
            gaps: histogram(),
            by_minute: Vec::new(),
        }
    }
}
