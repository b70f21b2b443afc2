//! A followed table as this instance knows it, from which others are told what they have missed.

use std::collections::{BTreeMap, HashSet};

use anvilhook_core::watches::Span;

use super::rows::RowChanges;
use crate::tables::{Row, Rows};

/// How many removed rows are remembered. Whoever has missed more reads the table whole.
const MAX_REMOVED: usize = 256;

/// `Mirror` is the rows of a table, and those that were removed of late.
#[derive(Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<String, Row>,
    /// The version up to which all changes are known.
    known: u64,
    /// The newest change.
    newest: u64,
    /// Since which version all removed rows are remembered.
    complete_since: u64,
}

impl Mirror {
    /// Returns the version up to which all changes are known; 0 if the table was never read.
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Takes in all rows as of one moment, and returns what has changed since the table was known, if it
    /// ever was.
    pub fn reset(&mut self, rows: &Rows) -> Option<RowChanges> {
        let changes = (self.known > 0).then(|| self.changes_to(rows));
        match &changes {
            Some(changes) => self.apply(changes),
            None => {
                self.rows = rows.rows.iter().map(|row| (row.key.clone(), row.clone())).collect();
                (self.known, self.complete_since) = (rows.version, rows.version);
            }
        }
        // Rows that were removed leave no version behind, and may be the newest change.
        self.newest = rows.version;
        changes
    }

    fn changes_to(&self, rows: &Rows) -> RowChanges {
        let listed: HashSet<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
        let standing = self.rows.values().filter(|row| row.value.is_some());
        let removed = standing.filter(|row| !listed.contains(row.key.as_str()));
        let removed =
            removed.map(|row| Row { value: None, version: rows.version, ..Row::clone(row) });
        let changed = rows.rows.iter().filter(|row| row.version > self.known).cloned();
        let mut changes: Vec<Row> = changed.chain(removed).collect();
        changes.sort_by_key(|row| row.version);
        self.following(Rows { version: rows.version, rows: changes })
    }

    /// Returns rows as they follow on what is known.
    pub fn following(&self, rows: Rows) -> RowChanges {
        RowChanges { span: Span { after: self.newest, to: rows.version }, rows: rows.rows }
    }

    /// Takes in changed rows.
    pub fn apply(&mut self, told: &RowChanges) {
        self.known = self.known.max(told.span.to);
        self.newest = self.newest.max(told.newest());
        for row in &told.rows {
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
        let oldest_kept = versions[versions.len() - MAX_REMOVED];
        self.rows.retain(|_, row| row.value.is_some() || row.version >= oldest_kept);
        self.complete_since = self.complete_since.max(oldest_kept - 1);
    }

    /// Returns what has changed since a version; `None` if that is not known whole, or nothing has.
    pub fn since(&self, version: u64) -> Option<RowChanges> {
        if version < self.complete_since || version >= self.known {
            return None;
        }
        let mut rows: Vec<Row> =
            self.rows.values().filter(|row| row.version > version).cloned().collect();
        rows.sort_by_key(|row| row.version);
        let span = Span { after: version, to: self.known };
        (!rows.is_empty()).then_some(RowChanges { span, rows })
    }
}
