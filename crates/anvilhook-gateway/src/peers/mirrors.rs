//! A local copy of a followed table, from which peers get the changes that they have missed.

use std::collections::{BTreeMap, HashSet};

use anvilhook_core::watches::Span;

use super::rows::RowChanges;
use crate::tables::{Row, Rows, TableRevision};

/// The number of removed rows that are remembered. A peer that has missed more reads the whole
/// table.
const MAX_REMOVED: usize = 256;

/// `Mirror` stores the rows of a table, and those that were recently removed.
#[derive(Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<String, Row>,
    /// The epoch of the store to which all versions belong.
    epoch: u64,
    /// The version up to which all changes are known.
    known: u64,
    /// The newest change.
    newest: u64,
    /// The version since which all removed rows are remembered.
    complete_since: u64,
}

impl Mirror {
    /// Returns the revision up to which all changes are known; its version is 0 if the table was
    /// never read.
    pub fn known(&self) -> TableRevision {
        TableRevision::new(self.epoch, self.known)
    }

    /// Applies a full scan of the table. Returns the changes since the known version, if the table
    /// was read before in the same epoch.
    pub fn reset(&mut self, rows: &Rows) -> Option<RowChanges> {
        let is_continued = self.known > 0 && self.epoch == rows.epoch;
        let changes = is_continued.then(|| self.changes_to(rows));
        match &changes {
            Some(changes) => self.apply(changes),
            None => {
                self.rows = rows.rows.iter().map(|row| (row.key.clone(), row.clone())).collect();
                self.epoch = rows.epoch;
                (self.known, self.complete_since) = (rows.version, rows.version);
            }
        }
        // Removed rows leave no version in a scan, and may be the newest change.
        self.newest = rows.version;
        changes
    }

    fn changes_to(&self, rows: &Rows) -> RowChanges {
        let listed: HashSet<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
        let present = self.rows.values().filter(|row| row.value.is_some());
        let removed = present.filter(|row| !listed.contains(row.key.as_str()));
        let removed =
            removed.map(|row| Row { value: None, version: rows.version, ..Row::clone(row) });
        let changed = rows.rows.iter().filter(|row| row.version > self.known).cloned();
        let mut changes: Vec<Row> = changed.chain(removed).collect();
        changes.sort_by_key(|row| row.version);
        self.following(Rows { rows: changes, version: rows.version, epoch: rows.epoch })
    }

    /// Returns rows as the changes that follow the newest known change.
    pub fn following(&self, rows: Rows) -> RowChanges {
        let span = Span { after: self.newest, to: rows.version };
        RowChanges { epoch: rows.epoch, span, rows: rows.rows }
    }

    /// Applies changed rows.
    pub fn apply(&mut self, changes: &RowChanges) {
        self.known = self.known.max(changes.span.to);
        self.newest = self.newest.max(changes.newest().version);
        for row in &changes.rows {
            self.rows.insert(row.key.clone(), row.clone());
        }
        self.forget_removed();
    }

    fn forget_removed(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<u64> = removed.map(|row| row.version).collect();
        if versions.len() <= MAX_REMOVED {
            return;
        }
        versions.sort_unstable();
        let oldest_retained = versions[versions.len() - MAX_REMOVED];
        self.rows.retain(|_, row| row.value.is_some() || row.version >= oldest_retained);
        self.complete_since = self.complete_since.max(oldest_retained - 1);
    }

    /// Returns the changes since a revision; `None` if they are not completely known, or there are
    /// none.
    pub fn since(&self, revision: TableRevision) -> Option<RowChanges> {
        let TableRevision { epoch, version } = revision;
        if epoch != self.epoch || version < self.complete_since || version >= self.known {
            return None;
        }
        let mut rows: Vec<Row> =
            self.rows.values().filter(|row| row.version > version).cloned().collect();
        rows.sort_by_key(|row| row.version);
        let span = Span { after: version, to: self.known };
        (!rows.is_empty()).then_some(RowChanges { epoch, span, rows })
    }
}
