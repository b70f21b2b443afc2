//! Chooses the partners to which an instance connects.
//!
//! All instances are placed on a few rings, each ordered by a different hash of their names, and each
//! instance connects to its successor on every ring. Therefore all instances have the same number of
//! partners, and a join or leave changes only the connections of its neighbours. Each ring alone
//! connects the graph, and together the rings form a random regular graph, whose diameter grows with
//! the logarithm of its size.

use std::collections::BTreeSet;

use anvilhook_core::names::{InstanceName, ZoneName};
use sha2::{Digest, Sha256};

use crate::options::PeerAddress;

/// `PartnerOptions` determines how many partners an instance has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartnerOptions {
    /// The number of rings. An instance connects to this many partners, and about as many connect to
    /// it.
    pub rings: u8,
}

impl Default for PartnerOptions {
    fn default() -> Self {
        Self { rings: 2 }
    }
}

impl PartnerOptions {
    /// Returns the number of partners in both directions together.
    pub fn degree(&self) -> usize {
        usize::from(self.rings) * 2
    }
}

/// Chooses the announced instances to which `me` in `zone` connects. An unreachable instance is
/// skipped in favour of the next one on the ring.
pub fn choose_partners(
    me: &InstanceName,
    zone: &ZoneName,
    announced: &[PeerAddress],
    unreachable: &BTreeSet<InstanceName>,
    options: &PartnerOptions,
) -> Vec<PeerAddress> {
    let others: Vec<&PeerAddress> = announced
        .iter()
        .filter(|other| other.name != *me && !unreachable.contains(&other.name))
        .collect();
    let mut chosen: Vec<&PeerAddress> = Vec::new();
    for ring in 0..options.rings {
        let candidates = others.iter().filter(|other| !chosen.contains(other)).copied();
        chosen.extend(successor(me, candidates, ring));
    }
    if let Some(partner) = partner_in_other_zone(me, zone, &others, &chosen, options) {
        // If all partners were in the own zone, the zone would be isolated when its last accepted
        // link from another zone breaks.
        chosen.pop();
        chosen.push(partner);
    }
    chosen.into_iter().cloned().collect()
}

/// Returns a partner in another zone if there is one and none of the chosen partners is in another
/// zone.
fn partner_in_other_zone<'a>(
    me: &InstanceName,
    zone: &ZoneName,
    others: &[&'a PeerAddress],
    chosen: &[&PeerAddress],
    options: &PartnerOptions,
) -> Option<&'a PeerAddress> {
    if chosen.iter().any(|partner| partner.zone != *zone) {
        return None;
    }
    let candidates = others.iter().filter(|other| other.zone != *zone).copied();
    successor(me, candidates, options.rings.saturating_sub(1))
}

/// Returns the first instance after `me` on a ring.
fn successor<'a>(
    me: &InstanceName,
    candidates: impl Iterator<Item = &'a PeerAddress>,
    ring: u8,
) -> Option<&'a PeerAddress> {
    let own = ring_position(me, ring);
    candidates.min_by_key(|other| ring_position(&other.name, ring).wrapping_sub(own))
}

/// Returns an instance's position on a ring.
fn ring_position(name: &InstanceName, ring: u8) -> u64 {
    let digest = Sha256::new().chain_update([ring]).chain_update(name.as_str()).finalize();
    let mut buf = [0; 8];
    buf.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(buf)
}
