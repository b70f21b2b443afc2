//! Queues requests in the gateway until an engine is nearly free for them.
//!
//! [`anvilhook_core::pacing`] decides whether a request waits, and [`anvilhook_core::waiting_queues`] which of
//! the waiting ones is sent first; this module repeats the decisions with the current state until the request
//! is sent or abandoned.

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::pacing::{Pace, Slots, Waiting, pace_generating, pace_reading};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_core::waiting_queues::{Demand, is_too_late};

use super::Gateway;
use super::answers::Outcome;
use super::limits::{LimitTicket, LimitWait, ShareWait, pause_for};
use super::places::{Place, Rejection, Stage};
use super::prompts::Job;
use super::requests::Exchange;
use super::shares::ShareTurn;
use crate::fleets::Upstream;
use crate::placements::{Generator, Plan};
use crate::suspects::HeldPart;
use crate::wires::Wire;

/// The minimum and maximum pause between two checks, and the share of a reader's backlog after which the next
/// check is due. Each check evaluates all engines of the service.
const MIN_PAUSE_MS: f64 = 2.0;
const MAX_PAUSE_MS: f64 = 16.0;
const PAUSE_BACKLOG_SHARE: f64 = 0.2;

/// The number of requests at the head of a queue that are checked at their own intervals. The others are checked
/// at the maximum pause, since each check evaluates all engines of the service.
const FIRST_PLACES: u32 = 3;

/// `Wait` is how long a request was queued here before it is sent, and why it is sent now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    pub held: Millis,
    pub pace: Pace,
    /// How many waiting requests came first when the request was queued; `None` if it was not.
    pub position: Option<u32>,
}

impl Wait {
    /// The wait of a request that is sent without having been queued.
    pub const NONE: Wait = Wait { held: Millis::ZERO, pace: Pace::Free, position: None };
}

/// `Check` is what one check of a request is based on.
struct Check<F> {
    stage: Stage,
    demand: Demand,
    /// The decision of `pacing`.
    pace: Pace,
    /// The predicted time from being sent to the first event, with the wait at the engines, in milliseconds.
    first_event_ms: f64,
    /// Whether the request is sent regardless of others.
    is_exempt: bool,
    /// Whether another request could use the chosen engine now.
    could_use: F,
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
    /// A part of the prompt is on trial or has been quarantined.
    Held(HeldPart),
    /// The caller's key has been withdrawn.
    Denied(Outcome),
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Plans a request and waits until its prompt may be sent to the reader.
    pub(super) async fn wait_for_reader(
        &self,
        exchange: &mut Exchange,
        job: &Job<'_>,
    ) -> WaitOutcome<Plan> {
        let began_at = self.now();
        let mut share_wait = ShareWait::default();
        let mut turn = ShareTurn::new(Stage::Reading);
        exchange.place = None;
        loop {
            if let Some(stopped) = self.reason_not_to_wait(exchange, job) {
                return stopped;
            }
            let Some(plan) = self.plan_in_turn(exchange, job, &share_wait) else {
                exchange.place = None;
                match self.wait_for_share(exchange, job.avoid, &mut share_wait).await {
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
                        if self.is_rejected(exchange, job, generator.direct_ms) {
                            return WaitOutcome::Hopeless;
                        }
                        let wait = self.end_wait(exchange, began_at, Pace::Free);
                        return WaitOutcome::Send(plan, wait);
                    };
                    exchange.place = None;
                    pause_for(next_in).await;
                    continue;
                }
            };
            let waiting = exchange.waiting(self.now());
            let (work_ms, backlog_ms) = (reader.reading_ms, reader.backlog_ms);
            let pace_at = |waiting: &Waiting, work_ms, backlog_ms| {
                pace_reading(waiting, work_ms, backlog_ms, job.tightest)
            };
            self.record_asked_work(exchange, work_ms);
            let pace = pace_at(&waiting, work_ms, backlog_ms);
            let pace = self.pace_by_share(exchange, &mut turn, pace, |contender| {
                contender.yields_reading(work_ms, backlog_ms, job.tightest)
            });
            let demand = self.demand(exchange, work_ms + reader.fetching_ms, work_ms);
            let now = self.now();
            let check = Check {
                stage: Stage::Reading,
                demand,
                pace,
                first_event_ms: reader.total_ms,
                // A prompt so short that it is sent at any backlog would gain nothing by waiting for others.
                is_exempt: demand.excess <= 0.0
                    && pace_at(&waiting, work_ms, f64::INFINITY) == Pace::Free,
                could_use: |other: &Demand| {
                    is_sent(pace_at(&other.waiting(now), other.load_ms, backlog_ms))
                },
            };
            let pause_ms = (backlog_ms * PAUSE_BACKLOG_SHARE).clamp(MIN_PAUSE_MS, MAX_PAUSE_MS);
            match self.check_turn(exchange, job, check) {
                (Pace::Hold, position) => self.pause(exchange, position, pause_ms).await,
                (Pace::Hopeless, _) => return WaitOutcome::Hopeless,
                (pace, _) => {
                    return WaitOutcome::Send(plan, self.end_wait(exchange, began_at, pace));
                }
            }
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
        let mut turn = ShareTurn::new(Stage::Generating);
        let mut share_wait = ShareWait::with_ticket(ticket);
        exchange.place = None;
        loop {
            if let Some(stopped) = self.reason_not_to_wait(exchange, job) {
                return stopped;
            }
            let chosen = self
                .with_placer(exchange, |placer| placer.generator(&job.request(exchange), reader));
            let Some(generator) = chosen else {
                exchange.place = None;
                match self.wait_for_share(exchange, job.avoid, &mut share_wait).await {
                    LimitWait::TryAgain => continue,
                    LimitWait::Refuse(soonest) => return WaitOutcome::Limited(soonest),
                    LimitWait::NotLimited => return WaitOutcome::NoEngine,
                }
            };
            let slots = Slots {
                slots: generator.slots,
                in_flight: generator.upstream.state.work(self.now()).in_flight,
            };
            let output_ms = self.inner.speeds.output_ms(&exchange.service, job.prompt.max_output);
            let waiting = exchange.waiting(self.now());
            self.record_asked_work(exchange, self.output_work_ms(exchange, job, &generator));
            let pace = pace_generating(&waiting, generator.fetched_ms, output_ms, slots);
            let pace = self.pace_by_share(exchange, &mut turn, pace, |contender| {
                contender.yields_generating(generator.fetched_ms, slots)
            });
            let now = self.now();
            let load_ms = output_ms / f64::from(slots.slots.max(1));
            let check = Check {
                stage: Stage::Generating,
                demand: self.demand(exchange, generator.fetched_ms, load_ms),
                pace,
                first_event_ms: generator.fetched_ms,
                is_exempt: false,
                could_use: |other: &Demand| {
                    let output_ms = other.load_ms * f64::from(slots.slots);
                    is_sent(pace_generating(&other.waiting(now), other.work_ms, output_ms, slots))
                },
            };
            match self.check_turn(exchange, job, check) {
                (Pace::Hold, position) => {
                    slot_request
                        .get_or_insert_with(|| self.inner.speeds.request_slot(&exchange.service));
                    self.pause(exchange, position, MIN_PAUSE_MS).await;
                }
                (Pace::Hopeless, _) => return WaitOutcome::Hopeless,
                (pace, _) => {
                    return WaitOutcome::Send(generator, self.end_wait(exchange, began_at, pace));
                }
            }
        }
    }

    fn demand(&self, exchange: &Exchange, work_ms: f64, load_ms: f64) -> Demand {
        let waiting = exchange.waiting(self.now());
        Demand {
            excess: self.account_excess(exchange),
            since: exchange.waits_since,
            objective: waiting.objective,
            wait_limit: waiting.wait_limit,
            work_ms,
            load_ms,
        }
    }

    /// Decides whether a request is sent, waits or is rejected, in view of the other waiting requests. Returns
    /// how many of them come first too.
    fn check_turn(
        &self,
        exchange: &mut Exchange,
        job: &Job<'_>,
        check: Check<impl Fn(&Demand) -> bool>,
    ) -> (Pace, u32) {
        let Check { stage, demand, pace, .. } = check;
        if !self.policy().waiting_queue {
            exchange.rejection = (pace == Pace::Hopeless).then_some(Rejection::Waited);
            return (pace, 0);
        }
        let is_next = is_sent(pace)
            && (check.is_exempt || !self.is_preceded(exchange, stage, &demand, check.could_use));
        let prediction = self.predict_wait(exchange, stage, &demand);
        let wait_ms = if is_next { 0.0 } else { prediction.wait_ms };
        if self.is_rejected(exchange, job, wait_ms + check.first_event_ms) {
            return (Pace::Hopeless, prediction.position);
        }
        match pace {
            Pace::Hopeless => {
                exchange.rejection = Some(Rejection::Waited);
                (pace, prediction.position)
            }
            _ if is_next => (pace, prediction.position),
            _ => {
                self.hold(exchange, stage, demand, prediction.position, pace == Pace::Hold);
                (Pace::Hold, prediction.position)
            }
        }
    }

    /// Returns whether a request is rejected because of the predicted time to its first event.
    fn is_rejected(&self, exchange: &mut Exchange, job: &Job<'_>, predicted_ms: f64) -> bool {
        if !self.policy().waiting_queue {
            return false;
        }
        exchange.predicted_ms = Some(predicted_ms);
        // A rejection would truncate a stream that broke, and could not state that the request has not run.
        let may_reject = job.resume_after.is_none() && !exchange.sendings.may_have_run();
        let is_rejected = may_reject && is_too_late(predicted_ms, exchange.wait_left(self.now()));
        if is_rejected {
            exchange.rejection = Some(Rejection::Predicted);
        }
        is_rejected
    }

    /// Ends the wait of a request that is sent now. It leaves its place once it counts as in flight, so that
    /// the next request is not checked before.
    fn end_wait(&self, exchange: &mut Exchange, began_at: Millis, pace: Pace) -> Wait {
        let position = exchange.place.as_mut().map(|place| {
            place.is_sent = true;
            place.position
        });
        Wait { held: self.now() - began_at, pace, position }
    }

    /// Waits until a request is to be checked again, for `first_ms` milliseconds at most if it is among the
    /// first of its queue.
    async fn pause(&self, exchange: &Exchange, position: u32, first_ms: f64) {
        let max_ms = if position < FIRST_PLACES { first_ms } else { MAX_PAUSE_MS };
        match exchange.place.as_ref().map(Place::waker) {
            Some(waker) => Place::wait(waker, max_ms).await,
            None => tokio::time::sleep(Duration::from_secs_f64(max_ms / 1e3)).await,
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
        if let Some(denied) = self.check_access(exchange) {
            return Some(WaitOutcome::Denied(denied));
        }
        if let Some(held) = self.held_part(exchange) {
            return Some(WaitOutcome::Held(held));
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

fn is_sent(pace: Pace) -> bool {
    matches!(pace, Pace::Free | Pace::Due)
}
