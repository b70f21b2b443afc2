//! The other instances: which run, and how they find each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilhook_core::units::Millis;
use anvilhook_core::watches::{Candidate, FOLLOWER_SILENCE, is_chosen};
use tokio::sync::Notify;

use super::digests::Digest;
use super::versions::{FollowedTable, TableVersion};
use super::watches::TableWatch;
use crate::events::{Event, emit};
use crate::hashes::hash_of;
use crate::tables::{Table, TableError, Write, Written};

/// The most peers that every digest goes to.
const FEW_PEERS: usize = 12;

/// How long a peer that is not heard counts as running.
const PEER_AGE: Millis = Millis(2_000);

/// The table of the instances' addresses.
const PEER_TABLE: &str = "anvilhook_instances";

/// The pause after a failed call to the table.
const TABLE_PAUSE: Duration = Duration::from_millis(700);

/// How many instances there are believed to be, at least, until the table has been read. The budget
/// for extra arrivals is divided among them, so a guess too low would break its bound.
const UNLISTED_INSTANCES: usize = 24;

/// `Peer` is another instance.
#[derive(Clone, Debug)]
struct Peer {
    number: u64,
    /// The short form of its availability zone.
    zone: u32,
    heard_at: Millis,
    /// Whether it reached each followed table when it tried last.
    is_able: [bool; FollowedTable::ALL.len()],
    /// The engines at which it told of work the last time.
    busy: Vec<u32>,
}

/// `Peers` is the other instances that are known.
#[derive(Debug, Default)]
pub struct Peers {
    /// This instance's own number and the short form of its availability zone.
    number: AtomicU64,
    zone: u32,
    known: Mutex<HashMap<SocketAddr, Option<Peer>>>,
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
    pub(super) fn number(&self) -> u64 {
        self.number.load(Ordering::Acquire)
    }

    /// Returns the short form of this instance's availability zone.
    pub(super) fn zone(&self) -> u32 {
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

    /// Returns whether this instance is to follow a table by calls of its own. Among few each does, since
    /// their calls cost little; among many one in each availability zone.
    pub fn follows(&self, table: FollowedTable, now: Millis) -> bool {
        let known = self.known.lock().expect("no panic under this lock");
        if known.len() <= FEW_PEERS {
            return true;
        }
        let rank_of = |number: u64| hash_of(&(number, table));
        let is_able = !self.watch_of(table).is_unable(now);
        let own = Candidate { rank: rank_of(self.number()), is_able };
        let mates = known
            .values()
            .flatten()
            .filter(|peer| peer.zone == self.zone && peer.heard_at + FOLLOWER_SILENCE > now);
        let others = mates.map(|peer| Candidate {
            rank: rank_of(peer.number),
            is_able: peer.is_able[table as usize],
        });
        is_chosen(&own, others)
    }

    /// Has the peers told at once of what this instance has in flight. News that come before the
    /// last have been told are told together.
    pub(crate) fn announce(&self) {
        self.news.notify_one();
    }

    /// Has the peers told at once if they are few. Among many, a datagram to each for the end of
    /// each work fills the slowest links: of 68 instances those with 10 Mbit/s answered plain
    /// requests a second late.
    pub(crate) fn announce_to_few(&self) {
        if self.are_few() {
            self.announce();
        }
    }

    /// Returns whether the peers are so few that every digest goes to each.
    pub(crate) fn are_few(&self) -> bool {
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
        self.known.lock().expect("no panic under this lock").entry(address).or_insert(None);
    }

    /// Notes that an instance was heard. Returns whether it is a new one.
    pub(super) fn hear(&self, address: SocketAddr, digest: &Digest, now: Millis) -> bool {
        let is_able = digest.watches.map(|watch| !watch.is_unable);
        let mut known = self.known.lock().expect("no panic under this lock");
        let peer = known.entry(address).or_insert(None);
        match peer {
            Some(peer) if peer.number == digest.from => {
                (peer.heard_at, peer.is_able) = (now, is_able);
                false
            }
            _ => {
                let (number, zone) = (digest.from, digest.zone);
                *peer = Some(Peer { number, zone, heard_at: now, is_able, busy: Vec::new() });
                true
            }
        }
    }

    /// Notes the engines at which an instance tells of work, and returns those of the last time.
    pub(super) fn replace_busy(&self, address: SocketAddr, busy: Vec<u32>) -> Vec<u32> {
        let mut known = self.known.lock().expect("no panic under this lock");
        let peer = known.get_mut(&address).and_then(Option::as_mut);
        peer.map(|peer| std::mem::replace(&mut peer.busy, busy)).unwrap_or_default()
    }

    /// Returns the addresses to tell.
    pub fn addresses(&self, now: Millis) -> Vec<SocketAddr> {
        self.addresses_of(now, |_| true)
    }

    /// Returns the addresses in this instance's availability zone, and those whose zone is not known.
    pub(super) fn mates(&self, now: Millis) -> Vec<SocketAddr> {
        self.addresses_of(now, |peer| peer.zone == self.zone)
    }

    fn addresses_of(&self, now: Millis, is_wanted: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no panic under this lock");
        let current = known.iter().filter(|(_, peer)| {
            // Whoever was heard once and fell silent is gone; a restart is heard by itself.
            let is_current = |peer: &Peer| peer.heard_at + PEER_AGE * 5 > now && is_wanted(peer);
            peer.as_ref().is_none_or(is_current)
        });
        current.map(|(address, _)| *address).collect()
    }

    /// Returns how many peers were heard of late.
    pub fn heard(&self, now: Millis) -> usize {
        let known = self.known.lock().expect("no panic under this lock");
        known.values().flatten().filter(|peer| peer.heard_at + PEER_AGE > now).count()
    }

    /// Returns how many instances there are at most, this one among them. It counts the silent ones,
    /// which may run behind a cut.
    pub fn instances(&self) -> usize {
        let known = self.known.lock().expect("no panic under this lock").len() + 1;
        if self.was_listed.load(Ordering::Acquire) { known } else { known.max(UNLISTED_INSTANCES) }
    }

    /// Returns whether `number` is the least among the instances that run.
    pub fn is_first(&self, number: u64, now: Millis) -> bool {
        self.is_least(number, now, |_| true)
    }

    /// Returns the same of this instance, with the one at `other` left out.
    pub(super) fn is_first_beside(&self, other: SocketAddr, now: Millis) -> bool {
        self.is_least(self.number(), now, |address| address != other)
    }

    fn is_least(&self, number: u64, now: Millis, counts: impl Fn(SocketAddr) -> bool) -> bool {
        let known = self.known.lock().expect("no panic under this lock");
        let others = known.iter().filter(|(address, _)| counts(**address));
        let running = others
            .filter_map(|(_, peer)| peer.as_ref())
            .filter(|peer| peer.heard_at + PEER_AGE > now);
        running.map(|peer| peer.number).all(|other| number < other)
    }
}

/// Lists this instance in the table, and learns who else is listed. Of two instances that start
/// together, each lists itself before it reads, so at least one learns of the other and tells it.
pub async fn register<T: Table>(table: T, name: String, address: SocketAddr, peers: Arc<Peers>) {
    loop {
        match try_register(&table, &name, address, &peers).await {
            Ok(()) => return,
            Err(err) => {
                emit(&Event::DependencyLost { dependency: PEER_TABLE, cause: err.to_string() });
                tokio::time::sleep(TABLE_PAUSE).await;
            }
        }
    }
}

async fn try_register<T: Table>(
    table: &T,
    name: &str,
    address: SocketAddr,
    peers: &Peers,
) -> Result<(), TableError> {
    let own = address.to_string();
    let value = bytes::Bytes::from(own.clone());
    // Most instances are new to the table; the row of an earlier start is found by the conflict.
    let write = Write { key: name.to_owned(), expected: 0, value: value.clone() };
    let written = table.write(PEER_TABLE, write).await?;
    let rows = table.scan(PEER_TABLE).await?;
    for row in &rows.rows {
        let text = row.value.as_ref().and_then(|value| std::str::from_utf8(value).ok());
        let listed: Option<SocketAddr> = text.and_then(|text| text.parse().ok());
        let listed = listed.filter(|listed| *listed != address);
        if row.key != name {
            listed.into_iter().for_each(|listed| peers.add(listed));
        } else if written == Written::Conflict && text != Some(own.as_str()) {
            let write = Write { key: name.to_owned(), expected: row.version, value: value.clone() };
            table.write(PEER_TABLE, write).await?;
        }
    }
    peers.was_listed.store(true, Ordering::Release);
    Ok(())
}
