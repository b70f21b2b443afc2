//! Requests that wait for their instance's share of an upstream's request limit.
//!
//! A request that no other upstream can serve waits until a limited one may get it, unless that is too late or
//! more requests wait already than may be sent by then.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use anvilhook_core::orders::Role;
use anvilhook_core::rate_shares::{QueueDecision, QuotaQueue};
use anvilhook_core::units::{Clock, Millis};

use super::Gateway;
use super::requests::Exchange;
use crate::fleets::Upstream;
use crate::request_limits::ShareBasis;
use crate::wires::Wire;

/// The maximum pause between two checks whether a request can be sent. Its upstream may end the limit, and
/// others may become available.
const MAX_PAUSE: Millis = Millis(50);

/// How long a call that must be made, but not at once, waits for a share of a limit.
const MAX_CALL_DELAY: Millis = Millis(5_000);

/// The reason in the answer to a request that only limited upstreams could serve.
pub(super) const LIMITED: &str = "request_limit";

/// `LimitQueues` counts, for each service, the requests that wait for a share of a request limit.
#[derive(Debug, Default)]
pub(super) struct LimitQueues(Mutex<HashMap<Arc<str>, Arc<AtomicU32>>>);

/// `LimitTicket` counts one waiting request until it is dropped.
#[derive(Debug)]
pub(super) struct LimitTicket(Arc<AtomicU32>);

impl LimitQueues {
    fn enter(&self, service: &Arc<str>) -> LimitTicket {
        let mut queues = self.0.lock().expect("no panic under this lock");
        let count = Arc::clone(queues.entry(Arc::clone(service)).or_default());
        count.fetch_add(1, Ordering::AcqRel);
        LimitTicket(count)
    }

    fn len(&self, service: &str) -> u32 {
        let queues = self.0.lock().expect("no panic under this lock");
        queues.get(service).map_or(0, |count| count.load(Ordering::Acquire))
    }
}

impl Drop for LimitTicket {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// `LimitWait` is what happens to a request for which no upstream has been found.
pub(super) enum LimitWait {
    /// It has waited and may be placed again.
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

    /// Waits for a share of a request limit if only limited upstreams could serve a request. Upstreams in
    /// `avoid` don't count. `ticket` holds the request's place in the queue between two waits.
    pub(super) async fn wait_for_share(
        &self,
        exchange: &Exchange,
        avoid: &[Arc<str>],
        ticket: &mut Option<LimitTicket>,
    ) -> LimitWait {
        let Some(queue) = self.quota_queue(exchange, avoid, ticket.is_some()) else {
            return LimitWait::NotLimited;
        };
        match queue.decide(exchange.wait_left(self.now())) {
            QueueDecision::Refuse(pause) => LimitWait::Refuse(pause),
            QueueDecision::Wait => {
                ticket.get_or_insert_with(|| self.inner.limit_queues.enter(&exchange.service));
                let pause = queue.next_in.min(MAX_PAUSE).max(Millis(1));
                tokio::time::sleep(pause.as_duration()).await;
                LimitWait::TryAgain
            }
        }
    }

    fn quota_queue(
        &self,
        exchange: &Exchange,
        avoid: &[Arc<str>],
        is_queued: bool,
    ) -> Option<QuotaQueue> {
        let (now, view) = (self.now(), self.fleet().view());
        let upstreams = view.of_service(&exchange.service).iter();
        let limited = upstreams.filter(|one| {
            let answers = one.role() != Some(Role::Prefill);
            let limit = one.state.request_limit();
            answers && one.is_open(now) && limit.is_limited() && !avoid.contains(&one.entry.id)
        });
        let limits: Vec<_> = limited.map(|one| one.state.request_limit()).collect();
        let next_at = limits.iter().map(|limit| limit.next_at(now)).min()?;
        let waiting = self.inner.limit_queues.len(&exchange.service);
        Some(QuotaQueue {
            next_in: next_at - now,
            waiting: waiting.saturating_sub(u32::from(is_queued)),
            per_s: limits.iter().filter_map(|limit| limit.own_per_s()).sum(),
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
            let pause = (limit.next_at(now) - now).min(MAX_PAUSE).max(Millis(1));
            tokio::time::sleep(pause.as_duration()).await;
        }
        true
    }
}
