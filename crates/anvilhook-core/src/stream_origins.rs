//! Remembers which software began each stream, so that no other software continues it.
//!
//! Designed for: upstreams of several software versions that serve one service side by side and whose events don't
//! fit together, instances that are killed or cut off while they relay streams, and callers that continue a broken
//! stream at any instance within seconds. A few instances in several availability zones keep a copy of each origin.
//! A stream whose origin none of them knows is not continued.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fingerprints::Fingerprint;
use crate::units::Millis;

/// The number of other instances that keep a copy of each origin.
pub const REPLICAS: usize = 4;

/// The number of instances that are queried for an origin. It exceeds [`REPLICAS`] because two instances may differ
/// in which others they know.
pub const QUERIED_REPLICAS: usize = 6;

/// How long an origin is kept: longer than callers wait for their answers.
const RETENTION: Millis = Millis::from_secs(60);

/// The maximum number of origins that an instance keeps.
const MAX_ORIGINS: usize = 16_384;

/// The maximum number of origins that an instance keeps of requests with the same fingerprint.
const MAX_REPEATS: usize = 32;

/// `Software` identifies software whose events fit together.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Software(pub u32);

impl Software {
    /// The software of no upstream.
    pub const NONE: Software = Software(0);
}

/// `StreamOrigin` is the software that began the stream of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The hash of the request's id.
    pub request: u32,
    /// The software.
    pub software: Software,
}

/// `Finding` is what the known origins show of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// This software began it.
    Known(Software),
    /// No origin of it is known.
    Missing,
    /// The known origins contradict each other.
    Ambiguous,
}

/// Returns which software began a stream, by the known origins of requests with its fingerprint.
///
/// `request` is the hash of the id under which the stream began. A caller that does not name it may continue any
/// of these streams, so they must all have begun at the same software.
///
/// ```
/// use anvilhook_core::stream_origins::{Finding, Software, StreamOrigin, find};
///
/// let first = StreamOrigin { request: 1, software: Software(10) };
/// let second = StreamOrigin { request: 2, software: Software(20) };
/// assert_eq!(find(Some(2), &[first, second]), Finding::Known(Software(20)));
/// assert_eq!(find(Some(3), &[first, second]), Finding::Missing);
/// assert_eq!(find(None, &[first, second]), Finding::Ambiguous);
/// assert_eq!(find(None, &[first]), Finding::Known(Software(10)));
/// ```
pub fn find(request: Option<u32>, origins: &[StreamOrigin]) -> Finding {
    let matching = origins.iter().filter(|one| request.is_none_or(|id| id == one.request));
    let mut software = matching.map(|origin| origin.software);
    let Some(first) = software.next() else { return Finding::Missing };
    if software.all(|other| other == first) { Finding::Known(first) } else { Finding::Ambiguous }
}

/// `Recorded` is an origin and when it was recorded.
#[derive(Clone, Copy, Debug)]
struct Recorded {
    origin: StreamOrigin,
    at: Millis,
}

/// `OriginTable` holds the origins that one instance keeps.
///
/// ```
/// use anvilhook_core::fingerprints::Fingerprint;
/// use anvilhook_core::stream_origins::{OriginTable, Software, StreamOrigin};
/// use anvilhook_core::units::Millis;
///
/// let mut table = OriginTable::default();
/// let origin = StreamOrigin { request: 1, software: Software(10) };
/// table.record(Fingerprint(7), origin, Millis(0));
/// assert_eq!(table.origins(Fingerprint(7), Millis(59_999)), [origin]);
/// assert_eq!(table.origins(Fingerprint(7), Millis(60_000)), []);
/// ```
#[derive(Debug, Default)]
pub struct OriginTable {
    by_request: HashMap<Fingerprint, Vec<Recorded>>,
    /// The records in the order of their times.
    order: VecDeque<(Millis, Fingerprint)>,
}

impl OriginTable {
    /// Records an origin. The oldest records are dropped if there are too many.
    pub fn record(&mut self, fingerprint: Fingerprint, origin: StreamOrigin, now: Millis) {
        self.expire(now);
        let recorded = self.by_request.entry(fingerprint).or_default();
        if recorded.iter().any(|one| one.origin == origin) {
            return;
        }
        if recorded.len() >= MAX_REPEATS {
            recorded.remove(0);
        }
        recorded.push(Recorded { origin, at: now });
        self.order.push_back((now, fingerprint));
        while self.order.len() > MAX_ORIGINS {
            self.drop_oldest();
        }
    }

    /// Returns the origins of requests with a fingerprint.
    pub fn origins(&self, fingerprint: Fingerprint, now: Millis) -> Vec<StreamOrigin> {
        let recorded = self.by_request.get(&fingerprint).map_or(&[][..], Vec::as_slice);
        let current = recorded.iter().filter(|one| one.at + RETENTION > now);
        current.map(|one| one.origin).collect()
    }

    /// Returns the number of origins.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether there are no origins.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn expire(&mut self, now: Millis) {
        while self.order.front().is_some_and(|(at, _)| *at + RETENTION <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else { return };
        let Some(recorded) = self.by_request.get_mut(&fingerprint) else { return };
        recorded.retain(|one| one.at > at);
        if recorded.is_empty() {
            self.by_request.remove(&fingerprint);
        }
    }
}

/// `Replica` is an instance that may keep the origin of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replica<A> {
    /// Its address.
    pub address: A,
    /// Its availability zone, if known.
    pub zone: Option<u32>,
    /// The hash of the stream and the instance, by which all instances choose the same replicas.
    pub hash: u64,
}

/// Chooses `count` replicas of a stream and returns their addresses. The first ones are in different availability
/// zones, so that the loss of one zone leaves a copy.
///
/// ```
/// use anvilhook_core::stream_origins::{Replica, choose_replicas};
///
/// let replica = |address, zone, hash| Replica { address, zone: Some(zone), hash };
/// let all = vec![replica("a1", 1, 9), replica("a2", 1, 8), replica("b1", 2, 3)];
/// assert_eq!(choose_replicas(all.clone(), 2), ["a1", "b1"]);
/// assert_eq!(choose_replicas(all, 9), ["a1", "b1", "a2"]);
/// ```
pub fn choose_replicas<A: Copy + Ord>(mut replicas: Vec<Replica<A>>, count: usize) -> Vec<A> {
    replicas.sort_unstable_by_key(|one| std::cmp::Reverse((one.hash, one.address)));
    let mut chosen = Vec::with_capacity(count);
    while !replicas.is_empty() && chosen.len() < count {
        let mut zones = HashSet::new();
        let is_first = |one: &Replica<A>| zones.insert(one.zone);
        let (next, rest): (Vec<_>, Vec<_>) = replicas.into_iter().partition(is_first);
        replicas = rest;
        chosen.extend(next.iter().map(|one| one.address));
    }
    chosen.truncate(count);
    chosen
}
