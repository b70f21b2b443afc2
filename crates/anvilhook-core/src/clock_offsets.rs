//! Estimates the time of day from the clocks of several machines.
//!
//! Designed for: windows of usage that are counted by dozens of instances, some of whose clocks are seconds
//! off. All instances must count a request in the same window.

use std::collections::HashMap;

use crate::units::{Millis, WallTime};

/// The maximum number of machines whose clock offsets are stored.
const MAX_PEERS: usize = 1_024;

/// `ClockOffsets` derives the time of day from a monotonic clock and the median of several machines' clocks.
///
/// The machine's own clock is read only once, so it doesn't matter if it jumps later and back again.
///
/// ```
/// use anvilhook_core::clock_offsets::ClockOffsets;
/// use anvilhook_core::units::{Millis, WallTime};
///
/// let mut offsets = ClockOffsets::new(WallTime(90_000), Millis(0));
/// for peer in 1..=2 {
///     offsets.record(peer, WallTime(50_100 + peer), Millis(100));
/// }
/// assert_eq!(offsets.own_time(Millis(100)), WallTime(90_100));
/// assert_eq!(offsets.time(Millis(100)), WallTime(50_102));
/// ```
#[derive(Debug)]
pub struct ClockOffsets {
    own: i64,
    peers: HashMap<u64, i64>,
}

impl ClockOffsets {
    /// Creates offsets from the machine's own clock only, which shows `time` at `now`.
    pub fn new(time: WallTime, now: Millis) -> Self {
        Self { own: offset(time, now), peers: HashMap::new() }
    }

    /// Records the time that another machine has sent.
    pub fn record(&mut self, peer: u64, time: WallTime, now: Millis) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer) {
            // Each process start counts as another machine, so most of the entries are obsolete.
            self.peers.clear();
        }
        self.peers.insert(peer, offset(time, now));
    }

    /// Returns the time by the machine's own clock, to be sent to others.
    pub fn own_time(&self, now: Millis) -> WallTime {
        at(self.own, now)
    }

    /// Returns the time by the median of all clocks.
    pub fn time(&self, now: Millis) -> WallTime {
        let mut all: Vec<i64> = self.peers.values().copied().chain([self.own]).collect();
        let middle = all.len() / 2;
        let (_, median, _) = all.select_nth_unstable(middle);
        at(*median, now)
    }
}

fn offset(time: WallTime, now: Millis) -> i64 {
    time.0 as i64 - now.0 as i64
}

fn at(offset: i64, now: Millis) -> WallTime {
    WallTime(now.0.saturating_add_signed(offset))
}
