//! What instances tell each other: loads and caches of engines, in datagrams.
//!
//! Everything told is a hint. An instance that hears nothing goes on by what it knows itself, and
//! serves worse, never wrongly.

mod digests;
mod members;
mod mirrors;
mod rows;
mod seeding;
mod telling;
mod versions;
mod watches;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::units::{Clock, Millis};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use crate::relay::{Gateway, PEER_BELIEF};
use crate::wires::Wire;

use digests::take_in;
use seeding::tell_caches;
use telling::{Teller, tell_missed};

pub use digests::{CachedPrompt, Digest, EngineLoad, ToldRoleChange};
pub use members::{Peers, register};
pub use mirrors::Mirror;
pub use rows::{Assembler, RowsPiece, ToldRows, pieces_of};
pub use seeding::seed_caches;
pub(crate) use telling::GREAT_NEWS_MS;
pub use versions::{FollowedTable, TableVersion};
pub use watches::{TableWatch, ToldWatch};

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
    let peers = Arc::clone(gateway.peers());
    peers.set_number(number);
    let mut buf = vec![0; MAX_DIGEST_BYTES * 2];
    let mut teller = Teller::new(rng);
    let mut listener = Listener::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => teller.tell(&socket, &gateway, clock.now()),
            () = peers.announced() => teller.tell(&socket, &gateway, clock.now()),
            received = socket.recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                if let Ok(digest) = postcard::from_bytes::<Digest>(&buf[..len]) {
                    listener.hear(digest, from, &socket, &gateway, clock.now());
                }
            }
        }
    }
}

/// `Listener` takes in what peers tell.
#[derive(Default)]
struct Listener {
    assembler: Assembler,
}

impl Listener {
    fn hear<W: Wire, C: Clock>(
        &mut self,
        mut digest: Digest,
        from: SocketAddr,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        if !digest.cached.is_empty() && digest.is_partial {
            peers.record_told();
        }
        // The new one may be the first by now; whoever was before it tells it.
        if peers.hear(from, &digest, now) && peers.is_first_beside(from, now) {
            tell_caches(socket, from, gateway, now);
        }
        gateway.record_contact(PEER_BELIEF);
        if let Some(piece) = digest.rows.take() {
            let table = piece.table;
            if let Some(rows) = self.assembler.take(from, piece) {
                peers.watch_of(table).hear_rows(rows);
            }
        }
        if let Some((table, known)) = digest.asks {
            tell_missed(table, known, from, socket, gateway, now);
        }
        let before = if digest.is_partial {
            Vec::new()
        } else {
            let busy = digest.loads.iter().map(|load| load.engine).collect();
            peers.replace_busy(from, busy)
        };
        take_in(&digest, from, &before, gateway, now);
    }
}
