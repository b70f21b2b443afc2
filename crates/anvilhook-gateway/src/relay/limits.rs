//! Requests that wait for their instance's share of an upstream's request limit.
//!
//! Requests that no other upstream can serve get the shares in the order of their arrival. One that can't get a
//! share in time is refused at once.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};

use anvilhook_core::orders::Role;
use anvilhook_core::rate_shares::{QueueDecision, QuotaQueue};
use anvilhook_core::units::{Clock, Millis};

use super::Gateway;
use super::prompts::Job;
use super::requests::Exchange;
use crate::fleets::Upstream;
use crate::placements::{Generator, Plan, Request};
use crate::request_limits::ShareBasis;
use crate::wires::Wire;

/// The minimum and maximum pause between two checks whether a request can be sent. Its upstream may end the
/// limit, and others may become available.
const MIN_PAUSE: Millis = Millis(20);
const MAX_PAUSE: Millis = Millis(50);

/// How long a call that must be made, but not at once, waits for a share of a limit.
const MAX_CALL_DELAY: Millis = Millis(5_000);

/// The reason in the answer to a request that only limited upstreams could serve.
pub(super) const LIMITED: &str = "request_limit";

/// `LimitQueues` holds, for each service, the requests that wait for a share of a request limit.
#[derive(Clone, Debug, Default)]
pub(super) struct LimitQueues(Arc<Mutex<HashMap<Arc<str>, LimitQueue>>>);

/// `LimitQueue` is the queue of one service.
#[derive(Debug, Default)]
struct LimitQueue {
    next_number: u64,
    /// The numbers of the waiting requests; a lower one comes first.
    waiting: BTreeSet<u64>,
    /// The requests whose prompts are being read, and which need a share when they are sent to generate. They
    /// come before all that wait.
    reading: u32,
}

/// `LimitTicket` is a request's place in a queue until it is dropped.
#[derive(Debug)]
pub(super) struct LimitTicket {
    queues: LimitQueues,
    service: Arc<str>,
    /// The number of a waiting request; `None` if its prompt is being read.
    number: Option<u64>,
}

/// `ShareWait` is what one request has done to get a share of a request limit.
#[derive(Debug, Default)]
pub(super) struct ShareWait {
    /// The request's place in the queue between two waits.
    ticket: Option<LimitTicket>,
    /// Whether it has been placed again, as a share was left, since it last waited.
    is_placed_again: bool,
}

impl ShareWait {
    /// Creates the state of a request that has a place in the queue.
    pub fn with_ticket(ticket: LimitTicket) -> Self {
        Self { ticket: Some(ticket), is_placed_again: false }
    }
}

impl LimitQueues {
    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, LimitQueue>> {
        self.0.lock().expect("no panic under this lock")
    }

    fn wait(&self, service: &Arc<str>) -> LimitTicket {
        let mut queues = self.lock();
        let queue = queues.entry(Arc::clone(service)).or_default();
        let number = queue.next_number;
        queue.next_number += 1;
        queue.waiting.insert(number);
        LimitTicket { queues: self.clone(), service: Arc::clone(service), number: Some(number) }
    }

    /// Records that the prompt of a request is being read.
    pub fn begin_reading(&self, service: &Arc<str>) -> LimitTicket {
        self.lock().entry(Arc::clone(service)).or_default().reading += 1;
        LimitTicket { queues: self.clone(), service: Arc::clone(service), number: None }
    }

    /// Returns how many requests come before one with a ticket, or before a new one.
    fn ahead(&self, service: &str, ticket: Option<&LimitTicket>) -> u32 {
        let queues = self.lock();
        let Some(queue) = queues.get(service) else { return 0 };
        match ticket.map(|ticket| ticket.number) {
            Some(Some(number)) => queue.reading + queue.waiting.range(..number).count() as u32,
            Some(None) => 0,
            None => queue.reading + queue.waiting.len() as u32,
        }
    }
}

impl Drop for LimitTicket {
    fn drop(&mut self) {
        let mut queues = self.queues.lock();
        let Some(queue) = queues.get_mut(&self.service) else { return };
        match self.number {
            Some(number) => {
                queue.waiting.remove(&number);
            }
            None => queue.reading -= 1,
        }
    }
}

/// `LimitWait` is what happens to a request for which no upstream has been found.
pub(super) enum LimitWait {
    /// It is to be placed again.
    TryAgain,
    /// It is refused; a repeat can be sent after this time.
    Refuse(Millis),
    /// No request limit is the cause.
    NotLimited,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Returns what this instance's share of a request limit depends on now.
    pub(super) fn share_basis(&self) -> ShareBasis {
        let now = self.now();
        ShareBasis { share: self.peers().rate_share(), now, time: self.usage().time(now) }
    }

    /// Returns the upstreams that a request must not be sent to: those in `avoid`, and those with a request
    /// limit if requests that come before this one need what is left of this instance's shares.
    pub(super) fn avoided(
        &self,
        exchange: &Exchange,
        avoid: &[Arc<str>],
        wait: &ShareWait,
    ) -> Vec<Arc<str>> {
        let limited = self.limited_upstreams(exchange, avoid);
        let mut avoided = avoid.to_vec();
        if limited.is_empty() {
            return avoided;
        }
        let left = shares_left(&limited, self.now());
        if self.inner.limit_queues.ahead(&exchange.service, wait.ticket.as_ref()) >= left {
            avoided.extend(limited.iter().map(|one| Arc::clone(&one.entry.id)));
        }
        avoided
    }

    /// Returns the upstreams with a request limit that could answer a request.
    fn limited_upstreams(&self, exchange: &Exchange, avoid: &[Arc<str>]) -> Vec<Arc<Upstream>> {
        let (now, view) = (self.now(), self.fleet().view());
        let limited = view.of_service(&exchange.service).iter().filter(|one| {
            one.state.request_limit().is_limited()
                && one.role() != Some(Role::Prefill)
                && one.is_open(now)
                && exchange.may_use(one)
                && !avoid.contains(&one.entry.id)
        });
        limited.cloned().collect()
    }

    /// Plans a request whose turn it is to use the shares of request limits, or without them.
    pub(super) fn plan_in_turn(
        &self,
        exchange: &Exchange,
        job: &Job<'_>,
        wait: &ShareWait,
    ) -> Option<Plan> {
        let avoid = self.avoided(exchange, job.avoid, wait);
        let req = Request { avoid: &avoid, ..job.request(exchange) };
        self.with_placer(exchange, |placer| placer.plan(&req))
    }

    /// Returns the time until an engine that only reads prompts accepts a request, if all of them have
    /// exhausted request limits and waiting costs less than reading the prompt at the generating engine.
    pub(super) fn reader_worth_waiting_for(
        &self,
        exchange: &Exchange,
        generator: &Generator,
    ) -> Option<Millis> {
        let (now, view) = (self.now(), self.fleet().view());
        let readers = view.of_service(&exchange.service).iter();
        let readers = readers.filter(|one| {
            one.role() == Some(Role::Prefill) && one.is_open(now) && exchange.may_use(one)
        });
        let next_at = readers.map(|one| one.state.request_limit().next_at(now)).min()?;
        let next_in = next_at - now;
        let waiting = exchange.waiting(now);
        let is_cheaper = (next_in.0 as f64) < generator.direct_cost_ms - generator.reading_ms;
        let is_in_time = (waiting.age + next_in).0 <= waiting.objective.0 / 2;
        (next_in > Millis::ZERO && is_cheaper && is_in_time).then_some(next_in)
    }

    /// Waits for a share of a request limit if only limited upstreams could serve a request. Upstreams in
    /// `avoid` don't count. `wait` is kept from one wait of the request to the next.
    pub(super) async fn wait_for_share(
        &self,
        exchange: &Exchange,
        avoid: &[Arc<str>],
        wait: &mut ShareWait,
    ) -> LimitWait {
        let limited = self.limited_upstreams(exchange, avoid);
        let Some(queue) = self.quota_queue(exchange, &limited, wait.ticket.as_ref()) else {
            return LimitWait::NotLimited;
        };
        let now = self.now();
        if queue.ahead < shares_left(&limited, now) {
            // A turn may have begun since the request was placed. If it has no upstream with a share left either,
            // something else is in its way.
            return match std::mem::replace(&mut wait.is_placed_again, true) {
                true => LimitWait::NotLimited,
                false => LimitWait::TryAgain,
            };
        }
        wait.is_placed_again = false;
        let waiting = exchange.waiting(now);
        match queue.decide(exchange.wait_left(now), waiting.objective - waiting.age) {
            QueueDecision::Refuse(pause) => LimitWait::Refuse(pause),
            QueueDecision::Wait => {
                let queues = &self.inner.limit_queues;
                wait.ticket.get_or_insert_with(|| queues.wait(&exchange.service));
                pause_for(queue.next_in).await;
                LimitWait::TryAgain
            }
        }
    }

    fn quota_queue(
        &self,
        exchange: &Exchange,
        limited: &[Arc<Upstream>],
        ticket: Option<&LimitTicket>,
    ) -> Option<QuotaQueue> {
        let now = self.now();
        let limits = || limited.iter().map(|one| one.state.request_limit());
        let next_at = limits().map(|limit| limit.next_at(now)).min()?;
        Some(QuotaQueue {
            next_in: next_at - now,
            ahead: self.inner.limit_queues.ahead(&exchange.service, ticket),
            per_s: limits().filter_map(|limit| limit.own_per_s()).sum(),
        })
    }

    /// Takes a share of an upstream's request limit for a call that must be made, but not at once. Returns
    /// false if none was available in time.
    pub(super) async fn take_share_later(&self, upstream: &Upstream) -> bool {
        let until = self.now() + MAX_CALL_DELAY;
        let limit = upstream.state.request_limit();
        while !limit.try_take(self.share_basis()) {
            let now = self.now();
            if now >= until {
                return false;
            }
            pause_for(limit.next_at(now) - now).await;
        }
        true
    }
}

/// Returns how many requests this instance may send to limited upstreams in the current turn.
fn shares_left(limited: &[Arc<Upstream>], now: Millis) -> u32 {
    limited.iter().filter_map(|one| one.state.request_limit().left(now)).sum()
}

/// Waits for a time, but not so long that a change is noticed late.
pub(super) async fn pause_for(time: Millis) {
    tokio::time::sleep(time.clamp(MIN_PAUSE, MAX_PAUSE).as_duration()).await;
}
