//! Counters of the calls made to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

/// `Counts` is a snapshot of the numbers of calls made to the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Reads of one row that were carried out.
    pub reads: u64,
    /// Scans that were carried out.
    pub scans: u64,
    /// Transactions that were carried out, including those that met a conflict.
    pub commits: u64,
    /// Transactions that met a conflict.
    pub conflicts: u64,
    /// Rows that were written or removed.
    pub rows_written: u64,
    /// Calls of the object store that were carried out.
    pub object_calls: u64,
    /// Calls of the instance list that were carried out.
    pub list_calls: u64,
    /// Calls that were refused without effect.
    pub refused: u64,
    /// Calls whose answer was lost.
    pub lost: u64,
}

/// `Counter` names one of the counts.
#[derive(Clone, Copy, Debug)]
pub(super) enum Counter {
    Reads,
    Scans,
    Commits,
    Conflicts,
    RowsWritten,
    ObjectCalls,
    ListCalls,
    Refused,
    Lost,
}

/// `Counters` holds the current value of each counter.
#[derive(Debug, Default)]
pub(super) struct Counters([AtomicU64; 9]);

impl Counters {
    pub(super) fn add(&self, counter: Counter, amount: u64) {
        self.0[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    pub(super) fn snapshot(&self) -> Counts {
        let of = |counter: Counter| self.0[counter as usize].load(Ordering::Relaxed);
        Counts {
            reads: of(Counter::Reads),
            scans: of(Counter::Scans),
            commits: of(Counter::Commits),
            conflicts: of(Counter::Conflicts),
            rows_written: of(Counter::RowsWritten),
            object_calls: of(Counter::ObjectCalls),
            list_calls: of(Counter::ListCalls),
            refused: of(Counter::Refused),
            lost: of(Counter::Lost),
        }
    }
}
