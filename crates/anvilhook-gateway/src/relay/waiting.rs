//! Queues requests in the gateway until an engine is nearly free for them.
//!
//! [`anvilhook_core::pacing`] decides whether a request waits; this module repeats the decision with the
//! current state until the request is sent or abandoned.

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::pacing::{Pace, Slots, pace_generating, pace_reading};
use anvilhook_core::units::{Clock, Millis};

use super::Gateway;
use super::limits::{LimitTicket, LimitWait, pause_for};
use super::prompts::Job;
use super::requests::Exchange;
use super::shares::ShareTurn;
use crate::account_shares::Stage;
use crate::fleets::Upstream;
use crate::placements::{Generator, Plan};
use crate::wires::Wire;

/// The minimum and maximum pause between two checks, and the share of a reader's backlog after which the next
/// check is due. Each check evaluates all engines of the service.
const MIN_PAUSE_MS: f64 = 2.0;
const MAX_PAUSE_MS: f64 = 16.0;
const PAUSE_BACKLOG_SHARE: f64 = 0.2;

/// `Wait` is how long a request was queued here before it is sent, and why it is sent now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    pub held: Millis,
    pub pace: Pace,
}

impl Wait {
    /// The wait of a request that is sent without having been queued.
    pub const NONE: Wait = Wait { held: Millis::ZERO, pace: Pace::Free };
}

/// `WaitOutcome` is the outcome of waiting.
pub(super) enum WaitOutcome<T> {
    /// The request is to be sent at once, by the given plan.
    Send(T, Wait),
    /// No engine can serve the request.
    NoEngine,
    /// Only engines with exhausted request limits could serve the request, and not in time. The first of them
    /// accepts a request after this time.
    Limited(Millis),
    /// The request can no longer be answered before its caller leaves.
    Hopeless,
    /// The end of this instance could interrupt the answer.
    Stopping,
    /// The configuration has moved the request to another service.
    Moved,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Plans a request and waits until its prompt may be sent to the reader.
    pub(super) async fn wait_for_reader(
        &self,
        exchange: &mut Exchange,
        job: &Job<'_>,
    ) -> WaitOutcome<Plan> {
        let began_at = self.now();
        let mut ticket = None;
        let mut turn = ShareTurn::new(Stage::Read);
        loop {
            if let Some(stopped) = self.reason_not_to_wait(exchange, job) {
                return stopped;
            }
            let Some(plan) = self.plan_in_turn(exchange, job, ticket.as_ref()) else {
                match self.wait_for_share(exchange, job.avoid, &mut ticket).await {
                    LimitWait::TryAgain => continue,
                    LimitWait::Refuse(soonest) => return WaitOutcome::Limited(soonest),
                    LimitWait::NotLimited => return WaitOutcome::NoEngine,
                }
            };
            let reader = match &plan {
                Plan::Split(reader) => reader,
                Plan::Direct(generator) => {
                    let Some(next_in) = self.reader_worth_waiting_for(exchange, generator) else {
                        let output_ms = self.output_work_ms(exchange, job, generator);
                        self.record_asked_work(exchange, generator.reading_ms + output_ms);
                        let wait = Wait { held: self.now() - began_at, pace: Pace::Free };
                        return WaitOutcome::Send(plan, wait);
                    };
                    pause_for(next_in).await;
                    continue;
                }
            };
            let waiting = exchange.waiting(self.now());
            let (work_ms, backlog_ms) = (reader.reading_ms, reader.backlog_ms);
            self.record_asked_work(exchange, work_ms);
            let pace = pace_reading(&waiting, work_ms, backlog_ms, job.tightest);
            let pace = self.pace_by_share(exchange, &mut turn, pace, |contender| {
                contender.yields_reading(work_ms, backlog_ms, job.tightest)
            });
            match pace {
                Pace::Hold => {}
                Pace::Hopeless => return WaitOutcome::Hopeless,
                pace => return WaitOutcome::Send(plan, Wait { held: self.now() - began_at, pace }),
            }
            let pause_ms = backlog_ms * PAUSE_BACKLOG_SHARE;
            pause(pause_ms.clamp(MIN_PAUSE_MS, MAX_PAUSE_MS)).await;
        }
    }

    /// Chooses the engine that generates and waits until the request may be sent to it.
    ///
    /// The prompt has already been read. The engine is chosen again by the current state at each check.
    /// `ticket` gives the request its turn at engines with request limits.
    pub(super) async fn wait_for_generator(
        &self,
        exchange: &mut Exchange,
        job: &Job<'_>,
        reader: &Upstream,
        ticket: LimitTicket,
    ) -> WaitOutcome<Generator> {
        let began_at = self.now();
        let mut slot_request = None;
        let mut turn = ShareTurn::new(Stage::Generate);
        let mut ticket = Some(ticket);
        loop {
            if let Some(stopped) = self.reason_not_to_wait(exchange, job) {
                return stopped;
            }
            let chosen = self
                .with_placer(exchange, |placer| placer.generator(&job.request(exchange), reader));
            let Some(generator) = chosen else {
                match self.wait_for_share(exchange, job.avoid, &mut ticket).await {
                    LimitWait::TryAgain => continue,
                    LimitWait::Refuse(soonest) => return WaitOutcome::Limited(soonest),
                    LimitWait::NotLimited => return WaitOutcome::NoEngine,
                }
            };
            let slots = Slots {
                slots: generator.upstream.entry.slots,
                in_flight: generator.upstream.state.work(self.now()).in_flight,
            };
            let output_ms = self.inner.speeds.output_ms(&exchange.service, job.prompt.max_output);
            let waiting = exchange.waiting(self.now());
            self.record_asked_work(exchange, self.output_work_ms(exchange, job, &generator));
            let pace = pace_generating(&waiting, generator.fetched_ms, output_ms, slots);
            let pace = self.pace_by_share(exchange, &mut turn, pace, |contender| {
                contender.yields_generating(generator.fetched_ms, slots)
            });
            match pace {
                Pace::Hold => {}
                Pace::Hopeless => return WaitOutcome::Hopeless,
                pace => {
                    return WaitOutcome::Send(
                        generator,
                        Wait { held: self.now() - began_at, pace },
                    );
                }
            }
            slot_request.get_or_insert_with(|| self.inner.speeds.request_slot(&exchange.service));
            pause(MIN_PAUSE_MS).await;
        }
    }

    /// Returns the predicted work of generating a request's output, in milliseconds of a whole engine.
    fn output_work_ms(&self, exchange: &Exchange, job: &Job<'_>, generator: &Generator) -> f64 {
        let output_ms = self.inner.speeds.output_ms(&exchange.service, job.prompt.max_output);
        output_ms / f64::from(generator.upstream.entry.slots.max(1))
    }

    /// Returns why a request must neither wait longer nor be sent, or `None` if it still may.
    fn reason_not_to_wait<T>(
        &self,
        exchange: &mut Exchange,
        job: &Job<'_>,
    ) -> Option<WaitOutcome<T>> {
        if self.has_moved(exchange) {
            return Some(WaitOutcome::Moved);
        }
        // The signal to stop may have arrived while the request waited. A broken stream is resumed all the
        // same, as it would otherwise remain truncated.
        let is_refused = job.resume_after.is_none() && self.may_be_interrupted(exchange);
        is_refused.then_some(WaitOutcome::Stopping)
    }

    /// Looks up the request's service again. Returns whether it has changed.
    ///
    /// Otherwise a request that waited while a newer configuration became active could be sent to a service
    /// that the newer one no longer allows.
    pub(super) fn has_moved(&self, exchange: &mut Exchange) -> bool {
        let before = Arc::clone(&exchange.service);
        if let Some(config) = self.config() {
            exchange.refresh(&config);
        }
        exchange.service != before
    }
}

async fn pause(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms / 1e3)).await;
}
