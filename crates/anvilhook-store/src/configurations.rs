//! Reads the configuration, either completely or only the changes.

use std::sync::Arc;

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{AuditEntry, Configuration, Resource};
use anvilhook_core::units::Revision;
use anvilhook_platform::Table;
use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};
use crate::rows::{self, CHANGE_PREFIX, RESOURCE_PREFIX};

/// `Head` is the last accepted change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The revision that it made.
    pub revision: Revision,
    /// Its id.
    pub change_id: ChangeId,
}

/// `StoreOptions` bounds the store's work on the table.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// The instance that uses the store; it is recorded in the audit trail.
    pub instance: InstanceName,
    /// The maximum number of rows that one scan requests.
    pub page_rows: usize,
    /// The maximum number of changes that are read individually. An instance that is further behind
    /// reads all resources.
    pub max_deltas: u64,
    /// How often a change is tried while other changes advance the head. Of concurrent attempts one
    /// succeeds, so this many operators can make a change at the same time.
    pub attempts: u32,
    /// How often a change is tried if its answers are lost. Each attempt may take as long as a timeout.
    pub lost_answers: u32,
}

impl StoreOptions {
    /// Returns the default bounds for an instance.
    pub fn new(instance: InstanceName) -> Self {
        Self { instance, page_rows: 500, max_deltas: 500, attempts: 32, lost_answers: 3 }
    }
}

/// `ConfigurationStore` reads and changes the configuration in the table.
#[derive(Clone, Debug)]
pub struct ConfigurationStore<T> {
    pub(crate) table: T,
    pub(crate) options: Arc<StoreOptions>,
}

/// `CatchUp` is the result of bringing a configuration up to the head.
#[derive(Clone, Debug)]
pub struct CatchUp {
    /// The configuration at the head, or at a later revision.
    pub configuration: Arc<Configuration>,
    /// The changes that led there, in order. Empty if all resources were read instead.
    pub entries: Vec<AuditEntry>,
    /// The version of the head's row, or `None` if no change was ever accepted.
    pub(crate) head_version: Option<u64>,
}

impl<T: Table> ConfigurationStore<T> {
    /// Creates a store on a table.
    pub fn new(table: T, options: StoreOptions) -> Self {
        Self { table, options: Arc::new(options) }
    }

    /// Returns the table.
    pub fn table(&self) -> &T {
        &self.table
    }

    /// Returns the instance that uses the store.
    pub fn instance(&self) -> &InstanceName {
        &self.options.instance
    }

    /// Reads the last accepted change, or returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be read.
    pub async fn head(&self) -> Result<Option<Head>> {
        Ok(self.versioned_head().await?.map(|(head, _)| head))
    }

    async fn versioned_head(&self) -> Result<Option<(Head, u64)>> {
        match self.table.read(&rows::head_key()).await? {
            Some(row) => Ok(Some((rows::decode(&row)?, row.version))),
            None => Ok(None),
        }
    }

    /// Reads up to `limit` changes after a revision, in order and without a gap.
    ///
    /// # Errors
    ///
    /// `Error::TooOld` if some of them are only in the archive, `Error::Platform` if the table
    /// cannot be read.
    pub async fn changes_since(&self, after: Revision, limit: usize) -> Result<Vec<AuditEntry>> {
        let from = rows::change_key(after);
        let found = self.table.scan(CHANGE_PREFIX, Some(&from), limit).await?;
        let entries: Vec<AuditEntry> = found.iter().map(rows::decode).collect::<Result<_>>()?;
        let mut expected = after;
        for entry in &entries {
            expected = Revision(expected.0 + 1);
            if entry.revision != expected {
                return Err(Error::TooOld { after, oldest: entry.revision });
            }
        }
        Ok(entries)
    }

    /// Reads the whole configuration.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be read.
    pub async fn load_all(&self) -> Result<Configuration> {
        for _ in 1..self.options.attempts {
            match self.try_load_all().await {
                // Changes after the scan's revision were archived meanwhile, so scan again.
                Err(Error::TooOld { .. }) => {}
                loaded => return loaded,
            }
        }
        self.try_load_all().await
    }

    async fn try_load_all(&self) -> Result<Configuration> {
        let Some(before) = self.head().await? else { return Ok(Configuration::default()) };
        let scanned = rows::scan_all(&self.table, RESOURCE_PREFIX, self.options.page_rows).await?;
        let resources: Vec<Resource> = scanned.iter().map(rows::decode).collect::<Result<_>>()?;
        let mixed = Configuration::new(before.revision, resources);

        // Changes that were accepted during the scan are included in some of its pages and not in
        // others: a service could refer to a pool that an earlier page did not contain yet. Applying
        // all of them gives the state after the last one, whichever of them the scan included.
        let after = self.head().await?.map_or(before.revision, |head| head.revision);
        let (whole, _) = self.replay(mixed, after).await?;
        Ok(whole)
    }

    /// Applies the changes after `base` until at least the revision `to`.
    async fn replay(
        &self,
        base: Configuration,
        to: Revision,
    ) -> Result<(Configuration, Vec<AuditEntry>)> {
        let mut cfg = base;
        let mut entries = Vec::new();
        while cfg.revision() < to {
            let page = self.changes_since(cfg.revision(), self.options.page_rows).await?;
            if page.is_empty() {
                let message = format!("there is no change after {}", cfg.revision());
                return Err(Error::bad_row(rows::change_key(to), message));
            }
            for entry in &page {
                cfg.apply(entry.revision, &entry.change);
            }
            entries.extend(page);
        }
        Ok((cfg, entries))
    }

    /// Brings a configuration up to the head. This reads only one row while nothing changes.
    ///
    /// # Errors
    ///
    /// `Error::Reverted` if the head is behind `base`, `Error::Platform` if the table cannot be
    /// read.
    pub async fn catch_up(&self, base: &Arc<Configuration>) -> Result<CatchUp> {
        let held = base.revision();
        let head = self.versioned_head().await?;
        let head_version = head.as_ref().map(|(_, version)| *version);
        let revision = head.map_or(Revision::default(), |(head, _)| head.revision);
        if revision < held {
            return Err(Error::Reverted { held, head: revision });
        }
        if revision == held {
            let configuration = Arc::clone(base);
            return Ok(CatchUp { configuration, entries: Vec::new(), head_version });
        }

        let is_near = held > Revision::default() && revision.0 - held.0 <= self.options.max_deltas;
        if is_near {
            match self.replay(Configuration::clone(base), revision).await {
                Ok((cfg, entries)) => {
                    return Ok(CatchUp { configuration: Arc::new(cfg), entries, head_version });
                }
                // The missing changes have been archived meanwhile.
                Err(Error::TooOld { .. }) => {}
                Err(err) => return Err(err),
            }
        }
        let configuration = Arc::new(self.load_all().await?);
        Ok(CatchUp { configuration, entries: Vec::new(), head_version })
    }
}
