//! Usage reports as they are written before they are sent.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clouds::UsageReport;
use crate::tables::{Row, Table, TableError, Write, Written as RowWritten};

/// The table and row of the reports.
const REPORT_TABLE: &str = "anvilhook_duties";
const REPORT_ROW: &str = "usage";

/// How many reports are kept. A holder that comes after another one sends the last ones again.
const KEPT_REPORTS: usize = 4;

/// `StoredReports` is the row: the last reports that were written, by window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct StoredReports {
    reports: BTreeMap<u64, BTreeMap<Arc<str>, u32>>,
}

/// `Written` is what stands of a window's report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Written {
    /// This report, whoever wrote it.
    Stands(UsageReport),
    /// Later ones were written, and it is not known whether there was one of it.
    TooOld,
}

/// `ReportBook` writes the report of each window once.
///
/// Whoever takes over can't know whether an earlier holder's report was accepted, or will be: its answer
/// may have been lost, and the call be carried out seconds later. So a report is a fact that is written
/// under a condition, and everybody sends that one.
pub(super) struct ReportBook<T> {
    table: T,
    /// The row as it was read or written last, with its version.
    known: Option<(u64, StoredReports)>,
}

impl<T: Table> ReportBook<T> {
    /// Makes a book of which the row has not been read.
    pub fn new(table: T) -> Self {
        Self { table, known: None }
    }

    /// Writes a report, unless one of its window stands, and returns what stands.
    ///
    /// # Errors
    ///
    /// Any failure of the table. The report may have been written; to write it again shows it.
    pub async fn write(&mut self, counted: UsageReport) -> Result<Written, TableError> {
        loop {
            let (version, stored) = match self.known.take() {
                Some(known) => known,
                None => self.read().await?,
            };
            if let Some(written) = stored.find(counted.window) {
                self.known = Some((version, stored));
                return Ok(written);
            }
            let next = stored.with(&counted);
            let value = serde_json::to_vec(&next).expect("reports can be written");
            let (key, value) = (REPORT_ROW.to_owned(), Bytes::from(value));
            let write = Write { key, expected: version, value };
            match self.table.write(REPORT_TABLE, write).await? {
                RowWritten::At(version) => self.known = Some((version, next)),
                RowWritten::Conflict => {}
            }
        }
    }

    async fn read(&self) -> Result<(u64, StoredReports), TableError> {
        let rows = self.table.scan(REPORT_TABLE).await?;
        let Some(row) = rows.rows.into_iter().find(|row| row.key == REPORT_ROW) else {
            return Ok((0, StoredReports::default()));
        };
        let Row { value, version, .. } = row;
        let stored = serde_json::from_slice(&value.unwrap_or_default());
        let unreadable = |err| TableError::NoAnswer(format!("unreadable reports: {err}"));
        Ok((version, stored.map_err(unreadable)?))
    }
}

impl StoredReports {
    fn find(&self, window: u64) -> Option<Written> {
        match self.reports.get(&window) {
            Some(counts) => {
                let counts = counts.iter().map(|(name, count)| (Arc::clone(name), *count));
                Some(Written::Stands(UsageReport { window, counts: counts.collect() }))
            }
            None if self.reports.last_key_value().is_some_and(|(last, _)| *last > window) => {
                Some(Written::TooOld)
            }
            None => None,
        }
    }

    fn with(&self, report: &UsageReport) -> Self {
        let mut reports = self.reports.clone();
        reports.insert(report.window, report.counts.iter().cloned().collect());
        while reports.len() > KEPT_REPORTS {
            reports.pop_first();
        }
        Self { reports }
    }
}
