//! Publishes suspected requests: new updates at once, active ones periodically, and all of them to
//! an instance that has just started.

use std::net::SocketAddr;

use anvilhook_core::units::{Clock, Millis};
use tokio::net::UdpSocket;

use super::digests::Digest;
use super::publishing::send;
use crate::relay::Gateway;
use crate::suspects::SuspectUpdate;
use crate::wires::Wire;

/// The maximum number of suspect updates in one digest.
pub(super) const MAX_SUSPECTS: usize = 32;

/// The maximum number of digests with suspects for a new instance.
const MAX_DIGESTS: usize = 8;

/// The interval between publications of the active suspects. An instance that was partitioned or
/// suspended has missed earlier updates.
const ACTIVE_INTERVAL: Millis = Millis(2_000);

/// `SuspectPublisher` publishes the active suspects if this is the instance to do so: in a full
/// mesh one instance for all, in zoned mode the leader of each availability zone for its zone.
#[derive(Default)]
pub(super) struct SuspectPublisher {
    sent_at: Millis,
}

impl SuspectPublisher {
    /// Publishes the active suspects if the interval has passed.
    pub fn tick<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        if now < self.sent_at + ACTIVE_INTERVAL {
            return;
        }
        self.sent_at = now;
        let peers = gateway.peers();
        let updates = gateway.suspects().active_updates(now);
        if updates.is_empty() {
            return;
        }
        let recipients = match peers.is_full_mesh() {
            true if peers.is_first(now) => peers.addresses(now),
            false if peers.zone_leader(now).is_none() => peers.zone_peers(now),
            _ => return,
        };
        send_updates(updates, &recipients, socket, gateway, now);
    }
}

/// Sends all suspects to a new instance.
pub(super) fn send_suspects<W: Wire, C: Clock>(
    socket: &UdpSocket,
    to: SocketAddr,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let mut updates = gateway.suspects().all_updates(now);
    updates.truncate(MAX_DIGESTS * MAX_SUSPECTS);
    send_updates(updates, &[to], socket, gateway, now);
}

fn send_updates<W: Wire, C: Clock>(
    updates: Vec<SuspectUpdate>,
    addresses: &[SocketAddr],
    socket: &UdpSocket,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    for suspects in updates.chunks(MAX_SUSPECTS) {
        let suspects = suspects.to_vec();
        let digest = Digest { suspects, ..Digest::partial(gateway.peers(), now) };
        send(&digest, addresses, socket, gateway);
    }
}

/// Applies the suspect updates of a peer.
pub(super) fn apply_suspects<W: Wire, C: Clock>(
    digest: &Digest,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    for update in &digest.suspects {
        if gateway.suspects().apply(update, gateway.peers().number(), now) {
            gateway.log_quarantine(update.request, "told");
        }
    }
}
