//! The time of day by what several machines hold it to be.
//!
//! The load that this answers: windows of usage that are counted by dozens of instances, of which some
//! have a clock that is seconds off. What one of them counts must fall into the same window as at the others.

use std::collections::HashMap;

use crate::units::{Millis, WallTime};

/// The most machines whose clocks are remembered.
const MOST_PEERS: usize = 1_024;

/// `ClockOffsets` tells the time of day from a monotonic clock, by the median of several machines' clocks.
///
/// A machine's own clock is read once: one that jumps later, and back again, doesn't matter.
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
    /// Makes offsets of which only the own clock's is known, which shows `time` at `now`.
    pub fn new(time: WallTime, now: Millis) -> Self {
        Self { own: offset(time, now), peers: HashMap::new() }
    }

    /// Notes the time that another machine has told.
    pub fn record(&mut self, peer: u64, time: WallTime, now: Millis) {
        if self.peers.len() >= MOST_PEERS && !self.peers.contains_key(&peer) {
            // Each start of a process counts as another one, so most of them are gone.
            self.peers.clear();
        }
        self.peers.insert(peer, offset(time, now));
    }

    /// Returns the time by the own clock, to be told to others.
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
