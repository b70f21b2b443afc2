//! The places of requests that wait at this instance for an engine.
//!
//! There is one queue for each service and stage. After a change of the engines' state, the first waiting
//! request is woken. It is sent, or it wakes the next one, so that requests are checked in the queue's order.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::stream_origins::Software;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_core::waiting_queues::{Demand, Prediction, Ticket, WaitingQueue, retry_after};
use tokio::sync::Notify;

use super::Gateway;
use super::answers::Outcome;
use super::requests::Exchange;
use crate::hashes::hash_of;
use crate::wires::Wire;

/// The reasons in the answers to requests that are rejected for lack of capacity.
pub(super) const OVERLOAD: &str = "overload";
pub(super) const RETRY_BUDGET: &str = "retry_budget";

/// How many requests are woken after a change that can't use any engine. A check evaluates all engines of the
/// service; the others are checked at their next poll.
const MAX_HELD_CHECKS: u32 = 3;

/// The minimum time between two wake-ups by updates from other instances, of which there may be thousands a
/// second.
const UPDATE_INTERVAL: Millis = Millis(4);

/// `Stage` is what a request waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// An engine that reads its prompt (prefill).
    Reading,
    /// An engine that generates its output.
    Generating,
}

impl Stage {
    const ALL: [Stage; 2] = [Stage::Reading, Stage::Generating];

    /// Returns the text used in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Stage::Reading => "read",
            Stage::Generating => "generate",
        }
    }

    /// Returns whether engines of a role serve this stage.
    fn is_served_by(self, role: Option<Role>) -> bool {
        match self {
            Stage::Reading => role == Some(Role::Prefill),
            Stage::Generating => role.is_some_and(|role| role != Role::Prefill),
        }
    }
}

/// `Rejection` is why a request was rejected with the reason `overload`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rejection {
    /// Its answer would begin, as predicted, after its caller leaves.
    Predicted,
    /// It waited, and no engine became free in time.
    Waited,
    /// The chosen engines need more time than the caller has.
    NoTime,
}

impl Rejection {
    /// Returns the text used in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Rejection::Predicted => "predicted",
            Rejection::Waited => "waited",
            Rejection::NoTime => "no_time",
        }
    }
}

/// Returns why a request was rejected for lack of capacity, and the time to its first event as last predicted,
/// in milliseconds. Returns `None` if it was not rejected.
pub(super) fn rejection_of(
    exchange: &Exchange,
    outcome: &Outcome,
) -> Option<(&'static str, Option<u64>)> {
    outcome.retry_after()?;
    let reason = match outcome.reason() {
        OVERLOAD => exchange.rejection.map_or(OVERLOAD, Rejection::as_str),
        RETRY_BUDGET => RETRY_BUDGET,
        _ => return None,
    };
    Some((reason, exchange.predicted_ms.map(|predicted_ms| predicted_ms as u64)))
}

/// `QueueKey` identifies the queue of the requests that wait for the same engines.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct QueueKey {
    service: Arc<str>,
    stage: Stage,
    /// The only software that may serve the requests, if they are restricted to one. Requests that wait for engines of
    /// another software must not hold them back.
    software: Option<Software>,
}

impl QueueKey {
    fn of(exchange: &Exchange, stage: Stage) -> Self {
        let software = exchange.software.or(exchange.read_by);
        Self { service: Arc::clone(&exchange.service), stage, software }
    }

    fn is_for(&self, service: &str, stage: Stage) -> bool {
        &*self.service == service && self.stage == stage
    }
}

type PlaceQueues = HashMap<QueueKey, PlaceQueue>;

/// `WaitingQueues` holds the waiting requests of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingQueues(Arc<Mutex<PlaceQueues>>);

/// `PlaceQueue` is the queue of one service and stage.
#[derive(Debug, Default)]
struct PlaceQueue {
    queue: WaitingQueue,
    wakers: HashMap<Ticket, Arc<Notify>>,
    /// The latest time of any check.
    now: Millis,
    /// When requests were last woken by an update from another instance.
    updated_at: Millis,
}

impl PlaceQueue {
    fn wake_next(&self) {
        let next = self.queue.next_unchecked(self.now);
        if let Some(waker) = next.and_then(|ticket| self.wakers.get(&ticket)) {
            waker.notify_one();
        }
    }

    fn record_change(&mut self) {
        if !self.queue.is_empty() {
            self.queue.record_change();
            self.wake_next();
        }
    }
}

impl WaitingQueues {
    fn lock(&self) -> MutexGuard<'_, PlaceQueues> {
        self.0.lock().expect("no panic under this lock")
    }

    fn with<T>(&self, key: QueueKey, now: Millis, f: impl FnOnce(&mut PlaceQueue) -> T) -> T {
        let mut queues = self.lock();
        let queue = queues.entry(key).or_default();
        queue.now = queue.now.max(now);
        f(queue)
    }
}

/// `Place` is a request's place in a queue until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    queues: WaitingQueues,
    key: QueueKey,
    ticket: Ticket,
    /// Notified when the request is to be checked.
    waker: Arc<Notify>,
    /// How many requests came first when the request was queued.
    pub position: u32,
    /// Whether the request is being sent.
    pub is_sent: bool,
}

impl Place {
    /// Waits until the request is to be checked again, at most `max_ms` milliseconds.
    pub async fn wait(waker: Arc<Notify>, max_ms: f64) {
        let max = Duration::from_secs_f64(max_ms / 1e3);
        // After the time is over the request is checked as well.
        let _ = tokio::time::timeout(max, waker.notified()).await;
    }

    /// Returns what is notified when the request is to be checked.
    pub fn waker(&self) -> Arc<Notify> {
        Arc::clone(&self.waker)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut queues = self.queues.lock();
        let Some(place) = queues.get_mut(&self.key) else { return };
        if self.is_sent {
            place.queue.send(self.ticket, place.now);
        } else {
            place.queue.leave(self.ticket, place.now);
        }
        place.wakers.remove(&self.ticket);
        place.wake_next();
        // Software versions come and go, so queues of single ones are not kept.
        if self.key.software.is_some() && place.queue.is_empty() {
            queues.remove(&self.key);
        }
    }
}

/// `FreedSignal` wakes the requests that wait for a stage of a service when it is dropped.
#[derive(Debug)]
pub(crate) struct FreedSignal {
    queues: WaitingQueues,
    service: Arc<str>,
    stage: Stage,
}

impl Drop for FreedSignal {
    fn drop(&mut self) {
        let mut queues = self.queues.lock();
        let freed = queues.iter_mut().filter(|(key, _)| key.is_for(&self.service, self.stage));
        freed.for_each(|(_, place)| place.record_change());
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Returns what wakes the waiting requests once a request of this instance has left an engine.
    pub(super) fn freed_signal(&self, exchange: &Exchange, stage: Stage) -> FreedSignal {
        let (queues, service) = (self.inner.waiting_queues.clone(), Arc::clone(&exchange.service));
        FreedSignal { queues, service, stage }
    }

    /// Wakes the waiting requests, as another instance has reported new loads or the upstreams have changed.
    pub(crate) fn wake_waiting(&self) {
        let now = self.now();
        for place in self.inner.waiting_queues.lock().values_mut() {
            place.now = place.now.max(now);
            if !place.queue.is_empty() && now >= place.updated_at + UPDATE_INTERVAL {
                place.updated_at = now;
                place.record_change();
            }
        }
    }

    /// Returns how many requests of a service wait at this instance, by stage.
    pub(crate) fn waiting_requests(&self, service: &Arc<str>) -> [(&'static str, usize); 2] {
        let queues = self.inner.waiting_queues.lock();
        Stage::ALL.map(|stage| {
            let of_stage = queues.iter().filter(|(key, _)| key.is_for(service, stage));
            (stage.as_str(), of_stage.map(|(_, place)| place.queue.len()).sum())
        })
    }

    /// Returns whether another waiting request must get the engine first, by [`WaitingQueue::is_preceded`].
    pub(super) fn is_preceded(
        &self,
        exchange: &Exchange,
        stage: Stage,
        demand: &Demand,
        could_use: impl Fn(&Demand) -> bool,
    ) -> bool {
        let (ticket, now) = (exchange.place.as_ref().map(|place| place.ticket), self.now());
        self.inner.waiting_queues.with(QueueKey::of(exchange, stage), now, |place| {
            if place.queue.is_outdated(ticket) {
                place.queue.record_change();
            }
            let is_preceded = place.queue.is_preceded(ticket, demand, now, could_use);
            if is_preceded {
                place.wake_next();
            }
            is_preceded
        })
    }

    /// Predicts how long a request waits behind others.
    pub(super) fn predict_wait(
        &self,
        exchange: &Exchange,
        stage: Stage,
        demand: &Demand,
    ) -> Prediction {
        let (ticket, now) = (exchange.place.as_ref().map(|place| place.ticket), self.now());
        let view = self.fleet().view();
        let engines = view.of_service(&exchange.service).iter();
        let software = exchange.software.or(exchange.read_by);
        let engines = engines.filter(|one| {
            let is_usable = software.is_none_or(|software| software == one.software);
            stage.is_served_by(one.role()) && one.takes_work(now) && is_usable
        });
        let instances = self.peers().live_peers(now) + 1;
        let expected_rate = engines.count() as f64 / instances as f64;
        self.inner.waiting_queues.with(QueueKey::of(exchange, stage), now, |place| {
            place.queue.predict(ticket, demand, expected_rate, now)
        })
    }

    /// Holds a request, which gets a place if it has none. `is_checked` is whether no engine is free enough for
    /// it; otherwise others come first, and it is checked again after them.
    pub(super) fn hold(
        &self,
        exchange: &mut Exchange,
        stage: Stage,
        demand: Demand,
        position: u32,
        is_checked: bool,
    ) {
        let (queues, now) = (&self.inner.waiting_queues, self.now());
        let key = QueueKey::of(exchange, stage);
        queues.with(key.clone(), now, |queue| {
            let place = exchange.place.get_or_insert_with(|| {
                let (ticket, waker) = (queue.queue.join(demand, now), Arc::<Notify>::default());
                queue.wakers.insert(ticket, Arc::clone(&waker));
                Place { queues: queues.clone(), key, ticket, waker, position, is_sent: false }
            });
            queue.queue.update(place.ticket, demand);
            if is_checked && queue.queue.record_held(place.ticket) < MAX_HELD_CHECKS {
                queue.wake_next();
            }
        });
    }

    /// Returns the retry time of a request that is rejected for lack of capacity, `None` for other reasons.
    pub(super) fn retry_time(&self, exchange: &Exchange, reason: &str) -> Option<Millis> {
        if !self.policy().waiting_queue || ![OVERLOAD, RETRY_BUDGET].contains(&reason) {
            return None;
        }
        let predicted_ms = exchange.predicted_ms.unwrap_or_default();
        let time_left = exchange.time_left(self.now());
        let spread = hash_of(&(&*exchange.id, self.peers().number()));
        Some(retry_after(predicted_ms, exchange.route.objective, time_left, spread))
    }
}
