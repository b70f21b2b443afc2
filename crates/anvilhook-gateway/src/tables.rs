//! The interface to the platform's tables.

use std::fmt;

use anvilhook_core::units::Millis;
use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::events::{InstanceEvent, emit};
use crate::metrics::TableLabels;

/// `Row` is a row of a table, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The row's content; `None` if the row was removed.
    pub value: Option<Bytes>,
    /// The version of the transaction that wrote it.
    pub version: u64,
}

/// `TableRevision` is a point in the history of the platform's tables.
///
/// A store that is restored from a copy loses its newest versions and assigns them again. Its epoch, which rises
/// with each restore, distinguishes the two histories, so a version alone must not be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct TableRevision {
    /// The epoch of the store; 0 if it does not report one.
    pub epoch: u64,
    /// The version within the epoch.
    pub version: u64,
}

impl TableRevision {
    /// Creates a revision.
    ///
    /// ```
    /// use anvilhook_gateway::tables::TableRevision;
    ///
    /// assert!(TableRevision::new(2, 7) > TableRevision::new(1, 9));
    /// ```
    pub const fn new(epoch: u64, version: u64) -> Self {
        Self { epoch, version }
    }

    /// Returns a fencing token that is higher than those of all earlier revisions. In epoch 0 it is the version.
    ///
    /// ```
    /// use anvilhook_gateway::tables::TableRevision;
    ///
    /// assert_eq!(TableRevision::new(0, 7).fencing_token(), 7);
    /// let restored = TableRevision::new(1, 3).fencing_token();
    /// assert!(restored > TableRevision::new(0, 1 << 39).fencing_token());
    /// ```
    pub const fn fencing_token(self) -> u64 {
        (self.epoch << TOKEN_VERSION_BITS) | self.version
    }
}

/// The number of bits of a fencing token that hold the version.
const TOKEN_VERSION_BITS: u32 = 40;

/// `Rows` are the rows of a table, or its changed rows, up to a version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The version of the table after these rows.
    pub version: u64,
    /// The epoch of the store that returned them.
    pub epoch: u64,
}

impl Rows {
    /// Returns the revision of the table after these rows.
    pub fn revision(&self) -> TableRevision {
        TableRevision::new(self.epoch, self.version)
    }
}

/// `Write` writes one row if it still has the expected version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The version that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// The new content.
    pub value: Bytes,
}

/// `Written` is the outcome of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect, at this revision.
    At(TableRevision),
    /// The row had another version, and nothing was done.
    Conflict,
}

impl Written {
    /// Returns the epoch of the store, if the write took effect.
    fn epoch(&self) -> Option<u64> {
        match self {
            Written::At(revision) => Some(revision.epoch),
            Written::Conflict => None,
        }
    }
}

/// `TableError` is a failed call to the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableError {
    /// The requested changes are no longer stored; the table must be read whole.
    HistoryGone,
    /// The table refused the call and did nothing.
    Refused(String),
    /// The response began but took too long; it may be too large for the link.
    Unfinished,
    /// No response arrived; a write may have taken effect or may do so later.
    NoAnswer(String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::HistoryGone => f.write_str("history gone"),
            TableError::Unfinished => f.write_str("the answer took too long"),
            TableError::Refused(message) => write!(f, "refused: {message}"),
            TableError::NoAnswer(message) => write!(f, "no answer: {message}"),
        }
    }
}

impl std::error::Error for TableError {}

/// `Table` reads and writes the platform's tables. Every call has a time limit.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads all rows of a table from one snapshot.
    fn scan(&self, table: &str) -> impl Future<Output = Result<Rows, TableError>> + Send;

    /// Waits at most `wait` for changes after `version`, and returns them in order.
    fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Millis,
    ) -> impl Future<Output = Result<Rows, TableError>> + Send;

    /// Writes a row under a condition.
    fn write(
        &self,
        table: &str,
        write: Write,
    ) -> impl Future<Output = Result<Written, TableError>> + Send;
}

/// `CountedTable` counts and logs the calls to a table. Each call has a price, and its purpose must
/// be visible where there are many instances.
#[derive(Clone)]
pub struct CountedTable<T> {
    table: T,
    calls: Family<TableLabels, Counter>,
}

impl<T: Table> CountedTable<T> {
    /// Creates a table whose calls are counted.
    pub fn new(table: T, calls: Family<TableLabels, Counter>) -> Self {
        Self { table, calls }
    }

    fn count<R>(
        &self,
        table: &str,
        call: &'static str,
        result: &Result<R, TableError>,
        epoch: impl Fn(&R) -> Option<u64>,
    ) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(TableError::Refused(_)) => "refused",
            Err(TableError::HistoryGone) => "history_gone",
            Err(TableError::Unfinished | TableError::NoAnswer(_)) => "no_answer",
        };
        let labels = TableLabels { table: table.to_owned(), call, outcome };
        self.calls.get_or_create(&labels).inc();
        let epoch = result.as_ref().ok().and_then(epoch);
        emit(&InstanceEvent::TableCalled { dependency: table, call, outcome, epoch });
    }
}

impl<T: Table> Table for CountedTable<T> {
    async fn scan(&self, table: &str) -> Result<Rows, TableError> {
        let result = self.table.scan(table).await;
        self.count(table, "scan", &result, |rows| Some(rows.epoch));
        result
    }

    async fn changes(&self, table: &str, version: u64, wait: Millis) -> Result<Rows, TableError> {
        let result = self.table.changes(table, version, wait).await;
        self.count(table, "changes", &result, |rows| Some(rows.epoch));
        result
    }

    async fn write(&self, table: &str, write: Write) -> Result<Written, TableError> {
        let result = self.table.write(table, write).await;
        self.count(table, "write", &result, Written::epoch);
        result
    }
}
