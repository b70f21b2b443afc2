//! The records by which the instances of the system announce themselves.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::units::{Millis, Revision, WallTime};
use anvilhook_platform::{Table, Transaction, Write};
use serde::{Deserialize, Serialize};

use crate::errors::Result;
use crate::rows;

/// The maximum number of rows that one scan requests.
const PAGE_ROWS: usize = 500;

/// `InstanceRecord` is the record by which an instance announces itself. An instance that terminates
/// without a planned stop leaves its record behind; the instance list shows whether it has terminated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRecord {
    /// Its name, which no other process has ever had.
    pub name: InstanceName,
    /// The address at which its peers reach it.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The configuration revision that is applied there.
    pub revision: Revision,
    /// Since when that revision has been applied.
    pub since: WallTime,
}

/// `InstanceDirectory` stores the records of instances. Only an instance itself writes its record.
#[derive(Clone, Debug)]
pub struct InstanceDirectory<T> {
    table: T,
}

impl<T: Table> InstanceDirectory<T> {
    /// Creates a directory on a table.
    pub fn new(table: T) -> Self {
        Self { table }
    }

    /// Writes an instance's record, when it starts and when its revision has changed.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the write fails. Announcing again is safe.
    pub async fn announce(&self, record: &InstanceRecord) -> Result<()> {
        let write = rows::put(rows::instance_key(&record.name), record)?;
        self.commit(write).await
    }

    /// Removes the record of an instance that stops, or that has terminated according to the platform.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the write fails. Removing again is safe.
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

/// The maximum number of revision reports that the whole fleet should write per second, on average. The
/// table accepts several hundred rows per second in total, including renewals of leases.
pub const FLEET_REPORTS_PER_S: u64 = 50;

/// The number of parts into which a span is divided, in which an instance's offset is measured.
const SPAN_PARTS: u64 = 1_000_000;

/// `ReportSchedule` determines when an instance writes its applied revision.
///
/// If all instances wrote it as soon as they saw a change, each change would cost one row per instance
/// in the same second. With hundreds of instances, renewals of leases would be refused or late right
/// after each change. So the reports of one change are spread over a span that grows with the number of
/// instances, `report_span`, each at an offset that is derived from the instance's name. An instance
/// writes at most once per span, and at most once per minimum interval.
///
/// ```
/// use anvilhook_core::units::{Millis, Revision};
/// use anvilhook_store::ReportSchedule;
///
/// let name = "entry-1".parse().unwrap();
/// let mut schedule = ReportSchedule::new(&name, Millis::from_secs(5));
/// assert!(schedule.is_due(Millis(0), Revision(1), 9));
/// schedule.reported(Millis(0), Revision(1), 9);
/// assert!(!schedule.is_due(Millis(4_999), Revision(2), 9));
/// assert!(schedule.is_due(Millis(5_179), Revision(2), 9));
/// assert_eq!(schedule.applied_for(Millis(5_179)), Millis(180));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReportSchedule {
    interval: Millis,
    /// The instance's offset in the span, in millionths of the span.
    offset_parts: u64,
    /// The last reported revision.
    reported: Option<Revision>,
    not_before: Millis,
    /// The applied revision, and since when it has been observed.
    applied: Option<(Millis, Revision)>,
    /// Since when the applied revision differs from the reported one. The next change does not reset
    /// it, because an instance would otherwise never report during frequent changes.
    unreported_since: Option<Millis>,
}

impl ReportSchedule {
    /// Creates an instance's schedule with a minimum `interval` between two writes.
    pub fn new(name: &InstanceName, interval: Millis) -> Self {
        // The hasher's keys are fixed, so a name has the same offset in every process, and the offsets
        // of all instances stay spread.
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self {
            interval,
            offset_parts: hasher.finish() % SPAN_PARTS,
            reported: None,
            not_before: Millis::ZERO,
            applied: None,
            unreported_since: None,
        }
    }

    /// Returns whether the applied revision should be written now; `instances` is the number of
    /// announced instances. The first report is due immediately, because nothing is requested of an
    /// instance until it is announced.
    pub fn is_due(&mut self, now: Millis, applied: Revision, instances: usize) -> bool {
        if self.applied.is_none_or(|(_, revision)| revision != applied) {
            self.applied = Some((now, applied));
        }
        if self.reported.is_none() {
            return true;
        }
        if self.reported == Some(applied) {
            self.unreported_since = None;
            return false;
        }
        let since = *self.unreported_since.get_or_insert(now);
        let offset = Millis(report_span(instances).0 * self.offset_parts / SPAN_PARTS);
        now >= self.not_before.max(since + offset)
    }

    /// Returns for how long the current revision has been applied. It is used for the record's `since`,
    /// which is the time at which the revision was applied, not the time of the report.
    pub fn applied_for(&self, now: Millis) -> Millis {
        self.applied.map_or(Millis::ZERO, |(at, _)| now - at)
    }

    /// Records a write that succeeded.
    pub fn reported(&mut self, now: Millis, revision: Revision, instances: usize) {
        self.reported = Some(revision);
        self.unreported_since = None;
        self.not_before = now + self.interval.max(report_span(instances));
    }

    /// Records a write that failed. The next one follows a whole span later, so that the reports stay
    /// spread while the table is down and when it comes back.
    pub fn failed(&mut self, now: Millis, instances: usize) {
        self.not_before = now + report_span(instances);
    }
}

/// Returns the span over which the reports of one change are spread.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_store::instances::report_span;
///
/// assert_eq!(report_span(9), Millis(180));
/// assert_eq!(report_span(390), Millis(7_800));
/// ```
pub fn report_span(instances: usize) -> Millis {
    Millis(instances as u64 * 1_000 / FLEET_REPORTS_PER_S)
}

/// Returns the time between two polls of the head, such that the whole fleet reads it at most
/// `fleet_reads_per_s` times per second. The result is clamped to `bounds`.
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
