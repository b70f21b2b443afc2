//! What became of the requests of a run, and the row that sums them up.

use anvilhook_core::units::Millis;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::kinds::Kind;
use super::workloads::{FLOODING, Workload};

/// The greatest time that the histograms hold, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;

/// `Outcome` is what became of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Outcome {
    /// It was not answered before the run's end.
    #[default]
    Open,
    /// It was answered whole.
    Answered {
        /// When the caller had the first token.
        first_at: Millis,
        /// When the caller had the whole answer.
        at: Millis,
    },
    /// It was refused as not run.
    Refused,
    /// The caller gave up at the deadline.
    Late,
    /// All attempts failed.
    Failed,
}

impl Outcome {
    /// Returns whether the caller had the whole answer in time.
    pub fn is_in_time(&self, deadline: Millis) -> bool {
        matches!(self, Outcome::Answered { at, .. } if *at <= deadline)
    }
}

/// `Row` sums up one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The site.
    pub deployment: &'static str,
    /// What happened.
    pub scenario: &'static str,
    /// The load, as a percentage of what a perfect plan could carry.
    pub load_pct: u32,
    /// The policy; this project's is `anvilhook`.
    pub policy: &'static str,
    /// The seed.
    pub seed: u64,
    /// Model requests answered whole and in time, in a second.
    pub goodput: f64,
    /// The most of them that any policy could reach, in a second.
    pub bound: f64,
    /// `goodput` over `bound`.
    pub bound_share: f64,
    /// Useful engine time of the requests answered in time, over the engine time that was offered
    /// or could be had, whichever is less.
    pub work_share: f64,
    /// Orders to change a role.
    pub role_changes: u32,
    /// Role changes in an hour after the first ten minutes.
    pub later_changes_per_hour: f64,
    /// Verdicts answered in time, in a second.
    pub goodput_verdict: f64,
    /// Questions answered in time, in a second.
    pub goodput_question: f64,
    /// The share of verdicts answered in time.
    pub verdict_in_time: f64,
    /// The share of questions answered in time.
    pub question_in_time: f64,
    /// The share of alerts or ledger records answered in time.
    pub record_in_time: f64,
    /// The share of the requests of accounts that don't flood answered in time.
    pub others_in_time: f64,
    /// Counted model requests that ended late.
    pub late: u64,
    /// Counted model requests that were refused as not run.
    pub refused: u64,
    /// Counted model requests whose attempts all failed.
    pub failed: u64,
    /// The time to the first token that 95 in 100 keep, in milliseconds.
    pub first_token_p95_ms: u64,
    /// The average time between tokens that 95 in 100 answers keep, in milliseconds.
    pub between_tokens_p95_ms: f64,
    /// The share of shared prompt tokens that were found in a cache.
    pub cache_hit_share: f64,
    /// Engines of the roles prefill, decode and mixed at the end.
    pub roles: [usize; 3],
    /// Goodput over time, by minute, for the plot.
    #[serde(skip)]
    pub by_minute: Vec<f64>,
    /// The times of role changes, for the plot.
    #[serde(skip)]
    pub changes_at: Vec<Millis>,
}

/// `Totals` is what a run counts besides the outcomes.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// The times of role changes.
    pub changes_at: Vec<Millis>,
    /// Shared prompt tokens sent to engines.
    pub shared_tokens: u64,
    /// Prompt tokens found in caches.
    pub cached_tokens: u64,
    /// Engines of the roles prefill, decode and mixed.
    pub roles: [usize; 3],
}

impl Row {
    /// Sums up a run.
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
                // Beyond the account's limit an answer is no goodput, and none is missed.
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
        // Three digits are what a plot or a table can show.
        let histogram = || Histogram::new_with_bounds(1, LONGEST_MS, 3).expect("valid bounds");
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
