//! Which instance acts for others: tells for its availability zone, or follows a table for it.
//!
//! The load that this answers: instances whose links differ by twenty times. Whoever tells for its zone
//! sends each of dozens of others some datagrams ten times a second. On a slow link that takes all the
//! room, and requests that wait behind it reach engines after their callers have left.

/// The bits of a number below the width of its instance's link.
const RANDOM_BITS: u32 = 56;

/// Returns the number of an instance with a link of `link_mbps` megabits a second, if that is known:
/// the width of the link, doubled at each step, before 56 random bits.
///
/// All instances derive the ranks from the numbers that they hear, so that they agree without a word.
///
/// ```
/// use anvilhook_core::ranks::{number_of, rank_of};
///
/// let (slow, fast) = (number_of(Some(10.0), u64::MAX), number_of(Some(200.0), 0));
/// assert!(rank_of(fast, 0) > rank_of(slow, u64::MAX));
/// ```
pub fn number_of(link_mbps: Option<f64>, random: u64) -> u64 {
    let width = link_mbps
        .filter(|mbps| *mbps >= 1.0)
        .map_or(0, |mbps| (mbps.log2() as u64).saturating_add(1));
    (width.min(u64::from(u8::MAX)) << RANDOM_BITS) | (random >> u8::BITS)
}

/// Returns the rank of the instance with a number, for the matter that `hash` mixes with the number: the
/// highest acts. Of instances with links of the same width another one acts in each matter.
pub fn rank_of(number: u64, hash: u64) -> u64 {
    (number >> RANDOM_BITS << RANDOM_BITS) | (hash >> u8::BITS)
}
