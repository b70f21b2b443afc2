//! What is due at which time of a run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::binary_heap::PeekMut;

use anvilhook_core::units::Millis;

/// `Timer` is something that happens at its time. Requests, instances, engines and upstreams are named
/// by their indices.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// A request reaches an instance.
    Arrive(usize),
    /// An attempt at a request reaches its engine.
    Submit { request: usize, attempt: u8 },
    /// A request that no engine took is tried again.
    Again(usize),
    /// A request's caller gives up.
    Deadline(usize),
    /// The answer of a plain service's upstream reaches the instance.
    PlainDone { instance: usize, upstream: usize },
    /// An instance reads the engines' reports and cache events.
    Poll(usize),
    /// An instance tells its peers what it has sent.
    Digest(usize),
    /// The work that all instances have seen is summed up.
    Seen,
    /// The roles are planned.
    Plan,
    /// A fault of the scenario, by its index there.
    Fault { engine: usize, index: usize },
    /// A crashed engine starts again.
    Restart(usize),
}

/// `Timers` holds the timers that have not fired. Those of one time fire in the order in which they were
/// set, so that a run with the same seed gives the same row.
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

    /// Takes the first timer that is due until a time.
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
