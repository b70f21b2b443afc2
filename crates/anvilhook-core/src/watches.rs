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
    let priority = |candidate: &Candidate| (candidate.is_able, candidate.rank);
    others.map(|other| priority(&other)).max() < Some(priority(own))
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
