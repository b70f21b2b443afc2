//! What instances tell each other: loads and caches of engines, in datagrams.
//!
//! Everything told is a hint. An instance that hears nothing goes on by what it knows itself, and
//! serves worse, never wrongly.

mod changes;
mod digests;
mod gathering;
mod members;
mod mirrors;
mod notices;
mod registration;
mod rows;
mod sections;
mod seeding;
mod suspects;
mod telling;
mod usages;
mod versions;
mod watches;
mod zones;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::units::{Clock, Millis};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use crate::relay::{Gateway, PEER_SOURCE};
use crate::wires::Wire;

use digests::take_in;
use seeding::tell_caches;
use suspects::{StandingTeller, tell_suspects};
use telling::{Teller, tell_missed};
use usages::{UsageTeller, take_in_usage};
use zones::ZoneLink;

pub use changes::PublishedLoads;
pub use digests::{CachedPrompt, Digest, EngineLoad, Scope, ServiceWork};
pub use gathering::CacheUpdates;
pub use members::Peers;
pub use mirrors::Mirror;
pub use notices::{Notice, NoticeKind};
pub use registration::register;
pub use rows::{Assembler, RowChanges, RowsPiece, pieces_of};
pub use sections::{SectionBytes, SectionLabels};
pub use seeding::seed_caches;
pub(crate) use telling::SIGNIFICANT_CHANGE_MS;
pub use versions::{FollowedTable, TableVersion};
pub use watches::{TableWatch, WatchState};

/// The pause between two digests.
const TELL_EVERY: Duration = Duration::from_millis(50);

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
    let Ok(own) = socket.local_addr() else { return };
    let peers = Arc::clone(gateway.peers());
    peers.set_number(number);
    let mut buf = vec![0; MAX_DIGEST_BYTES * 2];
    let mut link = Link {
        teller: Teller::new(rng.clone()),
        zones: ZoneLink::new(rng, own),
        standing: StandingTeller::default(),
        usage: UsageTeller::default(),
        assembler: Assembler::default(),
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let now = clock.now();
                link.standing.tick(&socket, &gateway, now);
                link.tell(&socket, &gateway, now);
                link.zones.tick(&socket, &gateway, now);
                link.usage.tick(&socket, &gateway, now);
            }
            () = peers.announced() => link.tell(&socket, &gateway, clock.now()),
            received = socket.recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                match postcard::from_bytes::<Digest>(&buf[..len]) {
                    Ok(digest) => link.hear(digest, from, &socket, &gateway, clock.now()),
                    // No line: whoever sends datagrams could fill the log with them.
                    Err(_) => gateway.metrics().record_unreadable(PEER_SOURCE),
                }
            }
        }
    }
}

/// `Link` is this instance's link to the others.
struct Link {
    teller: Teller,
    zones: ZoneLink,
    standing: StandingTeller,
    usage: UsageTeller,
    assembler: Assembler,
}

impl Link {
    fn tell<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        if let Some(told) = self.teller.tell(socket, gateway, now) {
            self.zones.collect(&told, now);
        }
    }

    fn hear<W: Wire, C: Clock>(
        &mut self,
        mut digest: Digest,
        from: SocketAddr,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        gateway.record_contact(PEER_SOURCE);
        if let Scope::Zone(teller) = digest.scope {
            // Another zone may have lost its way to a table that this one still reaches.
            digest.watches.iter_mut().for_each(|watch| watch.away_ms = None);
            peers.take_in_watches(&digest, teller, now);
            take_in_usage(&digest, gateway, now);
            self.zones.hear(&digest, teller, from, socket, gateway, now);
            return;
        }
        if !digest.cached.is_empty() && digest.is_partial && digest.scope == Scope::Instance {
            peers.record_told();
        }
        if peers.hear(from, &digest, now) && peers.introduces(from, now) {
            tell_caches(socket, from, gateway, now);
            tell_suspects(socket, from, gateway, now);
        }
        if let Some(piece) = digest.rows.take() {
            let table = piece.table;
            if let Some(rows) = self.assembler.take(from, piece) {
                peers.watch_of(table).receive_rows(rows);
            }
        }
        if let Some((table, known)) = digest.asks {
            tell_missed(table, known, from, socket, gateway, now);
        }
        take_in(&digest, from, gateway, now);
        if digest.scope == Scope::Instance && !digest.is_partial {
            self.zones.collect(&digest, now);
        }
    }
}
