//! Decides which instance follows a table for its availability zone, and which received changes can be
//! applied.
//!
//! Designed for: a table that changes several times a second, with hundreds of instances. If each
//! instance queried each change, the number of calls would be instances times changes, and every call
//! has a cost. Therefore one instance of each availability zone follows the table and publishes its
//! changes to the others, which query the table only for changes that they missed.
//!
//! No instance has a fixed role. Each decides by what it has recently received. Two instances may
//! therefore follow the table for a moment, which costs one more call. If the follower stops sending,
//! no instance follows the table until `FOLLOWER_TIMEOUT` has passed.
//!
//! The table may stop responding to any of the instances, the follower among them, while the others must
//! still apply a change in time. So an instance relies on the reads of others only until [`SharedTimes`]
//! says that they are too old, and then queries the table itself.

use crate::units::Millis;

/// How long an instance may send nothing and still be assumed to follow a table.
///
/// A healthy instance sends something every half second. The shortest time within which a change must
/// be active is 2 s, and after the timeout one call to the table must still fit into it.
pub const FOLLOWER_TIMEOUT: Millis = Millis(1_300);

/// How long an instance that could not reach the table is skipped.
///
/// Each instance tries again after this time even if none could reach the table, so that the end of an
/// outage is noticed.
pub const UNREACHABLE_BACKOFF: Millis = Millis(5_000);

/// The time between the age at which the last instance of a zone queries the table and the time within
/// which a change must be active: a new connection, the table's response, and the change's application.
const QUERY_TIME: Millis = Millis(300);

/// The time over which the instances of a zone spread their queries. Once the table has responded to one
/// of them, the others need not query it.
const SPREAD_TIME: Millis = Millis(300);

/// The interval between the groups of instances that query the table. The first group is the follower and
/// one other instance, and the later ones grow by `GROUP_GROWTH`, so that the time does not grow with the zone.
const GROUP_INTERVAL: Millis = Millis(100);
const FIRST_GROUP: usize = 2;
const GROUP_GROWTH: usize = 4;

/// How long after the end of its wait the response to a follower's call may reach the other instances.
const RESPONSE_TIME: Millis = Millis(250);

/// The lower limit for the wait of a follower's call.
const SHORTEST_SHARED_WAIT: Millis = Millis(200);

/// The longest time from the sending of a query until it has failed.
const FAILED_QUERY_TIME: Millis = Millis(700);

/// The shortest interval between an instance's queries of a table that doesn't respond to it.
const SHORTEST_RETRY_INTERVAL: Millis = Millis(500);

/// `SharedTimes` states how long an instance may rely on the reads of a table by other instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedTimes {
    /// The longest time within which a change must be active at an instance to which the table responds.
    pub apply: Millis,
    /// How long the table has responded to an instance again when this limit begins to apply to it.
    pub contact: Millis,
}

impl SharedTimes {
    /// Returns how long the call of a zone's follower may wait for changes. Without a change, the other
    /// instances receive a read each time it ends.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_core::watches::SharedTimes;
    ///
    /// let times = SharedTimes { apply: Millis(2_000), contact: Millis(3_000) };
    /// assert_eq!(times.wait(), Millis(1_150));
    /// ```
    pub fn wait(&self) -> Millis {
        (self.first_query_age() - RESPONSE_TIME).max(SHORTEST_SHARED_WAIT)
    }

    /// Returns the age of the last received read at which an instance queries the table itself. `rank` is
    /// the number of instances of its zone that do so before it.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_core::watches::SharedTimes;
    ///
    /// let times = SharedTimes { apply: Millis(2_000), contact: Millis(3_000) };
    /// let ages = [0, 1, 2, 5, 6, 21, 22, 97].map(|rank| times.query_age(rank).0);
    /// assert_eq!(ages, [1_400, 1_400, 1_500, 1_500, 1_600, 1_600, 1_700, 1_700]);
    /// ```
    pub fn query_age(&self, rank: usize) -> Millis {
        self.first_query_age() + self.query_delay(rank)
    }

    /// Returns how long an instance waits with a query that all instances of its zone have a reason for at
    /// the same moment.
    pub fn query_delay(&self, rank: usize) -> Millis {
        let (mut group_end, mut group_size, mut delay) = (FIRST_GROUP, 1, Millis::ZERO);
        while rank >= group_end && delay < SPREAD_TIME {
            group_size *= GROUP_GROWTH;
            group_end += group_size;
            delay += GROUP_INTERVAL;
        }
        delay
    }

    /// Returns how long after a failed query an instance queries the table again. The table may have begun
    /// to respond right after the query was sent.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_core::watches::SharedTimes;
    ///
    /// let times = SharedTimes { apply: Millis(2_000), contact: Millis(3_000) };
    /// assert_eq!(times.retry_interval(), Millis(2_000));
    /// ```
    pub fn retry_interval(&self) -> Millis {
        (self.contact - FAILED_QUERY_TIME - QUERY_TIME).max(SHORTEST_RETRY_INTERVAL)
    }

    fn first_query_age(&self) -> Millis {
        self.apply - QUERY_TIME - SPREAD_TIME
    }
}

/// `Candidate` is an instance that could follow a table for its availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its rank, from a hash that all instances compute alike; the highest rank is chosen first.
    pub rank: u64,
    /// Whether its last attempt to reach the table succeeded.
    pub is_able: bool,
}

/// Returns whether `own` should follow the table, given the recently seen other instances of its
/// availability zone.
///
/// An instance that cannot reach the table leaves it to the next one. If no instance can, only one goes
/// on trying: hundreds of instances that query an unreachable table would keep it overloaded.
///
/// ```
/// use anvilhook_core::watches::{Candidate, is_chosen};
///
/// let candidate = |rank, is_able| Candidate { rank, is_able };
/// let (best, next) = (candidate(9, true), candidate(5, true));
/// assert!(is_chosen(&best, [next].into_iter()));
/// assert!(!is_chosen(&next, [best].into_iter()));
/// assert!(is_chosen(&next, [candidate(9, false)].into_iter()), "the best can't reach the table");
/// assert!(is_chosen(&candidate(9, false), [candidate(5, false)].into_iter()), "no instance can");
/// assert!(!is_chosen(&candidate(5, false), [candidate(9, false)].into_iter()));
/// ```
pub fn is_chosen(own: &Candidate, others: impl Iterator<Item = Candidate>) -> bool {
    position(own, others) == 0
}

/// Returns the number of the recently seen other instances of a zone that would follow the table before
/// `own`.
///
/// ```
/// use anvilhook_core::watches::{Candidate, position};
///
/// let candidate = |rank, is_able| Candidate { rank, is_able };
/// let others = [candidate(9, false), candidate(7, true), candidate(3, true)];
/// assert_eq!(position(&candidate(5, true), others.into_iter()), 1);
/// ```
pub fn position(own: &Candidate, others: impl Iterator<Item = Candidate>) -> usize {
    let priority = |candidate: &Candidate| (candidate.is_able, candidate.rank);
    others.filter(|other| priority(other) >= priority(own)).count()
}

/// `Span` is the part of a table's history that a set of changed rows covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// The table's version before the changes.
    pub after: u64,
    /// The table's version after the changes.
    pub to: u64,
}

/// `Continuity` describes how a span fits the known version of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Continuity {
    /// The span contains nothing new.
    Known,
    /// The span continues the known version.
    Next,
    /// Changes between the known version and the span were not received.
    Gap,
}

impl Span {
    /// Returns how the span fits for an instance that knows the table up to version `known`.
    ///
    /// Applying rows across a gap would hide the changes within the gap permanently: an upstream that
    /// left in one of them would be sent work until it refuses a request.
    ///
    /// ```
    /// use anvilhook_core::watches::{Continuity, Span};
    ///
    /// let span = Span { after: 100, to: 120 };
    /// assert_eq!(span.fits(120), Continuity::Known);
    /// assert_eq!(span.fits(100), Continuity::Next);
    /// assert_eq!(span.fits(110), Continuity::Next, "a part of it is already known");
    /// assert_eq!(span.fits(99), Continuity::Gap);
    /// ```
    pub fn fits(&self, known: u64) -> Continuity {
        if self.to <= known {
            Continuity::Known
        } else if self.after <= known {
            Continuity::Next
        } else {
            Continuity::Gap
        }
    }
}
