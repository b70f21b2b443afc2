//! The choice of the instances through which upstreams are reached.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use anvilhook_core::paths::{Forwarder, forwarders_in_order};
use anvilhook_core::units::Millis;

use crate::hashes::hash_of;
use crate::peers::Peers;

/// The maximum number of forwarders that one call is sent to.
const MAX_FORWARDERS: usize = 3;

/// How long an instance that did not forward a call is passed over at first, and at most. The time doubles with
/// each further failure.
const FIRST_PAUSE: Millis = Millis(1_000);
const MAX_DOUBLINGS: u32 = 3;

/// The number of remembered failures above which old ones are removed.
const MAX_FAILURES: usize = 2_048;

/// `Scope` is which calls a forwarder has not forwarded.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Scope {
    /// Those to all upstreams.
    All,
    /// Those to the upstream with this hash of its id and start.
    Upstream(u32),
}

/// `Failures` are the consecutive failures of one forwarder.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    /// Until when the forwarder is passed over.
    until: Millis,
    is_near: bool,
}

/// `Forwarders` remembers which instances have lately not forwarded calls: they are cut from upstreams as well,
/// have terminated, or run a build that does not forward.
#[derive(Debug, Default)]
pub(crate) struct Forwarders {
    failed: Mutex<HashMap<(SocketAddr, Scope), Failures>>,
}

impl Forwarders {
    fn lock(&self) -> MutexGuard<'_, HashMap<(SocketAddr, Scope), Failures>> {
        self.failed.lock().expect("no panic under this lock")
    }

    /// Returns the addresses of the instances to try for an upstream, in order. `key` spreads calls over them.
    pub fn choose(&self, peers: &Peers, upstream: u32, key: u64, now: Millis) -> Vec<SocketAddr> {
        let failed = self.lock();
        let scopes = [Scope::All, Scope::Upstream(upstream)];
        let is_passed_over = |address: &SocketAddr| {
            let mut known = scopes.iter().filter_map(|scope| failed.get(&(*address, *scope)));
            known.any(|one| now < one.until)
        };
        let of_this = failed.iter().filter(|((_, scope), _)| scopes.contains(scope));
        let failed_near = of_this.filter(|(_, one)| one.is_near && now < one.until).count();
        let usable = peers.forwarders(now).into_iter().filter(|(one, _)| !is_passed_over(one));
        let usable = usable.map(|(address, is_near)| Forwarder {
            address,
            is_near,
            hash: hash_of(&(key, address)),
        });
        forwarders_in_order(usable.collect(), failed_near, MAX_FORWARDERS)
    }

    /// Records that an instance has forwarded a call to an upstream.
    pub fn record_success(&self, address: SocketAddr, upstream: u32) {
        let mut failed = self.lock();
        failed.remove(&(address, Scope::All));
        failed.remove(&(address, Scope::Upstream(upstream)));
    }

    /// Records that an instance has not forwarded a call, for a reason that concerns the calls of a scope.
    pub fn record_failure(&self, address: SocketAddr, scope: Scope, is_near: bool, now: Millis) {
        let mut failed = self.lock();
        if failed.len() >= MAX_FAILURES {
            failed.retain(|_, one| now < one.until);
        }
        let one = failed.entry((address, scope)).or_default();
        // Calls that were under way at the first failure show nothing new.
        if now >= one.until {
            let length = Millis(FIRST_PAUSE.0 << one.count.min(MAX_DOUBLINGS));
            *one = Failures { count: one.count + 1, until: now + length, is_near };
        }
    }
}
