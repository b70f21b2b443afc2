//! Follows one table, by calls of this instance or by the rows that another instance publishes.

use std::cmp::Ordering;
use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};
use anvilhook_core::watches::Span;

use super::{Follow, FollowTimes};
use crate::events::{InstanceEvent, emit};
use crate::peers::{FollowedTable, Peers, RowChanges, TableWatch};
use crate::tables::{Rows, Table, TableError, TableRevision};

/// How long a call waits for changes while the table is unreachable. A call sent during an outage
/// gets no response even after the outage has ended. If it waited, changes made meanwhile would be
/// applied later by the whole wait.
const NO_WAIT: Millis = Millis::ZERO;

/// How long an instance waits for a change that a peer has announced. The change may still arrive
/// by the instance's own call, or from the instance that follows the table for it, which may be
/// gathering further changes at that moment.
const GAP_WAIT: Millis = Millis(400);

/// How often an instance that has missed a change requests it from the peer that published it
/// before it queries the table, and how long it waits for each response.
const MAX_PEER_REQUESTS: u32 = 3;
const PEER_RESPONSE_WAIT: Millis = Millis(150);

/// The interval at which an instance that receives rows from peers checks whether it must now
/// follow the table itself.
const CHECK_INTERVAL: Millis = Millis(200);

/// The pause after a failed call, which grows from the first to the second value.
const FIRST_PAUSE: Millis = Millis(50);
const LONGEST_PAUSE: Millis = Millis(400);

/// How long an instance waits after its first read until it follows the table itself. By then it
/// has received digests from the others, and knows whether one of them follows the table.
const SETTLE_TIME: Millis = Millis(600);

/// `Read` is new content of a table.
enum Read {
    /// All rows, read by this instance.
    Whole(Rows),
    /// Changed rows, read by this instance.
    Changes(Rows),
    /// Changed rows, published by another instance.
    FromPeer(RowChanges),
}

/// `EpochOrder` is how the epoch of new content fits the known one.
enum EpochOrder {
    /// The content can be applied.
    Current,
    /// The store was restored from a copy, so the table must be read whole.
    Restored,
    /// The content is from before a restore that is known already.
    Outdated,
}

/// `Outage` is a period in which the table can't be reached.
struct Outage {
    began_at: Millis,
    /// When the last call that got no response was sent. The call shows nothing about any later
    /// time.
    last_unreachable_at: Millis,
}

/// `Following` is the progress and the method of following a table.
pub(super) struct Following<T, F, C> {
    table: T,
    clock: C,
    times: FollowTimes,
    follower: F,
    peers: Arc<Peers>,
    shared: FollowedTable,
    /// Whether a full scan of the table is needed.
    needs_full_read: bool,
    outage: Option<Outage>,
    /// When the table was last unreachable, as reported to the follower.
    reported_away_at: Millis,
    pause: Millis,
    /// The pause before the next whole read after a gap in the history.
    gap_pause: Millis,
    /// When the last call of this instance was sent.
    called_at: Millis,
    /// Whether the last content came from such a call, so that its connection is known to be
    /// healthy.
    was_own: bool,
    /// The epoch of the rows that were applied last, for logs.
    logged_epoch: u64,
}

impl<T: Table, F: Follow, C: Clock> Following<T, F, C> {
    pub fn new(table: T, clock: C, times: FollowTimes, follower: F) -> Self {
        let (peers, shared) = follower.sharers();
        Self {
            table,
            clock,
            times,
            follower,
            peers,
            shared,
            needs_full_read: true,
            outage: None,
            reported_away_at: Millis::ZERO,
            pause: FIRST_PAUSE,
            gap_pause: Millis::ZERO,
            called_at: Millis::ZERO,
            was_own: false,
            logged_epoch: 0,
        }
    }

    /// Reads new content, and applies it.
    pub async fn step(&mut self) {
        let read = if self.needs_full_read {
            self.called_at = self.clock.now();
            self.table.scan(self.follower.table()).await.map(Read::Whole)
        } else {
            self.next().await
        };
        match read {
            Ok(read) => self.apply(read).await,
            Err(TableError::HistoryGone) => {
                let (dependency, version) = (self.follower.table(), self.known().version);
                emit(&InstanceEvent::HistoryGone { dependency, version });
                self.needs_full_read = true;
                self.pause_between_gaps().await;
            }
            Err(err) => self.record_loss(err).await,
        }
    }

    /// Waits before the table is read whole, if that was of no use the last time.
    async fn pause_between_gaps(&mut self) {
        tokio::time::sleep(self.gap_pause.as_duration()).await;
        self.gap_pause = Millis(self.gap_pause.0 * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
    }

    fn watch(&self) -> &TableWatch {
        self.peers.watch_of(self.shared)
    }

    fn known(&self) -> TableRevision {
        self.watch().mirror().known()
    }

    fn is_chosen(&self) -> bool {
        self.peers.follows(self.shared, self.clock.now())
    }

    /// Waits for the next content.
    async fn next(&mut self) -> Result<Read, TableError> {
        while !self.is_chosen() {
            self.was_own = false;
            if let Some(read) = self.next_from_peers().await {
                return read;
            }
        }
        if !self.was_own {
            // Otherwise many instances, one after the other, would at once call a table that the
            // previous ones have just failed to reach.
            let away_for = self.clock.now() - self.watch().away_at();
            tokio::time::sleep((LONGEST_PAUSE - away_for).as_duration()).await;
        }
        // A call that waits for changes would hide a broken connection for as long as it waits.
        let is_connection_healthy = self.was_own && self.outage.is_none();
        self.was_own = true;
        if is_connection_healthy { self.next_change().await } else { self.query_table().await }
    }

    /// Queries the table for the changes until now.
    async fn query_table(&mut self) -> Result<Read, TableError> {
        self.called_at = self.clock.now();
        let announced = self.watch().version().announced();
        let known = self.known().version;
        let rows = self.table.changes(self.follower.table(), known, NO_WAIT).await?;
        // An announced version after the returned rows must still be queried. If no rows are
        // returned, no instance can read that version, and it counts as queried.
        let queried = if rows.rows.is_empty() { announced } else { announced.min(rows.revision()) };
        self.watch().version().record_queried(queried);
        Ok(Read::Changes(rows))
    }

    /// Waits for rows published by another instance; `None` if this instance must now follow the
    /// table itself. An instance that learns that it has missed changes requests them from the peer
    /// that published them, and then queries the table. It also does if no other instance has read the
    /// table for too long, as the table may have stopped responding to all that follow it.
    async fn next_from_peers(&mut self) -> Option<Result<Read, TableError>> {
        let known = self.known();
        let watch = self.watch();
        let missed = async {
            watch.version().wait_for_newer(known).await;
            tokio::time::sleep(GAP_WAIT.as_duration()).await;
            // Peers send no rows across a restore: only the table shows which rows it has lost.
            if watch.version().announced().epoch > known.epoch {
                return;
            }
            for _ in 0..MAX_PEER_REQUESTS {
                watch.request_resync();
                self.peers.announce();
                tokio::time::sleep(PEER_RESPONSE_WAIT.as_duration()).await;
            }
            // The first instance that reads the changes publishes them.
            let delay = self.times.shared.query_delay(self.follower_rank());
            tokio::time::sleep(delay.as_duration()).await;
        };
        let chosen = async {
            while !self.is_chosen() {
                tokio::time::sleep(CHECK_INTERVAL.as_duration()).await;
            }
        };
        tokio::select! {
            rows = watch.next_rows(known) => return Some(Ok(Read::FromPeer(rows))),
            () = missed => {}
            () = chosen => return None,
            () = self.until_query_is_due() => {}
        }
        Some(self.query_table().await)
    }

    /// Waits until no read of another instance has been received for so long that this instance must
    /// query the table.
    async fn until_query_is_due(&self) {
        loop {
            let (watch, rank) = (self.watch(), self.follower_rank());
            let left = watch.query_due_at(&self.times.shared, rank) - self.clock.now();
            if left == Millis::ZERO {
                return;
            }
            tokio::time::sleep(left.min(CHECK_INTERVAL).as_duration()).await;
        }
    }

    fn follower_rank(&self) -> usize {
        self.peers.follower_rank(self.shared, self.clock.now())
    }

    /// Returns how long the next call waits for changes. The other instances of the availability zone
    /// rely on a read each time the wait has passed, also if this one has gathered changes before.
    fn wait(&self) -> Millis {
        if self.peers.is_full_mesh() {
            return self.times.wait;
        }
        let shared_wait = self.times.shared_wait();
        ((self.watch().read_at() + shared_wait) - self.called_at).min(shared_wait)
    }

    /// Waits for changes by a call of this instance. The wait is aborted if a peer knows of a
    /// change that the call does not return: its connection may have stopped responding, and the
    /// table is then queried over another one.
    async fn next_change(&mut self) -> Result<Read, TableError> {
        self.called_at = self.clock.now();
        let known = self.known();
        let version = self.watch().version();
        let missed = async {
            version.wait_for_newer(known).await;
            tokio::time::sleep(GAP_WAIT.as_duration()).await;
        };
        tokio::select! {
            rows = self.table.changes(self.follower.table(), known.version, self.wait()) => {
                rows.map(Read::Changes)
            }
            () = missed => Err(TableError::NoAnswer("peers know of a change".to_owned())),
        }
    }

    /// Applies what was read, and publishes it to the others if it was read by a call.
    async fn apply(&mut self, read: Read) {
        match self.epoch_order(&read) {
            EpochOrder::Current => {}
            // Versions of the new epoch can't be compared with the known ones, so no change would be sure to be
            // applied.
            EpochOrder::Restored => {
                self.needs_full_read = true;
                return;
            }
            EpochOrder::Outdated => {
                let err = TableError::NoAnswer("rows of an earlier epoch".to_owned());
                return self.record_loss(err).await;
            }
        }
        let is_own = !matches!(read, Read::FromPeer(_));
        let is_first = self.known().version == 0;
        let unreachable_at = self.outage.as_ref().map(|outage| outage.last_unreachable_at);
        let others_read_at = self.watch().read_at();
        self.record_reached(is_own);
        self.pause = FIRST_PAUSE;
        self.follower.contacted();
        let has_changes = match read {
            Read::Whole(rows) => {
                let unreachable_at = unreachable_at.unwrap_or(self.called_at);
                self.apply_all(rows, unreachable_at, others_read_at)
            }
            Read::Changes(rows) => {
                self.gap_pause = Millis::ZERO;
                let changes = self.watch().mirror().following(rows);
                self.publish(&changes, others_read_at);
                self.apply_changes(changes, "call")
            }
            Read::FromPeer(changes) => self.apply_changes(changes, "told"),
        };
        if is_first {
            tokio::time::sleep(SETTLE_TIME.as_duration()).await;
        } else if is_own && has_changes {
            tokio::time::sleep(self.follower.gather_time().as_duration()).await;
        }
    }

    /// Returns how the epoch of new content fits the known one.
    fn epoch_order(&self, read: &Read) -> EpochOrder {
        let known = self.known();
        let (epoch, is_whole) = match read {
            Read::Whole(rows) => (rows.epoch, true),
            Read::Changes(rows) => (rows.epoch, false),
            Read::FromPeer(changes) => (changes.epoch, false),
        };
        match epoch.cmp(&known.epoch) {
            Ordering::Less => EpochOrder::Outdated,
            Ordering::Greater if !is_whole => EpochOrder::Restored,
            Ordering::Equal | Ordering::Greater => EpochOrder::Current,
        }
    }

    /// Records that the table, or the instance that follows it, is reachable, and when it last was
    /// not.
    fn record_reached(&mut self, is_own: bool) {
        if let Some(outage) = self.outage.take() {
            let away_ms = (self.clock.now() - outage.began_at).0;
            emit(&InstanceEvent::DependencyRegained { dependency: self.follower.table(), away_ms });
            self.follower.regained(outage.last_unreachable_at);
            self.reported_away_at = outage.last_unreachable_at;
        }
        if is_own {
            self.watch().record_success(self.clock.now());
        }
        // An instance that receives rows from peers has not seen the outage itself. It gives
        // entries that lapsed in it the same time to return. The table may only have refused some instances, while
        // the upstreams reported all the time: a removed one would then get work for that much longer.
        let away_at = self.watch().away_at();
        if away_at > self.reported_away_at && !self.peers.is_full_mesh() {
            if self.watch().was_unread_at(away_at) {
                self.follower.regained(away_at);
            }
            self.reported_away_at = away_at;
        }
    }

    /// Applies a full scan. `unreachable_at` is when the table was last unreachable, or when it was called.
    fn apply_all(&mut self, rows: Rows, unreachable_at: Millis, others_read_at: Millis) -> bool {
        let known = self.known();
        if known.version > 0 && rows.epoch > known.epoch {
            let (dependency, epoch, version) = (self.follower.table(), rows.epoch, rows.version);
            let (epoch_before, known) = (known.epoch, known.version);
            emit(&InstanceEvent::TableRestored { dependency, epoch, epoch_before, version, known });
            self.follower.restored(unreachable_at);
        }
        let span = Span { after: known.version, to: rows.version };
        self.record_rows_applied("whole", span, rows.epoch, rows.rows.len());
        let changes = self.watch().mirror().reset(&rows);
        if let Some(changes) = changes {
            self.publish(&changes, others_read_at);
        }
        self.follower.reset(&rows.rows);
        let newest = rows.rows.iter().map(|row| row.version).max();
        let newest_revision = TableRevision::new(rows.epoch, newest.unwrap_or_default());
        self.watch().version().record_own(newest_revision);
        self.peers.record_epoch(rows.epoch);
        self.needs_full_read = false;
        self.was_own = true;
        newest.is_some()
    }

    fn apply_changes(&mut self, changes: RowChanges, source: &'static str) -> bool {
        self.watch().mirror().apply(&changes);
        if changes.rows.is_empty() {
            return false;
        }
        self.record_rows_applied(source, changes.span, changes.epoch, changes.rows.len());
        self.follower.change(&changes.rows);
        self.watch().version().record_own(changes.newest());
        true
    }

    fn record_rows_applied(&mut self, source: &'static str, span: Span, epoch: u64, rows: usize) {
        let epoch_before = std::mem::replace(&mut self.logged_epoch, epoch);
        let (dependency, Span { after, to }) = (self.follower.table(), span);
        emit(&InstanceEvent::RowsTaken {
            dependency,
            source,
            after,
            to,
            epoch,
            epoch_before,
            rows,
        });
    }

    /// Publishes, to the other instances of the availability zone, the rows that a call has returned, or
    /// that it has returned none. `others_read_at` is when another instance last read the table: of many that
    /// query it at the same moment, not all need to publish that it has no changes.
    fn publish(&self, changes: &RowChanges, others_read_at: Millis) {
        let is_known = changes.rows.is_empty() || changes.newest() <= self.watch().version().own();
        let is_redundant = is_known && others_read_at > self.called_at && !self.is_chosen();
        if !self.peers.is_full_mesh() && !is_redundant {
            self.watch().queue_rows(changes.clone());
            self.peers.announce();
        }
    }

    async fn record_loss(&mut self, err: TableError) {
        let (now, away_at) = (self.clock.now(), self.called_at);
        if self.outage.is_none() {
            let cause = err.to_string();
            emit(&InstanceEvent::DependencyLost { dependency: self.follower.table(), cause });
        }
        let began_at = self.outage.as_ref().map_or(now, |outage| outage.began_at);
        self.outage = Some(Outage { began_at, last_unreachable_at: away_at });
        self.watch().record_failure(away_at, now);
        // Another instance of the availability zone may reach the table.
        self.peers.announce();
        // The changes during an outage may be many times as large as the table's current rows.
        if err == TableError::Unfinished {
            self.needs_full_read = true;
        }
        tokio::time::sleep(self.pause.as_duration()).await;
        self.pause = Millis(self.pause.0 * 2).min(LONGEST_PAUSE);
    }
}
