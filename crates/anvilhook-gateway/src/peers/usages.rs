//! Telling of the usage of client accounts.
//!
//! The load that this answers: a hundred instances that count the requests of hundreds of accounts, each
//! of which may end at any moment. Each tells its sums to the few that would tell for its availability zone,
//! so that what it has counted survives it; the one that does tells other zones the sum of its own.

use std::net::SocketAddr;

use anvilhook_core::units::{Clock, Millis};
use anvilhook_core::usage::Source;
use tokio::net::UdpSocket;

use super::digests::{Digest, Scope};
use super::telling::send;
use crate::relay::Gateway;
use crate::wires::Wire;

/// After how many ticks counts are told.
const USAGE_TICKS: u32 = 8;

/// To how many instances of the availability zone counts are told: the one that tells for it, and those
/// that would after it.
const TELLERS: usize = 3;

/// `UsageTeller` tells the instances that keep the counts of this one's availability zone.
#[derive(Default)]
pub(super) struct UsageTeller {
    ticks: u32,
    told: Vec<SocketAddr>,
}

impl UsageTeller {
    /// Tells what there is to tell, if it is time.
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
        let mut audience =
            if peers.is_full_mesh() { peers.addresses(now) } else { peers.tellers(TELLERS, now) };
        audience.sort_unstable();
        if audience != self.told {
            gateway.usage().resend_all();
            self.told = audience;
        }
        while let Some(news) = gateway.usage().take_update(now) {
            let digest = Digest { usage: Some(news), ..Digest::partial(peers, now) };
            send(&digest, &self.told, socket, gateway);
        }
    }
}

/// Returns the digests that tell other availability zones of this one's usage.
pub(super) fn zone_usage<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    scope: Scope,
    now: Millis,
) -> Vec<Digest> {
    let peers = gateway.peers();
    let news = gateway.usage().zone_updates(peers.zone(), now).into_iter();
    news.map(|news| Digest { scope, usage: Some(news), ..Digest::partial(peers, now) }).collect()
}

/// Takes in what a peer tells of usage.
pub(super) fn take_in_usage<W: Wire, C: Clock>(
    digest: &Digest,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let Some(news) = &digest.usage else { return };
    let source = match digest.scope {
        Scope::Instance => Source::Instance { zone: digest.zone, number: digest.from },
        Scope::Zone(_) => Source::Zone(digest.zone),
        Scope::Far => return,
    };
    gateway.usage().merge(source, news, now);
}
