//! Tracks the versions up to which the instances have followed the tables.
//!
//! An instance whose connection to the table has stopped responding would learn of a change only at
//! the end of its call, and rows sent by peers may be lost. So peers publish the version of the
//! newest change that they know. An instance that is behind it queries the table again over a new
//! connection.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// `FollowedTable` is a table that all instances follow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum FollowedTable {
    /// The configuration table.
    Config,
    /// The table of upstream entries.
    Entries,
}

impl FollowedTable {
    /// All followed tables, in the order in which digests list them.
    pub const ALL: [FollowedTable; 2] = [FollowedTable::Config, FollowedTable::Entries];
}

/// `TableVersion` is the progress of this instance and the others in following a table.
#[derive(Debug, Default)]
pub struct TableVersion {
    /// The version of the newest change that this instance has read.
    own: AtomicU64,
    /// The version of the newest change that a peer has published.
    announced: AtomicU64,
    /// The newest published version for which this instance has queried the table again.
    queried: AtomicU64,
    changed: Notify,
}

impl TableVersion {
    /// Returns the version of the newest change that this instance has read.
    pub fn own(&self) -> u64 {
        self.own.load(Ordering::Acquire)
    }

    /// Records that this instance has read a change.
    pub fn record_own(&self, version: u64) {
        self.own.fetch_max(version, Ordering::AcqRel);
    }

    /// Records that a peer publishes a change. Returns whether it is newer than what this instance
    /// has read.
    pub fn record_announced(&self, version: u64) -> bool {
        if self.announced.fetch_max(version, Ordering::AcqRel) < version {
            self.changed.notify_waiters();
        }
        version > self.own()
    }

    /// Returns whether the newest published version is newer than `followed` and the table has not
    /// been queried for it. Without the second condition, a version that no instance can read would
    /// be queried forever.
    fn is_newer_than(&self, followed: u64) -> bool {
        let announced = self.announced();
        announced > followed && announced > self.queried.load(Ordering::Acquire)
    }

    /// Waits until a peer has published a change after `followed`.
    pub async fn wait_for_newer(&self, followed: u64) {
        loop {
            let changed = self.changed.notified();
            if self.is_newer_than(followed) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the newest published version.
    pub fn announced(&self) -> u64 {
        self.announced.load(Ordering::Acquire)
    }

    /// Records that the table has answered a call made when `announced` was the newest published
    /// version.
    pub fn record_queried(&self, announced: u64) {
        self.queried.fetch_max(announced, Ordering::AcqRel);
    }
}
