//! The cost of giving a request to an engine, in milliseconds.

use super::loads::{LEAST_FREE_SHARE, Load};
use super::upstreams::Work;
use crate::orders::Role;
use crate::units::Millis;

/// `Phase` is the part of a request that an engine is chosen for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// Reading the prompt and generating the output.
    Whole,
    /// Reading the prompt for another engine.
    Prefill,
    /// Generating the output of a prompt that another engine has read.
    Decode,
}

impl Phase {
    /// Returns whether an engine of the role is given this part. A mixed engine could take any, but
    /// is given whole requests only: to move a KV cache between two of them gains nothing.
    pub fn fits(self, role: Role) -> bool {
        match role {
            Role::Mixed => self == Phase::Whole,
            Role::Prefill => self == Phase::Prefill,
            Role::Decode => self == Phase::Decode,
        }
    }
}

/// `CostOptions` weighs the parts of the cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostOptions {
    /// Prompt tokens that an engine reads in one step of its batch.
    pub prefill_chunk: f64,
    /// The weight of the engine time that a request uses up, against the time that it takes.
    pub work_weight: f64,
    /// The cost of ending late, in milliseconds.
    pub late_ms: f64,
    /// The most engines whose cost is worked out for one choice, besides the believed holders of
    /// the prompt's prefix.
    pub sampled: usize,
    /// The number of engines at which each shared prefix is at home.
    pub homes: u64,
    /// The cost of a home other than the first, in milliseconds: keeping a prefix at one more engine
    /// pushes others out of its cache.
    pub further_home_ms: f64,
    /// The time that a KV cache takes from one engine to another, for each prompt token, with its
    /// import there.
    pub transfer_ms_per_token: f64,
    /// The least gain, in milliseconds, for which a request is split over two engines.
    pub split_gain_ms: f64,
}

impl Default for CostOptions {
    fn default() -> Self {
        Self {
            prefill_chunk: 512.0,
            work_weight: 5.0,
            late_ms: 10_000.0,
            sampled: 6,
            homes: 2,
            further_home_ms: 8_000.0,
            transfer_ms_per_token: 0.08,
            split_gain_ms: 100.0,
        }
    }
}

/// `Estimate` is what a request is believed to take on an engine, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Waiting for a place in the batch and for prompts that go before.
    pub wait_ms: f64,
    /// Reading what the prefix cache does not hold.
    pub prefill_ms: f64,
    /// Generating the output at the engine's batch.
    pub decode_ms: f64,
    /// The engine time that it uses up.
    pub work_ms: f64,
}

impl Estimate {
    /// Returns the time to the whole answer.
    pub fn total(&self) -> Millis {
        Millis((self.wait_ms + self.prefill_ms + self.decode_ms) as u64)
    }

    /// Returns the time to the first token.
    pub fn first_token(&self) -> Millis {
        Millis((self.wait_ms + self.prefill_ms) as u64)
    }

    /// Returns the sum of two parts of a request, of which one follows the other.
    pub fn then(&self, next: &Self) -> Self {
        Self {
            wait_ms: self.wait_ms + next.wait_ms,
            prefill_ms: self.prefill_ms + next.prefill_ms,
            decode_ms: self.decode_ms + next.decode_ms,
            work_ms: self.work_ms + next.work_ms,
        }
    }

    /// Returns the cost that choices compare.
    ///
    /// The time that an answer takes counts by the share of the time left that it uses up: a
    /// request with much time can wait for the engine that does its work with the least effort,
    /// and so leaves more engine time to all others.
    pub fn cost(&self, options: &CostOptions, time_left: Millis) -> f64 {
        let takes_ms = self.wait_ms + self.prefill_ms + self.decode_ms;
        let used = takes_ms / (time_left.0 as f64).max(1.0);
        let time_cost = if used <= 1.0 { takes_ms * used } else { takes_ms + options.late_ms };
        time_cost + options.work_weight * self.work_ms
    }
}

/// Estimates what the work takes on an engine with the given load. `uncached` is the number of
/// prompt tokens that have to be read.
pub fn estimate(
    options: &CostOptions,
    load: &Load,
    phase: Phase,
    work: Work,
    uncached: f64,
) -> Estimate {
    let speeds = &load.speeds;
    let reads = if phase == Phase::Decode { 0.0 } else { uncached };
    let output = if phase == Phase::Prefill { 0.0 } else { work.output.0 as f64 };
    let running = load.requests.min(speeds.max_batch);
    let step_ms = speeds.step_ms(load.requests + 1.0);

    // Each step that reads a piece of a prompt also gives one token to each running request.
    let step_per_token = if running >= 0.5 { step_ms / options.prefill_chunk } else { 0.0 };
    let read_ms = 1.0 / speeds.prefill_tokens_per_ms + step_per_token;

    // While it generates, prompts of later requests are read at about the rate of late.
    let free_share = (1.0 - load.prefill_share).max(LEAST_FREE_SHARE);
    let gap_ms = step_ms / free_share;
    let decode_ms = output * gap_ms;

    // With the batch full, a place is free after as many ends as there are requests too many.
    let too_many = (load.requests + 1.0 - speeds.max_batch).max(0.0);
    let place_ms = too_many / speeds.max_batch * load.whole_output_each * gap_ms;

    // A step is shared by all that generate in it.
    let share_of_step = step_ms / (running + 1.0).max(speeds.max_batch / 2.0);
    let work_ms = reads / speeds.prefill_tokens_per_ms + output * share_of_step;

    Estimate {
        wait_ms: place_ms + load.prefill * read_ms,
        prefill_ms: reads * read_ms,
        decode_ms,
        work_ms,
    }
}
