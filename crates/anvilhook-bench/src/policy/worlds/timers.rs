//! The timers of a run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::binary_heap::PeekMut;

use anvilhook_core::units::Millis;

/// `Timer` is an event that is scheduled for a time. Requests, instances, engines and upstreams are
/// given by their indices.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// A request reaches an instance.
    Arrive(usize),
    /// An attempt at a request reaches its engine.
    Submit { request: usize, attempt: u8 },
    /// A request that no engine accepted is retried.
    Retry(usize),
    /// A request's caller abandons it.
    Deadline(usize),
    /// The answer of a plain service's upstream reaches the instance.
    PlainDone { instance: usize, upstream: usize },
    /// An instance polls the engines' reports and cache events.
    Poll(usize),
    /// An instance publishes to its peers the work that it has sent.
    Digest(usize),
    /// The work observed by all instances is summed.
    ShareWork,
    /// The roles are planned.
    Plan,
    /// A fault of the scenario happens, given by its index in the scenario.
    Fault { engine: usize, index: usize },
    /// A crashed engine restarts.
    Restart(usize),
}

/// `Timers` holds the timers that have not fired. Timers set for the same time fire in the order in
/// which they were set, so that runs with equal seeds give equal rows.
#[derive(Default)]
pub(super) struct Timers {
    waiting: BinaryHeap<Reverse<(Millis, u64, Timer)>>,
    set: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Millis, timer: Timer) {
        self.waiting.push(Reverse((at, self.set, timer)));
        self.set += 1;
    }

    /// Removes and returns the first timer that is due at or before a time.
    pub fn next_until(&mut self, until: Millis) -> Option<(Millis, Timer)> {
        let first = self.waiting.peek_mut()?;
        let Reverse((at, _, timer)) = *first;
        if at > until {
            return None;
        }
        PeekMut::pop(first);
        Some((at, timer))
    }
}
