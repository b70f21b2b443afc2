//! Stores usage reports before they are sent.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::records::{Record, RecordValue};
use crate::clouds::UsageReport;
use crate::tables::{Table, TableError};

/// The row of the reports.
const REPORT_ROW: &str = "usage";

/// How many reports are retained. A later holder of the lease sends the last ones again.
const MAX_STORED_REPORTS: usize = 4;

/// `StoredReports` is the value of the row: the last reports that were written, by window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct StoredReports {
    reports: BTreeMap<u64, BTreeMap<Arc<str>, u32>>,
}

/// `ReportStatus` is the stored status of a window's report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ReportStatus {
    /// The report that is stored, regardless of which instance wrote it.
    Written(UsageReport),
    /// Reports of later windows are stored, and it is unknown whether one of this window was.
    TooOld,
}

/// `ReportStore` writes the report of each window once.
///
/// An instance that takes over can't know whether an earlier holder's report was or will be accepted: the
/// answer may have been lost, and the call may be carried out seconds later. So a report is an immutable
/// record that is written under a condition, and every instance sends the stored one.
pub(super) struct ReportStore<T> {
    record: Record<T, StoredReports>,
}

impl<T: Table> ReportStore<T> {
    /// Creates a store whose row has not been read.
    pub fn new(table: T) -> Self {
        Self { record: Record::new(table, REPORT_ROW) }
    }

    /// Writes a report unless one of its window is stored, and returns the stored status. `epoch` is the newest
    /// known epoch of the store.
    ///
    /// # Errors
    ///
    /// Any failure of the table. The report may have been written nevertheless; writing it again returns it.
    pub async fn write(
        &mut self,
        epoch: u64,
        counted: &UsageReport,
    ) -> Result<ReportStatus, TableError> {
        let write = |stored: &StoredReports| match stored.find(counted.window) {
            Some(status) => (None, status),
            None => (Some(stored.with(counted)), ReportStatus::Written(counted.clone())),
        };
        self.record.change(epoch, write).await
    }
}

impl RecordValue for StoredReports {
    /// A report that was lost may have been sent, so it must not be replaced by another sum.
    fn recover(&mut self, earlier: Self) {
        for (window, counts) in earlier.reports {
            self.reports.entry(window).or_insert(counts);
        }
        self.drop_oldest();
    }
}

impl StoredReports {
    fn drop_oldest(&mut self) {
        while self.reports.len() > MAX_STORED_REPORTS {
            self.reports.pop_first();
        }
    }

    fn find(&self, window: u64) -> Option<ReportStatus> {
        match self.reports.get(&window) {
            Some(counts) => {
                let counts = counts.iter().map(|(name, count)| (Arc::clone(name), *count));
                Some(ReportStatus::Written(UsageReport { window, counts: counts.collect() }))
            }
            None if self.reports.last_key_value().is_some_and(|(last, _)| *last > window) => {
                Some(ReportStatus::TooOld)
            }
            None => None,
        }
    }

    fn with(&self, report: &UsageReport) -> Self {
        let mut next = self.clone();
        next.reports.insert(report.window, report.counts.iter().cloned().collect());
        next.drop_oldest();
        next
    }
}
