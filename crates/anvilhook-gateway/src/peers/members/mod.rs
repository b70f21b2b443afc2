//! The known instances.

mod leaders;
mod recipients;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};

use anvilhook_core::rate_shares::RateShare;
use anvilhook_core::units::Millis;
use tokio::sync::{Notify, watch};

use super::digests::Digest;
use super::versions::{FollowedTable, TableVersion};
use super::watches::TableWatch;
use crate::hashes::hash_of;

/// The maximum number of known peers up to which every digest goes to every peer.
const MAX_FULL_MESH_PEERS: usize = 12;

/// How long a peer that sends nothing counts as running.
const PEER_AGE: Millis = Millis(2_000);

/// The minimum number of instances that is assumed until the table has been read. The budget for
/// extra arrivals is divided among them, so too low a guess would exceed its bound.
const UNLISTED_INSTANCES: usize = 24;

/// `Peer` is another instance from which a digest was received.
#[derive(Clone, Debug)]
struct Peer {
    number: u64,
    /// When a digest of this process was first received.
    first_seen_at: Millis,
    last_seen_at: Millis,
    /// Whether it reached each followed table at its last attempt.
    is_able: [bool; FollowedTable::ALL.len()],
    /// The epoch of the store in which it follows each table.
    epochs: [u64; FollowedTable::ALL.len()],
    /// The engines at which its last digest reported work.
    busy: Vec<u32>,
}

/// `Known` is an address at which an instance runs or has run.
#[derive(Clone, Debug, Default)]
struct Known {
    /// The hash of its availability zone, if known.
    zone: Option<u32>,
    /// The instance, once a digest was received from it.
    peer: Option<Peer>,
}

impl Known {
    /// Returns whether to send digests there. An instance that has stopped sending has terminated,
    /// and a restarted one announces itself.
    fn may_run(&self, now: Millis) -> bool {
        self.peer.as_ref().is_none_or(|peer| peer.last_seen_at + PEER_AGE * 5 > now)
    }
}

/// `Peers` tracks the other known instances.
#[derive(Debug, Default)]
pub struct Peers {
    /// The number of this instance and the hash of its availability zone.
    number: AtomicU64,
    zone: u32,
    known: Mutex<HashMap<SocketAddr, Known>>,
    /// When a digest of the leader of another availability zone was last received, by zone.
    zones: Mutex<HashMap<u32, Millis>>,
    /// The engines at which the other zones last reported work.
    far_busy: Mutex<Vec<u32>>,
    is_new: AtomicBool,
    has_taken_slot: AtomicBool,
    has_cache_seed: AtomicBool,
    was_listed: AtomicBool,
    /// The address of this instance, once it is listed.
    own_address: OnceLock<SocketAddr>,
    watches: [TableWatch; FollowedTable::ALL.len()],
    /// The newest epoch of the store in which this instance has read a table.
    epoch: watch::Sender<u64>,
    /// The epoch in which it read one first.
    first_epoch: OnceLock<u64>,
    changed: Notify,
}

impl Peers {
    /// Creates the peers of an instance in an availability zone; none is known yet.
    pub fn in_zone(zone: &str) -> Self {
        Self { zone: hash_of(zone) as u32, ..Self::default() }
    }

    /// Sets this instance's number.
    pub(super) fn set_number(&self, number: u64) {
        self.number.store(number, Ordering::Release);
    }

    /// Returns this instance's number.
    pub(crate) fn number(&self) -> u64 {
        self.number.load(Ordering::Acquire)
    }

    /// Returns the hash of this instance's availability zone.
    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    /// Records that a peer has sent the contents of the caches.
    pub(super) fn record_cache_seed(&self) {
        self.has_cache_seed.store(true, Ordering::Release);
    }

    /// Returns the progress of the instances in following a table.
    pub fn version_of(&self, table: FollowedTable) -> &TableVersion {
        self.watch_of(table).version()
    }

    /// Returns the watch over a table.
    pub fn watch_of(&self, table: FollowedTable) -> &TableWatch {
        &self.watches[table as usize]
    }

    /// Applies the watch states of the instance at an address.
    pub(super) fn apply_watches(&self, digest: &Digest, from: SocketAddr, now: Millis) {
        for (table, state) in FollowedTable::ALL.into_iter().zip(&digest.watches) {
            self.watch_of(table).merge(from, state, now);
        }
    }

    /// Records that a digest of another availability zone's leader was received.
    pub(super) fn record_zone_leader(&self, zone: u32, now: Millis) {
        self.zones.lock().expect("no panic under this lock").insert(zone, now);
    }

    /// Requests an immediate digest of this instance's work in flight. Several requests before the
    /// next digest are combined.
    pub fn announce(&self) {
        self.changed.notify_one();
    }

    /// Requests an immediate digest to the availability zone because this instance has taken a slot
    /// of an engine that is more than half full.
    ///
    /// Otherwise several instances would send their next streams to the same last slot, and all but
    /// one of them would wait there while other engines have free slots.
    pub(crate) fn announce_slot(&self) {
        self.has_taken_slot.store(true, Ordering::Release);
        self.announce();
    }

    /// Returns whether a slot was taken since the last digest, and resets the flag.
    pub(super) fn take_slot_change(&self) -> bool {
        self.has_taken_slot.swap(false, Ordering::AcqRel)
    }

    /// Requests an immediate digest in a full mesh. In zoned mode a datagram to each peer whenever
    /// work ends would fill the slowest links and delay the answers that instances send over them.
    pub(crate) fn announce_in_full_mesh(&self) {
        if self.is_full_mesh() {
            self.announce();
        }
    }

    /// Returns whether the instances form a full mesh: every digest goes to every peer.
    pub(crate) fn is_full_mesh(&self) -> bool {
        self.known.lock().expect("no panic under this lock").len() <= MAX_FULL_MESH_PEERS
    }

    /// Waits until an immediate digest is requested.
    pub async fn announced(&self) {
        self.changed.notified().await;
    }

    /// Returns whether a peer has sent the contents of the caches.
    pub(super) fn has_cache_seed(&self) -> bool {
        self.has_cache_seed.load(Ordering::Acquire)
    }

    /// Adds an address at which an instance may run.
    pub fn add(&self, address: SocketAddr) {
        self.known.lock().expect("no panic under this lock").entry(address).or_default();
    }

    /// Records that this instance is listed at an address and has read which others are.
    pub(super) fn record_listed(&self, address: SocketAddr) {
        let _ = self.own_address.set(address);
        if !self.was_listed.swap(true, Ordering::AcqRel) {
            self.is_new.store(true, Ordering::Release);
        }
    }

    /// Adds an address at which an instance of an availability zone may run.
    pub(super) fn add_in_zone(&self, address: SocketAddr, zone: Option<u32>) {
        let mut known = self.known.lock().expect("no panic under this lock");
        let known = known.entry(address).or_default();
        known.zone = known.zone.or(zone);
    }

    /// Records a digest from an instance. Returns whether the instance is new.
    pub(super) fn record_digest(&self, address: SocketAddr, digest: &Digest, now: Millis) -> bool {
        let is_able = digest.watches.map(|watch| !watch.is_unable);
        let epochs = digest.watches.map(|watch| watch.epoch);
        let mut known = self.known.lock().expect("no panic under this lock");
        let known = known.entry(address).or_default();
        known.zone = Some(digest.zone);
        match &mut known.peer {
            Some(peer) if peer.number == digest.from => {
                (peer.last_seen_at, peer.is_able, peer.epochs) = (now, is_able, epochs);
                false
            }
            peer => {
                let number = digest.from;
                let busy = Vec::new();
                let (first_seen_at, last_seen_at) = (now, now);
                *peer = Some(Peer { number, first_seen_at, last_seen_at, is_able, epochs, busy });
                true
            }
        }
    }

    /// Replaces the engines at which an instance, or all other zones together, reported work, and
    /// returns the previous ones.
    pub(super) fn replace_busy(
        &self,
        address: SocketAddr,
        is_far: bool,
        busy: Vec<u32>,
    ) -> Vec<u32> {
        if is_far {
            let mut far_busy = self.far_busy.lock().expect("no panic under this lock");
            return std::mem::replace(&mut far_busy, busy);
        }
        let mut known = self.known.lock().expect("no panic under this lock");
        let peer = known.get_mut(&address).and_then(|known| known.peer.as_mut());
        peer.map(|peer| std::mem::replace(&mut peer.busy, busy)).unwrap_or_default()
    }

    /// Adds engines at which an instance reports work.
    pub(super) fn add_busy(&self, address: SocketAddr, busy: Vec<u32>) {
        let mut known = self.known.lock().expect("no panic under this lock");
        let peer = known.get_mut(&address).and_then(|known| known.peer.as_mut());
        if let Some(peer) = peer {
            let new = busy.into_iter().filter(|engine| !peer.busy.contains(engine));
            let new: Vec<u32> = new.collect();
            peer.busy.extend(new);
        }
    }

    /// Returns whether this instance is listed and has read which others are.
    pub(crate) fn is_listed(&self) -> bool {
        self.was_listed.load(Ordering::Acquire)
    }

    /// Returns whether the instance at an address is known to have run without a restart since `since`. This instance
    /// has run since `own_start`.
    ///
    /// In zoned mode an instance of another availability zone sends a digest only when it starts.
    pub(crate) fn has_run_since(
        &self,
        address: SocketAddr,
        since: Millis,
        own_start: Millis,
    ) -> bool {
        let known = self.known.lock().expect("no panic under this lock");
        let is_full_mesh = known.len() <= MAX_FULL_MESH_PEERS;
        let Some(one) = known.get(&address) else { return false };
        match &one.peer {
            Some(peer) => peer.first_seen_at <= since,
            None => !self.sends_digests(one, is_full_mesh) && own_start <= since,
        }
    }

    /// Returns the number of peers that were recently seen.
    pub fn live_peers(&self, now: Millis) -> usize {
        let known = self.known.lock().expect("no panic under this lock");
        let peers = known.values().filter_map(|known| known.peer.as_ref());
        peers.filter(|peer| peer.last_seen_at + PEER_AGE > now).count()
    }

    /// Returns the maximum number of instances, including this one. It counts those that send
    /// nothing, as they may run behind a network partition.
    pub fn instances(&self) -> usize {
        let known = self.known.lock().expect("no panic under this lock").len() + 1;
        if self.was_listed.load(Ordering::Acquire) { known } else { known.max(UNLISTED_INSTANCES) }
    }

    /// Records that this instance has read a table in an epoch of the store.
    pub(crate) fn record_epoch(&self, epoch: u64) {
        self.first_epoch.get_or_init(|| epoch);
        self.epoch.send_if_modified(|known| {
            let is_newer = epoch > *known;
            *known = epoch.max(*known);
            is_newer
        });
    }

    /// Returns the epoch of the store in which this instance first read a table, if it has read one.
    pub(crate) fn first_epoch(&self) -> Option<u64> {
        self.first_epoch.get().copied()
    }

    /// Waits until this instance has read a table in a later epoch of the store.
    pub(super) async fn restored_after(&self, epoch: u64) {
        let mut epochs = self.epoch.subscribe();
        // The sender is a part of `self`, so it exists as long as this call.
        let _ = epochs.wait_for(|known| *known > epoch).await;
    }

    /// Returns this instance's share of what is divided among all instances.
    ///
    /// Its position is that of its address, so that instances which know the same others have different
    /// positions. Before it is listed, its number takes the place of the address.
    pub fn rate_share(&self) -> RateShare {
        let instances = self.instances();
        let position = match self.own_address.get() {
            Some(own) => {
                let known = self.known.lock().expect("no panic under this lock");
                known.keys().filter(|address| *address < own).count()
            }
            None => (self.number() % instances as u64) as usize,
        };
        RateShare::new(position, instances)
    }
}
