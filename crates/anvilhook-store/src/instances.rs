//! The instances of the system, as they announce themselves.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
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

/// The most reports of revisions that the whole fleet should write in a second, on average. The
/// table takes several hundred rows a second for everything, renewals of leases among them.
pub const FLEET_REPORTS_PER_S: u64 = 50;

/// The parts of a span in which an instance's place is counted.
const SPAN_PARTS: u64 = 1_000_000;

/// `ReportSchedule` decides when an instance writes its revision in force.
///
/// If all wrote it as soon as they saw a change, each change would cost a row for each instance in
/// the same second. At hundreds of instances one would see renewals of leases refused or late right
/// after each change. So the reports of one change are spread over a span that grows with the number
/// of instances, `report_span`, each at a place that its name decides. An instance writes at most
/// once in the span, and at most once in the least interval.
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
/// assert_eq!(schedule.in_force_for(Millis(5_179)), Millis(180));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReportSchedule {
    interval: Millis,
    /// The instance's place in the span, in millionths.
    place: u64,
    /// The revision that was reported last.
    reported: Option<Revision>,
    not_before: Millis,
    /// The revision that is in force, and since when this has been seen.
    in_force: Option<(Millis, Revision)>,
    /// Since when the one in force differs from the reported one. It is not put off by the next
    /// change: an instance amid many changes would otherwise never report.
    unreported_since: Option<Millis>,
}

impl ReportSchedule {
    /// Makes an instance's schedule that lets at least `interval` pass between two writes.
    pub fn new(name: &InstanceName, interval: Millis) -> Self {
        // The hasher's keys are fixed, so that places stay spread whoever computes them.
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self {
            interval,
            place: hasher.finish() % SPAN_PARTS,
            reported: None,
            not_before: Millis::ZERO,
            in_force: None,
            unreported_since: None,
        }
    }

    /// Returns whether the revision in force should be written now, among so many announced
    /// instances. The first is due at once: an instance is asked for nothing until it is announced.
    pub fn is_due(&mut self, now: Millis, in_force: Revision, instances: usize) -> bool {
        if self.in_force.is_none_or(|(_, revision)| revision != in_force) {
            self.in_force = Some((now, in_force));
        }
        if self.reported.is_none() {
            return true;
        }
        if self.reported == Some(in_force) {
            self.unreported_since = None;
            return false;
        }
        let since = *self.unreported_since.get_or_insert(now);
        let offset = Millis(report_span(instances).0 * self.place / SPAN_PARTS);
        now >= self.not_before.max(since + offset)
    }

    /// Returns for how long the revision in force has been so, for the record's `since`: it tells
    /// when the revision came into force, not when that was reported.
    pub fn in_force_for(&self, now: Millis) -> Millis {
        self.in_force.map_or(Millis::ZERO, |(at, _)| now - at)
    }

    /// Takes note of a write that succeeded.
    pub fn reported(&mut self, now: Millis, revision: Revision, instances: usize) {
        self.reported = Some(revision);
        self.unreported_since = None;
        self.not_before = now + self.interval.max(report_span(instances));
    }

    /// Takes note of a write that failed. The next follows a whole span later, so that the reports
    /// stay spread while the table is down and when it comes back.
    pub fn failed(&mut self, now: Millis, instances: usize) {
        self.not_before = now + report_span(instances);
    }
}

/// Returns over how long the reports of one change are spread.
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
