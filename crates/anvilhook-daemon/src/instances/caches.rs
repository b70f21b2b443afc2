//! Following the engines' prefix caches.

use std::collections::HashMap;
use std::sync::Arc;

use anvilhook_core::caches::{CacheFollower, CacheSlot};
use anvilhook_core::routing::UpstreamState;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::{EngineControl, Upstreams};
use futures_util::StreamExt;
use futures_util::stream;

use super::tasks::rest;
use crate::front::Front;
use crate::proxy::Claims;

/// How many engines are asked at once.
const ASKED_AT_ONCE: usize = 32;

/// How many engines are asked in a second. With more engines each is asked less often; an older
/// belief of a cache costs time, never a wrong answer.
const ASKED_PER_S: u64 = 64;

/// `CachePoller` keeps up what is believed of the engines' prefix caches.
#[derive(Debug)]
pub(super) struct CachePoller<C, U, K> {
    front: Front<C, U, K>,
    followers: HashMap<CacheSlot, CacheFollower>,
}

impl<C: Clock, U: Upstreams, K: Claims> CachePoller<C, U, K> {
    /// Begins with no knowledge.
    pub fn new(front: Front<C, U, K>) -> Self {
        Self { front, followers: HashMap::new() }
    }

    /// Asks all engines for their newer cache events again and again.
    pub async fn poll<E: EngineControl>(mut self, control: E, pause: Millis) {
        loop {
            self.poll_once(&control).await;
            let engines = self.followers.len() as u64;
            rest(pause.max(Millis(engines * 1_000 / ASKED_PER_S))).await;
        }
    }

    async fn poll_once<E: EngineControl>(&mut self, control: &E) {
        let state = self.front.state();
        let engines = state.upstreams().values();
        let engines: Vec<(CacheSlot, Arc<UpstreamState>)> =
            engines.filter_map(|engine| Some((engine.cache_slot()?, Arc::clone(engine)))).collect();
        // A slot that no engine has any more begins anew with its next one.
        self.followers.retain(|slot, _| engines.iter().any(|(known, _)| known == slot));

        let asked: Vec<_> = engines
            .into_iter()
            .map(|(slot, engine)| {
                let follower = self.followers.remove(&slot);
                (slot, engine, follower.unwrap_or_else(|| CacheFollower::new(slot)))
            })
            .collect();
        let prefixes = self.front.prefixes();
        let asking = stream::iter(asked).map(|(slot, engine, mut follower)| async move {
            match control.cache_events(engine.address(), follower.next_after()).await {
                Ok(page) => follower.apply(&page, prefixes),
                // Not knowing a cache costs time, never a wrong answer.
                Err(err) => log::debug!(upstream:% = engine.name(); "no cache events: {err}"),
            }
            (slot, follower)
        });
        let answered: Vec<_> = asking.buffer_unordered(ASKED_AT_ONCE).collect().await;
        self.followers.extend(answered);
    }
}
