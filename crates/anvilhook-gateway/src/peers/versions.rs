//! How far the instances have followed the tables.
//!
//! An instance whose connection to the table has gone silent would learn of a change only at the
//! end of its call, and one that is told of rows may lose them on the way. Another one that has heard
//! of the change tells the version that it leads to: whoever has not followed so far asks again over a
//! new connection.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// `FollowedTable` is a table that all instances follow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum FollowedTable {
    /// The configuration's.
    Config,
    /// The upstreams' entries'.
    Entries,
}

impl FollowedTable {
    /// All followed tables, in the order in which digests tell of them.
    pub const ALL: [FollowedTable; 2] = [FollowedTable::Config, FollowedTable::Entries];
}

/// `TableVersion` is how far this instance and the others have followed a table.
#[derive(Debug, Default)]
pub struct TableVersion {
    /// The version of the newest change that this instance has read.
    own: AtomicU64,
    /// The version of the newest change that a peer has told of.
    told: AtomicU64,
    /// The newest version told of for which this instance has asked the table again.
    asked: AtomicU64,
    news: Notify,
}

impl TableVersion {
    /// Returns the version of the newest change that this instance has read.
    pub fn own(&self) -> u64 {
        self.own.load(Ordering::Acquire)
    }

    /// Notes that this instance has read a change.
    pub fn record_own(&self, version: u64) {
        self.own.fetch_max(version, Ordering::AcqRel);
    }

    /// Notes that a peer tells of a change. Returns whether it is newer than what this instance has read.
    pub fn record_announced(&self, version: u64) -> bool {
        if self.told.fetch_max(version, Ordering::AcqRel) < version {
            self.news.notify_waiters();
        }
        version > self.own()
    }

    /// Returns whether the newest version told of is newer than `followed` and the table has not been
    /// asked for it. A version that nobody can read would otherwise have it asked for ever.
    fn is_newer_than(&self, followed: u64) -> bool {
        let told = self.announced();
        told > followed && told > self.asked.load(Ordering::Acquire)
    }

    /// Waits until a peer has told of a change after `followed`.
    pub async fn wait_for_newer(&self, followed: u64) {
        loop {
            let news = self.news.notified();
            if self.is_newer_than(followed) {
                return;
            }
            news.await;
        }
    }

    /// Returns the newest version told of.
    pub fn announced(&self) -> u64 {
        self.told.load(Ordering::Acquire)
    }

    /// Notes that the table has answered a call that was made when `told` was the newest version told of.
    pub fn record_queried(&self, told: u64) {
        self.asked.fetch_max(told, Ordering::AcqRel);
    }
}
