//! Decides which answer may still grow while answers are collected, so that they don't exceed the memory of an instance.
//!
//! Designed for: upstreams that send answers without end, or so large that a few of them fill the memory. An answer is
//! collected whole before it is forwarded, so that its size adds to that of all others.

/// The memory for all answers that are being collected, in bytes.
pub const MAX_COLLECTED_BYTES: usize = 64 << 20;

/// The size up to which an answer may always grow, in bytes.
pub const SMALL_ANSWER_BYTES: usize = 256 << 10;

/// Returns whether an answer may grow to `own` bytes. `all` is the size of all answers with it, and `large` the number of
/// those larger than [`SMALL_ANSWER_BYTES`].
///
/// If there is not enough memory, those larger than an equal part of it may not grow: an answer without end is always
/// among them.
///
/// ```
/// use anvilhook_core::answer_memory::{MAX_COLLECTED_BYTES, may_grow};
///
/// assert!(may_grow(15 << 20, 60 << 20, 6));
/// assert!(!may_grow(13 << 20, MAX_COLLECTED_BYTES + 1, 6));
/// assert!(may_grow(9 << 20, MAX_COLLECTED_BYTES + 1, 6));
/// ```
pub fn may_grow(own: usize, all: usize, large: usize) -> bool {
    own <= SMALL_ANSWER_BYTES
        || all <= MAX_COLLECTED_BYTES
        || own <= MAX_COLLECTED_BYTES / large.max(1)
}
