//! Decides which body may still grow, so that the bodies of requests and answers don't exceed the memory of an instance.
//!
//! Designed for: callers that send large requests while upstreams read slowly, callers that read large answers slowly, and
//! upstreams that send answers without end. A body is held whole, so that its size adds to that of all others.

/// The size up to which a body may always grow, in bytes.
pub const SMALL_BODY_BYTES: usize = 256 << 10;

/// The memory of an instance whose settings don't name it, in bytes.
pub(crate) const DEFAULT_MEMORY: u64 = 256 << 20;

/// The shares of the memory that the bodies of requests and of answers may take. The rest is for everything else.
const REQUEST_SHARE: f64 = 0.4;
const ANSWER_SHARE: f64 = 0.25;

/// `BodyMemoryBounds` is how much memory bodies may take together, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyMemoryBounds {
    /// The bound for the bodies of requests.
    pub requests: usize,
    /// The bound for the bodies of answers.
    pub answers: usize,
}

impl BodyMemoryBounds {
    /// Returns the bounds for an instance with the given memory in bytes, if it is known.
    ///
    /// ```
    /// use anvilhook_core::body_memory::BodyMemoryBounds;
    ///
    /// let bounds = BodyMemoryBounds::of(Some(260_000_000));
    /// assert_eq!((bounds.requests, bounds.answers), (104_000_000, 65_000_000));
    /// ```
    pub fn of(memory: Option<u64>) -> Self {
        let memory = memory.unwrap_or(DEFAULT_MEMORY) as f64;
        Self {
            requests: (memory * REQUEST_SHARE) as usize,
            answers: (memory * ANSWER_SHARE) as usize,
        }
    }
}

/// Returns whether a body may grow to `own` bytes. `all` is the size of all bodies with it, `large` the number of those
/// larger than [`SMALL_BODY_BYTES`], and `bound` how much memory they may take.
///
/// If there is not enough memory, those larger than an equal part of it may not grow: a body without end is always among
/// them.
///
/// ```
/// use anvilhook_core::body_memory::may_grow;
///
/// const BOUND: usize = 64 << 20;
/// assert!(may_grow(15 << 20, 60 << 20, 6, BOUND));
/// assert!(!may_grow(13 << 20, BOUND + 1, 6, BOUND));
/// assert!(may_grow(9 << 20, BOUND + 1, 6, BOUND));
/// ```
pub fn may_grow(own: usize, all: usize, large: usize, bound: usize) -> bool {
    own <= SMALL_BODY_BYTES || all <= bound || own <= bound / large.max(1)
}
