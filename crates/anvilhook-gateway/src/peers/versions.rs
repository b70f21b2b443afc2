//! How far the instances have followed the tables.
//!
//! An instance whose connection to the table has gone silent would learn of a change only at the
//! end of its call. Of many instances one hears of the change, and tells the others the version that
//! it leads to: whoever has not followed so far asks again over a new connection. So the more
//! instances there are, the longer each call may wait, and the fewer calls they make in all.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::Notify;

/// `FollowedTable` is a table that all instances follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowedTable {
    /// The configuration's.
    Config,
    /// The upstreams' entries'.
    Entries,
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

    /// Notes that a peer tells of a change.
    pub fn record_told(&self, version: u64) {
        if self.told.fetch_max(version, Ordering::AcqRel) < version {
            self.news.notify_waiters();
        }
    }

    /// Returns the newest version told of, if it is newer than `followed` and the table has not been
    /// asked for it. A version that nobody can read would otherwise have it asked for ever.
    fn newer_than(&self, followed: u64) -> Option<u64> {
        let told = self.told.load(Ordering::Acquire);
        let is_news = told > followed && told > self.asked.load(Ordering::Acquire);
        is_news.then_some(told)
    }

    /// Waits until a peer has told of a change after `followed`.
    pub async fn told_newer_than(&self, followed: u64) {
        loop {
            let news = self.news.notified();
            if self.newer_than(followed).is_some() {
                return;
            }
            news.await;
        }
    }

    /// Notes that the table is asked again because of what peers have told.
    pub fn ask(&self, followed: u64) {
        if let Some(told) = self.newer_than(followed) {
            self.asked.fetch_max(told, Ordering::AcqRel);
        }
    }
}
