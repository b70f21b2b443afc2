//! Retains the latest changes in memory for watchers.

use std::collections::VecDeque;

use anvilhook_core::resources::AuditEntry;
use anvilhook_core::units::Revision;

/// `History` contains the latest changes without a gap, up to a maximum number.
#[derive(Clone, Debug)]
pub struct History {
    /// The revision after which all changes are retained.
    floor: Revision,
    entries: VecDeque<AuditEntry>,
    max_entries: usize,
}

impl History {
    /// Creates an empty history.
    pub fn new(max_entries: usize) -> Self {
        Self { floor: Revision::default(), entries: VecDeque::new(), max_entries }
    }

    /// Returns the revision of the latest change.
    pub fn last(&self) -> Revision {
        Revision(self.floor.0 + self.entries.len() as u64)
    }

    /// Records that revision `now` is applied, and the known changes that led to it.
    ///
    /// If some changes are missing, everything before `now` is dropped: a watcher that received the
    /// changes around a gap would keep a resource that was deleted in the gap.
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

    /// Returns up to `limit` changes after a revision, or `None` if some of them are not retained.
    pub fn since(&self, after: Revision, limit: usize) -> Option<Vec<AuditEntry>> {
        let skip = after.0.checked_sub(self.floor.0)? as usize;
        Some(self.entries.iter().skip(skip).take(limit).cloned().collect())
    }
}
