//! The platform's table, as the gateway needs it.

use std::fmt;

use anvilhook_core::units::Millis;
use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::events::{Event, emit};
use crate::metrics::TableLabels;

/// `Row` is a row of a table, or the news that it is gone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// What it holds; `None` if it was removed.
    pub value: Option<Bytes>,
    /// The version of the transaction that wrote it.
    pub version: u64,
}

/// `Rows` is what stood in a table, or what changed in it, up to a version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The table's version that they lead to.
    pub version: u64,
}

/// `Write` writes one row if it still has the expected version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The version that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// What it is to hold.
    pub value: Bytes,
}

/// `Written` is how a conditional write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect, at this version.
    At(u64),
    /// The row had another version, and nothing was done.
    Conflict,
}

/// `TableError` is a failed call to the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableError {
    /// The changes asked for are no longer kept; the table has to be read anew.
    HistoryGone,
    /// The table refused the call and did nothing.
    Refused(String),
    /// The answer began and took too long; it may be too large for the way here.
    Unfinished,
    /// No answer came; a write may have taken effect or may do so later.
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

/// `Table` reads and writes the platform's tables. Every call is bounded in time.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads all rows of a table as of one moment.
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

/// `CountedTable` counts and logs the calls to a table: each has its price, and what they are for must
/// be seen where there are many instances.
#[derive(Clone)]
pub struct CountedTable<T> {
    table: T,
    calls: Family<TableLabels, Counter>,
}

impl<T: Table> CountedTable<T> {
    /// Makes a table whose calls are counted.
    pub fn new(table: T, calls: Family<TableLabels, Counter>) -> Self {
        Self { table, calls }
    }

    fn count<R>(&self, table: &str, call: &'static str, result: &Result<R, TableError>) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(TableError::Refused(_)) => "refused",
            Err(TableError::HistoryGone) => "history_gone",
            Err(TableError::Unfinished | TableError::NoAnswer(_)) => "no_answer",
        };
        let labels = TableLabels { table: table.to_owned(), call, outcome };
        self.calls.get_or_create(&labels).inc();
        emit(&Event::TableCalled { dependency: table, call, outcome });
    }
}

impl<T: Table> Table for CountedTable<T> {
    async fn scan(&self, table: &str) -> Result<Rows, TableError> {
        let result = self.table.scan(table).await;
        self.count(table, "scan", &result);
        result
    }

    async fn changes(&self, table: &str, version: u64, wait: Millis) -> Result<Rows, TableError> {
        let result = self.table.changes(table, version, wait).await;
        self.count(table, "changes", &result);
        result
    }

    async fn write(&self, table: &str, write: Write) -> Result<Written, TableError> {
        let result = self.table.write(table, write).await;
        self.count(table, "write", &result);
        result
    }
}
