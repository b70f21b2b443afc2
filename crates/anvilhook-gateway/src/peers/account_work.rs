//! Publishes the work that client accounts request, and which accounts are above their fair shares.
//!
//! Designed for: hundreds of instances that each serve a few of dozens of accounts. Each sends its sums to the
//! leader of its availability zone and the next candidates. The leaders exchange the sums of their zones, and
//! each sends its zone the accounts above their shares. Every message carries whole sums, so the next one
//! replaces one that was lost.

use std::net::SocketAddr;

use anvilhook_core::fair_shares::{AccountKey, AccountSum, Origin};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_core::usage::Source;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::digests::{Digest, Scope};
use super::publishing::send;
use crate::relay::Gateway;
use crate::wires::Wire;

/// The number of ticks between publications of an instance's sums. A longer interval would be a large part of
/// the time in which a burst makes requests late.
const WORK_TICKS: u32 = 4;

/// The number of instances of the availability zone that receive sums: the leader, and the candidates that would
/// replace it.
const LEADER_CANDIDATES: usize = 3;

/// The maximum number of sums in one datagram. A sum takes at most 20 bytes.
const MAX_SUMS: usize = 60;

/// `AccountWork` is the work of client accounts in a digest. It is encoded after the digest.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountWork {
    /// The number of the sender's publication. A receiver ignores what is older than the values it has.
    pub sequence: u32,
    /// The sums of the sender, or those of its availability zone.
    pub sums: Vec<AccountSum>,
    /// The accounts above their shares, with their excesses in percent, from the leader of a zone to the zone.
    pub excesses: Option<Vec<(AccountKey, u32)>>,
}

/// `AccountWorkPublisher` sends this instance's sums to those that store them for the availability zone.
#[derive(Default)]
pub(super) struct AccountWorkPublisher {
    ticks: u32,
}

impl AccountWorkPublisher {
    /// Publishes the sums if the interval has passed.
    pub fn tick<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        self.ticks += 1;
        if !self.ticks.is_multiple_of(WORK_TICKS) || !gateway.policy().fair_shares {
            return;
        }
        let peers = gateway.peers();
        let recipients = if peers.is_full_mesh() {
            peers.addresses(now)
        } else {
            peers.zone_leaders(LEADER_CANDIDATES, now)
        };
        let sums = gateway.account_shares().own_sums(now);
        for digest in digests_of(&sums, Scope::Instance, gateway, now) {
            send(&digest, &recipients, socket, gateway);
        }
    }
}

/// Returns the digests of this zone's sums for other availability zones.
pub(super) fn zone_account_work<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    scope: Scope,
    now: Millis,
) -> Vec<Digest> {
    if !gateway.policy().fair_shares {
        return Vec::new();
    }
    let sums = gateway.account_shares().zone_sums(now);
    digests_of(&sums, scope, gateway, now)
}

/// Sends the accounts above their shares to the instances of this availability zone.
pub(super) fn send_excesses<W: Wire, C: Clock>(
    addresses: &[SocketAddr],
    socket: &UdpSocket,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    if !gateway.policy().fair_shares {
        return;
    }
    let (shares, peers) = (gateway.account_shares(), gateway.peers());
    let Some(excesses) = shares.sent_excesses(now) else { return };
    let sequence = shares.next_sequence();
    let work = AccountWork { sequence, sums: Vec::new(), excesses: Some(excesses) };
    let digest = Digest { account_work: Some(work), ..Digest::partial(peers, now) };
    send(&digest, addresses, socket, gateway);
}

fn digests_of<W: Wire, C: Clock>(
    sums: &[AccountSum],
    scope: Scope,
    gateway: &Gateway<W, C>,
    now: Millis,
) -> Vec<Digest> {
    let sequence = gateway.account_shares().next_sequence();
    let of_piece = |piece: &[AccountSum]| {
        let work = AccountWork { sequence, sums: piece.to_vec(), excesses: None };
        Digest { scope, account_work: Some(work), ..Digest::partial(gateway.peers(), now) }
    };
    sums.chunks(MAX_SUMS).map(of_piece).collect()
}

/// Applies the work of client accounts that a peer publishes.
pub(super) fn apply_account_work<W: Wire, C: Clock>(
    digest: &Digest,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let Some(work) = &digest.account_work else { return };
    if !gateway.policy().fair_shares {
        return;
    }
    let source = match digest.scope {
        Scope::Instance => Source::Instance { zone: digest.zone, number: digest.from },
        Scope::Zone(_) => Source::Zone(digest.zone),
        Scope::Far => return,
    };
    let origin = Origin { sender: digest.from, sequence: work.sequence, received_at: now };
    let shares = gateway.account_shares();
    shares.merge(source, origin, &work.sums);
    let is_of_own_zone = digest.scope == Scope::Instance && digest.zone == gateway.peers().zone();
    if let Some(excesses) = work.excesses.as_ref().filter(|_| is_of_own_zone) {
        shares.merge_excesses(origin, excesses);
    }
}
