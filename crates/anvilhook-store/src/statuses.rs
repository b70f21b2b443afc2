//! Stores the observed state of resources, written by the instances that observe it.
//!
//! Status is not part of the configuration: it creates no revision and no audit entry. Each condition
//! has its own row, so that two instances that observe different conditions do not overwrite each
//! other's.

use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{Condition, Kind, ResourceKey};
use anvilhook_platform::{RowKey, Table, Transaction, Write};
use serde::{Deserialize, Serialize};

use crate::errors::Result;
use crate::rows;

/// The maximum number of rows that one scan requests.
const PAGE_ROWS: usize = 500;

/// `StatusRecord` is one observed condition.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusRecord {
    /// The observed resource.
    pub key: ResourceKey,
    /// The instance that observed it.
    pub observer: InstanceName,
    /// The observed condition.
    pub condition: Condition,
}

/// `StatusStore` stores the conditions of resources.
#[derive(Clone, Debug)]
pub struct StatusStore<T> {
    table: T,
}

impl<T: Table> StatusStore<T> {
    /// Creates a store on a table.
    pub fn new(table: T) -> Self {
        Self { table }
    }

    /// Writes a condition if it differs from the stored one. If its state is unchanged, it keeps the
    /// stored time since which it has applied.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if a call to the table fails. Writing again is safe.
    pub async fn report(&self, record: &StatusRecord) -> Result<()> {
        let key = condition_key(record);
        let row = self.table.read(&key).await?;
        let stored: Option<StatusRecord> = row.as_ref().map(rows::decode).transpose()?;
        let mut next = record.clone();
        if let Some(stored) = stored {
            if stored.condition.state == next.condition.state {
                next.condition.since = stored.condition.since;
            }
            if stored == next {
                return Ok(());
            }
        }
        let writes = vec![rows::put(key, &next)?];
        self.table.commit(&Transaction { conditions: Vec::new(), writes }).await?;
        Ok(())
    }

    /// Returns the conditions of a resource.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be read.
    pub async fn of(&self, key: &ResourceKey) -> Result<Vec<StatusRecord>> {
        self.scan(&rows::status_prefix(key)).await
    }

    /// Returns the conditions of all resources, in the order of their keys.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be read.
    pub async fn all(&self) -> Result<Vec<StatusRecord>> {
        self.scan(rows::STATUS_PREFIX).await
    }

    /// Returns the conditions of all resources of a kind, in the order of their names.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be read.
    pub async fn of_kind(&self, kind: Kind) -> Result<Vec<StatusRecord>> {
        self.scan(&rows::kind_status_prefix(kind)).await
    }

    /// Removes the conditions of a deleted resource.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if a call to the table fails. Removing again is safe.
    pub async fn forget(&self, key: &ResourceKey) -> Result<()> {
        let records = self.of(key).await?;
        let writes: Vec<Write> =
            records.iter().map(|record| Write::Delete { key: condition_key(record) }).collect();
        if !writes.is_empty() {
            self.table.commit(&Transaction { conditions: Vec::new(), writes }).await?;
        }
        Ok(())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StatusRecord>> {
        let found = rows::scan_all(&self.table, prefix, PAGE_ROWS).await?;
        found.iter().map(rows::decode).collect()
    }
}

fn condition_key(record: &StatusRecord) -> RowKey {
    let prefix = rows::status_prefix(&record.key);
    RowKey::new(format!("{prefix}{}", record.condition.kind))
}
