//! Ranks instances to select the one that publishes updates or follows a table for its availability zone.
//!
//! Designed for: instances whose link speeds differ by a factor of twenty. The leader of a zone sends
//! datagrams to each of dozens of other instances ten times a second. On a slow link these take all of
//! the bandwidth, and requests queued behind them reach engines after their callers have left.

/// The number of random bits, which are below the bits of the link's speed class.
const RANDOM_BITS: u32 = 56;

/// Returns the number from which an instance's ranks are derived. `link_mbps` is the speed of its link in
/// megabits per second, if that is known. The upper bits of the number are the speed class of the link,
/// where each class has twice the speed of the one before; the lower 56 bits are random.
///
/// All instances derive the ranks from the numbers that they receive, so that they agree without
/// coordination.
///
/// ```
/// use anvilhook_core::ranks::{number_of, rank_of};
///
/// let (slow, fast) = (number_of(Some(10.0), u64::MAX), number_of(Some(200.0), 0));
/// assert!(rank_of(fast, 0) > rank_of(slow, u64::MAX));
/// ```
pub fn number_of(link_mbps: Option<f64>, random: u64) -> u64 {
    let class = link_mbps
        .filter(|mbps| *mbps >= 1.0)
        .map_or(0, |mbps| (mbps.log2() as u64).saturating_add(1));
    (class.min(u64::from(u8::MAX)) << RANDOM_BITS) | (random >> u8::BITS)
}

/// Returns the rank of the instance with a number for one task; the instance with the highest rank acts.
/// `hash` is a hash of the number and the task, so that among links of the same class different tasks
/// select different instances.
pub fn rank_of(number: u64, hash: u64) -> u64 {
    (number >> RANDOM_BITS << RANDOM_BITS) | (hash >> u8::BITS)
}
