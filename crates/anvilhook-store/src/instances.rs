//! The instances of the system, as they announce themselves.

use std::net::SocketAddr;

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::units::{Millis, Revision, WallTime};
use anvilhook_platform::{Table, Transaction, Write};
use serde::{Deserialize, Serialize};

use crate::errors::Result;
use crate::rows;

/// The most rows that one scan asks for.
const PAGE_ROWS: usize = 500;

/// `InstanceRecord` is what an instance says of itself. An instance that ends without a stop leaves
/// its record behind; the platform's list says whether it is gone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRecord {
    /// Its name, which no other process has had.
    pub name: InstanceName,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The revision of the configuration that is in force there.
    pub revision: Revision,
    /// Since when that revision is in force.
    pub since: WallTime,
}

/// `InstanceDirectory` keeps the records of instances. Only an instance itself writes its record.
#[derive(Clone, Debug)]
pub struct InstanceDirectory<T> {
    table: T,
}

impl<T: Table> InstanceDirectory<T> {
    /// Makes a directory on a table.
    pub fn new(table: T) -> Self {
        Self { table }
    }

    /// Writes an instance's record, at its start and when its revision has changed.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be asked. Announcing again is safe.
    pub async fn announce(&self, record: &InstanceRecord) -> Result<()> {
        let write = rows::put(rows::instance_key(&record.name), record)?;
        self.commit(write).await
    }

    /// Removes the record of an instance that stops, or that the platform says is gone.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be asked. Removing again is safe.
    pub async fn remove(&self, name: &InstanceName) -> Result<()> {
        self.commit(Write::Delete { key: rows::instance_key(name) }).await
    }

    /// Returns all records in the order of their names.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be read.
    pub async fn list(&self) -> Result<Vec<InstanceRecord>> {
        let found = rows::scan_all(&self.table, rows::INSTANCE_PREFIX, PAGE_ROWS).await?;
        found.iter().map(rows::decode).collect()
    }

    async fn commit(&self, write: Write) -> Result<()> {
        let txn = Transaction { conditions: Vec::new(), writes: vec![write] };
        self.table.commit(&txn).await?;
        Ok(())
    }
}

/// `ReportSchedule` decides when an instance writes its revision in force. Writing it at once at
/// every change would make each change cost a write for each instance, all in the same moment.
///
/// ```
/// use anvilhook_core::units::{Millis, Revision};
/// use anvilhook_store::ReportSchedule;
///
/// let mut schedule = ReportSchedule::new(Millis::from_secs(5));
/// assert!(schedule.is_due(Millis(0), Revision(1)));
/// schedule.reported(Millis(0), Revision(1));
/// assert!(!schedule.is_due(Millis(4_999), Revision(2)));
/// assert!(schedule.is_due(Millis(5_000), Revision(2)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReportSchedule {
    interval: Millis,
    last: Option<(Millis, Revision)>,
}

impl ReportSchedule {
    /// Makes a schedule that lets at least `interval` pass between two writes.
    pub fn new(interval: Millis) -> Self {
        Self { interval, last: None }
    }

    /// Returns whether the revision in force should be written now.
    pub fn is_due(&self, now: Millis, in_force: Revision) -> bool {
        match self.last {
            None => true,
            Some((at, revision)) => revision != in_force && now - at >= self.interval,
        }
    }

    /// Takes note of a write that succeeded.
    pub fn reported(&mut self, now: Millis, revision: Revision) {
        self.last = Some((now, revision));
    }
}

/// Returns the time between two polls of the head, so that the fleet as a whole reads it at most
/// `fleet_reads_per_s` times a second, within bounds.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_store::instances::poll_interval;
///
/// let bounds = Millis(1_000)..=Millis(2_500);
/// assert_eq!(poll_interval(9, 200, bounds.clone()), Millis(1_000));
/// assert_eq!(poll_interval(390, 200, bounds), Millis(1_950));
/// ```
pub fn poll_interval(
    instances: usize,
    fleet_reads_per_s: u64,
    bounds: std::ops::RangeInclusive<Millis>,
) -> Millis {
    let fair = Millis(instances as u64 * 1_000 / fleet_reads_per_s.max(1));
    fair.clamp(*bounds.start(), *bounds.end())
}
