//! What instances tell each other: loads and caches of engines, in datagrams.
//!
//! Everything told is a hint. An instance that hears nothing goes on by what it knows itself, and
//! serves worse, never wrongly.

mod digests;
mod members;
mod seeding;
mod versions;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::units::{Clock, Millis};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use crate::relay::{Gateway, PEER_BELIEF};
use crate::wires::Wire;

use digests::{digest, take_in};
use members::FEW_PEERS;
use seeding::tell_caches;

pub use digests::{CachedPrompt, Digest, EngineLoad, ToldRoleChange};
pub use members::{Peers, register};
pub use seeding::seed_caches;
pub use versions::{FollowedTable, TableVersion};

/// The pause between two digests.
const TELL_EVERY: Duration = Duration::from_millis(50);

/// How many ticks pass until a digest is sent though nothing is in flight.
const IDLE_TICKS: u32 = 10;

/// To how many of more peers a digest without great news goes, each time to others. Twelve took 6 KB
/// a second more, headers included, and had no gain that could be measured at 64 instances.
const FANOUT: usize = 5;

/// By how much an engine's work must have changed to be great news, in milliseconds of reading.
/// Instances that do not know of it would all send their next prompts to the same engine.
pub(crate) const GREAT_NEWS_MS: u32 = 25;

/// The most bytes of a digest, below what a link takes in one piece.
const MAX_DIGEST_BYTES: usize = 1_400;

/// Tells peers and listens to them for as long as the process runs.
pub async fn exchange<W: Wire, C: Clock>(
    socket: UdpSocket,
    number: u64,
    rng: ChaCha8Rng,
    gateway: Gateway<W, C>,
    clock: C,
) {
    let mut ticks = tokio::time::interval(TELL_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let peers = Arc::clone(gateway.peers());
    let mut buf = vec![0; MAX_DIGEST_BYTES * 2];
    let mut teller = Teller {
        number,
        rng,
        quiet_ticks: 0,
        had_loads: false,
        told_to_all: HashMap::new(),
        told_away: Vec::new(),
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => teller.tell(&socket, &gateway, clock.now()),
            () = peers.announced() => teller.tell(&socket, &gateway, clock.now()),
            received = socket.recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                if let Ok(digest) = postcard::from_bytes::<Digest>(&buf[..len]) {
                    let now = clock.now();
                    if digest.is_partial {
                        peers.record_told();
                    }
                    // The new one may be the first by now; whoever was before it tells it.
                    let was_first = peers.is_first(number, now);
                    if peers.hear(from, digest.from, now) && was_first {
                        tell_caches(&socket, from, number, &gateway);
                    }
                    gateway.record_contact(PEER_BELIEF);
                    let before = if digest.is_partial {
                        Vec::new()
                    } else {
                        let busy = digest.loads.iter().map(|load| load.engine).collect();
                        peers.replace_busy(from, busy)
                    };
                    take_in(&digest, &before, &gateway, now);
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
    /// The prompt work at each engine as all peers were told it last, in milliseconds.
    told_to_all: HashMap<u32, u32>,
    /// The engines of which all peers were told last that they change their role.
    told_away: Vec<u32>,
}

impl Teller {
    /// Returns whether a digest is to go to all peers.
    ///
    /// What engines have read is told once only, so a peer that is left out would have it read again.
    fn has_great_news(&mut self, digest: &Digest, is_among_few: bool) -> bool {
        let reading: HashMap<u32, u32> =
            digest.loads.iter().map(|load| (load.engine, load.reading_ms)).collect();
        let of = |map: &HashMap<u32, u32>, engine| map.get(engine).copied().unwrap_or(0);
        let engines = reading.keys().chain(self.told_to_all.keys());
        let mut changes = engines.map(|engine| {
            let (now, before) = (of(&reading, engine), of(&self.told_to_all, engine));
            // That work ends is no news where there are many: each can tell from its size.
            if is_among_few { now.abs_diff(before) } else { now.saturating_sub(before) }
        });
        let has_changed = changes.any(|change| change >= GREAT_NEWS_MS);
        // An engine is away for seconds; to tell all of it with each digest would choke the links.
        let away = digest.away.iter().map(|(engine, _)| *engine);
        let away: Vec<u32> =
            away.chain(digest.role_changes.iter().map(|change| change.engine)).collect();
        let goes_away = away.iter().any(|engine| !self.told_away.contains(engine));
        let is_great = has_changed || !digest.cached.is_empty() || goes_away;
        if is_great {
            (self.told_to_all, self.told_away) = (reading, away);
        } else {
            self.told_away.retain(|engine| away.contains(engine));
        }
        is_great
    }

    fn tell<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let digest = digest(self.number, gateway, now);
        let is_any_away = !digest.away.is_empty() || !digest.role_changes.is_empty();
        let has_loads = !digest.loads.is_empty() || is_any_away;
        let has_news = has_loads || self.had_loads || !digest.cached.is_empty();
        self.quiet_ticks += 1;
        if !has_news && self.quiet_ticks < IDLE_TICKS {
            return;
        }
        (self.quiet_ticks, self.had_loads) = (0, has_loads);
        let Ok(buf) = postcard::to_stdvec(&digest) else { return };
        let mut addresses = gateway.peers().addresses(now);
        let is_among_few = addresses.len() <= FEW_PEERS;
        let is_for_all = self.has_great_news(&digest, is_among_few) || is_among_few;
        let fanout = if is_for_all { addresses.len() } else { FANOUT };
        let (chosen, _) = addresses.partial_shuffle(&mut self.rng, fanout);
        for address in chosen {
            // A datagram that finds no room is as good as lost on the way.
            if socket.try_send_to(&buf, *address).is_ok() {
                gateway.metrics().digests.inc();
                gateway.metrics().digest_bytes.inc_by(buf.len() as u64);
            }
        }
    }
}
