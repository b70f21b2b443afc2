//! Computes the instances' shares of one account's limits.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::LimitOptions;
use crate::names::InstanceName;
use crate::resources::AccountSpec;
use crate::units::Millis;

/// The part of a limit that is divided equally regardless of demand, so that an instance need not refuse
/// an account's first requests.
const EQUAL_SHARE: f64 = 0.2;

/// `AccountDemand` is the demand of an account at one instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AccountDemand {
    /// Requests per second, admitted or not.
    pub requests_per_s: f64,
    /// Requests that are currently open.
    pub open_requests: u64,
}

/// `AccountShare` is one instance's share of an account's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountShare {
    /// Requests admitted per second.
    pub requests_per_s: f64,
    /// Requests open at once.
    pub open_requests: u64,
}

impl AccountShare {
    /// Returns an equal share of the limits among a number of instances. Open requests are rounded
    /// down, but to no less than one.
    pub fn equal(spec: &AccountSpec, instances: usize) -> Self {
        let instances = instances.max(1) as u64;
        Self {
            requests_per_s: f64::from(spec.requests_per_s) / instances as f64,
            open_requests: (u64::from(spec.open_requests) / instances)
                .max(u64::from(spec.open_requests.min(1))),
        }
    }

    /// Returns the smaller value of each limit.
    pub fn min(self, other: Self) -> Self {
        Self {
            requests_per_s: self.requests_per_s.min(other.requests_per_s),
            open_requests: self.open_requests.min(other.open_requests),
        }
    }
}

/// `PeerDemand` is the last digest of one instance's demand for an account.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerDemand {
    /// The instance.
    pub instance: InstanceName,
    /// The demand at that instance.
    pub demand: AccountDemand,
    /// When the digest was received; `None` if it never was.
    pub received_at: Option<Millis>,
    /// Whether that instance reported that it receives the digests of all others.
    pub hears_all: bool,
}

/// `ShareAllocator` computes one instance's share of one account's limits.
///
/// All instances use the same function of the same digests, so their shares add up to the limit while
/// they agree. Where they don't agree yet, two rules limit the sum: a share shrinks at once but grows only
/// after `LimitOptions::settle`; and as long as any instance misses the digests of another, none uses
/// more than an equal share.
#[derive(Debug)]
pub struct ShareAllocator {
    spec: AccountSpec,
    options: LimitOptions,
    // Shares computed within the last `settle`, the oldest first.
    recent: VecDeque<(Millis, AccountShare)>,
}

impl ShareAllocator {
    /// Creates an allocator that has received no digests.
    pub fn new(spec: AccountSpec, options: &LimitOptions) -> Self {
        Self { spec, options: *options, recent: VecDeque::new() }
    }

    /// Returns whether this instance receives the digests of all listed peers, for its own digest.
    pub fn hears_all(&self, peers: &[PeerDemand], now: Millis) -> bool {
        let fresh = |received_at: Millis| now - received_at <= self.options.stale_after;
        peers.iter().all(|peer| peer.received_at.is_some_and(fresh))
    }

    /// Computes the share that may be used from now on. `peers` are all other listed instances.
    pub fn update(
        &mut self,
        own: &AccountDemand,
        peers: &[PeerDemand],
        now: Millis,
    ) -> AccountShare {
        let instances = peers.len() + 1;
        let mut share = self.by_demand(own, peers);
        let agreed = self.hears_all(peers, now) && peers.iter().all(|peer| peer.hears_all);
        if !agreed {
            share = share.min(AccountShare::equal(&self.spec, instances));
        }
        let settle = self.options.settle;
        self.recent.push_back((now, share));
        // The newest entry from before the window stays, since it was current when the window began.
        while self.recent.len() > 1 && self.recent[1].0 + settle <= now {
            self.recent.pop_front();
        }
        self.recent.iter().fold(share, |least, (_, share)| least.min(*share))
    }

    fn by_demand(&self, own: &AccountDemand, peers: &[PeerDemand]) -> AccountShare {
        let instances = (peers.len() + 1) as f64;
        let rates = peers.iter().map(|peer| peer.demand.requests_per_s);
        let opens = peers.iter().map(|peer| peer.demand.open_requests as f64);
        let rate_sum = own.requests_per_s + rates.sum::<f64>();
        let open_sum = own.open_requests as f64 + opens.sum::<f64>();
        let part = |own: f64, sum: f64| {
            let by_demand = if sum > 0.0 { own / sum } else { 1.0 / instances };
            EQUAL_SHARE / instances + (1.0 - EQUAL_SHARE) * by_demand
        };
        let open_part = part(own.open_requests as f64, open_sum);
        AccountShare {
            requests_per_s: f64::from(self.spec.requests_per_s)
                * part(own.requests_per_s, rate_sum),
            // Rounding up could exceed the limit in sum, and rounding to zero would lock the account
            // out, so one open request is always allowed.
            open_requests: ((f64::from(self.spec.open_requests) * open_part) as u64)
                .max(u64::from(self.spec.open_requests.min(1))),
        }
    }
}
