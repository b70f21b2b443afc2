//! What instances tell each other: loads and caches of engines, in datagrams.
//!
//! Everything told is a hint. An instance that hears nothing goes on by what it knows itself, and
//! serves worse, never wrongly.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::events::{Event, emit};
use crate::fleets::{PeerLoad, digest_of};
use crate::prompts::Part;
use crate::relay::Gateway;
use crate::tables::{Table, Write, Written};
use crate::wires::Wire;

/// The pause between two digests.
const TELL_EVERY: Duration = Duration::from_millis(50);

/// How many ticks pass until a digest is sent though nothing is in flight.
const IDLE_TICKS: u32 = 10;

/// The most peers that one digest goes to. Beyond, each tick goes to others.
const MAX_FANOUT: usize = 12;

/// How long a peer that is not heard counts as running.
const PEER_AGE: Millis = Millis(2_000);

/// The most bytes of a digest, below what a link takes in one piece.
const MAX_DIGEST_BYTES: usize = 1_400;

/// The least size of a part that a new instance is told of, in tokens.
const TOLD_TOKENS: u32 = 1_000;

/// The parts in one digest for a new instance.
const PARTS_A_DIGEST: usize = 80;

/// How long a new instance listens before it asks the engines what they hold.
const SEED_DELAY: Duration = Duration::from_millis(150);

/// The table of the instances' addresses.
const PEER_TABLE: &str = "anvilhook_instances";

/// The pause after a failed call to the table.
const TABLE_PAUSE: Duration = Duration::from_millis(700);

/// `EngineLoad` is what an instance has in flight at an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The short form of the engine's id.
    pub engine: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompts being read, in milliseconds of work.
    pub reading_ms: u32,
    /// KV caches being fetched, in milliseconds of the engine's link.
    pub fetching_ms: u32,
}

/// `CachedPrompt` is a prompt that an engine now keeps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedPrompt {
    /// The short form of the engine's id.
    pub engine: u32,
    /// The prompt's parts, with their lengths in tokens.
    pub parts: Vec<(u64, u32)>,
}

/// `Digest` is what one instance tells another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's process, a number of its own choice.
    pub from: u64,
    /// The engines at which it has something in flight.
    pub loads: Vec<EngineLoad>,
    /// What engines have read since the last digest.
    pub cached: Vec<CachedPrompt>,
    /// Whether it tells of caches only, and nothing of loads.
    pub is_partial: bool,
    /// Engines that change their role, with the time that it still takes in milliseconds.
    pub away: Vec<(u32, u32)>,
}

/// `Peer` is another instance.
#[derive(Clone, Copy, Debug)]
struct Peer {
    number: u64,
    heard_at: Millis,
}

/// `Peers` is the other instances that are known.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<HashMap<SocketAddr, Option<Peer>>>,
    was_told: AtomicBool,
}

impl Peers {
    /// Returns whether a peer has told what the caches hold.
    fn was_told(&self) -> bool {
        self.was_told.load(Ordering::Acquire)
    }

    /// Adds an address at which an instance may run.
    pub fn add(&self, address: SocketAddr) {
        self.known.lock().expect("no panic under this lock").entry(address).or_insert(None);
    }

    /// Notes that an instance was heard. Returns whether it is a new one.
    fn hear(&self, address: SocketAddr, number: u64, now: Millis) -> bool {
        let peer = Peer { number, heard_at: now };
        let mut known = self.known.lock().expect("no panic under this lock");
        let before = known.insert(address, Some(peer)).flatten();
        before.is_none_or(|before| before.number != number)
    }

    /// Returns the addresses to tell.
    pub fn addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let current = known.iter().filter(|(_, peer)| {
            // Whoever was heard once and fell silent is gone; a restart is heard by itself.
            peer.is_none_or(|peer| peer.heard_at + PEER_AGE * 5 > now)
        });
        current.map(|(address, _)| *address).collect()
    }

    /// Returns whether `number` is the least among the instances that run.
    pub fn is_first(&self, number: u64, now: Millis) -> bool {
        let known = self.known.lock().expect("no panic under this lock");
        let running = known.values().flatten().filter(|peer| peer.heard_at + PEER_AGE > now);
        running.map(|peer| peer.number).all(|other| number < other)
    }
}

/// Tells peers and listens to them for as long as the process runs.
pub async fn exchange<W: Wire, C: Clock>(
    socket: UdpSocket,
    peers: std::sync::Arc<Peers>,
    number: u64,
    rng: ChaCha8Rng,
    gateway: Gateway<W, C>,
    clock: C,
) {
    let mut ticks = tokio::time::interval(TELL_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_DIGEST_BYTES * 2];
    let mut teller = Teller { number, rng, quiet_ticks: 0, had_loads: false };
    loop {
        tokio::select! {
            _ = ticks.tick() => teller.tell(&socket, &peers, &gateway, clock.now()),
            received = socket.recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                if let Ok(digest) = postcard::from_bytes::<Digest>(&buf[..len]) {
                    let now = clock.now();
                    if digest.is_partial {
                        peers.was_told.store(true, Ordering::Release);
                    }
                    // The new one may be the first by now; whoever was before it tells it.
                    let was_first = peers.is_first(number, now);
                    if peers.hear(from, digest.from, now) && was_first {
                        tell_caches(&socket, from, number, &gateway);
                    }
                    gateway.record_peer(digest.from);
                    take_in(&digest, &gateway, now);
                }
            }
        }
    }
}

struct Teller {
    number: u64,
    rng: ChaCha8Rng,
    quiet_ticks: u32,
    had_loads: bool,
}

impl Teller {
    fn tell<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        peers: &Peers,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let digest = digest(self.number, gateway, now);
        let has_loads = !digest.loads.is_empty() || !digest.away.is_empty();
        let has_news = has_loads || self.had_loads || !digest.cached.is_empty();
        self.quiet_ticks += 1;
        if !has_news && self.quiet_ticks < IDLE_TICKS {
            return;
        }
        (self.quiet_ticks, self.had_loads) = (0, has_loads);
        let Ok(buf) = postcard::to_stdvec(&digest) else { return };
        let mut addresses = peers.addresses(now);
        let (chosen, _) = addresses.partial_shuffle(&mut self.rng, MAX_FANOUT);
        for address in chosen {
            // A datagram that finds no room is as good as lost on the way.
            let _ = socket.try_send_to(&buf, *address);
        }
    }
}

fn digest<W: Wire, C: Clock>(number: u64, gateway: &Gateway<W, C>, now: Millis) -> Digest {
    const MAX_CACHED: usize = 24;
    let view = gateway.fleet().view();
    let engines = view.all().filter(|upstream| upstream.entry.role.is_some());
    let mut digest = Digest { from: number, ..Digest::default() };
    for upstream in engines {
        let engine = digest_of(&upstream.entry.id);
        let work = upstream.state.own_work();
        if work.in_flight > 0 {
            let reading_ms = work.reading_ms as u32;
            let fetching_ms = work.fetching_ms as u32;
            let in_flight = work.in_flight;
            digest.loads.push(EngineLoad { engine, in_flight, reading_ms, fetching_ms });
        }
        let away = upstream.state.away_until() - now;
        if away > Millis::ZERO {
            digest.away.push((engine, away.0 as u32));
        }
    }
    for (engine, parts) in gateway.take_cached(MAX_CACHED) {
        let parts = parts.iter().map(|part| (part.id, part.tokens)).collect();
        digest.cached.push(CachedPrompt { engine: digest_of(&engine), parts });
    }
    digest
}

/// Tells a new instance what the caches are believed to hold. It would otherwise have each shared
/// part read again that it meets.
fn tell_caches<W: Wire, C: Clock>(
    socket: &UdpSocket,
    to: SocketAddr,
    number: u64,
    gateway: &Gateway<W, C>,
) {
    for (engine, parts) in gateway.caches().shared_parts(TOLD_TOKENS) {
        for parts in parts.chunks(PARTS_A_DIGEST) {
            let parts = parts.iter().map(|part| (part.id, part.tokens)).collect();
            let cached = vec![CachedPrompt { engine: digest_of(&engine), parts }];
            let digest = Digest { from: number, cached, is_partial: true, ..Digest::default() };
            let Ok(buf) = postcard::to_stdvec(&digest) else { return };
            let _ = socket.try_send_to(&buf, to);
        }
    }
}

/// Reads once what the engines' caches hold, if no instance can tell.
///
/// After the loss of all instances the engines still hold what they have read. One instance asks
/// them and tells the others; a call to each engine by each instance would hold the engines up.
pub async fn seed_caches<W: Wire, C: Clock>(
    peers: std::sync::Arc<Peers>,
    number: u64,
    gateway: Gateway<W, C>,
    clock: C,
) {
    while !gateway.is_ready() {
        tokio::time::sleep(TELL_EVERY).await;
    }
    tokio::time::sleep(SEED_DELAY).await;
    if peers.was_told() || !peers.is_first(number, clock.now()) {
        return;
    }
    let view = gateway.fleet().view();
    let engines = view.all().filter(|upstream| upstream.entry.role == Some(Role::Prefill));
    let readings = engines.map(|upstream| gateway.read_cache(upstream));
    let count = futures_util::future::join_all(readings).await.into_iter().sum();
    emit(&Event::CachesRead { parts: count });
}

fn take_in<W: Wire, C: Clock>(digest: &Digest, gateway: &Gateway<W, C>, now: Millis) {
    let view = gateway.fleet().view();
    let engines = view.all().filter(|upstream| upstream.entry.role.is_some());
    for upstream in engines.filter(|_| !digest.is_partial) {
        let engine = digest_of(&upstream.entry.id);
        let told = digest.loads.iter().find(|load| load.engine == engine);
        let load = told.map_or(PeerLoad { at: now, ..PeerLoad::default() }, |load| PeerLoad {
            in_flight: load.in_flight,
            reading_ms: f64::from(load.reading_ms),
            fetching_ms: f64::from(load.fetching_ms),
            at: now,
        });
        upstream.state.record_peer(digest.from, load);
    }
    for (engine, left_ms) in &digest.away {
        if let Some(upstream) = view.by_digest(*engine) {
            upstream.state.mark_away(now + Millis(u64::from(*left_ms)));
        }
    }
    let config = gateway.config();
    for cached in &digest.cached {
        let Some(upstream) = view.by_digest(cached.engine) else { continue };
        let spec = config.as_ref().and_then(|config| config.service(&upstream.entry.service));
        let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else { continue };
        let parts = cached.parts.iter().map(|(id, tokens)| Part { id: *id, tokens: *tokens });
        let parts: Vec<Part> = parts.collect();
        gateway.caches().record(&upstream.entry.id, &parts, engine.kv_tokens.0);
    }
}

/// Lists this instance in the table, and learns who else is listed. Of two instances that start
/// together, each lists itself before it reads, so at least one learns of the other and tells it.
pub async fn register<T: Table>(
    table: T,
    name: String,
    address: SocketAddr,
    peers: std::sync::Arc<Peers>,
) {
    loop {
        match try_register(&table, &name, address, &peers).await {
            Ok(()) => return,
            Err(err) => {
                emit(&Event::DependencyLost { dependency: PEER_TABLE, cause: err.to_string() });
                tokio::time::sleep(TABLE_PAUSE).await;
            }
        }
    }
}

async fn try_register<T: Table>(
    table: &T,
    name: &str,
    address: SocketAddr,
    peers: &Peers,
) -> Result<(), crate::tables::TableError> {
    let own = address.to_string();
    let value = bytes::Bytes::from(own.clone());
    // Most instances are new to the table; the row of an earlier start is found by the conflict.
    let write = Write { key: name.to_owned(), expected: 0, value: value.clone() };
    let written = table.write(PEER_TABLE, write).await?;
    let rows = table.scan(PEER_TABLE).await?;
    for row in &rows.rows {
        let text = row.value.as_ref().and_then(|value| std::str::from_utf8(value).ok());
        let listed: Option<SocketAddr> = text.and_then(|text| text.parse().ok());
        let listed = listed.filter(|listed| *listed != address);
        if row.key != name {
            listed.into_iter().for_each(|listed| peers.add(listed));
        } else if written == Written::Conflict && text != Some(own.as_str()) {
            let write = Write { key: name.to_owned(), expected: row.version, value: value.clone() };
            table.write(PEER_TABLE, write).await?;
        }
    }
    Ok(())
}
