//! Seeds the cache index of a new instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use tokio::net::UdpSocket;

use super::PUBLISH_INTERVAL;
use super::digests::{CachedPrompt, Digest};
use super::publishing::send;
use crate::events::{UpstreamEvent, emit};
use crate::prompts::Part;
use crate::relay::{Gateway, MIN_PUBLISHED_TOKENS};
use crate::wires::Wire;

/// The number of parts in one digest for a new instance.
const PARTS_PER_DIGEST: usize = 80;

/// How long a new instance waits for digests before it asks the engines for their cache contents.
const SEED_DELAY: Duration = Duration::from_millis(150);

/// The same in zoned mode, where the zone leaders must first receive each other's digests.
const ZONED_SEED_DELAY: Duration = Duration::from_millis(900);

/// Sends a new instance the estimated contents of the caches. Otherwise it would have engines read
/// again each shared part that its requests contain.
pub(super) fn send_caches<W: Wire, C: Clock>(
    socket: &UdpSocket,
    to: SocketAddr,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let view = gateway.fleet().view();
    for (engine, parts) in gateway.caches().shared_parts(MIN_PUBLISHED_TOKENS) {
        let Some(upstream) = view.get(&engine) else { continue };
        for parts in parts.chunks(PARTS_PER_DIGEST) {
            let parts = parts.iter().map(|part| (part.id, part.tokens)).collect();
            let cached = vec![CachedPrompt { engine: upstream.hash, parts, own_tokens: 0 }];
            let digest = Digest { cached, ..Digest::partial(gateway.peers(), now) };
            send(&digest, &[to], socket, gateway);
        }
    }
}

/// Reads the contents of the engines' caches once, if no instance can send them.
///
/// After the loss of all instances the engines still have their caches. One instance asks them and
/// publishes the result; a call to each engine by each instance would delay the engines.
pub async fn seed_caches<W: Wire, C: Clock>(gateway: Gateway<W, C>, clock: C) {
    while !gateway.is_ready() {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
    let peers = gateway.peers();
    tokio::time::sleep(if peers.is_full_mesh() { SEED_DELAY } else { ZONED_SEED_DELAY }).await;
    if peers.has_cache_seed() || !peers.is_first(clock.now()) {
        return;
    }
    let view = gateway.fleet().view();
    let engines = view.all().filter(|upstream| upstream.role() == Some(Role::Prefill));
    let readings = engines.map(async |engine| (engine, gateway.read_cache(engine).await));
    let mut caches = futures_util::future::join_all(readings).await;
    if !peers.is_full_mesh() {
        retain_shared(&mut caches);
    }
    for (engine, parts) in &caches {
        gateway.record_parts(engine, parts);
    }
    emit(&UpstreamEvent::CachesRead { parts: caches.iter().map(|(_, parts)| parts.len()).sum() });
}

/// Retains only the parts that more than one engine has. The rest are nearly all prompts' own
/// parts, which are of no use to other requests. Sent to each of many peers, they would fill a slow
/// link for seconds, and requests queued behind them would be forwarded for callers that have left
/// long before.
fn retain_shared<E>(caches: &mut [(E, Vec<Part>)]) {
    let mut holders: HashMap<u64, usize> = HashMap::new();
    for part in caches.iter().flat_map(|(_, parts)| parts) {
        *holders.entry(part.id).or_default() += 1;
    }
    for (_, parts) in caches {
        parts.retain(|part| holders[&part.id] > 1);
    }
}
