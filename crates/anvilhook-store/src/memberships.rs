//! Which instances there are, read by one and known to all.
//!
//! If every instance read every other's record, the rows read would grow with the square of the
//! fleet. So one instance scans the records and writes the members into one row; the others read a
//! small head, and the members when the head says that they have changed. Whoever finds the head
//! unchanged for a period scans next, so nobody's failure stops the scans, and a collision costs one.
//!
//! What comes of it is a hint about whom to talk to and how many share a limit. Whoever must know
//! every announced instance, such as the holder that drains an engine, reads the records.

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_platform::{Commit, Condition, RowKey, Table, Transaction};
use serde::{Deserialize, Serialize};

use crate::errors::Result;
use crate::instances::{InstanceDirectory, InstanceRecord, poll_interval};
use crate::rows;

/// By how much sooner than others an instance scans that is missing among the members.
const JOIN_SPEEDUP: u64 = 5;

/// `Member` is an announced instance, as far as others need to know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
}

impl From<InstanceRecord> for Member {
    fn from(record: InstanceRecord) -> Self {
        let InstanceRecord { name, zone, peer_address, .. } = record;
        Self { name, zone, peer_address }
    }
}

/// `MembershipOptions` bounds how often the rows are read.
#[derive(Clone, Copy, Debug)]
pub struct MembershipOptions {
    /// The time between two scans of the records.
    pub scan_every: Millis,
    /// How often the whole fleet reads the head in a second.
    pub fleet_reads_per_s: u64,
    /// The bounds of one instance's pause between two readings of the head.
    pub min_pause: Millis,
    /// The upper bound.
    pub max_pause: Millis,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            scan_every: Millis::from_secs(5),
            fleet_reads_per_s: 40,
            min_pause: Millis::from_secs(1),
            max_pause: Millis::from_secs(10),
        }
    }
}

/// `PollReport` says what a poll has brought.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PollReport {
    /// Whether the members have changed.
    pub changed: bool,
    /// Whether this instance scanned the records. It should also remove those of instances that the
    /// platform says are gone.
    pub scanned: bool,
}

/// The row that all read.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct MembershipHead {
    /// Counts the changes of the members.
    generation: u64,
    /// Counts the scans, so that each is a change that the others see.
    scans: u64,
}

/// The row that is read when the generation has changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct MemberList {
    generation: u64,
    members: Vec<Member>,
}

/// The head as last seen, and since when it has stood.
#[derive(Clone, Copy, Debug)]
struct SeenHead {
    version: u64,
    head: MembershipHead,
    since: Millis,
}

/// `MembershipFollower` follows the members on behalf of one instance.
#[derive(Debug)]
pub struct MembershipFollower<T, C> {
    table: T,
    directory: InstanceDirectory<T>,
    clock: C,
    me: InstanceName,
    options: MembershipOptions,
    seen: Option<SeenHead>,
    generation: u64,
    members: Arc<[Member]>,
}

impl<T: Table, C: Clock> MembershipFollower<T, C> {
    /// Knows no members yet.
    pub fn new(table: T, clock: C, me: InstanceName, options: MembershipOptions) -> Self {
        let directory = InstanceDirectory::new(table.clone());
        let members = Arc::from([]);
        Self { table, directory, clock, me, options, seen: None, generation: 0, members }
    }

    /// Returns the members as last known, this instance among them if it was announced in time.
    pub fn members(&self) -> &Arc<[Member]> {
        &self.members
    }

    /// Returns how long to wait until the next poll. It grows with the fleet, so that all instances
    /// together read the head at a constant rate. One that the others don't know yet hurries.
    pub fn pause(&self) -> Millis {
        if self.is_missing() {
            return self.options.min_pause;
        }
        let MembershipOptions { fleet_reads_per_s, min_pause, max_pause, .. } = self.options;
        poll_interval(self.members.len(), fleet_reads_per_s, min_pause..=max_pause.max(min_pause))
    }

    fn is_missing(&self) -> bool {
        self.members.iter().all(|member| member.name != self.me)
    }

    /// Reads what is new, and scans the records if it is this instance's turn. `is_announced` says
    /// whether its own record stands.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be asked; the members stay as they were.
    pub async fn poll(&mut self, is_announced: bool) -> Result<PollReport> {
        let mut report = PollReport::default();
        let row = self.table.read(&head_key()).await?;
        match &row {
            Some(row) => self.see(row.version, rows::decode(row)?),
            None => self.seen = None,
        }
        if self.seen.is_some_and(|seen| seen.head.generation != self.generation) {
            report.changed = self.read_members().await?;
        }
        if self.should_scan(is_announced) {
            report.changed |= self.scan().await?;
            report.scanned = true;
        }
        Ok(report)
    }

    fn see(&mut self, version: u64, head: MembershipHead) {
        let since = self.clock.now();
        if self.seen.is_none_or(|seen| seen.version != version) {
            self.seen = Some(SeenHead { version, head, since });
        }
    }

    async fn read_members(&mut self) -> Result<bool> {
        let Some(row) = self.table.read(&members_key()).await? else { return Ok(false) };
        let list: MemberList = rows::decode(&row)?;
        self.generation = list.generation;
        Ok(self.replace(list.members))
    }

    fn replace(&mut self, members: Vec<Member>) -> bool {
        let differs = *self.members != *members;
        if differs {
            self.members = members.into();
        }
        differs
    }

    /// Returns whether nobody has scanned for a period, so that this instance should.
    fn should_scan(&self, is_announced: bool) -> bool {
        let Some(seen) = self.seen else { return true };
        let period = self.options.scan_every;
        let wait = if self.is_missing() && is_announced {
            // The others should learn of a new instance soon; and one scan finds all new ones.
            Millis(period.0 / JOIN_SPEEDUP)
        } else {
            period
        };
        self.clock.now() >= seen.since + wait
    }

    /// Reads all records and writes the members. Whoever loses the race has the other's members at
    /// the next poll.
    async fn scan(&mut self) -> Result<bool> {
        let records = self.directory.list().await?;
        let members: Vec<Member> = records.into_iter().map(Member::from).collect();
        let before = self.seen.map(|seen| seen.head).unwrap_or_default();
        let is_known = before.generation == self.generation && before.generation > 0;
        let is_same = is_known && *self.members == *members;
        let generation = before.generation + u64::from(!is_same);
        let head = MembershipHead { generation, scans: before.scans + 1 };

        let key = head_key();
        let version = self.seen.map(|seen| seen.version);
        let condition = match version {
            Some(version) => Condition::AtVersion { key: key.clone(), version },
            None => Condition::Absent { key: key.clone() },
        };
        let mut writes = vec![rows::put(key, &head)?];
        if !is_same {
            let list = MemberList { generation, members: members.clone() };
            writes.push(rows::put(members_key(), &list)?);
        }
        let txn = Transaction { conditions: vec![condition], writes };
        // After a lost answer the next poll reads whatever stands.
        if let Commit::Done = self.table.commit(&txn).await? {
            self.generation = generation;
            self.see(version.unwrap_or(0) + 1, head);
        }
        Ok(self.replace(members))
    }
}

fn head_key() -> RowKey {
    RowKey::new("membership/head")
}

fn members_key() -> RowKey {
    RowKey::new("membership/members")
}
