//! Telling of rows that can't be read.

use std::collections::{HashMap, HashSet};

use crate::events::{Event, emit};
use crate::metrics::GatewayMetrics;
use crate::tables::Row;
use crate::texts::bounded;
use crate::wires::DecodeError;

/// `UnreadableRows` tells of each version of a row that can't be read once, by a line of the log and a
/// count.
///
/// A table is read whole again after each gap in its history, and peers report of its rows besides. A row
/// that stays as it is would otherwise fill the log, and its count would say how often it was read.
#[derive(Debug, Default)]
pub(super) struct UnreadableRows {
    /// The newest version reported, by key. A row that is gone or can be read again has none.
    reported: HashMap<String, u64>,
}

impl UnreadableRows {
    /// Tells of a row, unless this version or a newer one was reported.
    pub fn report(&mut self, metrics: &GatewayMetrics, table: &str, row: &Row, err: &DecodeError) {
        if self.reported.get(&row.key).is_some_and(|reported| *reported >= row.version) {
            return;
        }
        self.reported.insert(row.key.clone(), row.version);
        metrics.record_unreadable(table);
        let key = bounded(&row.key);
        emit(&Event::UnreadableRow { table, key, cause: bounded(&err.to_string()).to_owned() });
    }

    /// Notes that a row is gone, or can be read.
    pub fn forget(&mut self, key: &str) {
        self.reported.remove(key);
    }

    /// Notes all rows that there are.
    pub fn retain(&mut self, rows: &[Row]) {
        if self.reported.is_empty() {
            return;
        }
        let keys: HashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        self.reported.retain(|key, _| keys.contains(key.as_str()));
    }
}
