//! Decides which requests are tried with a prompt part that is quarantined together with others.
//!
//! Parts that have only arrived together are accused of the same engine ends, and all of them are quarantined. A request
//! with one of them but without the others shows whether that one is the cause: it either writes output, which clears the
//! part, or ends one more engine, which leaves no doubt. Hundreds of instances may receive such requests at the same
//! moment, so only a share of the requests is tried, which grows until one of them is.

use crate::units::Millis;

/// The time in which the share of the tried requests doubles. It is longer than a trial takes.
const DOUBLING_TIME: Millis = Millis(1_000);

/// The binary logarithm of the number of requests of which one is tried at first.
const FIRST_SHARE_BITS: u64 = 9;

/// Returns whether a request is tried, `age` after the last engine end that is evidence against the part. `draw` is a
/// number that is uniformly distributed over requests, and the same at all instances.
///
/// ```
/// use anvilhook_core::part_trials::is_part_trial;
/// use anvilhook_core::units::Millis;
///
/// assert!(is_part_trial(Millis(0), u64::MAX >> 9));
/// assert!(!is_part_trial(Millis(0), u64::MAX >> 8));
/// assert!(is_part_trial(Millis(1_000), u64::MAX >> 8));
/// assert!(is_part_trial(Millis(9_000), u64::MAX));
/// ```
pub fn is_part_trial(age: Millis, draw: u64) -> bool {
    let bits = FIRST_SHARE_BITS.saturating_sub(age.0 / DOUBLING_TIME.0);
    draw <= u64::MAX >> bits
}
