//! Stores the state that a holder of duties passes on to later holders, as rows of a table.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::tables::{Table, TableError, TableRevision, Write, Written};

/// The version that stands for a row that must be read again.
const UNREAD: u64 = u64::MAX;

/// The table of the records.
const RECORD_TABLE: &str = "anvilhook_duties";

/// `RecordValue` is the value of a row.
pub(super) trait RecordValue:
    Clone + Default + DeserializeOwned + PartialEq + Serialize
{
    /// Adds what is missing in a restored value, from an earlier one.
    fn recover(&mut self, earlier: Self);
}

/// `Record` is one row, with its value as it was last read or written.
pub(super) struct Record<T, V> {
    table: T,
    row: &'static str,
    known: Option<(TableRevision, V)>,
}

impl<T: Table, V: RecordValue> Record<T, V> {
    /// Creates a record that has not been read.
    pub fn new(table: T, row: &'static str) -> Self {
        Self { table, row, known: None }
    }

    /// Changes the record and returns the result of `change`. `change` returns no new value if the current
    /// one is to be retained, and is called again if another instance has written the row meanwhile.
    ///
    /// `epoch` is the newest known epoch of the store. What an earlier epoch held and a restored row lacks is
    /// written again.
    ///
    /// # Errors
    ///
    /// Any failure of the table. The change may have been written nevertheless; the next call detects that.
    pub async fn change<R>(
        &mut self,
        epoch: u64,
        change: impl Fn(&V) -> (Option<V>, R),
    ) -> Result<R, TableError> {
        loop {
            let (revision, stored, current) = self.current(epoch).await?;
            let (next, result) = change(&current);
            let next = next.unwrap_or_else(|| current.clone());
            if next == stored {
                self.known = Some((revision, stored));
                return Ok(result);
            }
            let value = serde_json::to_vec(&next).expect("records can be written");
            let (key, value) = (self.row.to_owned(), Bytes::from(value));
            let write = Write { key, expected: revision.version, value };
            // Retained until a write succeeds, in case only this instance still knows it.
            self.known = Some((TableRevision { version: UNREAD, ..revision }, current));
            if let Written::At(written) = self.table.write(RECORD_TABLE, write).await?
                && written.epoch == revision.epoch
            {
                self.known = Some((written, next));
                return Ok(result);
            }
        }
    }

    /// Returns the row's revision, its stored value, and that value with what it lacks after a restore.
    async fn current(&mut self, epoch: u64) -> Result<(TableRevision, V, V), TableError> {
        if let Some((revision, stored)) = &self.known
            && revision.epoch >= epoch
            && revision.version != UNREAD
        {
            return Ok((*revision, stored.clone(), stored.clone()));
        }
        let (revision, stored) = self.read().await?;
        let mut current = stored.clone();
        if let Some((_, known)) = &self.known {
            current.recover(known.clone());
        }
        Ok((revision, stored, current))
    }

    async fn read(&self) -> Result<(TableRevision, V), TableError> {
        let rows = self.table.scan(RECORD_TABLE).await?;
        let epoch = rows.epoch;
        let Some(row) = rows.rows.into_iter().find(|row| row.key == self.row) else {
            return Ok((TableRevision::new(epoch, 0), V::default()));
        };
        let stored = serde_json::from_slice(&row.value.unwrap_or_default());
        let unreadable = |err| TableError::NoAnswer(format!("unreadable record: {err}"));
        Ok((TableRevision::new(epoch, row.version), stored.map_err(unreadable)?))
    }
}
