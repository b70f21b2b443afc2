//! Follows the engines' prefix caches.

use std::collections::HashMap;
use std::sync::Arc;

use anvilhook_core::caches::{CacheFollower, CacheSlot};
use anvilhook_core::routing::UpstreamState;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::{EngineControl, Upstreams};
use futures_util::StreamExt;
use futures_util::stream;

use super::tasks::sleep_for;
use crate::front::Front;
use crate::proxy::Claims;

/// The maximum number of engines polled at once.
const MAX_CONCURRENT_POLLS: usize = 32;

/// The maximum number of engines polled per second. With more engines, each is polled less often;
/// an outdated estimate of a cache costs time but never gives a wrong answer.
const MAX_POLLS_PER_S: u64 = 64;

/// `CachePoller` keeps the estimate of the engines' prefix caches up to date.
#[derive(Debug)]
pub(super) struct CachePoller<C, U, K> {
    front: Front<C, U, K>,
    followers: HashMap<CacheSlot, CacheFollower>,
}

impl<C: Clock, U: Upstreams, K: Claims> CachePoller<C, U, K> {
    /// Creates a poller that follows no cache yet.
    pub fn new(front: Front<C, U, K>) -> Self {
        Self { front, followers: HashMap::new() }
    }

    /// Polls all engines for new cache events until it is dropped.
    pub async fn poll<E: EngineControl>(mut self, control: E, pause: Millis) {
        loop {
            self.poll_once(&control).await;
            let engines = self.followers.len() as u64;
            sleep_for(pause.max(Millis(engines * 1_000 / MAX_POLLS_PER_S))).await;
        }
    }

    async fn poll_once<E: EngineControl>(&mut self, control: &E) {
        let state = self.front.state();
        let engines = state.upstreams().values();
        let engines: Vec<(CacheSlot, Arc<UpstreamState>)> =
            engines.filter_map(|engine| Some((engine.cache_slot()?, Arc::clone(engine)))).collect();
        // The follower of a slot that no engine has any more is dropped, so that the slot's next
        // engine is followed from the start.
        self.followers.retain(|slot, _| engines.iter().any(|(known, _)| known == slot));

        let polled: Vec<_> = engines
            .into_iter()
            .map(|(slot, engine)| {
                let follower = self.followers.remove(&slot);
                (slot, engine, follower.unwrap_or_else(|| CacheFollower::new(slot)))
            })
            .collect();
        let prefixes = self.front.prefixes();
        let polls = stream::iter(polled).map(|(slot, engine, mut follower)| async move {
            match control.cache_events(engine.address(), follower.next_after()).await {
                Ok(page) => follower.apply(&page, prefixes),
                // A missing estimate of a cache costs time but never gives a wrong answer.
                Err(err) => log::debug!(upstream:% = engine.name(); "no cache events: {err}"),
            }
            (slot, follower)
        });
        let answered: Vec<_> = polls.buffer_unordered(MAX_CONCURRENT_POLLS).collect().await;
        self.followers.extend(answered);
    }
}
