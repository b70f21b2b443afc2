//! Orders the requests that wait at an instance for one stage of a service, predicts how long they wait, and
//! derives when a rejected caller should return.
//!
//! [`crate::pacing`] decides whether an engine is free enough for a request. This module decides which of the
//! waiting requests gets it, and which of them can't be answered before its caller leaves.
//!
//! Designed for: bursts of 1.9 times the capacity, a mix of long and short prompts that flips every 2.8 s, and
//! callers that return at once after a rejection. Tens of requests wait at one instance; each operation takes
//! time proportional to their number. Rejections by the predicted wait bound that number.

use std::collections::BTreeMap;

use crate::pacing::Waiting;
use crate::units::Millis;

/// The share of the caller's wait limit after which a request counts as overdue.
const OVERDUE_SHARE: f64 = 0.6;

/// One in so many requests that are sent is the overdue one whose caller leaves first, if there is one. If all
/// overdue requests went first, a long overload would make every request late; if none did, requests that
/// others always precede would never be served.
const OVERDUE_TURN: u32 = 8;

/// The weight of a request's work in the order, added to its slack. By slack alone, long requests go first, and
/// under
/// lasting overload each is sent when it is almost late, so that a third fewer are on time.
const WORK_WEIGHT: f64 = 2.0;

/// The step of the order in milliseconds. Within a step, the earlier request comes first: predictions of the
/// same work differ by a few milliseconds from check to check.
const RANK_STEP_MS: f64 = 10.0;

/// The share of the caller's wait limit after which a request no longer waits for others.
const LAST_CALL_SHARE: f64 = 0.9;

/// The share of a predicted time that is taken as certain: predictions from other instances' reports are wrong by
/// up to a factor of two. A request is rejected, or stops waiting for others, only if this share alone leaves it
/// no time: a late answer still has value.
pub(crate) const CERTAIN_SHARE: f64 = 0.5;

/// The time in which observations of the drain rate decay to 1/e, in milliseconds. Bursts last for seconds.
const DRAIN_MEMORY_MS: f64 = 2_000.0;

/// The weight of the expected drain rate, as a time of observation in milliseconds.
const EXPECTED_WEIGHT_MS: f64 = 400.0;

/// The minimum drain rate that a prediction assumes, in milliseconds of engine work each millisecond. It keeps
/// predictions finite while nothing is sent.
const MIN_DRAIN_RATE: f64 = 0.01;

/// The shortest retry time, if the caller has time for it. Shorter ones would let callers return before
/// anything has changed.
const MIN_RETRY: Millis = Millis(60);

/// The caller honours a retry time up to its remaining time divided by this.
const RETRY_DIVISOR: u64 = 3;

/// `Demand` is what the order of waiting requests depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// What the request's client account requested above its share, as a factor of the share; 0 within it.
    pub excess: f64,
    /// Since when the caller waits.
    pub since: Millis,
    /// The time within which the answer should begin, from `since`.
    pub objective: Millis,
    /// How long the caller waits for the beginning of an answer, from `since`.
    pub wait_limit: Millis,
    /// The time from being sent to the first event, in milliseconds.
    pub work_ms: f64,
    /// The work that the request takes from the engines of its stage, in milliseconds of one engine.
    pub load_ms: f64,
}

impl Demand {
    /// Returns whether the answer can begin within the objective if the request is sent now.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_core::waiting_queues::Demand;
    ///
    /// let demand = Demand {
    ///     excess: 0.0,
    ///     since: Millis(0),
    ///     objective: Millis(1_200),
    ///     wait_limit: Millis(4_000),
    ///     work_ms: 450.0,
    ///     load_ms: 450.0,
    /// };
    /// assert!(demand.can_be_on_time(Millis(750)));
    /// assert!(!demand.can_be_on_time(Millis(751)));
    /// assert!(!demand.is_last_call(Millis(3_599)) && demand.is_last_call(Millis(3_600)));
    /// ```
    pub fn can_be_on_time(&self, now: Millis) -> bool {
        self.slack_ms(self.objective, now) >= 0.0
    }

    /// Returns whether the request has waited for so long that it must be sent now, regardless of others.
    pub fn is_last_call(&self, now: Millis) -> bool {
        self.has_waited(LAST_CALL_SHARE, now)
    }

    /// Returns how long the caller has waited, and how long it is willing to wait.
    pub fn waiting(&self, now: Millis) -> Waiting {
        let (objective, wait_limit) = (self.objective, self.wait_limit);
        Waiting { age: now - self.since, objective, wait_limit }
    }

    /// Returns how long the caller still waits.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.since + self.wait_limit - now
    }

    fn has_waited(&self, share: f64, now: Millis) -> bool {
        (now - self.since).0 as f64 >= self.wait_limit.0 as f64 * share
    }

    /// Returns the time that is left to send the request so that its answer begins within `limit`.
    fn slack_ms(&self, limit: Millis, now: Millis) -> f64 {
        limit.0 as f64 - (now - self.since).0 as f64 - self.work_ms
    }

    /// Returns the position in the order; a lower one comes first.
    fn rank(&self, is_overdue_turn: bool, now: Millis) -> Rank {
        if is_overdue_turn && self.has_waited(OVERDUE_SHARE, now) {
            return Rank::new(0, self.slack_ms(self.wait_limit, now));
        }
        let has_excess = self.excess > 0.0;
        let is_on_time = self.can_be_on_time(now);
        let limit = if is_on_time { self.objective } else { self.wait_limit };
        let class = 1 + 2 * u8::from(has_excess) + u8::from(!is_on_time);
        Rank::new(class, self.slack_ms(limit, now) + self.work_ms * WORK_WEIGHT)
    }
}

/// `Rank` is a request's place in the order at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    class: u8,
    /// The weighted slack in steps of `RANK_STEP_MS`.
    step: i64,
}

impl Rank {
    fn new(class: u8, weighted_ms: f64) -> Self {
        Self { class, step: (weighted_ms / RANK_STEP_MS).floor() as i64 }
    }
}

/// `Ticket` identifies a waiting request in its queue. A later request has a higher one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// `Prediction` is what a request finds before it in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// How many requests come first.
    pub position: u32,
    /// The work of these requests, in milliseconds of one engine.
    pub ahead_ms: f64,
    /// The time in which the queue drains so much work, in milliseconds.
    pub wait_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    demand: Demand,
    /// The number of the last change after which the request was checked.
    checked: Option<u64>,
}

/// `WaitingQueue` holds the requests that wait at one instance for one stage of one service.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    next_ticket: u64,
    waiting: BTreeMap<Ticket, Entry>,
    /// The number of the last change of the engines' state.
    change: u64,
    /// How many requests were held since that change.
    held: u32,
    /// How many requests were sent since an overdue one.
    sent_since_overdue: u32,
    drain: Drain,
}

impl WaitingQueue {
    /// Adds a request.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_core::waiting_queues::{Demand, WaitingQueue};
    ///
    /// let long = Demand {
    ///     excess: 0.0,
    ///     since: Millis(0),
    ///     objective: Millis(1_200),
    ///     wait_limit: Millis(4_000),
    ///     work_ms: 450.0,
    ///     load_ms: 450.0,
    /// };
    /// let mut queue = WaitingQueue::default();
    /// let first = queue.join(long, Millis(0));
    /// let urgent = queue.join(Demand { objective: Millis(800), ..long }, Millis(1));
    /// let above_share = queue.join(Demand { excess: 0.5, ..long }, Millis(2));
    /// assert_eq!(queue.next_unchecked(Millis(3)), Some(urgent));
    /// queue.send(urgent, Millis(3));
    /// assert_eq!(queue.next_unchecked(Millis(3)), Some(first));
    /// queue.leave(first, Millis(4));
    /// assert_eq!(queue.next_unchecked(Millis(4)), Some(above_share));
    /// ```
    pub fn join(&mut self, demand: Demand, now: Millis) -> Ticket {
        self.drain.advance(!self.waiting.is_empty(), now);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, Entry { demand, checked: None });
        ticket
    }

    /// Updates the demand of a waiting request, whose work depends on the engine that is chosen for it.
    pub fn update(&mut self, ticket: Ticket, demand: Demand) {
        if let Some(entry) = self.waiting.get_mut(&ticket) {
            entry.demand = demand;
        }
    }

    /// Removes a request that is sent. Returns false if it is not in the queue.
    pub fn send(&mut self, ticket: Ticket, now: Millis) -> bool {
        self.drain.advance(!self.waiting.is_empty(), now);
        let Some(entry) = self.waiting.remove(&ticket) else { return false };
        self.drain.sent_ms += entry.demand.load_ms;
        let is_overdue = entry.demand.has_waited(OVERDUE_SHARE, now);
        self.sent_since_overdue = if is_overdue { 0 } else { self.sent_since_overdue + 1 };
        true
    }

    /// Removes a request that is not sent. Returns false if it is not in the queue.
    pub fn leave(&mut self, ticket: Ticket, now: Millis) -> bool {
        self.drain.advance(!self.waiting.is_empty(), now);
        self.waiting.remove(&ticket).is_some()
    }

    /// Records that the engines' state has changed, so that every waiting request is checked again.
    pub fn record_change(&mut self) {
        self.change += 1;
        self.held = 0;
    }

    /// Returns whether the requests that come first may have been checked before the state that a request now
    /// finds: it is new, or it was itself held after the last change. An engine that is free for it now has
    /// become so without a notice, so the change has to be recorded.
    pub fn is_outdated(&self, ticket: Option<Ticket>) -> bool {
        let entry = ticket.and_then(|ticket| self.waiting.get(&ticket));
        entry.is_none_or(|entry| self.is_checked(entry))
    }

    /// Records that a request was checked against the state after the last change and is held. Returns how
    /// many were held since that change.
    pub fn record_held(&mut self, ticket: Ticket) -> u32 {
        let change = self.change;
        if let Some(entry) = self.waiting.get_mut(&ticket)
            && entry.checked.replace(change) != Some(change)
        {
            self.held += 1;
        }
        self.held
    }

    /// Returns the first request in the order that was not checked since the last change.
    pub fn next_unchecked(&self, now: Millis) -> Option<Ticket> {
        let unchecked = self.waiting.iter().filter(|(_, entry)| !self.is_checked(entry));
        let ranked = unchecked.map(|(ticket, entry)| (self.rank(&entry.demand, now), *ticket));
        ranked.min().map(|(_, ticket)| ticket)
    }

    /// Returns whether an engine must be left to another request: one that comes first in the order, that
    /// could use the engine according to `could_use`, and that was not checked since the last change. One that
    /// was checked and is still held waits for another engine.
    ///
    /// `ticket` is `None` for a request that is not in the queue.
    pub fn is_preceded(
        &self,
        ticket: Option<Ticket>,
        demand: &Demand,
        now: Millis,
        could_use: impl Fn(&Demand) -> bool,
    ) -> bool {
        if demand.is_last_call(now) {
            return false;
        }
        let unchecked = self.ahead(ticket, demand, now).filter(|entry| !self.is_checked(entry));
        unchecked.into_iter().any(|entry| could_use(&entry.demand))
    }

    /// Predicts how long a request waits behind those that come first.
    ///
    /// `expected_rate` is the drain rate that is assumed until one was observed, in milliseconds of engine
    /// work each millisecond.
    pub fn predict(
        &self,
        ticket: Option<Ticket>,
        demand: &Demand,
        expected_rate: f64,
        now: Millis,
    ) -> Prediction {
        let ahead = self.ahead(ticket, demand, now);
        let (position, ahead_ms) =
            ahead.fold((0, 0.0), |(count, ms), entry| (count + 1, ms + entry.demand.load_ms));
        let rate = self.drain.rate(!self.waiting.is_empty(), expected_rate, now);
        Prediction { position, ahead_ms, wait_ms: ahead_ms / rate }
    }

    /// Returns the observed drain rate in milliseconds of engine work each millisecond, `expected_rate` if
    /// none was observed.
    pub fn drain_rate(&self, expected_rate: f64, now: Millis) -> f64 {
        self.drain.rate(!self.waiting.is_empty(), expected_rate, now)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn is_checked(&self, entry: &Entry) -> bool {
        entry.checked == Some(self.change)
    }

    fn rank(&self, demand: &Demand, now: Millis) -> Rank {
        demand.rank(self.sent_since_overdue + 1 >= OVERDUE_TURN, now)
    }

    /// Returns the requests that come before one. A request without a ticket comes after its equals.
    fn ahead(
        &self,
        ticket: Option<Ticket>,
        demand: &Demand,
        now: Millis,
    ) -> impl Iterator<Item = &Entry> {
        let rank = self.rank(demand, now);
        let number = ticket.map_or(u64::MAX, |ticket| ticket.0);
        let ahead = self.waiting.iter().filter(move |(other, entry)| {
            Some(**other) != ticket && (self.rank(&entry.demand, now), other.0) < (rank, number)
        });
        ahead.map(|(_, entry)| entry)
    }
}

/// `Drain` measures the rate at which work leaves a queue while requests wait in it.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    /// The work sent and the time during which requests waited, in milliseconds, both decaying.
    sent_ms: f64,
    waited_ms: f64,
    at: Millis,
}

impl Drain {
    /// Continues the measurement to `now`. `has_waiting` is whether requests waited since the last call.
    fn advance(&mut self, has_waiting: bool, now: Millis) {
        let kept = (-((now - self.at).0 as f64) / DRAIN_MEMORY_MS).exp();
        self.sent_ms *= kept;
        self.waited_ms *= kept;
        if has_waiting {
            self.waited_ms += DRAIN_MEMORY_MS * (1.0 - kept);
        }
        self.at = self.at.max(now);
    }

    fn rate(&self, has_waiting: bool, expected_rate: f64, now: Millis) -> f64 {
        let mut current = *self;
        current.advance(has_waiting, now);
        let sent_ms = current.sent_ms + expected_rate * EXPECTED_WEIGHT_MS;
        (sent_ms / (current.waited_ms + EXPECTED_WEIGHT_MS)).max(MIN_DRAIN_RATE)
    }
}

/// Returns whether a request is rejected because its answer would begin, as predicted, after its caller leaves.
///
/// `predicted_ms` is the predicted time to the first event and may be wrong by a factor of two.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_core::waiting_queues::is_too_late;
///
/// assert!(!is_too_late(3_900.0, Millis(2_000)), "it may be served after all");
/// assert!(is_too_late(4_100.0, Millis(2_000)));
/// ```
pub fn is_too_late(predicted_ms: f64, time_left: Millis) -> bool {
    predicted_ms * CERTAIN_SHARE > time_left.0 as f64
}

/// Returns the time after which a rejected caller should return.
///
/// A similar request is answered in time once the predicted time to the first event, `predicted_ms`, has
/// fallen to the objective. `spread` is a hash by which callers that are rejected together return at different
/// times. The result is at most a third of `time_left`, the time until the caller's deadline: callers honour
/// no more.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_core::waiting_queues::retry_after;
///
/// let soonest = retry_after(1_800.0, Millis(1_200), Millis(6_000), 0);
/// let latest = retry_after(1_800.0, Millis(1_200), Millis(6_000), u64::MAX);
/// assert_eq!((soonest, latest), (Millis(450), Millis(900)));
/// assert_eq!(retry_after(9_000.0, Millis(1_200), Millis(1_500), u64::MAX), Millis(500));
/// ```
pub fn retry_after(predicted_ms: f64, objective: Millis, time_left: Millis, spread: u64) -> Millis {
    /// The latest retry time as a multiple of the time after which a similar request would be on time. Callers
    /// are spread from half of the latest time on.
    const LATEST_FACTOR: f64 = 1.5;
    let needed_ms = (predicted_ms - objective.0 as f64).max(MIN_RETRY.0 as f64 * 2.0);
    let longest = Millis(time_left.0 / RETRY_DIVISOR);
    let latest_ms = (needed_ms * LATEST_FACTOR).min(longest.0 as f64);
    let share = spread as f64 / u64::MAX as f64;
    let spread_ms = latest_ms / 2.0 * (1.0 + share);
    Millis(spread_ms as u64).max(MIN_RETRY).min(longest)
}
