//! Who follows a table for the others, and what is taken in of what they tell.
//!
//! The load that this answers: a table that changes several times a second before hundreds of
//! instances. If each instance asks for each change, the calls grow with instances times changes, and
//! every call has its price. So in each availability zone one instance follows the table and tells the
//! rest, who ask for themselves only where they have missed something.
//!
//! No instance is special. Each judges by what it has heard of late, so that two may follow for a
//! moment, which costs a call, and that nobody follows only until the silence of the last one shows.

use crate::units::Millis;

/// How long an instance may be silent and still be relied on to follow a table.
///
/// A sound one tells something each half second. The shortest time within which a change must be in
/// force is 2 s: after the silence, one call to the table must fit.
pub const FOLLOWER_TIMEOUT: Millis = Millis(1_300);

/// How long an instance that did not reach the table is passed over.
///
/// With all of them unable, each is tried again after that, so that the end of an outage is seen.
pub const UNREACHABLE_BACKOFF: Millis = Millis(5_000);

/// `Candidate` is an instance that could follow a table for its availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its rank by a hash that all instances compute alike; the highest goes first.
    pub rank: u64,
    /// Whether it reached the table when it tried last.
    pub is_able: bool,
}

/// Returns whether `own` is to follow the table, among the others of its availability zone that were
/// heard of late.
///
/// Whoever can't reach the table leaves it to the next one. If nobody can, one goes on trying: hundreds
/// that ask a table which is away would keep it so.
///
/// ```
/// use anvilhook_core::watches::{Candidate, is_chosen};
///
/// let of = |rank, is_able| Candidate { rank, is_able };
/// let (best, next) = (of(9, true), of(5, true));
/// assert!(is_chosen(&best, [next].into_iter()));
/// assert!(!is_chosen(&next, [best].into_iter()));
/// assert!(is_chosen(&next, [of(9, false)].into_iter()), "the best can't reach the table");
/// assert!(is_chosen(&of(9, false), [of(5, false)].into_iter()), "nobody can");
/// assert!(!is_chosen(&of(5, false), [of(9, false)].into_iter()));
/// ```
pub fn is_chosen(own: &Candidate, others: impl Iterator<Item = Candidate>) -> bool {
    let place = |candidate: &Candidate| (candidate.is_able, candidate.rank);
    others.map(|other| place(&other)).max() < Some(place(own))
}

/// `Span` is the part of a table's history that some changed rows cover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// The newest change before them.
    pub after: u64,
    /// The table's version that they lead to.
    pub to: u64,
}

/// `Continuity` is how a span fits to what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Continuity {
    /// It says nothing new.
    Known,
    /// It continues what is known.
    Next,
    /// Changes lie between that were not heard.
    Gap,
}

impl Span {
    /// Returns how the span fits for an instance that knows the table up to version `known`.
    ///
    /// Rows taken in over a gap would hide the changes within it for good: an upstream that left there
    /// would get work until it is asked and refuses.
    ///
    /// ```
    /// use anvilhook_core::watches::{Continuity, Span};
    ///
    /// let span = Span { after: 100, to: 120 };
    /// assert_eq!(span.fits(120), Continuity::Known);
    /// assert_eq!(span.fits(100), Continuity::Next);
    /// assert_eq!(span.fits(110), Continuity::Next, "a part of it was heard before");
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
