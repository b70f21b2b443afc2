//! What a new instance learns of the engines' caches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use tokio::net::UdpSocket;

use super::TELL_EVERY;
use super::digests::{CachedPrompt, Digest};
use super::telling::send;
use crate::events::{Event, emit};
use crate::prompts::Part;
use crate::relay::{Gateway, MIN_PUBLISHED_TOKENS};
use crate::wires::Wire;

/// The parts in one digest for a new instance.
const PARTS_A_DIGEST: usize = 80;

/// How long a new instance listens before it asks the engines what they hold.
const SEED_DELAY: Duration = Duration::from_millis(150);

/// The same among many instances, where those that tell for their availability zones must first hear each
/// other.
const SEED_DELAY_OF_MANY: Duration = Duration::from_millis(900);

/// Tells a new instance what the caches are believed to hold. It would otherwise have each shared
/// part read again that it meets.
pub(super) fn tell_caches<W: Wire, C: Clock>(
    socket: &UdpSocket,
    to: SocketAddr,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let view = gateway.fleet().view();
    for (engine, parts) in gateway.caches().shared_parts(MIN_PUBLISHED_TOKENS) {
        let Some(upstream) = view.get(&engine) else { continue };
        for parts in parts.chunks(PARTS_A_DIGEST) {
            let parts = parts.iter().map(|part| (part.id, part.tokens)).collect();
            let cached = vec![CachedPrompt { engine: upstream.digest, parts, own_tokens: 0 }];
            let digest = Digest { cached, ..Digest::partial(gateway.peers(), now) };
            send(&digest, &[to], socket, gateway);
        }
    }
}

/// Reads once what the engines' caches hold, if no instance can tell.
///
/// After the loss of all instances the engines still hold what they have read. One instance asks
/// them and tells the others; a call to each engine by each instance would hold the engines up.
pub async fn seed_caches<W: Wire, C: Clock>(gateway: Gateway<W, C>, clock: C) {
    while !gateway.is_ready() {
        tokio::time::sleep(TELL_EVERY).await;
    }
    let peers = gateway.peers();
    tokio::time::sleep(if peers.is_full_mesh() { SEED_DELAY } else { SEED_DELAY_OF_MANY }).await;
    if peers.was_told() || !peers.is_first(clock.now()) {
        return;
    }
    let view = gateway.fleet().view();
    let engines = view.all().filter(|upstream| upstream.role() == Some(Role::Prefill));
    let readings = engines.map(async |engine| (engine, gateway.read_cache(engine).await));
    let mut caches = futures_util::future::join_all(readings).await;
    if !peers.is_full_mesh() {
        keep_shared(&mut caches);
    }
    for (engine, parts) in &caches {
        gateway.record_parts(engine, parts);
    }
    emit(&Event::CachesRead { parts: caches.iter().map(|(_, parts)| parts.len()).sum() });
}

/// Keeps only the parts that more than one engine holds. The rest are nearly all prompts' own parts,
/// of no use to other requests; told to each of many peers, they would fill a slow link for seconds,
/// and requests that wait behind them would be sent on for callers that have left long before.
fn keep_shared<E>(caches: &mut [(E, Vec<Part>)]) {
    let mut holders: HashMap<u64, usize> = HashMap::new();
    for part in caches.iter().flat_map(|(_, parts)| parts) {
        *holders.entry(part.id).or_default() += 1;
    }
    for (_, parts) in caches {
        parts.retain(|part| holders[&part.id] > 1);
    }
}
