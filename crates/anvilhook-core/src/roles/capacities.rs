//! Calculates how much of some work a pool can serve with given roles.

use super::meters::{Flow, ObservedWork};
use crate::orders::Role;
use crate::routing::Speeds;

/// The number of steps in which the best share of requests to split over two engines is searched.
const SPLIT_STEPS: u32 = 4;

/// The utilization above which some requests complete late, since arrivals are uneven.
const FULL_UTILIZATION: f64 = 0.92;

/// `RoleCounts` holds the number of engines of a pool in each role.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RoleCounts {
    /// Engines that only read prompts.
    pub prefill: usize,
    /// Engines that only generate.
    pub decode: usize,
    /// Engines that do both.
    pub mixed: usize,
}

impl RoleCounts {
    /// Returns the number of engines.
    pub fn total(&self) -> usize {
        self.prefill + self.decode + self.mixed
    }

    /// Returns the number of engines in a role.
    pub fn of(&self, role: Role) -> usize {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// Sets the number of engines in a role.
    pub fn set(&mut self, role: Role, engines: usize) {
        match role {
            Role::Prefill => self.prefill = engines,
            Role::Decode => self.decode = engines,
            Role::Mixed => self.mixed = engines,
        }
    }

    /// Counts one more engine in a role.
    pub fn add(&mut self, role: Role) {
        match role {
            Role::Prefill => self.prefill += 1,
            Role::Decode => self.decode += 1,
            Role::Mixed => self.mixed += 1,
        }
    }

    /// Returns how many engines have to change their role to reach other counts.
    pub fn changes_to(&self, to: &RoleCounts) -> usize {
        let gained = |role: Role| to.of(role).saturating_sub(self.of(role));
        gained(Role::Prefill) + gained(Role::Decode) + gained(Role::Mixed)
    }
}

/// `PoolShape` describes the capabilities of the engines of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolShape {
    /// The speeds of one engine.
    pub speeds: Speeds,
    /// Prompt tokens read in one step of the batch.
    pub prefill_chunk: f64,
    /// Tokens of a KV cache imported in one step of the batch.
    pub import_chunk: f64,
    /// The maximum time between two tokens for requests with tight deadlines, in milliseconds.
    pub tight_gap_ms: f64,
}

impl Default for PoolShape {
    fn default() -> Self {
        let speeds = Speeds {
            prefill_tokens_per_ms: 8.0,
            decode_step_ms: 25.0,
            decode_step_per_request_ms: 0.2,
            max_batch: 32.0,
        };
        Self { speeds, prefill_chunk: 512.0, import_chunk: 512.0, tight_gap_ms: 40.0 }
    }
}

impl PoolShape {
    /// Returns the time between two tokens, in milliseconds, on an engine that reads prompts in
    /// addition to running a full batch.
    pub fn mixed_step_ms(&self) -> f64 {
        let speeds = &self.speeds;
        speeds.step_ms(speeds.max_batch) + self.prefill_chunk / speeds.prefill_tokens_per_ms
    }

    /// Returns the greatest utilization of any role, with the best shares of requests split over two
    /// engines. At 1 every engine of that role is busy all the time.
    pub fn utilization(&self, counts: &RoleCounts, seen: &ObservedWork) -> f64 {
        let steps = || (0..=SPLIT_STEPS).map(|step| f64::from(step) / f64::from(SPLIT_STEPS));
        let mut lowest = f64::INFINITY;
        for patient in steps() {
            for tight in steps() {
                lowest = lowest.min(self.utilization_of(counts, seen, patient, tight));
            }
        }
        lowest
    }

    /// Returns the share, from 0 to 1, of the work that the pool completes in time.
    ///
    /// ```
    /// use anvilhook_core::roles::{Flow, PoolShape, RoleCounts, ObservedWork};
    ///
    /// let shape = PoolShape::default();
    /// let tight = Flow { requests: 6.0, prefill: 12_000.0, prompt: 12_000.0, output: 1_800.0 };
    /// let seen = ObservedWork { tight, patient: Flow::default() };
    /// let mixed = RoleCounts { mixed: 4, ..Default::default() };
    /// let apart = RoleCounts { prefill: 2, decode: 2, ..Default::default() };
    /// assert!(shape.served_share(&mixed, &seen) < shape.served_share(&apart, &seen));
    /// ```
    pub fn served_share(&self, counts: &RoleCounts, seen: &ObservedWork) -> f64 {
        let utilization = self.utilization(counts, seen);
        if utilization <= FULL_UTILIZATION { 1.0 } else { FULL_UTILIZATION / utilization }
    }

    /// Returns the greatest utilization of any role if the given shares of the patient and the tight
    /// requests are split over two engines.
    fn utilization_of(
        &self,
        counts: &RoleCounts,
        seen: &ObservedWork,
        patient: f64,
        tight: f64,
    ) -> f64 {
        let split = seen.patient.times(patient).plus(seen.tight.times(tight));
        let mixed_ms = self.mixed_ms(&seen.patient.times(1.0 - patient))
            + self.tight_mixed_ms(&seen.tight.times(1.0 - tight));
        let busy_share = |busy_ms: f64, engines: usize| match (busy_ms > 0.0, engines) {
            (false, _) => 0.0,
            (true, 0) => f64::INFINITY,
            (true, engines) => busy_ms / 1_000.0 / engines as f64,
        };
        busy_share(split.prefill / self.speeds.prefill_tokens_per_ms, counts.prefill)
            .max(busy_share(self.decode_ms(&split), counts.decode))
            .max(busy_share(mixed_ms, counts.mixed))
    }

    /// Returns the engine time per second, in milliseconds, to generate the flow's output on engines
    /// that read no prompts. Each step imports at most one chunk of a KV cache, so long prompts need
    /// additional steps.
    pub fn decode_ms(&self, flow: &Flow) -> f64 {
        let speeds = &self.speeds;
        let steps = (flow.prompt / self.import_chunk).max(flow.output / speeds.max_batch);
        steps * speeds.decode_step_ms + flow.output * speeds.decode_step_per_request_ms
    }

    /// Returns the engine time per second, in milliseconds, of a flow that has mixed engines to itself.
    /// Every step costs the base time of a decode step. The number of steps is the number of prompt
    /// chunks or of full batches of output tokens, whichever is greater.
    pub fn mixed_ms(&self, flow: &Flow) -> f64 {
        let speeds = &self.speeds;
        let steps = (flow.prefill / self.prefill_chunk).max(flow.output / speeds.max_batch);
        flow.prefill / speeds.prefill_tokens_per_ms
            + steps * speeds.decode_step_ms
            + flow.output * speeds.decode_step_per_request_ms
    }

    /// Returns the engine time per second, in milliseconds, of a tight flow that has mixed engines to
    /// itself. It is at least `mixed_ms`, and covers enough engines to keep the time between two tokens
    /// within `tight_gap_ms` although prompts are read.
    pub fn tight_mixed_ms(&self, flow: &Flow) -> f64 {
        let speeds = &self.speeds;
        // With n engines, each reads for reading / n of the time and runs output * gap / n requests:
        // step + per_request * output * gap / n <= gap * (1 - reading / n), solved for n.
        let gap = self.tight_gap_ms;
        let reading = flow.prefill / speeds.prefill_tokens_per_ms / 1_000.0;
        let running = flow.output / 1_000.0 * gap;
        let spare = (gap - speeds.decode_step_ms).max(1.0);
        let engines = (gap * reading + speeds.decode_step_per_request_ms * running) / spare;
        self.mixed_ms(flow).max(engines * 1_000.0)
    }
}
