//! Reports rows that can't be decoded.

use std::collections::{HashMap, HashSet};

use crate::events::{InstanceEvent, emit};
use crate::metrics::GatewayMetrics;
use crate::tables::Row;
use crate::texts::bounded;
use crate::wires::DecodeError;

/// `UnreadableRows` reports each version of an undecodable row once, in the log and in a counter.
///
/// A table is read whole again after each gap in its history, and peers publish its rows as well.
/// Without this, an unchanged row would fill the log, and its counter would show how often it was
/// read.
#[derive(Debug, Default)]
pub(super) struct UnreadableRows {
    /// The newest reported version, by key. A row that is removed or readable again has none.
    reported: HashMap<String, u64>,
}

impl UnreadableRows {
    /// Reports a row, unless this version or a newer one was reported.
    pub fn report(&mut self, metrics: &GatewayMetrics, table: &str, row: &Row, err: &DecodeError) {
        if self.reported.get(&row.key).is_some_and(|reported| *reported >= row.version) {
            return;
        }
        self.reported.insert(row.key.clone(), row.version);
        metrics.record_unreadable(table);
        let key = bounded(&row.key);
        emit(&InstanceEvent::UnreadableRow {
            table,
            key,
            cause: bounded(&err.to_string()).to_owned(),
        });
    }

    /// Records that a row is removed or readable.
    pub fn forget(&mut self, key: &str) {
        self.reported.remove(key);
    }

    /// Drops all records, because versions are assigned again.
    pub fn clear(&mut self) {
        self.reported.clear();
    }

    /// Drops the records of rows that are not among `rows`, the table's current rows.
    pub fn retain(&mut self, rows: &[Row]) {
        if self.reported.is_empty() {
            return;
        }
        let keys: HashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        self.reported.retain(|key, _| keys.contains(key.as_str()));
    }
}
