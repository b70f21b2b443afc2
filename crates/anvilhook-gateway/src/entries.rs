//! Stores the upstreams' entries. Entries that lapse during an outage of the table get a grace
//! period, and reports older than the stored ones are ignored.

use std::collections::HashMap;
use std::sync::Arc;

use anvilhook_core::start_history::{StartHistory, StartReport};
use anvilhook_core::units::Millis;

use crate::fleets::Entry;

/// How long after the table becomes reachable again a lapsed entry may take to return.
const LAPSE_GRACE: Millis = Millis(2_200);

/// How long after the table was last known to be unreachable a lapsed entry may take to return. The
/// end of an outage is noticed a second late if a call was sent just before that end, and an
/// upstream that left meanwhile would get work for that much longer.
const LAPSE_BOUND: Millis = Millis(2_700);

/// `Tombstone` is the record of a removed entry.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    /// The newest report that counts as old.
    last: StartReport,
    removed_at: Millis,
}

/// How long a removed entry's tombstone is retained.
const TOMBSTONE_AGE: Millis = Millis::from_secs(120);

/// `EntryRegistry` stores the upstreams' entries, including those that have lapsed and may still
/// return.
#[derive(Debug, Default)]
pub struct EntryRegistry {
    entries: HashMap<Arc<str>, Entry>,
    lapsed: HashMap<Arc<str>, Millis>,
    removed: HashMap<Arc<str>, Tombstone>,
    starts: HashMap<Arc<str>, StartHistory>,
    grace_until: Millis,
}

impl EntryRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Records that the table is reachable again. Entries may have lapsed because their upstreams
    /// could not report meanwhile; they get a grace period to return.
    pub fn regained(&mut self, now: Millis) {
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Limits the grace period for lapsed entries by the time at which the table was last known to
    /// be unreachable.
    pub fn bound_grace(&mut self, last_unreachable_at: Millis) {
        self.grace_until = self.grace_until.min(last_unreachable_at + LAPSE_BOUND);
    }

    /// Adds or updates an entry. Returns whether the current entries change.
    ///
    /// A delayed report may arrive after a newer one, or after the entry was removed. It would
    /// restore an upstream that is leaving or gone, and requests would be sent there. So an older
    /// report changes nothing, and leaving is never undone, except by a later start with the same
    /// id: its numbers begin again, and it has not been ordered to leave.
    pub fn put(&mut self, mut entry: Entry) -> bool {
        let id = Arc::clone(&entry.id);
        let history = self.starts.entry(Arc::clone(&id)).or_default();
        if let Some(removed) = self.removed.get(&id) {
            let is_old = match entry.born == removed.last.born {
                true => entry.sequence <= removed.last.sequence,
                false => !history.supersedes(&entry.report(), &removed.last),
            };
            if is_old {
                return false;
            }
        }
        if let Some(known) = self.entries.get(&id) {
            if known.is_same_start(&entry) {
                if entry.sequence < known.sequence {
                    return false;
                }
                entry.draining |= known.draining;
                if entry.sequence > known.sequence {
                    history.record_current();
                }
            } else {
                let was_leaving = history.was_leaving(entry.born);
                if !history.supersedes(&entry.report(), &known.report()) {
                    return false;
                }
                entry.draining |= was_leaving;
            }
        }
        self.removed.remove(&id);
        self.lapsed.remove(&id);
        self.entries.insert(id, entry.clone()) != Some(entry)
    }

    /// Removes an entry. In the grace period, an entry that is not leaving counts as lapsed
    /// instead. Returns whether the current entries change.
    pub fn remove(&mut self, id: &str, now: Millis) -> bool {
        self.remove_published(id, now, now)
    }

    /// Removes an entry like `remove`, if another instance has published at `published_at` that it has read
    /// the removal.
    ///
    /// The table was reachable then, so a lapsed entry returns within the grace period after that time. If
    /// the period began when this instance receives the row, a removed upstream would get work for as long
    /// as the row was delayed.
    pub fn remove_published(&mut self, id: &str, published_at: Millis, now: Millis) -> bool {
        let Some((id, entry)) = self.entries.get_key_value(id) else { return false };
        let id = Arc::clone(id);
        let until = self.grace_until.min(published_at + LAPSE_GRACE);
        if now < until && !entry.draining {
            let lapsed = self.lapsed.entry(id).or_insert(until);
            *lapsed = until.min(*lapsed);
            return false;
        }
        self.lapsed.remove(&id);
        self.drop_entry(&id, now);
        true
    }

    /// Removes an entry because its row can no longer be decoded. Returns whether the current
    /// entries change. The upstream's own next report restores it.
    pub fn discard(&mut self, id: &str, now: Millis) -> bool {
        self.lapsed.remove(id);
        let Some(entry) = self.entries.remove(id) else { return false };
        let sequence = entry.sequence.saturating_sub(1);
        let last = StartReport { sequence, draining: false, ..entry.report() };
        self.removed.insert(entry.id, Tombstone { last, removed_at: now });
        true
    }

    /// Applies a full scan: entries that are missing from it were removed.
    pub fn reset(&mut self, entries: Vec<Entry>, now: Millis) -> bool {
        let missing: Vec<_> = self.entries.keys().cloned().collect();
        let listed: Vec<_> = entries.iter().map(|entry| Arc::clone(&entry.id)).collect();
        let mut has_changed = false;
        for entry in entries {
            has_changed |= self.put(entry);
        }
        for id in missing.iter().filter(|id| !listed.contains(id)) {
            has_changed |= self.remove(id, now);
        }
        has_changed
    }

    /// Drops lapsed entries that have not returned in time. Returns whether the current entries
    /// change.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.removed.retain(|_, removed| removed.removed_at + TOMBSTONE_AGE > now);
        let (entries, removed) = (&self.entries, &self.removed);
        self.starts.retain(|id, _| entries.contains_key(id) || removed.contains_key(id));
        let due: Vec<_> = self.lapsed.iter().filter(|(_, until)| **until <= now).collect();
        let due: Vec<_> = due.into_iter().map(|(id, _)| Arc::clone(id)).collect();
        for id in &due {
            self.lapsed.remove(id);
            self.drop_entry(id, now);
        }
        !due.is_empty()
    }

    /// Returns when the next lapsed entry expires, if any.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.lapsed.values().min().copied()
    }

    fn drop_entry(&mut self, id: &Arc<str>, now: Millis) {
        if let Some(entry) = self.entries.remove(id) {
            let last = StartReport { draining: false, ..entry.report() };
            let tombstone = Tombstone { last, removed_at: now };
            self.removed.insert(Arc::clone(id), tombstone);
        }
    }
}
