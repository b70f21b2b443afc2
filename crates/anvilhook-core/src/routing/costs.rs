//! Estimates the cost of sending a request to an engine, in milliseconds.

use super::loads::{Load, MIN_FREE_SHARE};
use super::upstreams::Work;
use crate::orders::Role;
use crate::units::Millis;

/// `Phase` is the part of a request that an engine is chosen for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// Reading the prompt and generating the output.
    Whole,
    /// Reading (prefilling) the prompt for another engine.
    Prefill,
    /// Generating the output for a prompt that another engine has read.
    Decode,
}

impl Phase {
    /// Returns whether engines with the role are used for this phase. A mixed engine could run any
    /// phase but gets whole requests only: moving a KV cache between two mixed engines gains
    /// nothing.
    pub fn fits(self, role: Role) -> bool {
        match role {
            Role::Mixed => self == Phase::Whole,
            Role::Prefill => self == Phase::Prefill,
            Role::Decode => self == Phase::Decode,
        }
    }
}

/// `CostOptions` holds the weights and parameters of the cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostOptions {
    /// Prompt tokens that an engine reads in one step of its batch.
    pub prefill_chunk: f64,
    /// The weight of the engine time that a request uses, relative to the time until its answer.
    pub work_weight: f64,
    /// The cost of missing the deadline, in milliseconds.
    pub late_ms: f64,
    /// The maximum number of engines whose cost is estimated for one choice, in addition to the
    /// engines that are assumed to hold the prompt's prefix.
    pub sampled: usize,
    /// The number of preferred engines of each shared prefix.
    pub preferred_engines: u64,
    /// The cost of a preferred engine other than the first, in milliseconds: caching a prefix on
    /// one more engine evicts other prefixes there.
    pub further_preferred_ms: f64,
    /// The time to transfer a KV cache between engines and to import it, for each prompt token.
    pub transfer_ms_per_token: f64,
    /// The minimum gain, in milliseconds, for which a request is split over two engines.
    pub split_gain_ms: f64,
}

impl Default for CostOptions {
    fn default() -> Self {
        Self {
            prefill_chunk: 512.0,
            work_weight: 5.0,
            late_ms: 10_000.0,
            sampled: 6,
            preferred_engines: 2,
            further_preferred_ms: 8_000.0,
            transfer_ms_per_token: 0.08,
            split_gain_ms: 100.0,
        }
    }
}

/// `Estimate` is the estimated duration and engine time of a request on an engine, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The wait for a slot in the batch and for the prompts that are read first.
    pub wait_ms: f64,
    /// The time to read the part of the prompt that is not in the prefix cache.
    pub prefill_ms: f64,
    /// The time to generate the output in the engine's current batch.
    pub decode_ms: f64,
    /// The engine time that the request uses.
    pub work_ms: f64,
}

impl Estimate {
    /// Returns the time until the answer is complete.
    pub fn total(&self) -> Millis {
        Millis((self.wait_ms + self.prefill_ms + self.decode_ms) as u64)
    }

    /// Returns the time until the first token.
    pub fn first_token(&self) -> Millis {
        Millis((self.wait_ms + self.prefill_ms) as u64)
    }

    /// Returns the sum of this phase and the phase that follows it.
    pub fn then(&self, next: &Self) -> Self {
        Self {
            wait_ms: self.wait_ms + next.wait_ms,
            prefill_ms: self.prefill_ms + next.prefill_ms,
            decode_ms: self.decode_ms + next.decode_ms,
            work_ms: self.work_ms + next.work_ms,
        }
    }

    /// Returns the cost by which engines are compared.
    ///
    /// The duration of an answer is weighted by the share of the remaining time that it uses. A
    /// request with a late deadline can therefore wait for the engine that needs the least engine
    /// time for it, which leaves more engine time for other requests.
    pub fn cost(&self, options: &CostOptions, time_left: Millis) -> f64 {
        let duration_ms = self.wait_ms + self.prefill_ms + self.decode_ms;
        let used = duration_ms / (time_left.0 as f64).max(1.0);
        let time_cost =
            if used <= 1.0 { duration_ms * used } else { duration_ms + options.late_ms };
        time_cost + options.work_weight * self.work_ms
    }
}

/// Estimates the duration and engine time of the work on an engine with the given load. `uncached`
/// is the number of prompt tokens that have to be read.
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

    // Each step that reads a chunk of a prompt also generates one token for each running request.
    let step_per_token = if running >= 0.5 { step_ms / options.prefill_chunk } else { 0.0 };
    let read_ms = 1.0 / speeds.prefill_tokens_per_ms + step_per_token;

    // While the request generates, prompts of later requests are read at about the recent rate.
    let free_share = (1.0 - load.prefill_share).max(MIN_FREE_SHARE);
    let gap_ms = step_ms / free_share;
    let decode_ms = output * gap_ms;

    // With a full batch, a slot is free once as many requests have ended as exceed the batch.
    let excess = (load.requests + 1.0 - speeds.max_batch).max(0.0);
    let slot_ms = excess / speeds.max_batch * load.whole_output_each * gap_ms;

    // The requests that generate in a step share its time.
    let share_of_step = step_ms / (running + 1.0).max(speeds.max_batch / 2.0);
    let work_ms = reads / speeds.prefill_tokens_per_ms + output * share_of_step;

    Estimate {
        wait_ms: slot_ms + load.prefill * read_ms,
        prefill_ms: reads * read_ms,
        decode_ms,
        work_ms,
    }
}
