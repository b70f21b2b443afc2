//! The instances to which this one sends datagrams and calls.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use anvilhook_core::units::Millis;
use anvilhook_core::watches::FOLLOWER_TIMEOUT;

use super::{Known, MAX_FULL_MESH_PEERS, Peers};

impl Peers {
    /// Returns the other availability zones that have known instances.
    pub(in crate::peers) fn far_zones(&self) -> Vec<u32> {
        let known = self.known.lock().expect("no panic under this lock");
        let zones = known.values().filter_map(|known| known.zone);
        let zones: HashSet<u32> = zones.filter(|zone| *zone != self.zone).collect();
        zones.into_iter().collect()
    }

    /// Returns the addresses of the known instances of an availability zone.
    pub(in crate::peers) fn instances_of(&self, zone: u32) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let of_zone = known.iter().filter(|(_, known)| known.zone == Some(zone));
        of_zone.map(|(address, _)| *address).collect()
    }

    /// Returns, once after this instance was listed, the addresses of the instances in other
    /// availability zones. They don't learn of it otherwise.
    pub(in crate::peers) fn take_introductions(&self) -> Vec<SocketAddr> {
        if !self.is_new.swap(false, Ordering::AcqRel) || self.is_full_mesh() {
            return Vec::new();
        }
        self.far_zones().into_iter().flat_map(|zone| self.instances_of(zone)).collect()
    }

    /// Returns the addresses of all peers that may run.
    pub fn addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let current = known.iter().filter(|(_, known)| known.may_run(now));
        current.map(|(address, _)| *address).collect()
    }

    /// Returns the addresses of the peers that may run in this availability zone or in an unknown
    /// one.
    pub(in crate::peers) fn zone_peers(&self, now: Millis) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let current = known.iter().filter(|(_, known)| {
            known.zone.is_none_or(|zone| zone == self.zone) && known.may_run(now)
        });
        current.map(|(address, _)| *address).collect()
    }

    /// Returns the instances to which calls may be forwarded, with whether each is in this availability zone. In zoned
    /// mode those of other zones send this instance no digests, so all of them are included.
    pub fn forwarders(&self, now: Millis) -> Vec<(SocketAddr, bool)> {
        let known = self.known.lock().expect("no panic under this lock");
        let is_recent = |one: &Known| {
            let last_seen_at = one.peer.as_ref().map(|peer| peer.last_seen_at);
            last_seen_at.is_some_and(|at| at + FOLLOWER_TIMEOUT > now)
        };
        let is_full_mesh = known.len() <= MAX_FULL_MESH_PEERS;
        let usable = known.iter().filter(|(_, one)| {
            if self.sends_digests(one, is_full_mesh) { is_recent(one) } else { true }
        });
        usable.map(|(address, one)| (*address, one.zone == Some(self.zone))).collect()
    }

    /// Returns the instances that may run and could keep a copy of what this one publishes, with their availability
    /// zones. In zoned mode those of other zones send this instance no digests, so all of them are included.
    pub(crate) fn possible_replicas(&self, now: Millis) -> Vec<(SocketAddr, Option<u32>)> {
        let known = self.known.lock().expect("no panic under this lock");
        let is_full_mesh = known.len() <= MAX_FULL_MESH_PEERS;
        let usable = known.iter().filter(|(_, one)| {
            if self.sends_digests(one, is_full_mesh) { one.may_run(now) } else { true }
        });
        usable.map(|(address, one)| (*address, one.zone)).collect()
    }

    /// Returns whether an instance sends this one digests all the time. In zoned mode one of another zone sends a
    /// single one when it starts.
    pub(super) fn sends_digests(&self, one: &Known, is_full_mesh: bool) -> bool {
        is_full_mesh || one.zone.is_none_or(|zone| zone == self.zone)
    }

    /// Returns whether an instance is in this availability zone, as far as known.
    pub(crate) fn is_near(&self, address: SocketAddr) -> bool {
        let known = self.known.lock().expect("no panic under this lock");
        known.get(&address).is_some_and(|one| one.zone == Some(self.zone))
    }
}
