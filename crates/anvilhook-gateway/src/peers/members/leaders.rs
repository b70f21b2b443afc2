//! Which instance acts for others: as the leader of its availability zone, for all instances, as the follower of a
//! table, or as the one that sends a new instance what it knows.

use std::collections::HashMap;
use std::net::SocketAddr;

use anvilhook_core::ranks::rank_of;
use anvilhook_core::units::Millis;
use anvilhook_core::watches::{Candidate, FOLLOWER_TIMEOUT, position};

use super::{Known, PEER_AGE, Peer, Peers};
use crate::hashes::hash_of;
use crate::peers::versions::FollowedTable;

impl Peers {
    /// Returns whether this instance should follow a table by its own calls. In a full mesh every
    /// instance does, since the calls of few instances cost little; in zoned mode one instance of
    /// each availability zone does.
    pub fn follows(&self, table: FollowedTable, now: Millis) -> bool {
        self.is_full_mesh() || self.follower_rank(table, now) == 0
    }

    /// Returns the number of the recently seen other instances of this availability zone that would follow a table
    /// before this one.
    pub fn follower_rank(&self, table: FollowedTable, now: Millis) -> usize {
        let known = self.known.lock().expect("no panic under this lock");
        let is_able = !self.watch_of(table).is_unable(now);
        let own = Candidate { rank: rank_in(self.number(), table), is_able };
        // A peer that has not read the restored table can't follow it for this instance.
        let epoch = self.watch_of(table).version().own().epoch;
        let others = self.live_zone_peers(&known, now).map(|(_, peer)| Candidate {
            rank: rank_in(peer.number, table),
            is_able: peer.is_able[table as usize] && peer.epochs[table as usize] >= epoch,
        });
        position(&own, others)
    }

    /// Returns the address of this zone's leader, which exchanges updates with other availability
    /// zones; `None` if it is this instance.
    pub(in crate::peers) fn zone_leader(&self, now: Millis) -> Option<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        self.leader_among(self.live_zone_peers(&known, now))
    }

    /// Returns the address of the leader among `zone_peers`; `None` if this instance ranks above
    /// all of them.
    fn leader_among<'k>(
        &self,
        zone_peers: impl Iterator<Item = (SocketAddr, &'k Peer)>,
    ) -> Option<SocketAddr> {
        let best = zone_peers.map(|(address, peer)| (leader_rank(peer.number), address)).max();
        let best = best.filter(|(best, _)| *best > leader_rank(self.number()));
        best.map(|(_, address)| address)
    }

    /// Returns the other instances of this availability zone that were recently seen.
    fn live_zone_peers<'k>(
        &'k self,
        known: &'k HashMap<SocketAddr, Known>,
        now: Millis,
    ) -> impl Iterator<Item = (SocketAddr, &'k Peer)> {
        let zone_peers = known.iter().filter(|(_, known)| known.zone == Some(self.zone));
        let peers =
            zone_peers.filter_map(|(address, known)| Some((*address, known.peer.as_ref()?)));
        peers.filter(move |(_, peer)| peer.last_seen_at + FOLLOWER_TIMEOUT > now)
    }

    /// Returns whether this instance acts for all instances. In a full mesh that is the one with
    /// the lowest number, in zoned mode the leader of the zone with the lowest hash among those
    /// recently seen.
    pub fn is_first(&self, now: Millis) -> bool {
        if self.is_full_mesh() {
            return self.is_lowest_except(None, now);
        }
        let zones = self.zones.lock().expect("no panic under this lock");
        let mut live_zones = zones.iter().filter(|(_, at)| **at + PEER_AGE > now);
        live_zones.all(|(zone, _)| self.zone < *zone) && self.zone_leader(now).is_none()
    }

    /// Returns the addresses of the `count` highest-ranked other instances of this availability
    /// zone: its leader and those that would replace it.
    pub(in crate::peers) fn zone_leaders(&self, count: usize, now: Millis) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let live = self.live_zone_peers(&known, now);
        let mut ranked: Vec<_> =
            live.map(|(address, peer)| (leader_rank(peer.number), address)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns this instance's rank among those that act for all instances, from 0; `None` if it is
    /// not among them. In a full mesh it is the position of its number; in zoned mode each
    /// availability zone has one rank, held by its leader.
    pub fn duty_rank(&self, now: Millis) -> Option<usize> {
        if self.is_full_mesh() {
            let known = self.known.lock().expect("no panic under this lock");
            let peers = known.values().filter_map(|known| known.peer.as_ref());
            let running = peers.filter(|peer| peer.last_seen_at + PEER_AGE > now);
            return Some(running.filter(|peer| peer.number < self.number()).count());
        }
        if self.zone_leader(now).is_some() {
            return None;
        }
        let zones = self.zones.lock().expect("no panic under this lock");
        let live_zones = zones.iter().filter(|(_, at)| **at + PEER_AGE > now);
        Some(live_zones.filter(|(zone, _)| **zone < self.zone).count())
    }

    /// Returns whether this instance should send a new one what it knows. Apart from the new
    /// instance, that is the one with the lowest number in a full mesh, and the zone leader in
    /// zoned mode.
    pub(in crate::peers) fn is_seeder_for(&self, new: SocketAddr, now: Millis) -> bool {
        if self.is_full_mesh() {
            return self.is_lowest_except(Some(new), now);
        }
        let known = self.known.lock().expect("no panic under this lock");
        let is_zone_peer = known.get(&new).is_some_and(|known| known.zone == Some(self.zone));
        let others = self.live_zone_peers(&known, now).filter(|(address, _)| *address != new);
        is_zone_peer && self.leader_among(others).is_none()
    }

    fn is_lowest_except(&self, other: Option<SocketAddr>, now: Millis) -> bool {
        let known = self.known.lock().expect("no panic under this lock");
        let others = known.iter().filter(|(address, _)| Some(**address) != other);
        let peers = others.filter_map(|(_, known)| known.peer.as_ref());
        let mut running = peers.filter(|peer| peer.last_seen_at + PEER_AGE > now);
        running.all(|peer| self.number() < peer.number)
    }
}

/// Returns the rank of the instance with a number as a candidate for zone leader.
fn leader_rank(number: u64) -> u64 {
    rank_of(number, hash_of(&number))
}

/// Returns the rank of the instance with a number as a candidate for following a table.
fn rank_in(number: u64, table: FollowedTable) -> u64 {
    rank_of(number, hash_of(&(number, table)))
}
