//! Tracks the revisions up to which the instances have followed the tables.
//!
//! An instance whose connection to the table has stopped responding would learn of a change only at
//! the end of its call, and rows sent by peers may be lost. So peers publish the revision of the
//! newest change that they know. An instance that is behind it queries the table again over a new
//! connection.

use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::tables::TableRevision;

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
    progress: Mutex<Progress>,
    changed: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// The revision of the newest change that this instance has read.
    own: TableRevision,
    /// The revision of the newest change that a peer has published.
    announced: TableRevision,
    /// The newest published revision for which this instance has queried the table again.
    queried: TableRevision,
}

impl TableVersion {
    /// Returns the revision of the newest change that this instance has read.
    pub fn own(&self) -> TableRevision {
        self.progress().own
    }

    /// Records that this instance has read a change.
    pub fn record_own(&self, revision: TableRevision) {
        let mut progress = self.progress();
        progress.own = progress.own.max(revision);
    }

    /// Records that a peer publishes a change. Returns whether it is newer than what this instance
    /// has read.
    pub fn record_announced(&self, revision: TableRevision) -> bool {
        let mut progress = self.progress();
        if progress.announced < revision {
            progress.announced = revision;
            self.changed.notify_waiters();
        }
        revision > progress.own
    }

    /// Returns whether the newest published revision is newer than `followed` and the table has not
    /// been queried for it. Without the second condition, a revision that no instance can read
    /// would be queried forever.
    fn is_newer_than(&self, followed: TableRevision) -> bool {
        let progress = self.progress();
        progress.announced > followed && progress.announced > progress.queried
    }

    /// Waits until a peer has published a change after `followed`.
    pub async fn wait_for_newer(&self, followed: TableRevision) {
        loop {
            let changed = self.changed.notified();
            if self.is_newer_than(followed) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the newest published revision.
    pub fn announced(&self) -> TableRevision {
        self.progress().announced
    }

    /// Records that the table has answered a call made when `announced` was the newest published
    /// revision.
    pub fn record_queried(&self, announced: TableRevision) {
        let mut progress = self.progress();
        progress.queried = progress.queried.max(announced);
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("no panic under this lock")
    }
}
