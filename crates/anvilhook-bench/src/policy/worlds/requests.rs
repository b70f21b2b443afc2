//! Simulates requests from their arrival to their outcome.

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::routing::{Phase, Work};
use anvilhook_core::units::Millis;
use anvilhook_standin::engines::{ModelRequest, WorkKind};
use rand::RngExt;

use super::World;
use super::timers::Timer;
use crate::policy::deployments::Deployment;
use crate::policy::instances::Decision;
use crate::policy::kinds::Kind;
use crate::policy::outcomes::Outcome;

/// The transfer time of a KV cache between two engines, per thousand prompt tokens.
const TRANSFER_MS_PER_1000_TOKENS: u64 = 10;

/// The time in which an upstream of the plain service runs one request.
const PLAIN_SERVICE: Millis = Millis(8);

/// The maximum number of attempts at one request.
const MAX_ATTEMPTS: u8 = 6;

/// The delay before a request that no engine accepted is retried.
const RETRY_DELAY: Millis = Millis(50);

/// The number of low bits of an attempt's ID that hold the attempt number. The bits above hold the
/// request's index.
const ATTEMPT_BITS: u32 = u8::BITS;

/// `Flight` holds the progress of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct Flight {
    pub instance: usize,
    pub attempt: u8,
    pub open_at: Option<usize>,
    pub phase: Option<Phase>,
    pub work: Work,
    pub tried: Vec<usize>,
    pub prompt_read: bool,
    pub first_at: Option<Millis>,
    pub ended: bool,
}

impl World<'_> {
    pub(super) fn arrive(&mut self, index: usize) {
        let request = &self.workload.requests[index];
        if let Some(next) = self.workload.requests.get(index + 1) {
            self.timers.set(next.at, Timer::Arrive(index + 1));
        }
        let instance = self.rng.random_range(0..self.instances.len());
        self.flights[index].instance = instance;
        if request.kind == Kind::Record {
            self.send_plain(index);
            return;
        }
        if self.policy.admission
            && !self.instances[instance].within_limit(request.account, self.now)
        {
            self.end(index, Outcome::Refused);
            return;
        }
        self.timers.set(request.deadline, Timer::Deadline(index));
        self.dispatch(index);
    }

    fn send_plain(&mut self, index: usize) {
        let request = &self.workload.requests[index];
        let instance = self.flights[index].instance;
        let upstream = self.instances[instance].choose_plain(self.policy, request, self.now);
        self.instances[instance].plain[upstream].begin_at(Work::default(), self.now);
        let delay = self.delay(instance, upstream);
        let start = self.plain_free_at[upstream].max(self.now + delay);
        let done = start + PLAIN_SERVICE;
        self.plain_free_at[upstream] = done;
        let at = done + delay + self.workload.deployment.caller_delay();
        self.timers.set(done + delay, Timer::PlainDone { instance, upstream });
        self.end(index, Outcome::Answered { first_at: at, at });
    }

    pub(super) fn dispatch(&mut self, index: usize) {
        if self.flights[index].ended {
            return;
        }
        let request = &self.workload.requests[index];
        let flight = &self.flights[index];
        let instance = &mut self.instances[flight.instance];
        let decision = if flight.prompt_read {
            instance.start_decode(self.policy, request, &flight.tried, self.now)
        } else {
            instance.start(self.policy, request, &flight.tried, self.now)
        };
        match decision {
            Decision::Send { engine, phase, work } => self.send(index, engine, phase, work),
            Decision::Refuse => self.end(index, Outcome::Refused),
            Decision::NoEngine => {
                // The engines that were tried may be healthy again.
                self.flights[index].tried.clear();
                self.timers.set(self.now + RETRY_DELAY, Timer::Retry(index));
            }
        }
    }

    fn send(&mut self, index: usize, engine: usize, phase: Phase, work: Work) {
        let flight = &mut self.flights[index];
        if flight.attempt == MAX_ATTEMPTS {
            self.end(index, Outcome::Failed);
            return;
        }
        flight.attempt += 1;
        flight.open_at = Some(engine);
        flight.phase = Some(phase);
        flight.work = work;
        let (instance, attempt) = (flight.instance, flight.attempt);
        self.instances[instance].begin(engine, work, self.now);
        let prompt = self.workload.requests[index].work.prompt.0;
        let transfer = match phase {
            Phase::Decode => Millis(prompt * TRANSFER_MS_PER_1000_TOKENS / 1_000),
            Phase::Whole | Phase::Prefill => Millis::ZERO,
        };
        let at = self.now + self.delay(instance, engine) + transfer;
        self.timers.set(at, Timer::Submit { request: index, attempt });
    }

    pub(super) fn submit(&mut self, index: usize, attempt: u8) {
        let flight = &self.flights[index];
        let Some(engine) = flight.open_at.filter(|_| flight.attempt == attempt && !flight.ended)
        else {
            return;
        };
        let work = self.engine_request(index);
        if self.engines[engine].submit(self.now, work).is_err() {
            // The engine refused the request as not run, so another engine may accept it.
            self.close(index);
            self.flights[index].tried.push(engine);
            self.dispatch(index);
        }
    }

    /// Returns the engine request of a request's current attempt.
    fn engine_request(&self, index: usize) -> ModelRequest {
        let request = &self.workload.requests[index];
        let flight = &self.flights[index];
        let kind = match flight.phase {
            Some(Phase::Prefill) => WorkKind::Prefill,
            Some(Phase::Decode) => WorkKind::Decode,
            _ => WorkKind::Full,
        };
        ModelRequest {
            attempt: attempt_id(index, flight.attempt),
            kind,
            prompt: request.work.prompt,
            blocks: request.blocks.clone(),
            output: request.work.output,
            priority: request.kind.priority(),
        }
    }

    /// Abandons a request at its deadline, as its caller does.
    pub(super) fn abandon(&mut self, index: usize) {
        if self.flights[index].ended {
            return;
        }
        let flight = &self.flights[index];
        if let Some(engine) = flight.open_at {
            let attempt = attempt_id(index, flight.attempt);
            self.engines[engine].cancel(self.now, attempt);
        }
        self.end(index, Outcome::Late);
    }

    /// Ends a request with its outcome.
    pub(super) fn end(&mut self, index: usize, outcome: Outcome) {
        self.close(index);
        self.flights[index].ended = true;
        self.outcomes[index] = outcome;
    }

    /// Removes a request's current attempt from the open work of its instance.
    pub(super) fn close(&mut self, index: usize) {
        let flight = &mut self.flights[index];
        if let Some(engine) = flight.open_at.take() {
            self.instances[flight.instance].engines[engine].end(flight.work);
        }
    }

    /// Returns the index of an attempt's request if it is that request's current attempt.
    pub(super) fn current(&self, attempt: AttemptId) -> Option<usize> {
        let (index, number) = ((attempt.0 >> ATTEMPT_BITS) as usize, attempt.0 as u8);
        let flight = &self.flights[index];
        (flight.attempt == number && !flight.ended).then_some(index)
    }

    /// Returns the one-delay delay between an instance and an upstream.
    fn delay(&self, instance: usize, upstream: usize) -> Millis {
        let apart = self.instances[instance].zone != upstream % Deployment::ZONES;
        let delay_ms = if apart { self.workload.deployment.zone_delay_ms() } else { 0.0 };
        Millis(delay_ms.ceil() as u64)
    }

    /// Returns the delay from an engine through the instance to the request's caller.
    pub(super) fn delay_to_caller(&self, index: usize, engine: usize) -> Millis {
        let delay = self.delay(self.flights[index].instance, engine);
        delay + self.workload.deployment.caller_delay()
    }
}

fn attempt_id(index: usize, attempt: u8) -> AttemptId {
    AttemptId((index as u128) << ATTEMPT_BITS | u128::from(attempt))
}
