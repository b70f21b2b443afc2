//! The watch over a table: whether this instance reaches the table, and what its peers report of
//! it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use anvilhook_core::units::Millis;
use anvilhook_core::watches::{Continuity, SharedTimes, UNREACHABLE_BACKOFF};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::mirrors::Mirror;
use super::rows::RowChanges;
use super::versions::TableVersion;
use crate::tables::TableRevision;

/// The maximum number of spans that wait to be applied. More arrive only while the follower is
/// delayed, and then it queries the table.
const MAX_WAITING: usize = 32;

/// How long an outage of the table is published after the table was last known to be unreachable.
/// Entries that lapsed during the outage have a good two seconds to return.
const AWAY_PUBLISH_TIME: Millis = Millis(3_000);

/// The shortest outage in which an entry lapses: an upstream misses at least two of its reports.
const LAPSE_TIME: Millis = Millis(2_000);

/// The maximum number of published changes whose times are retained. There are at most a few per second.
const MAX_PUBLISHED: usize = 64;

/// `WatchState` is the state of a watch over a table, as published to peers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchState {
    /// The version of the newest change that the instance has read or received.
    pub newest: u64,
    /// The epoch of the store in which that version was assigned. It is encoded after the digest.
    #[serde(skip)]
    pub epoch: u64,
    /// Whether the instance failed to reach the table at its last attempt.
    pub is_unable: bool,
    /// How long ago the table was last known to be unreachable, if recently, in milliseconds.
    pub away_ms: Option<u32>,
}

/// `TableWatch` is this instance's watch over a table.
#[derive(Debug, Default)]
pub struct TableWatch {
    version: TableVersion,
    /// The time until which this instance counts as unable to reach the table.
    unable_until: AtomicU64,
    /// When the table was last known to be unreachable; 0 if it never was.
    away_at: AtomicU64,
    /// When this instance or another one of its zone last read the table, with all changes until then known here.
    read_at: AtomicU64,
    /// The last time in which no instance of the zone read the table for [`LAPSE_TIME`] or longer.
    unread_since: AtomicU64,
    unread_until: AtomicU64,
    /// When this instance last failed to reach the table; 0 if it never did.
    failed_at: AtomicU64,
    received: Mutex<VecDeque<RowChanges>>,
    queued_rows: Mutex<Vec<RowChanges>>,
    mirror: Mutex<Mirror>,
    /// The newest published changes, and when this instance learnt of each.
    published: Mutex<VecDeque<(TableRevision, Millis)>>,
    /// The instance that has published the newest change, while this one does not have it.
    newest_sender: Mutex<Option<SocketAddr>>,
    /// The instance to request missed changes from.
    resync_target: Mutex<Option<SocketAddr>>,
    changed: Notify,
}

impl TableWatch {
    /// Returns the progress of the instances in following the table.
    pub fn version(&self) -> &TableVersion {
        &self.version
    }

    /// Records that this instance did not reach the table with a call that began at `began_at`.
    pub fn record_failure(&self, began_at: Millis, now: Millis) {
        self.unable_until.store((now + UNREACHABLE_BACKOFF).0, Ordering::Release);
        self.failed_at.store(now.0, Ordering::Release);
        self.away_at.fetch_max(began_at.0, Ordering::AcqRel);
    }

    /// Records that this instance has reached the table.
    pub fn record_success(&self, now: Millis) {
        self.unable_until.store(0, Ordering::Release);
        self.failed_at.store(0, Ordering::Release);
        self.record_read(now);
    }

    fn record_read(&self, now: Millis) {
        let before = Millis(self.read_at.fetch_max(now.0, Ordering::AcqRel));
        if before + LAPSE_TIME <= now {
            self.unread_since.store(before.0, Ordering::Release);
            self.unread_until.store(now.0, Ordering::Release);
        }
    }

    /// Returns whether no instance of the zone read the table around `time` for so long that entries could lapse.
    pub fn was_unread_at(&self, time: Millis) -> bool {
        let since = self.unread_since.load(Ordering::Acquire);
        (since..=self.unread_until.load(Ordering::Acquire)).contains(&time.0)
    }

    /// Returns when this instance or another one of its zone last read the table, with all changes until then known
    /// here.
    pub fn read_at(&self) -> Millis {
        Millis(self.read_at.load(Ordering::Acquire))
    }

    /// Returns when this instance, which follows the table by the reads of others, must query it by itself.
    pub fn query_due_at(&self, times: &SharedTimes, rank: usize) -> Millis {
        let due_at = self.read_at() + times.query_age(rank);
        match self.failed_at.load(Ordering::Acquire) {
            0 => due_at,
            failed_at => due_at.max(Millis(failed_at) + times.retry_interval()),
        }
    }

    /// Returns whether this instance failed to reach the table at its last attempt.
    pub fn is_unable(&self, now: Millis) -> bool {
        now.0 < self.unable_until.load(Ordering::Acquire)
    }

    /// Returns when this instance or another one last found the table unreachable.
    pub fn away_at(&self) -> Millis {
        Millis(self.away_at.load(Ordering::Acquire))
    }

    /// Returns the state to publish. It carries the newest change that this instance knows of,
    /// whether it has read it or not.
    ///
    /// If the table refuses each instance that tries to follow it for its zone, only the zone
    /// leader learns of a change, from other zones. The instances that then learn of it from the
    /// leader query the table themselves.
    pub fn state(&self, now: Millis) -> WatchState {
        let away_at = self.away_at();
        let is_recent = away_at > Millis::ZERO && now < away_at + AWAY_PUBLISH_TIME;
        let newest = self.version.own().max(self.version.announced());
        WatchState {
            newest: newest.version,
            epoch: newest.epoch,
            is_unable: self.is_unable(now),
            away_ms: is_recent.then(|| (now - away_at).0 as u32),
        }
    }

    /// Returns the local copy of the table.
    pub fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().expect("no panic under this lock")
    }

    /// Applies the watch state of the instance at an address.
    pub fn merge(&self, from: SocketAddr, reported: &WatchState, now: Millis) {
        let newest = TableRevision::new(reported.epoch, reported.newest);
        if newest > self.version.announced() {
            self.record_published(newest, now);
        }
        if self.version.record_announced(newest) {
            *self.newest_sender.lock().expect("no panic under this lock") = Some(from);
        }
        if let Some(away_ms) = reported.away_ms {
            self.away_at.fetch_max((now - Millis(u64::from(away_ms))).0, Ordering::AcqRel);
        }
    }

    fn record_published(&self, revision: TableRevision, now: Millis) {
        let mut published = self.published();
        if published.len() >= MAX_PUBLISHED {
            published.pop_front();
        }
        published.push_back((revision, now));
    }

    fn published(&self) -> MutexGuard<'_, VecDeque<(TableRevision, Millis)>> {
        self.published.lock().expect("no panic under this lock")
    }

    /// Returns when this instance learnt that another one had read the table up to `revision`, or `None` if
    /// none has published so recently.
    pub fn published_at(&self, revision: TableRevision) -> Option<Millis> {
        let published = self.published();
        published.iter().find(|(newest, _)| *newest >= revision).map(|(_, at)| *at)
    }

    /// Requests the missed changes from the instance that published the newest one.
    pub fn request_resync(&self) {
        let sender = *self.newest_sender.lock().expect("no panic under this lock");
        *self.resync_target.lock().expect("no panic under this lock") = sender;
    }

    /// Takes the instance to request missed changes from, if any.
    pub fn take_resync_target(&self) -> Option<SocketAddr> {
        self.resync_target.lock().expect("no panic under this lock").take()
    }

    /// Queues rows for the other instances of the availability zone.
    pub fn queue_rows(&self, rows: RowChanges) {
        self.queued_rows.lock().expect("no panic under this lock").push(rows);
    }

    /// Takes the rows queued for other instances.
    pub fn take_queued_rows(&self) -> Vec<RowChanges> {
        std::mem::take(&mut *self.queued_rows.lock().expect("no panic under this lock"))
    }

    /// Records rows that another instance of this zone has read, or that it has read the table and found none.
    pub fn receive_rows(&self, rows: RowChanges, now: Millis) {
        self.version.record_announced(rows.newest());
        let known = self.mirror().known();
        // After a gap, the rows do not show that all changes are known here.
        if rows.epoch == known.epoch && rows.span.after <= known.version {
            self.record_read(now);
        }
        let mut received = self.received.lock().expect("no panic under this lock");
        if received.len() >= MAX_WAITING {
            received.pop_front();
        }
        received.push_back(rows);
        drop(received);
        self.changed.notify_one();
    }

    /// Waits for rows that continue the table from revision `known`. Only rows newer than that are
    /// returned.
    pub async fn next_rows(&self, known: TableRevision) -> RowChanges {
        loop {
            if let Some(rows) = self.take_next(known) {
                return rows;
            }
            self.changed.notified().await;
        }
    }

    fn take_next(&self, known: TableRevision) -> Option<RowChanges> {
        let mut received = self.received.lock().expect("no panic under this lock");
        // Rows of another epoch don't follow the known ones, whatever their versions are.
        let is_next = |rows: &RowChanges| {
            rows.epoch == known.epoch && rows.span.fits(known.version) == Continuity::Next
        };
        let at = received.iter().position(is_next);
        // Earlier spans are already known, or follow a gap that is filled from the table.
        let next = at.and_then(|at| received.drain(..=at).next_back());
        if next.is_none() {
            received.clear();
        }
        next.map(|mut next| {
            next.rows.retain(|row| row.version > known.version);
            next
        })
    }
}
