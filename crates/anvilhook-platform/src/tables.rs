//! The transactional table: rows with keys and versions, and compare-and-set over several rows.

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::errors::Result;

/// `RowKey` is a row's key. Keys are ordered as text, and `/` separates their parts by convention.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RowKey(Arc<str>);

impl RowKey {
    /// Creates a key from its text.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    /// Returns the key's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// `Row` is a stored row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// The row's version: 1 for a new row, incremented by each write. A row that is deleted and
    /// stored again starts at 1 again.
    pub version: u64,
    /// The row's value, a JSON document as text.
    pub value: String,
}

/// `Condition` must hold for a transaction to take effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "if")]
pub enum Condition {
    /// No row has the key.
    Absent {
        /// The key.
        key: RowKey,
    },
    /// The row with the key has the version.
    AtVersion {
        /// The key.
        key: RowKey,
        /// The version.
        version: u64,
    },
}

/// `Write` is one effect of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Write {
    /// Stores a value under a key.
    Put {
        /// The key.
        key: RowKey,
        /// The value.
        value: String,
    },
    /// Removes the row with a key, if it exists.
    Delete {
        /// The key.
        key: RowKey,
    },
}

/// `Transaction` is a set of conditions and writes that takes effect completely or not at all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// The conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The writes, which are executed in order.
    pub writes: Vec<Write>,
}

/// `Commit` is the outcome of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Commit {
    /// The transaction took effect.
    Done,
    /// A condition did not hold, and the transaction had no effect.
    Conflict {
        /// The current rows of the keys in the conditions, without absent ones.
        standing: Vec<Row>,
    },
}

/// `Table` is the platform's transactional table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads one row.
    fn read(&self, key: &RowKey) -> impl Future<Output = Result<Option<Row>>> + Send;

    /// Reads at most `limit` rows whose keys start with `prefix` and come after `after`, in order.
    fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Executes a transaction.
    ///
    /// After `Error::AnswerLost` the transaction may have taken effect, and the caller must read back.
    fn commit(&self, txn: &Transaction) -> impl Future<Output = Result<Commit>> + Send;
}
