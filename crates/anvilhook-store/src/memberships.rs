//! Distributes the set of announced instances, which one instance scans for all others.
//!
//! If every instance read every other's record, the number of rows read would grow with the square of
//! the fleet size. So one instance scans the records and writes the members into one row. The others
//! read a small head, and read the members only if the head shows that they have changed. An instance
//! that finds the head unchanged for a period scans next, so no failure of a single instance stops the
//! scans, and a collision costs only one more scan.
//!
//! The members are a hint, used to choose peers and to count the instances that share a limit. Code
//! that must know every announced instance, such as the holder that drains an engine, reads the records.

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_platform::{Commit, Condition, RowKey, Table, Transaction};
use serde::{Deserialize, Serialize};

use crate::errors::Result;
use crate::instances::{InstanceDirectory, InstanceRecord, poll_interval};
use crate::rows;

/// The factor by which an instance that is missing among the members scans sooner than others.
const JOIN_SPEEDUP: u64 = 5;

/// `Member` contains the data of an announced instance that other instances need.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address at which its peers reach it.
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
    /// How often the whole fleet reads the head per second.
    pub fleet_reads_per_s: u64,
    /// The minimum pause of one instance between two reads of the head.
    pub min_pause: Millis,
    /// The maximum pause of one instance between two reads of the head.
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

/// `PollReport` contains the results of a poll.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PollReport {
    /// Whether the members have changed.
    pub changed: bool,
    /// Whether this instance scanned the records. If so, it should also remove the records of instances
    /// that have terminated according to the platform.
    pub scanned: bool,
}

/// `MembershipHead` is the small row that all instances poll.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct MembershipHead {
    /// Counts the changes of the members.
    generation: u64,
    /// Counts the scans, so that each scan changes the row.
    scans: u64,
}

/// `MemberList` is the row that is read when the generation has changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct MemberList {
    generation: u64,
    members: Vec<Member>,
}

/// `SeenHead` is the head as last read, and since when it has been unchanged.
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
    /// Creates a follower that knows no members yet.
    pub fn new(table: T, clock: C, me: InstanceName, options: MembershipOptions) -> Self {
        let directory = InstanceDirectory::new(table.clone());
        let members = Arc::from([]);
        Self { table, directory, clock, me, options, seen: None, generation: 0, members }
    }

    /// Returns the last known members. They include this instance if it was announced before the scan.
    pub fn members(&self) -> &Arc<[Member]> {
        &self.members
    }

    /// Returns how long to wait until the next poll. It grows with the fleet, so that all instances
    /// together read the head at a constant rate. An instance that is not among the members yet polls
    /// at the minimum pause.
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

    /// Reads the head and any changed members, and scans the records if it is this instance's turn.
    /// `is_announced` is whether its own record has been written.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if a call to the table fails; the members stay unchanged.
    pub async fn poll(&mut self, is_announced: bool) -> Result<PollReport> {
        let mut report = PollReport::default();
        let row = self.table.read(&head_key()).await?;
        match &row {
            Some(row) => self.record_head(row.version, rows::decode(row)?),
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

    fn record_head(&mut self, version: u64, head: MembershipHead) {
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

    /// Returns whether no instance has scanned for a period, so that this one should.
    fn should_scan(&self, is_announced: bool) -> bool {
        let Some(seen) = self.seen else { return true };
        let period = self.options.scan_every;
        let wait = if self.is_missing() && is_announced {
            // The others should learn of a new instance soon, and one scan finds all new ones.
            Millis(period.0 / JOIN_SPEEDUP)
        } else {
            period
        };
        self.clock.now() >= seen.since + wait
    }

    /// Reads all records and writes the members. If another instance writes first, its members are read
    /// in the next poll.
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
        // If the answer is lost, the next poll reads the current rows.
        if let Commit::Done = self.table.commit(&txn).await? {
            self.generation = generation;
            self.record_head(version.unwrap_or(0) + 1, head);
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
