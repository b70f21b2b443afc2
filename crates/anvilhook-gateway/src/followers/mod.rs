//! Following the platform's tables: the configuration and the upstreams' entries.

mod configs;
mod entries;
mod following;
mod unreadable;

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};

use crate::peers::{FollowedTable, Peers};
use crate::tables::{Row, Table};

use following::Following;
use unreadable::UnreadableRows;

pub use configs::ConfigFollower;
pub use entries::EntryFollower;
pub(crate) use entries::LIST_SOURCE;

/// What passes beside a call's wait until a change is seen that a connection hid which has gone
/// silent: the store's time for an answer, the gathering of changes, the next call, and a margin.
const DETECTION_OVERHEAD: Millis = Millis(1_200);

/// The shortest and the longest wait of a call. A store need not hold a call for longer.
const SHORTEST_WAIT: Millis = Millis(500);
const LONGEST_WAIT: Millis = Millis(25_000);

/// Returns how long a call may wait for changes, if one may stay unseen for `unseen` behind a
/// connection that has gone silent. Each call has its price, so they wait as long as they may.
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

/// `Follow` takes in what stands in a table and what changes there.
pub trait Follow: Send {
    /// Returns the table's name.
    fn table(&self) -> &'static str;

    /// Takes in all rows as of one moment.
    fn reset(&mut self, rows: &[Row]);

    /// Takes in changed rows, in order.
    fn change(&mut self, rows: &[Row]);

    /// Notes that the table has answered.
    fn contacted(&mut self) {}

    /// Returns the instances that follow the table too, and which it is for them.
    fn sharers(&self) -> (Arc<Peers>, FollowedTable);

    /// Returns how long further changes may gather before they are asked for.
    fn gather_time(&self) -> Millis {
        Millis::ZERO
    }

    /// Notes that the table is reached again, and that it was not at `last_unreachable_at`.
    fn regained(&mut self, _last_away: Millis) {}
}

/// Follows a table for as long as the process runs, by calls that wait for changes up to `wait`, or by
/// what the instance that makes such calls for its availability zone tells.
pub async fn follow<T: Table, F: Follow, C: Clock>(table: T, clock: C, wait: Millis, follower: F) {
    let mut following = Following::new(table, clock, wait, follower);
    loop {
        following.step().await;
    }
}
