//! A wrapper of the table that refuses all calls for the rest of a step once one was not answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvilhook_platform::{Commit, Error, Result, Row, RowKey, Table, Transaction};

/// `CircuitBreaker` limits a step of the controller to one wait for a table that does not answer.
///
/// A holder that is partitioned from the table waits for the time-out of each of its calls. A step
/// that made all of them, one or two for each engine, would process no hint of the holder's successor
/// until it ended, and engines that ignore fencing would have no authority for that long. After the
/// first call without an answer, all further calls of the step are refused immediately. A refused
/// call was not sent, so the verdict of `Error::Unavailable` holds for it.
///
/// Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct CircuitBreaker<T> {
    table: T,
    is_open: Arc<AtomicBool>,
}

impl<T: Table> CircuitBreaker<T> {
    /// Creates a closed breaker in front of a table.
    pub fn new(table: T) -> Self {
        Self { table, is_open: Arc::default() }
    }

    /// Closes the breaker at the beginning of a step, so that calls are sent again.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
    }

    /// Returns whether a call was not answered in this step.
    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    fn check(&self) -> Result<()> {
        if self.is_open() {
            let message = "not called again in this step, as a call was not answered".to_owned();
            return Err(Error::Unavailable { message });
        }
        Ok(())
    }

    fn record<V>(&self, answer: Result<V>) -> Result<V> {
        // An answer that cannot be decoded did arrive in time, so it does not open the breaker.
        if matches!(answer, Err(Error::Unavailable { .. } | Error::AnswerLost { .. })) {
            self.is_open.store(true, Ordering::Relaxed);
        }
        answer
    }
}

impl<T: Table> Table for CircuitBreaker<T> {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.check()?;
        self.record(self.table.read(key).await)
    }

    async fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Result<Vec<Row>> {
        self.check()?;
        self.record(self.table.scan(prefix, after, limit).await)
    }

    async fn commit(&self, txn: &Transaction) -> Result<Commit> {
        self.check()?;
        self.record(self.table.commit(txn).await)
    }
}
