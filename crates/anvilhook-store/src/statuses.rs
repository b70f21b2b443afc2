//! What is known of the actual state of resources, written by whoever observes it.
//!
//! Status is not part of the configuration: it makes no revision and no audit entry. Each condition
//! is a row of its own, so that two instances that observe different things do not overwrite each
//! other.

use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{Condition, Kind, ResourceKey};
use anvilhook_platform::{RowKey, Table, Transaction, Write};
use serde::{Deserialize, Serialize};

use crate::errors::Result;
use crate::rows;

/// The most rows that one scan asks for.
const PAGE_ROWS: usize = 500;

/// `StatusRecord` is one observed condition.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusRecord {
    /// The resource that it is about.
    pub key: ResourceKey,
    /// Who observed it.
    pub observer: InstanceName,
    /// What was observed.
    pub condition: Condition,
}

/// `StatusStore` keeps the conditions of resources.
#[derive(Clone, Debug)]
pub struct StatusStore<T> {
    table: T,
}

impl<T: Table> StatusStore<T> {
    /// Makes a store on a table.
    pub fn new(table: T) -> Self {
        Self { table }
    }

    /// Writes a condition if it differs from what stands. A condition whose state is the same keeps
    /// the time since when it has been so.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be asked. Writing again is safe.
    pub async fn report(&self, record: &StatusRecord) -> Result<()> {
        let key = condition_key(record);
        let row = self.table.read(&key).await?;
        let standing: Option<StatusRecord> = row.as_ref().map(rows::decode).transpose()?;
        let mut next = record.clone();
        if let Some(standing) = standing {
            if standing.condition.state == next.condition.state {
                next.condition.since = standing.condition.since;
            }
            if standing == next {
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

    /// Removes the conditions of a resource that was deleted.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be asked. Removing again is safe.
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
