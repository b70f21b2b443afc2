//! Requests that wait here until an engine is nearly free for them.
//!
//! The decisions are those of [`anvilhook_core::pacing`]; here they are made anew, on the beliefs of
//! each moment, until one of them sends the request.

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::pacing::{Pace, Slots, pace_generating, pace_reading};
use anvilhook_core::units::{Clock, Millis};

use super::Gateway;
use super::prompts::Job;
use super::requests::Exchange;
use crate::fleets::Upstream;
use crate::placements::{Generator, Plan};
use crate::wires::Wire;

/// The shortest and the longest pause between two looks, and the part of a reader's backlog after
/// which the next one is due. Each look weighs all engines of the service.
const SHORTEST_LOOK_MS: f64 = 2.0;
const LONGEST_LOOK_MS: f64 = 16.0;
const LOOK_SHARE: f64 = 0.2;

/// `Wait` is how long a request has waited here before it is sent, and why it waits no more.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    pub held: Millis,
    pub pace: Pace,
}

impl Wait {
    /// A request that is sent without having been held.
    pub const NONE: Wait = Wait { held: Millis::ZERO, pace: Pace::Free };
}

/// `Waited` is what came of waiting.
pub(super) enum Waited<T> {
    /// The request is to be sent as it says, at once.
    Sent(T, Wait),
    /// No engine can take it.
    NoEngine,
    /// It can't be answered any more before its caller leaves.
    Hopeless,
    /// This instance would end in the midst of the answer.
    Stopping,
    /// The configuration has moved the request to another service.
    Moved,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Plans a request, and waits until its reader may be sent the prompt.
    pub(super) async fn wait_for_reader(
        &self,
        exchange: &mut Exchange,
        job: &Job<'_>,
    ) -> Waited<Plan> {
        let began_at = self.now();
        loop {
            if let Some(stopped) = self.stops_waiting(exchange, job) {
                return stopped;
            }
            let Some(plan) = self.plan(exchange, job) else { return Waited::NoEngine };
            let Plan::Split(reader) = &plan else { return Waited::Sent(plan, Wait::NONE) };
            let waiting = exchange.waiting(self.now());
            let pace = pace_reading(&waiting, reader.reading_ms, reader.backlog_ms, job.tightest);
            match pace {
                Pace::Hold => {}
                Pace::Hopeless => return Waited::Hopeless,
                pace => return Waited::Sent(plan, Wait { held: self.now() - began_at, pace }),
            }
            let look_ms = reader.backlog_ms * LOOK_SHARE;
            pause(look_ms.clamp(SHORTEST_LOOK_MS, LONGEST_LOOK_MS)).await;
        }
    }

    /// Chooses the engine that generates, and waits until it may be sent the request.
    ///
    /// The prompt was read before the wait, and the engine is chosen after it, by what is believed
    /// then.
    pub(super) async fn wait_for_generator(
        &self,
        exchange: &mut Exchange,
        job: &Job<'_>,
        reader: &Upstream,
    ) -> Waited<Generator> {
        let began_at = self.now();
        let mut seeking = None;
        loop {
            if let Some(stopped) = self.stops_waiting(exchange, job) {
                return stopped;
            }
            let chosen = self
                .with_placer(exchange, |placer| placer.generator(&job.request(exchange), reader));
            let Some(generator) = chosen else { return Waited::NoEngine };
            let places = Slots {
                slots: generator.upstream.entry.slots,
                in_flight: generator.upstream.state.work(self.now()).in_flight,
            };
            let output_ms = self.inner.speeds.output_ms(&exchange.service, job.prompt.max_output);
            let waiting = exchange.waiting(self.now());
            let pace = pace_generating(&waiting, generator.fetched_ms, output_ms, places);
            match pace {
                Pace::Hold => {}
                Pace::Hopeless => return Waited::Hopeless,
                pace => return Waited::Sent(generator, Wait { held: self.now() - began_at, pace }),
            }
            seeking.get_or_insert_with(|| self.inner.speeds.request_slot(&exchange.service));
            pause(SHORTEST_LOOK_MS).await;
        }
    }

    /// Returns why a request is not to wait, nor to be sent, any more; `None` if it still may.
    fn stops_waiting<T>(&self, exchange: &mut Exchange, job: &Job<'_>) -> Option<Waited<T>> {
        if self.has_moved(exchange) {
            return Some(Waited::Moved);
        }
        // The signal to stop may have come while the request waited. A stream that goes on after a
        // break has nothing to lose.
        let is_refused = job.resume_after.is_none() && self.may_be_cut(exchange);
        is_refused.then_some(Waited::Stopping)
    }

    /// Looks the request's service up anew. Returns whether it is another one than before.
    ///
    /// A request that waited while a newer configuration came would otherwise be sent where that
    /// one no longer allows.
    fn has_moved(&self, exchange: &mut Exchange) -> bool {
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
