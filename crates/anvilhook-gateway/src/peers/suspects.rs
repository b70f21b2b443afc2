//! Telling of suspected requests: what is new at once, what stands now and then, all of it to an instance
//! that has just started.

use std::net::SocketAddr;

use anvilhook_core::units::{Clock, Millis};
use tokio::net::UdpSocket;

use super::digests::Digest;
use super::telling::send;
use crate::relay::Gateway;
use crate::suspects::SuspectUpdate;
use crate::wires::Wire;

/// The most news of suspects in one digest.
pub(super) const MAX_SUSPECTS: usize = 32;

/// The most digests of them that a new instance is sent.
const MAX_DIGESTS: usize = 8;

/// How often the others are told of what stands. Whoever was cut off or suspended has missed the news.
const STANDING_EVERY: Millis = Millis(2_000);

/// `StandingTeller` tells of the suspects that stand, if that is this instance's part: among few one tells
/// all, among many one of each availability zone the others of it.
#[derive(Default)]
pub(super) struct StandingTeller {
    told_at: Millis,
}

impl StandingTeller {
    /// Tells of them if it is time.
    pub fn tick<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        if now < self.told_at + STANDING_EVERY {
            return;
        }
        self.told_at = now;
        let peers = gateway.peers();
        let news = gateway.suspects().active_updates(now);
        if news.is_empty() {
            return;
        }
        let audience = match peers.is_full_mesh() {
            true if peers.is_first(now) => peers.addresses(now),
            false if peers.zone_teller(now).is_none() => peers.zone_peers(now),
            _ => return,
        };
        send_news(news, &audience, socket, gateway, now);
    }
}

/// Tells a new instance of all suspects.
pub(super) fn tell_suspects<W: Wire, C: Clock>(
    socket: &UdpSocket,
    to: SocketAddr,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let mut news = gateway.suspects().all_updates(now);
    news.truncate(MAX_DIGESTS * MAX_SUSPECTS);
    send_news(news, &[to], socket, gateway, now);
}

fn send_news<W: Wire, C: Clock>(
    news: Vec<SuspectUpdate>,
    addresses: &[SocketAddr],
    socket: &UdpSocket,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    for suspects in news.chunks(MAX_SUSPECTS) {
        let suspects = suspects.to_vec();
        let digest = Digest { suspects, ..Digest::partial(gateway.peers(), now) };
        send(&digest, addresses, socket, gateway);
    }
}

/// Takes in what a peer tells of requests.
pub(super) fn take_in_suspects<W: Wire, C: Clock>(
    digest: &Digest,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    for news in &digest.suspects {
        if gateway.suspects().apply(news, gateway.peers().number(), now) {
            gateway.log_quarantine(news.request, "told");
        }
    }
}
