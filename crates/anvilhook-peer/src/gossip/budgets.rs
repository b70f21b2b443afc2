//! Computes how often and how far sections are sent, so that a node's traffic stays within a budget
//! for any number of instances.

use anvilhook_core::units::Millis;

/// Returns the approximate number of instances whose sections reach an instance with `degree`
/// partners, including its own, if a section crosses at most `hops` links.
///
/// ```
/// use anvilhook_peer::gossip::reach;
///
/// assert_eq!(reach(390, 4, 1), 5);
/// assert_eq!(reach(390, 4, 2), 17);
/// assert_eq!(reach(9, 4, 3), 9);
/// ```
pub fn reach(instances: usize, degree: usize, hops: u8) -> usize {
    let mut total: usize = 1;
    let mut ring = degree;
    for _ in 0..hops {
        total = total.saturating_add(ring);
        ring = ring.saturating_mul(degree.saturating_sub(1));
        if total >= instances {
            return instances.max(1);
        }
    }
    total
}

/// Returns the approximate number of sections that one instance sends and receives when each
/// instance writes one section that crosses at most `hops` links.
///
/// A section that an instance may relay crosses each of its links once, in one direction or the
/// other. A section that has reached its last hop is only received.
///
/// ```
/// use anvilhook_peer::gossip::traffic;
///
/// assert_eq!(traffic(390, 4, 1), 8);
/// assert_eq!(traffic(9, 4, 8), 36);
/// ```
pub fn traffic(instances: usize, degree: usize, hops: u8) -> usize {
    let inner = reach(instances, degree, hops.saturating_sub(1));
    inner * degree + (reach(instances, degree, hops) - inner)
}

/// Returns the minimum time between two sections of one instance, if it sends and receives
/// `sections` sections for each one that it writes.
pub fn spacing(sections: usize, section_bytes: usize, bytes_per_s: u32) -> Millis {
    let bytes = (sections * section_bytes) as u64;
    Millis(bytes * 1_000 / u64::from(bytes_per_s.max(1)))
}

/// Returns the maximum number of links that a section written every `interval` may cross within the
/// budget; at least one.
pub fn hops_within(
    instances: usize,
    degree: usize,
    section_bytes: usize,
    bytes_per_s: u32,
    interval: Millis,
) -> u8 {
    const MAX_HOPS: u8 = 8;
    let fits = |hops: &u8| {
        spacing(traffic(instances, degree, *hops), section_bytes, bytes_per_s) <= interval
    };
    (1..=MAX_HOPS).rev().find(fits).unwrap_or(1)
}
