//! Publishes the usage of client accounts.
//!
//! Designed for: a hundred instances that count the requests of hundreds of accounts, each of which
//! may terminate at any moment. Each sends its sums to the leader of its availability zone and the
//! next candidates, so that its counts survive it. The leader sends the sums of its zone to other
//! zones.

use std::net::SocketAddr;

use anvilhook_core::units::{Clock, Millis};
use anvilhook_core::usage::Source;
use tokio::net::UdpSocket;

use super::digests::{Digest, Scope};
use super::publishing::send;
use crate::relay::Gateway;
use crate::wires::Wire;

/// The number of ticks between publications of counts.
const USAGE_TICKS: u32 = 8;

/// The number of instances of the availability zone that receive counts: the leader, and the
/// candidates that would replace it.
const LEADER_CANDIDATES: usize = 3;

/// `UsagePublisher` sends this instance's counts to those that store them for the availability
/// zone.
#[derive(Default)]
pub(super) struct UsagePublisher {
    ticks: u32,
    recipients: Vec<SocketAddr>,
}

impl UsagePublisher {
    /// Publishes the pending counts if the interval has passed.
    pub fn tick<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        self.ticks += 1;
        if !self.ticks.is_multiple_of(USAGE_TICKS) || gateway.usage().windows().is_none() {
            return;
        }
        let peers = gateway.peers();
        let mut recipients = if peers.is_full_mesh() {
            peers.addresses(now)
        } else {
            peers.zone_leaders(LEADER_CANDIDATES, now)
        };
        recipients.sort_unstable();
        if recipients != self.recipients {
            gateway.usage().resend_all();
            self.recipients = recipients;
        }
        while let Some(update) = gateway.usage().take_update(now) {
            let digest = Digest { usage: Some(update), ..Digest::partial(peers, now) };
            send(&digest, &self.recipients, socket, gateway);
        }
    }
}

/// Returns the digests of this zone's usage for other availability zones.
pub(super) fn zone_usage<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    scope: Scope,
    now: Millis,
) -> Vec<Digest> {
    let peers = gateway.peers();
    let updates = gateway.usage().zone_updates(peers.zone(), now).into_iter();
    updates
        .map(|update| Digest { scope, usage: Some(update), ..Digest::partial(peers, now) })
        .collect()
}

/// Applies the usage that a peer publishes.
pub(super) fn apply_usage<W: Wire, C: Clock>(
    digest: &Digest,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let Some(update) = &digest.usage else { return };
    let source = match digest.scope {
        Scope::Instance => Source::Instance { zone: digest.zone, number: digest.from },
        Scope::Zone(_) => Source::Zone(digest.zone),
        Scope::Far => return,
    };
    gateway.usage().merge(source, update, now);
}
