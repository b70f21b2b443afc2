//! Usage reports as they are written before they are sent.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::records::Record;
use crate::clouds::UsageReport;
use crate::tables::{Table, TableError};

/// The row of the reports.
const REPORT_ROW: &str = "usage";

/// How many reports are kept. A holder that comes after another one sends the last ones again.
const KEPT_REPORTS: usize = 4;

/// `StoredReports` is the row: the last reports that were written, by window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct StoredReports {
    reports: BTreeMap<u64, BTreeMap<Arc<str>, u32>>,
}

/// `Standing` is what stands of a window's report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Standing {
    /// This report, whoever wrote it.
    Written(UsageReport),
    /// Later ones were written, and it is not known whether there was one of it.
    TooOld,
}

/// `ReportBook` writes the report of each window once.
///
/// Whoever takes over can't know whether an earlier holder's report was accepted, or will be: its answer
/// may have been lost, and the call be carried out seconds later. So a report is a fact that is written
/// under a condition, and everybody sends that one.
pub(super) struct ReportBook<T> {
    record: Record<T, StoredReports>,
}

impl<T: Table> ReportBook<T> {
    /// Makes a book of which the row has not been read.
    pub fn new(table: T) -> Self {
        Self { record: Record::new(table, REPORT_ROW) }
    }

    /// Writes a report, unless one of its window stands, and returns what stands.
    ///
    /// # Errors
    ///
    /// Any failure of the table. The report may have been written; to write it again shows it.
    pub async fn write(&mut self, counted: &UsageReport) -> Result<Standing, TableError> {
        let write = |stored: &StoredReports| match stored.find(counted.window) {
            Some(standing) => (None, standing),
            None => (Some(stored.with(counted)), Standing::Written(counted.clone())),
        };
        self.record.change(write).await
    }
}

impl StoredReports {
    fn find(&self, window: u64) -> Option<Standing> {
        match self.reports.get(&window) {
            Some(counts) => {
                let counts = counts.iter().map(|(name, count)| (Arc::clone(name), *count));
                Some(Standing::Written(UsageReport { window, counts: counts.collect() }))
            }
            None if self.reports.last_key_value().is_some_and(|(last, _)| *last > window) => {
                Some(Standing::TooOld)
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
