//! The latest changes in memory, for those who watch.

use std::collections::VecDeque;

use anvilhook_core::resources::AuditEntry;
use anvilhook_core::units::Revision;

/// `History` holds the latest changes without a gap, up to a bound.
#[derive(Clone, Debug)]
pub struct History {
    /// The changes after this revision are held.
    floor: Revision,
    entries: VecDeque<AuditEntry>,
    max_entries: usize,
}

impl History {
    /// Makes a history that holds no change yet.
    pub fn new(max_entries: usize) -> Self {
        Self { floor: Revision::default(), entries: VecDeque::new(), max_entries }
    }

    /// Returns the revision of the latest change.
    pub fn last(&self) -> Revision {
        Revision(self.floor.0 + self.entries.len() as u64)
    }

    /// Takes note that `now` is in force, and of the changes that led there as far as known.
    ///
    /// If some are lacking, everything before `now` is forgotten: a watcher that was given the
    /// changes around a gap would keep a resource that was deleted in it.
    pub fn record(&mut self, entries: &[AuditEntry], now: Revision) {
        for entry in entries {
            if entry.revision.0 == self.last().0 + 1 {
                self.entries.push_back(entry.clone());
            }
        }
        if self.last() != now {
            self.entries.clear();
            self.floor = now;
        }
        while self.entries.len() > self.max_entries {
            self.entries.pop_front();
            self.floor = Revision(self.floor.0 + 1);
        }
    }

    /// Returns up to `limit` changes after a revision, or nothing if some of them are not held.
    pub fn since(&self, after: Revision, limit: usize) -> Option<Vec<AuditEntry>> {
        let skip = after.0.checked_sub(self.floor.0)? as usize;
        Some(self.entries.iter().skip(skip).take(limit).cloned().collect())
    }
}
