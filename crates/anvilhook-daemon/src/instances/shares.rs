//! Adjusts this instance's shares of account limits to the demand that peers publish.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvilhook_core::limits::{AccountDemand, LimitOptions, PeerDemand, ShareAllocator};
use anvilhook_core::names::{AccountName, InstanceName};
use anvilhook_core::resources::AccountSpec;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::Upstreams;
use anvilhook_peer::PeerHandle;
use anvilhook_peer::gossip::{AccountDigest, DemandSection};
use tokio::sync::watch;

use super::tasks::sleep_for;
use crate::front::{Account, Front};
use crate::proxy::Claims;

/// The pause between two adjustments.
const ROUND_PAUSE: Millis = Millis::from_secs(1);

/// `ShareTask` publishes the demand at this instance and sets its shares from the peers' demand.
#[derive(Debug)]
pub(super) struct ShareTask<C, U, K> {
    pub clock: C,
    pub front: Front<C, U, K>,
    pub link: PeerHandle,
    /// All other announced instances.
    pub peers: watch::Sender<Vec<InstanceName>>,
    pub options: LimitOptions,
}

/// `AccountShare` is the allocator of one account's share and the declaration it was created for.
struct AccountShare {
    spec: AccountSpec,
    allocator: ShareAllocator,
}

impl<C: Clock, U: Upstreams, K: Claims> ShareTask<C, U, K> {
    /// Adjusts the shares until it is dropped.
    pub async fn run(self) {
        let mut shares: BTreeMap<AccountName, AccountShare> = BTreeMap::new();
        let mut last_at = self.clock.now();
        loop {
            sleep_for(ROUND_PAUSE).await;
            let now = self.clock.now();
            self.adjust(&mut shares, now, now - last_at);
            last_at = now;
        }
    }

    fn adjust(&self, shares: &mut BTreeMap<AccountName, AccountShare>, now: Millis, span: Millis) {
        let state = self.front.state();
        shares.retain(|name, _| state.accounts().contains_key(name));
        let peers = self.peers.borrow().clone();
        let mut section = DemandSection { hears_all: true, accounts: Vec::new() };
        for (name, account) in state.accounts() {
            let own = account.limiter.take_demand(span);
            let demands = self.demands_of(name, &peers);
            let allocator = self.allocator(shares, account);
            section.hears_all &= allocator.hears_all(&demands, now);
            account.limiter.set_share(allocator.update(&own, &demands, now), now);
            if own != AccountDemand::default() {
                section.accounts.push(digest(name, &own));
            }
        }
        // The busiest accounts come first, since the section may be truncated.
        section.accounts.sort_by(|a, b| b.requests_per_s.total_cmp(&a.requests_per_s));
        self.link.publish_demand(section);
    }

    fn allocator<'a>(
        &self,
        shares: &'a mut BTreeMap<AccountName, AccountShare>,
        account: &Arc<Account>,
    ) -> &'a mut ShareAllocator {
        let fresh = || AccountShare {
            spec: account.spec.clone(),
            allocator: ShareAllocator::new(account.spec.clone(), &self.options),
        };
        let entry = shares.entry(account.name.clone()).or_insert_with(fresh);
        if entry.spec != account.spec {
            *entry = fresh();
        }
        &mut entry.allocator
    }

    /// Returns each peer's last published demand for an account. A peer that does not mention the
    /// account has no demand for it.
    fn demands_of(&self, account: &AccountName, peers: &[InstanceName]) -> Vec<PeerDemand> {
        let view = self.link.view();
        let demand_of = |instance: &InstanceName| {
            let received = view.demand.get(instance);
            let digests = received.iter().flat_map(|received| &received.body.accounts);
            let digest = digests.into_iter().find(|digest| digest.account == *account);
            let demand = digest.map(|digest| AccountDemand {
                requests_per_s: digest.requests_per_s,
                open_requests: u64::from(digest.open_requests),
            });
            PeerDemand {
                instance: instance.clone(),
                demand: demand.unwrap_or_default(),
                received_at: received.map(|received| received.received_at - received.age),
                hears_all: received.is_some_and(|received| received.body.hears_all),
            }
        };
        peers.iter().map(demand_of).collect()
    }
}

fn digest(account: &AccountName, demand: &AccountDemand) -> AccountDigest {
    AccountDigest {
        account: account.clone(),
        requests_per_s: demand.requests_per_s,
        open_requests: u32::try_from(demand.open_requests).unwrap_or(u32::MAX),
    }
}
