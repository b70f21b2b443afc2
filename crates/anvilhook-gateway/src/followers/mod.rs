//! Follows the platform's tables: the configuration and the upstreams' entries.

mod configs;
mod entries;
mod following;
mod unreadable;

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};
use anvilhook_core::watches::SharedTimes;

use crate::peers::{FollowedTable, Peers};
use crate::tables::{Row, Table};

use following::Following;
use unreadable::UnreadableRows;

pub use configs::ConfigFollower;
pub use entries::EntryFollower;
pub(crate) use entries::LIST_SOURCE;

/// The time in addition to a call's wait until a change is noticed behind a connection that has
/// stopped responding: the store's response time, the gathering of changes, the next call, and a
/// margin.
const DETECTION_OVERHEAD: Millis = Millis(1_200);

/// The limits for the wait of a call. A store need not delay a call for longer than the upper one.
const SHORTEST_WAIT: Millis = Millis(500);
const LONGEST_WAIT: Millis = Millis(25_000);

/// Returns how long a call may wait for changes, if a change may stay unseen for `unseen` behind a
/// connection that has stopped responding. Each call has a price, so calls wait as long as allowed.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_gateway::followers::wait_within;
///
/// assert_eq!(wait_within(Millis(3_000)), Millis(1_800));
/// assert!(wait_within(Millis(100)) > Millis::ZERO);
/// ```
pub fn wait_within(unseen: Millis) -> Millis {
    Millis(unseen.0.saturating_sub(DETECTION_OVERHEAD.0)).clamp(SHORTEST_WAIT, LONGEST_WAIT)
}

/// `Follow` applies the current rows of a table and their changes.
pub trait Follow: Send {
    /// Returns the table's name.
    fn table(&self) -> &'static str;

    /// Applies a full scan of the table.
    fn reset(&mut self, rows: &[Row]);

    /// Applies changed rows, in order.
    fn change(&mut self, rows: &[Row]);

    /// Records that the table, or the instance that follows it for this one, has responded.
    fn contacted(&mut self) {}

    /// Returns the instances that follow the table too, and the table's identifier among them.
    fn sharers(&self) -> (Arc<Peers>, FollowedTable);

    /// Returns how long to gather further changes before the next call.
    fn gather_time(&self) -> Millis {
        Millis::ZERO
    }

    /// Records that the store was restored from a copy, so that rows may be older than those known, or missing.
    /// `_unreachable_at` is when the table was last known to be unreachable. A full scan of the restored table
    /// follows.
    fn restored(&mut self, _unreachable_at: Millis) {}

    /// Records that the table is reachable again, and was last known to be unreachable at
    /// `_last_unreachable_at`.
    fn regained(&mut self, _last_unreachable_at: Millis) {}
}

/// `FollowTimes` states how long calls wait for changes, and how long reads of other instances are relied on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowTimes {
    /// How long a call for this instance alone waits for changes.
    pub wait: Millis,
    /// How long the reads of others are relied on where one instance of each availability zone follows the table.
    pub shared: SharedTimes,
}

impl FollowTimes {
    /// Returns the times for a change that may stay unseen for `contact` behind a connection that has stopped
    /// responding, and otherwise for `apply`.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_gateway::followers::FollowTimes;
    ///
    /// let times = FollowTimes::within(Millis(3_000), Millis(2_000));
    /// assert_eq!(times.wait, Millis(1_800));
    /// assert_eq!(times.shared_wait(), Millis(1_150));
    /// ```
    pub fn within(contact: Millis, apply: Millis) -> Self {
        Self { wait: wait_within(contact), shared: SharedTimes { apply, contact } }
    }

    /// Returns how long a call for all instances of an availability zone waits for changes.
    pub fn shared_wait(&self) -> Millis {
        self.wait.min(self.shared.wait())
    }
}

/// Follows a table for as long as the process runs, either by calls that wait for changes, or by the rows
/// published by the instance that makes such calls for its availability zone. An instance queries the table
/// itself if those rows are missing for too long.
pub async fn follow<T: Table, F: Follow, C: Clock>(
    table: T,
    clock: C,
    times: FollowTimes,
    follower: F,
) {
    let mut following = Following::new(table, clock, times, follower);
    loop {
        following.step().await;
    }
}
