//! The shares of account limits, moved by the demand that peers tell of.

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

use super::tasks::rest;
use crate::front::{Account, Front};
use crate::proxy::Claims;

/// The pause between two rounds.
const ROUND_PAUSE: Millis = Millis::from_secs(1);

/// `ShareTask` tells peers of the demand met here and takes shares by theirs.
#[derive(Debug)]
pub(super) struct ShareTask<C, U, K> {
    pub clock: C,
    pub front: Front<C, U, K>,
    pub link: PeerHandle,
    /// All other announced instances.
    pub peers: watch::Sender<Vec<InstanceName>>,
    pub options: LimitOptions,
}

/// `Kept` is the keeper of one account's share, with what it was made for.
struct Kept {
    spec: AccountSpec,
    keeper: ShareAllocator,
}

impl<C: Clock, U: Upstreams, K: Claims> ShareTask<C, U, K> {
    /// Moves shares again and again.
    pub async fn move_shares(self) {
        let mut kept: BTreeMap<AccountName, Kept> = BTreeMap::new();
        let mut last_at = self.clock.now();
        loop {
            rest(ROUND_PAUSE).await;
            let now = self.clock.now();
            self.round(&mut kept, now, now - last_at);
            last_at = now;
        }
    }

    fn round(&self, kept: &mut BTreeMap<AccountName, Kept>, now: Millis, span: Millis) {
        let state = self.front.state();
        kept.retain(|name, _| state.accounts().contains_key(name));
        let peers = self.peers.borrow().clone();
        let mut section = DemandSection { hears_all: true, accounts: Vec::new() };
        for (name, account) in state.accounts() {
            let own = account.limiter.take_demand(span);
            let demands = self.demands_of(name, &peers);
            let keeper = self.keeper(kept, account);
            section.hears_all &= keeper.hears_all(&demands, now);
            account.limiter.set_share(keeper.update(&own, &demands, now), now);
            if own != AccountDemand::default() {
                section.accounts.push(digest(name, &own));
            }
        }
        // Where not all fit, the busiest accounts matter most.
        section.accounts.sort_by(|a, b| b.requests_per_s.total_cmp(&a.requests_per_s));
        self.link.publish_demand(section);
    }

    fn keeper<'a>(
        &self,
        kept: &'a mut BTreeMap<AccountName, Kept>,
        account: &Arc<Account>,
    ) -> &'a mut ShareAllocator {
        let fresh = || Kept {
            spec: account.spec.clone(),
            keeper: ShareAllocator::new(account.spec.clone(), &self.options),
        };
        let entry = kept.entry(account.name.clone()).or_insert_with(fresh);
        if entry.spec != account.spec {
            *entry = fresh();
        }
        &mut entry.keeper
    }

    /// Returns what each peer last said of an account. One that does not mention it has no demand.
    fn demands_of(&self, account: &AccountName, peers: &[InstanceName]) -> Vec<PeerDemand> {
        let news = self.link.view();
        let demand_of = |instance: &InstanceName| {
            let heard = news.demand.get(instance);
            let digests = heard.iter().flat_map(|heard| &heard.body.accounts);
            let digest = digests.into_iter().find(|digest| digest.account == *account);
            let demand = digest.map(|digest| AccountDemand {
                requests_per_s: digest.requests_per_s,
                open_requests: u64::from(digest.open_requests),
            });
            PeerDemand {
                instance: instance.clone(),
                demand: demand.unwrap_or_default(),
                received_at: heard.map(|heard| heard.received_at - heard.age),
                hears_all: heard.is_some_and(|heard| heard.body.hears_all),
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
