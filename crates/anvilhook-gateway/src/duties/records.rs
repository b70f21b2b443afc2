//! Stores the state that a holder of duties passes on to later holders, as rows of a table.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::tables::{Table, TableError, Write, Written};

/// The table of the records.
const RECORD_TABLE: &str = "anvilhook_duties";

/// `Record` is one row, with its value as it was last read or written.
pub(super) struct Record<T, V> {
    table: T,
    row: &'static str,
    known: Option<(u64, V)>,
}

impl<T: Table, V: Clone + Default + DeserializeOwned + Serialize> Record<T, V> {
    /// Creates a record that has not been read.
    pub fn new(table: T, row: &'static str) -> Self {
        Self { table, row, known: None }
    }

    /// Changes the record and returns the result of `change`. `change` returns no new value if the current
    /// one is to be retained, and is called again if another instance has written the row meanwhile.
    ///
    /// # Errors
    ///
    /// Any failure of the table. The change may have been written nevertheless; the next call detects that.
    pub async fn change<R>(
        &mut self,
        change: impl Fn(&V) -> (Option<V>, R),
    ) -> Result<R, TableError> {
        loop {
            let (version, stored) = match self.known.take() {
                Some(known) => known,
                None => self.read().await?,
            };
            let (next, result) = change(&stored);
            let Some(next) = next else {
                self.known = Some((version, stored));
                return Ok(result);
            };
            let value = serde_json::to_vec(&next).expect("records can be written");
            let (key, value) = (self.row.to_owned(), Bytes::from(value));
            let write = Write { key, expected: version, value };
            if let Written::At(revision) = self.table.write(RECORD_TABLE, write).await? {
                self.known = Some((revision.version, next));
                return Ok(result);
            }
        }
    }

    async fn read(&self) -> Result<(u64, V), TableError> {
        let rows = self.table.scan(RECORD_TABLE).await?;
        let Some(row) = rows.rows.into_iter().find(|row| row.key == self.row) else {
            return Ok((0, V::default()));
        };
        let stored = serde_json::from_slice(&row.value.unwrap_or_default());
        let unreadable = |err| TableError::NoAnswer(format!("unreadable record: {err}"));
        Ok((row.version, stored.map_err(unreadable)?))
    }
}
