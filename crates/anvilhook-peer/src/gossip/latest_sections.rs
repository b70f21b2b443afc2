//! Stores the newest section of one kind from each instance and merges received sections.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::Millis;

use super::messages::Item;
use super::sections::Section;

/// `SectionBounds` limits which sections of a kind are accepted and retained.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SectionBounds {
    /// The age beyond which a section is ignored.
    pub max_age: Millis,
    /// The maximum number of links that a section crosses.
    pub max_hops: u8,
    /// The maximum number of origins that are retained.
    pub max_origins: usize,
    /// How long the section of an origin that is not announced is retained.
    pub retention: Millis,
}

/// `ReceivedSection` is a section with its age and the time of its receipt.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedSection<T> {
    /// The section's number among the origin's sections of this kind.
    pub version: u64,
    /// When the section was received, on this instance's clock.
    pub received_at: Millis,
    /// How old the section was when it was received.
    pub age: Millis,
    /// The section's content.
    pub body: Arc<T>,
}

impl<T> ReceivedSection<T> {
    /// Returns how long ago the section was written.
    pub fn age_at(&self, now: Millis) -> Millis {
        self.age + (now - self.received_at)
    }
}

#[derive(Clone, Debug)]
struct Entry<T> {
    received: ReceivedSection<T>,
    hops: u8,
    // An expired section stays as a marker. Without it, an older section that arrives late would be
    // accepted as new, because its age on the wire excludes the time in transit.
    expired: bool,
}

/// `LatestSections` holds the newest section of one kind from each instance.
#[derive(Debug)]
pub struct LatestSections<T> {
    bounds: SectionBounds,
    entries: BTreeMap<InstanceName, Entry<T>>,
}

impl<T: Section> LatestSections<T> {
    /// Creates an empty collection.
    pub fn new(bounds: SectionBounds) -> Self {
        Self { bounds, entries: BTreeMap::new() }
    }

    /// Sets the maximum number of links that a section crosses.
    pub fn set_max_hops(&mut self, max_hops: u8) {
        self.bounds.max_hops = max_hops;
    }

    /// Stores an instance's own section under the next number.
    pub fn write(&mut self, origin: &InstanceName, body: T, now: Millis) {
        let version = self.version(origin) + 1;
        let received =
            ReceivedSection { version, received_at: now, age: Millis::ZERO, body: Arc::new(body) };
        self.entries.insert(origin.clone(), Entry { received, hops: 0, expired: false });
    }

    /// Returns the highest number seen from an origin, or zero if there is none.
    pub fn version(&self, origin: &InstanceName) -> u64 {
        self.entries.get(origin).map_or(0, |entry| entry.received.version)
    }

    /// Merges a section and returns whether it was new.
    pub fn merge(
        &mut self,
        item: &Item<T>,
        announced: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> bool {
        let is_orphaned = !announced.contains(&item.origin) && item.age > self.bounds.retention;
        if item.age > self.bounds.max_age || item.hops > self.bounds.max_hops || is_orphaned {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(&item.origin) {
            // A copy that arrived over fewer links can be relayed further.
            if entry.received.version == item.version {
                entry.hops = entry.hops.min(item.hops);
            }
            if entry.received.version >= item.version {
                return false;
            }
        } else if self.entries.len() >= self.bounds.max_origins {
            return false;
        }
        let received = ReceivedSection {
            version: item.version,
            received_at: now,
            age: item.age,
            body: Arc::clone(&item.body),
        };
        self.entries
            .insert(item.origin.clone(), Entry { received, hops: item.hops, expired: false });
        true
    }

    /// Expires old sections, removes unannounced origins whose section is older than the retention
    /// time, and returns whether the set of unexpired sections changed.
    pub fn expire(&mut self, announced: &BTreeSet<InstanceName>, now: Millis) -> bool {
        let bounds = self.bounds;
        let mut changed = false;
        for entry in self.entries.values_mut() {
            if !entry.expired && entry.received.age_at(now) > bounds.max_age {
                entry.expired = true;
                changed = true;
            }
        }
        self.entries.retain(|origin, entry| {
            let is_retained =
                announced.contains(origin) || entry.received.age_at(now) <= bounds.retention;
            changed |= !is_retained && !entry.expired;
            is_retained
        });
        changed
    }

    /// Returns the sections to send to a partner that has the given numbers.
    pub fn updates_for<'a>(
        &'a self,
        known: &'a BTreeMap<InstanceName, u64>,
        now: Millis,
    ) -> impl Iterator<Item = Item<T>> + 'a {
        let max_hops = self.bounds.max_hops;
        let fresh = self.entries.iter().filter(move |(origin, entry)| {
            let is_known = known.get(*origin).is_some_and(|v| *v >= entry.received.version);
            !entry.expired && entry.hops < max_hops && !is_known
        });
        fresh.map(move |(origin, entry)| Item {
            origin: origin.clone(),
            version: entry.received.version,
            age: entry.received.age_at(now),
            hops: entry.hops + 1,
            body: Arc::clone(&entry.received.body),
        })
    }

    /// Returns the unexpired sections of all instances except `me`.
    pub fn from_others(&self, me: &InstanceName) -> BTreeMap<InstanceName, ReceivedSection<T>> {
        let others = self.entries.iter().filter(|(origin, entry)| *origin != me && !entry.expired);
        others.map(|(origin, entry)| (origin.clone(), entry.received.clone())).collect()
    }
}
