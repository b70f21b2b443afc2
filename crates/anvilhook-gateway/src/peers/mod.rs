//! Gossip between instances: they publish engine loads, cache contents and findings in datagrams.
//!
//! All received data is a hint. An instance that receives nothing uses its own observations; its
//! placements get worse, but its answers stay correct.

mod account_work;
mod cache_updates;
mod changes;
mod digests;
mod members;
mod mirrors;
mod notices;
mod publishing;
mod registration;
mod rows;
mod sections;
mod seeding;
mod suspects;
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

use crate::origins::OriginMessage;
use crate::relay::{Gateway, PEER_SOURCE};
use crate::tables::TableRevision;
use crate::wires::Wire;

use account_work::{AccountWorkPublisher, apply_account_work};
use digests::apply;
use publishing::{Publisher, send_missed_rows};
use seeding::send_caches;
use suspects::{SuspectPublisher, send_suspects};
use usages::{UsagePublisher, apply_usage};
use zones::ZoneLink;

pub use account_work::AccountWork;
pub use cache_updates::CacheUpdates;
pub use changes::PublishedLoads;
pub use digests::{CachedPrompt, Digest, EngineLoad, Scope, ServiceWork};
pub use members::Peers;
pub use mirrors::Mirror;
pub use notices::{Notice, NoticeKind};
pub(crate) use publishing::SIGNIFICANT_CHANGE_MS;
pub use registration::{keep_registered, register};
pub use rows::{Assembler, RowChanges, RowsPiece, pieces_of};
pub use sections::{SectionBytes, SectionLabels};
pub use seeding::seed_caches;
pub use versions::{FollowedTable, TableVersion};
pub use watches::{TableWatch, WatchState};

/// The interval between two digests.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum size of a digest in bytes, below what a link carries in one packet.
const MAX_DIGEST_BYTES: usize = 1_400;

/// Sends digests to the peers and receives theirs for as long as the process runs.
pub async fn exchange<W: Wire, C: Clock>(
    socket: UdpSocket,
    number: u64,
    rng: ChaCha8Rng,
    gateway: Gateway<W, C>,
    clock: C,
) {
    let mut ticks = tokio::time::interval(PUBLISH_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let Ok(own) = socket.local_addr() else { return };
    let socket = Arc::new(socket);
    gateway.origins().attach(Arc::clone(&socket));
    let peers = Arc::clone(gateway.peers());
    peers.set_number(number);
    let mut buf = vec![0; MAX_DIGEST_BYTES * 2];
    let mut link = Link {
        publisher: Publisher::new(rng.clone()),
        zones: ZoneLink::new(rng, own),
        suspects: SuspectPublisher::default(),
        usage: UsagePublisher::default(),
        account_work: AccountWorkPublisher::default(),
        assembler: Assembler::default(),
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let now = clock.now();
                link.suspects.tick(&socket, &gateway, now);
                link.publish(&socket, &gateway, now);
                link.zones.tick(&socket, &gateway, now);
                link.usage.tick(&socket, &gateway, now);
                link.account_work.tick(&socket, &gateway, now);
            }
            () = peers.announced() => link.publish(&socket, &gateway, clock.now()),
            received = socket.recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                let is_read = link.receive_datagram(&buf[..len], from, &socket, &gateway, &clock);
                if is_read.is_err() {
                    // Not logged: a sender of bad datagrams could fill the log.
                    gateway.metrics().record_unreadable(PEER_SOURCE);
                }
            }
        }
    }
}

/// `Link` holds this instance's publishers and the state of its exchange with peers.
struct Link {
    publisher: Publisher,
    zones: ZoneLink,
    suspects: SuspectPublisher,
    usage: UsagePublisher,
    account_work: AccountWorkPublisher,
    assembler: Assembler,
}

impl Link {
    fn publish<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        if let Some(published) = self.publisher.publish(socket, gateway, now) {
            self.zones.collect(&published, now);
        }
    }

    fn receive_datagram<W: Wire, C: Clock>(
        &mut self,
        bytes: &[u8],
        from: SocketAddr,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        clock: &C,
    ) -> Result<(), postcard::Error> {
        if OriginMessage::is_in(bytes) {
            gateway.receive_origin_message(OriginMessage::decode(bytes)?, from);
        } else {
            self.receive(Digest::decode(bytes)?, from, socket, gateway, clock.now());
        }
        Ok(())
    }

    fn receive<W: Wire, C: Clock>(
        &mut self,
        mut digest: Digest,
        from: SocketAddr,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        gateway.record_contact(PEER_SOURCE);
        if let Scope::Zone(sender) = digest.scope {
            // Another zone may have lost its connection to a table that this one still reaches.
            digest.watches.iter_mut().for_each(|watch| watch.away_ms = None);
            peers.apply_watches(&digest, sender, now);
            apply_usage(&digest, gateway, now);
            apply_account_work(&digest, gateway, now);
            self.zones.receive(&digest, sender, from, socket, gateway, now);
            return;
        }
        if !digest.cached.is_empty() && digest.is_partial && digest.scope == Scope::Instance {
            peers.record_cache_seed();
        }
        if peers.record_digest(from, &digest, now) {
            gateway.send_running_origins(from);
            if peers.is_seeder_for(from, now) {
                send_caches(socket, from, gateway, now);
                send_suspects(socket, from, gateway, now);
            }
        }
        if let Some(piece) = digest.rows.take() {
            let table = piece.table;
            if let Some(rows) = self.assembler.take(from, piece) {
                peers.watch_of(table).receive_rows(rows, now);
            }
        }
        if let Some((table, known)) = digest.asks {
            let known = TableRevision::new(digest.asks_epoch, known);
            send_missed_rows(table, known, from, socket, gateway, now);
        }
        apply(&digest, from, gateway, now);
        if digest.scope == Scope::Instance && !digest.is_partial {
            self.zones.collect(&digest, now);
        }
    }
}
