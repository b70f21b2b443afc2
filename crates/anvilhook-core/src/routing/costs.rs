//! The cost of giving a request to an engine, in milliseconds.

use super::loads::Load;
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
    /// Returns whether an engine of the role takes this part.
    pub fn fits(self, role: Role) -> bool {
        match role {
            Role::Mixed => true,
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
    /// The weight of the delay that a request causes to the others on the engine, against its own.
    pub others_weight: f64,
    /// The most engines whose cost is worked out for one choice, besides the believed holders of
    /// the prompt's prefix.
    pub sampled: usize,
    /// The time that a KV cache takes from one engine to another, for each prompt token.
    pub transfer_ms_per_token: f64,
    /// The least gain, in milliseconds, for which a request is split over two engines.
    pub split_gain_ms: f64,
}

impl Default for CostOptions {
    fn default() -> Self {
        Self {
            prefill_chunk: 512.0,
            others_weight: 1.0,
            sampled: 6,
            transfer_ms_per_token: 0.06,
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
    /// The delay that it causes to the other requests there, all together.
    pub others_ms: f64,
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

    /// Returns the cost that choices compare.
    pub fn cost(&self, options: &CostOptions) -> f64 {
        self.wait_ms + self.prefill_ms + self.decode_ms + options.others_weight * self.others_ms
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

    // With the batch full, a place is free after as many ends as there are requests too many.
    let too_many = (load.requests + 1.0 - speeds.max_batch).max(0.0);
    let place_ms = too_many / speeds.max_batch * load.output_each * step_ms;

    // While it generates, prompts of later requests are read at about the rate of late.
    let free_share = (1.0 - load.prefill_share).max(0.1);
    let decode_ms = output * step_ms / free_share;

    // Others wait for its prompt, and each of its tokens makes their steps longer.
    let read_delay_ms = reads / speeds.prefill_tokens_per_ms * running;
    let token_delay_ms = output * speeds.decode_step_per_request_ms * running;
    // Generating beside the prompts that wait here makes each of their pieces longer.
    let newly_running = if running < 0.5 && output > 0.0 { speeds.decode_step_ms } else { 0.0 };
    let piece_delay_ms = newly_running * load.prefill / options.prefill_chunk;

    Estimate {
        wait_ms: place_ms + load.prefill * read_ms,
        prefill_ms: reads * read_ms,
        decode_ms,
        others_ms: read_delay_ms + token_delay_ms + piece_delay_ms,
    }
}
