//! A table that is asked no more in a step once it has failed to answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvilhook_platform::{Commit, Error, Result, Row, RowKey, Table, Transaction};

/// `CircuitBreaker` lets a step of the keeper wait for a silent table once only.
///
/// A holder that is cut off from the table waits for the time-out of each of its calls. A step that
/// made all of them, one or two for each engine, would heed no hint of the holder's successor in all
/// that time. One would see engines that ignore fencing go without an authority for that long. After
/// the first call without an answer, the rest of the step is refused at once. A refused call was not
/// sent, so the verdict of `Error::Unavailable` is true of it.
///
/// Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct CircuitBreaker<T> {
    table: T,
    is_open: Arc<AtomicBool>,
}

impl<T: Table> CircuitBreaker<T> {
    /// Makes a closed breaker before a table.
    pub fn new(table: T) -> Self {
        Self { table, is_open: Arc::default() }
    }

    /// Lets calls through again, at the beginning of a step.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
    }

    /// Returns whether a call has gone without an answer in this step.
    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    fn check(&self) -> Result<()> {
        if self.is_open() {
            let message = "not asked again in this step, after a call without an answer".to_owned();
            return Err(Error::Unavailable { message });
        }
        Ok(())
    }

    fn note<V>(&self, answer: Result<V>) -> Result<V> {
        // An answer that cannot be understood came in time.
        if matches!(answer, Err(Error::Unavailable { .. } | Error::AnswerLost { .. })) {
            self.is_open.store(true, Ordering::Relaxed);
        }
        answer
    }
}

impl<T: Table> Table for CircuitBreaker<T> {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.check()?;
        self.note(self.table.read(key).await)
    }

    async fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Result<Vec<Row>> {
        self.check()?;
        self.note(self.table.scan(prefix, after, limit).await)
    }

    async fn commit(&self, txn: &Transaction) -> Result<Commit> {
        self.check()?;
        self.note(self.table.commit(txn).await)
    }
}
