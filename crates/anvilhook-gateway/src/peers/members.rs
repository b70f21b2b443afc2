//! The other instances: which run, and how they find each other.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use anvilhook_core::ranks::rank_of;
use anvilhook_core::units::Millis;
use anvilhook_core::watches::{Candidate, FOLLOWER_TIMEOUT, is_chosen};
use tokio::sync::Notify;

use super::digests::Digest;
use super::versions::{FollowedTable, TableVersion};
use super::watches::TableWatch;
use crate::hashes::hash_of;

/// The most peers that every digest goes to.
const FEW_PEERS: usize = 12;

/// How long a peer that is not heard counts as running.
const PEER_AGE: Millis = Millis(2_000);

/// How many instances there are believed to be, at least, until the table has been read. The budget
/// for extra arrivals is divided among them, so a guess too low would break its bound.
const UNLISTED_INSTANCES: usize = 24;

/// `Peer` is another instance.
#[derive(Clone, Debug)]
struct Peer {
    number: u64,
    heard_at: Millis,
    /// Whether it reached each followed table when it tried last.
    is_able: [bool; FollowedTable::ALL.len()],
    /// The engines at which it told of work the last time.
    busy: Vec<u32>,
}

/// `Known` is an address at which an instance runs or has run.
#[derive(Clone, Debug, Default)]
struct Known {
    /// The short form of its availability zone, as far as it is known.
    zone: Option<u32>,
    /// The instance, if it was heard.
    peer: Option<Peer>,
}

impl Known {
    /// Returns whether it should be told of news: whoever was heard once and fell silent is gone, and a
    /// restart is heard by itself.
    fn may_run(&self, now: Millis) -> bool {
        self.peer.as_ref().is_none_or(|peer| peer.heard_at + PEER_AGE * 5 > now)
    }
}

/// `Peers` is the other instances that are known.
#[derive(Debug, Default)]
pub struct Peers {
    /// This instance's own number and the short form of its availability zone.
    number: AtomicU64,
    zone: u32,
    known: Mutex<HashMap<SocketAddr, Known>>,
    /// When the instance that tells for another availability zone was heard last, by zone.
    zones: Mutex<HashMap<u32, Millis>>,
    /// The engines of which the other zones told last.
    far_busy: Mutex<Vec<u32>>,
    is_new: AtomicBool,
    has_taken_place: AtomicBool,
    was_told: AtomicBool,
    was_listed: AtomicBool,
    watches: [TableWatch; FollowedTable::ALL.len()],
    news: Notify,
}

impl Peers {
    /// Makes the others of an instance in an availability zone, of whom none is known.
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

    /// Returns the short form of this instance's availability zone.
    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    /// Notes that a peer has told what the caches hold.
    pub(super) fn record_told(&self) {
        self.was_told.store(true, Ordering::Release);
    }

    /// Returns how far a table has been followed.
    pub fn version_of(&self, table: FollowedTable) -> &TableVersion {
        self.watch_of(table).version()
    }

    /// Returns the watch over a table.
    pub fn watch_of(&self, table: FollowedTable) -> &TableWatch {
        &self.watches[table as usize]
    }

    /// Takes in what the instance at an address tells of its watches over the tables.
    pub(super) fn take_in_watches(&self, digest: &Digest, from: SocketAddr, now: Millis) {
        for (table, told) in FollowedTable::ALL.into_iter().zip(&digest.watches) {
            self.watch_of(table).merge(from, told, now);
        }
    }

    /// Returns whether this instance is to follow a table by calls of its own. Among few each does, since
    /// their calls cost little; among many one in each availability zone.
    pub fn follows(&self, table: FollowedTable, now: Millis) -> bool {
        let known = self.known.lock().expect("no panic under this lock");
        if known.len() <= FEW_PEERS {
            return true;
        }
        let is_able = !self.watch_of(table).is_unable(now);
        let own = Candidate { rank: rank_in(self.number(), table), is_able };
        let others = self.zone_peers_heard(&known, now).map(|(_, peer)| Candidate {
            rank: rank_in(peer.number, table),
            is_able: peer.is_able[table as usize],
        });
        is_chosen(&own, others)
    }

    /// Returns the address of the instance that tells other availability zones of this one, and this one
    /// of them; `None` if it is this instance.
    pub(super) fn zone_teller(&self, now: Millis) -> Option<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        self.teller_among(self.zone_peers_heard(&known, now))
    }

    /// Returns the address of the one of `zone_peers` that tells for the availability zone; `None` if this
    /// instance ranks before all of them.
    fn teller_among<'k>(
        &self,
        zone_peers: impl Iterator<Item = (SocketAddr, &'k Peer)>,
    ) -> Option<SocketAddr> {
        let best = zone_peers.map(|(address, peer)| (teller_rank(peer.number), address)).max();
        let best = best.filter(|(best, _)| *best > teller_rank(self.number()));
        best.map(|(_, address)| address)
    }

    /// Returns the other instances of the own availability zone that were heard of late.
    fn zone_peers_heard<'k>(
        &'k self,
        known: &'k HashMap<SocketAddr, Known>,
        now: Millis,
    ) -> impl Iterator<Item = (SocketAddr, &'k Peer)> {
        let zone_peers = known.iter().filter(|(_, known)| known.zone == Some(self.zone));
        let heard =
            zone_peers.filter_map(|(address, known)| Some((*address, known.peer.as_ref()?)));
        heard.filter(move |(_, peer)| peer.heard_at + FOLLOWER_TIMEOUT > now)
    }

    /// Notes that the instance was heard which tells for another availability zone.
    pub(super) fn hear_zone(&self, zone: u32, now: Millis) {
        self.zones.lock().expect("no panic under this lock").insert(zone, now);
    }

    /// Returns the other availability zones in which instances are known.
    pub(super) fn far_zones(&self) -> Vec<u32> {
        let known = self.known.lock().expect("no panic under this lock");
        let zones = known.values().filter_map(|known| known.zone);
        let zones: HashSet<u32> = zones.filter(|zone| *zone != self.zone).collect();
        zones.into_iter().collect()
    }

    /// Returns the addresses of the instances that are known in an availability zone.
    pub(super) fn instances_of(&self, zone: u32) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let of_zone = known.iter().filter(|(_, known)| known.zone == Some(zone));
        of_zone.map(|(address, _)| *address).collect()
    }

    /// Returns the addresses of the instances in other availability zones, once after this one was
    /// listed. They don't hear of it otherwise.
    pub(super) fn take_introductions(&self) -> Vec<SocketAddr> {
        if !self.is_new.swap(false, Ordering::AcqRel) || self.is_full_mesh() {
            return Vec::new();
        }
        self.far_zones().into_iter().flat_map(|zone| self.instances_of(zone)).collect()
    }

    /// Has the peers told at once of what this instance has in flight. News that come before the
    /// last have been told are told together.
    pub fn announce(&self) {
        self.news.notify_one();
    }

    /// Has the instances of the availability zone told at once that this one has taken a place of an engine
    /// which is nearly full.
    ///
    /// Several would otherwise send their next streams to the same last place, and all but one of them
    /// would wait there while other engines have room.
    pub(crate) fn announce_slot(&self) {
        self.has_taken_place.store(true, Ordering::Release);
        self.announce();
    }

    /// Returns whether a place was taken that the others have not been told of.
    pub(super) fn take_place_news(&self) -> bool {
        self.has_taken_place.swap(false, Ordering::AcqRel)
    }

    /// Has the peers told at once if they are few. Among many, a datagram to each for the end of
    /// each work fills the slowest links, and the answers that instances send over them are late.
    pub(crate) fn announce_in_full_mesh(&self) {
        if self.is_full_mesh() {
            self.announce();
        }
    }

    /// Returns whether the peers are so few that every digest goes to each.
    pub(crate) fn is_full_mesh(&self) -> bool {
        self.known.lock().expect("no panic under this lock").len() <= FEW_PEERS
    }

    /// Waits until there is something to be told at once.
    pub async fn announced(&self) {
        self.news.notified().await;
    }

    /// Returns whether a peer has told what the caches hold.
    pub(super) fn was_told(&self) -> bool {
        self.was_told.load(Ordering::Acquire)
    }

    /// Adds an address at which an instance may run.
    pub fn add(&self, address: SocketAddr) {
        self.known.lock().expect("no panic under this lock").entry(address).or_default();
    }

    /// Notes that this instance is listed and has read who else is.
    pub(super) fn record_listed(&self) {
        self.was_listed.store(true, Ordering::Release);
        self.is_new.store(true, Ordering::Release);
    }

    /// Adds an address at which an instance of an availability zone may run.
    pub(super) fn add_in_zone(&self, address: SocketAddr, zone: Option<u32>) {
        let mut known = self.known.lock().expect("no panic under this lock");
        let known = known.entry(address).or_default();
        known.zone = known.zone.or(zone);
    }

    /// Notes that an instance was heard. Returns whether it is a new one.
    pub(super) fn hear(&self, address: SocketAddr, digest: &Digest, now: Millis) -> bool {
        let is_able = digest.watches.map(|watch| !watch.is_unable);
        let mut known = self.known.lock().expect("no panic under this lock");
        let known = known.entry(address).or_default();
        known.zone = Some(digest.zone);
        match &mut known.peer {
            Some(peer) if peer.number == digest.from => {
                (peer.heard_at, peer.is_able) = (now, is_able);
                false
            }
            peer => {
                let number = digest.from;
                *peer = Some(Peer { number, heard_at: now, is_able, busy: Vec::new() });
                true
            }
        }
    }

    /// Notes the engines at which an instance tells of work, its own or that of all other zones, and
    /// returns those of the last time.
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

    /// Notes further engines at which an instance tells of work.
    pub(super) fn add_busy(&self, address: SocketAddr, busy: Vec<u32>) {
        let mut known = self.known.lock().expect("no panic under this lock");
        let peer = known.get_mut(&address).and_then(|known| known.peer.as_mut());
        if let Some(peer) = peer {
            let new = busy.into_iter().filter(|engine| !peer.busy.contains(engine));
            let new: Vec<u32> = new.collect();
            peer.busy.extend(new);
        }
    }

    /// Returns the addresses to tell.
    pub fn addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let current = known.iter().filter(|(_, known)| known.may_run(now));
        current.map(|(address, _)| *address).collect()
    }

    /// Returns the addresses in this instance's availability zone, and those whose zone is not known.
    pub(super) fn zone_peers(&self, now: Millis) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let current = known.iter().filter(|(_, known)| {
            known.zone.is_none_or(|zone| zone == self.zone) && known.may_run(now)
        });
        current.map(|(address, _)| *address).collect()
    }

    /// Returns how many peers were heard of late.
    pub fn live_peers(&self, now: Millis) -> usize {
        let known = self.known.lock().expect("no panic under this lock");
        let heard = known.values().filter_map(|known| known.peer.as_ref());
        heard.filter(|peer| peer.heard_at + PEER_AGE > now).count()
    }

    /// Returns how many instances there are at most, this one among them. It counts the silent ones,
    /// which may run behind a cut.
    pub fn instances(&self) -> usize {
        let known = self.known.lock().expect("no panic under this lock").len() + 1;
        if self.was_listed.load(Ordering::Acquire) { known } else { known.max(UNLISTED_INSTANCES) }
    }

    /// Returns whether this instance is to act for all: the least among few, and among many the one that
    /// tells for the first of the availability zones that are heard.
    pub fn is_first(&self, now: Millis) -> bool {
        if self.is_full_mesh() {
            return self.is_least_beside(None, now);
        }
        let zones = self.zones.lock().expect("no panic under this lock");
        let mut heard = zones.iter().filter(|(_, at)| **at + PEER_AGE > now);
        heard.all(|(zone, _)| self.zone < *zone) && self.zone_teller(now).is_none()
    }

    /// Returns the addresses of the `count` instances of the availability zone that tell for it, or would
    /// next, without this one.
    pub(super) fn tellers(&self, count: usize, now: Millis) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let heard = self.zone_peers_heard(&known, now);
        let mut ranked: Vec<_> =
            heard.map(|(address, peer)| (teller_rank(peer.number), address)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns this instance's rank among those that act for all, from 0; `None` if it is none of them.
    /// Among few it is the place of its number, and among many each availability zone has one.
    pub fn duty_rank(&self, now: Millis) -> Option<usize> {
        if self.is_full_mesh() {
            let known = self.known.lock().expect("no panic under this lock");
            let heard = known.values().filter_map(|known| known.peer.as_ref());
            let running = heard.filter(|peer| peer.heard_at + PEER_AGE > now);
            return Some(running.filter(|peer| peer.number < self.number()).count());
        }
        if self.zone_teller(now).is_some() {
            return None;
        }
        let zones = self.zones.lock().expect("no panic under this lock");
        let heard = zones.iter().filter(|(_, at)| **at + PEER_AGE > now);
        Some(heard.filter(|(zone, _)| **zone < self.zone).count())
    }

    /// Returns whether this instance is to tell a new one what it knows: the least among few, and among
    /// many the one that tells for its availability zone, with the new one left out.
    pub(super) fn introduces(&self, new: SocketAddr, now: Millis) -> bool {
        if self.is_full_mesh() {
            return self.is_least_beside(Some(new), now);
        }
        let known = self.known.lock().expect("no panic under this lock");
        let is_zone_peer = known.get(&new).is_some_and(|known| known.zone == Some(self.zone));
        let others = self.zone_peers_heard(&known, now).filter(|(address, _)| *address != new);
        is_zone_peer && self.teller_among(others).is_none()
    }

    fn is_least_beside(&self, other: Option<SocketAddr>, now: Millis) -> bool {
        let known = self.known.lock().expect("no panic under this lock");
        let others = known.iter().filter(|(address, _)| Some(**address) != other);
        let heard = others.filter_map(|(_, known)| known.peer.as_ref());
        let mut running = heard.filter(|peer| peer.heard_at + PEER_AGE > now);
        running.all(|peer| self.number() < peer.number)
    }
}

/// Returns the rank of the instance with a number among those that could tell for their zone.
fn teller_rank(number: u64) -> u64 {
    rank_of(number, hash_of(&number))
}

/// Returns the rank of the instance with a number among those that could follow a table.
fn rank_in(number: u64, table: FollowedTable) -> u64 {
    rank_of(number, hash_of(&(number, table)))
}
