//! Lanes divide the engines of a table into those that read (prefill) long prompts and those that
//! are reserved for tight deadlines.
//!
//! An engine that reads a long prompt delays every request that generates there. Requests with
//! tight deadlines are therefore separated from latency-tolerant (patient) ones by routing alone:
//! the patient lane is the first part of the table, the tight lane the rest. The border follows the
//! mix of requests within seconds and needs no order, no drain and no role change.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::reports::PrefixHash;
use crate::roles::{ObservedWork, PoolShape};

/// The number of steps in which the share of the patient lane is stored.
const BORDER_STEPS: f64 = 65_536.0;

/// The minimum distance, in engines, between the wanted and the current border for a move. Without
/// it the border, and the preferred engines of prefixes with it, would move with every uneven
/// arrival.
const HYSTERESIS_ENGINES: f64 = 0.75;

/// The weight of the newest observed work in the moving average.
const NEWEST_WEIGHT: f64 = 0.15;

/// `Lanes` holds the border between the lanes, for the tables of one pool.
///
/// ```
/// use anvilhook_core::routing::Lanes;
///
/// let lanes = Lanes::new();
/// assert_eq!(lanes.range(false, 12), 0..12);
/// lanes.set_patient_share(0.25);
/// assert_eq!(lanes.range(false, 12), 0..3);
/// assert_eq!(lanes.range(true, 12), 3..12);
/// ```
#[derive(Debug)]
pub struct Lanes {
    // The patient share in units of 1 / `BORDER_STEPS`; all bits set means that there is one lane.
    share: AtomicU64,
}

impl Default for Lanes {
    fn default() -> Self {
        Self::new()
    }
}

impl Lanes {
    /// Creates a single lane of all engines, which is used until the mix is known.
    pub fn new() -> Self {
        Self { share: AtomicU64::new(u64::MAX) }
    }

    /// Sets the share of the table, from 0 to 1, that forms the patient lane.
    pub fn set_patient_share(&self, share: f64) {
        self.share.store((share.clamp(0.0, 1.0) * BORDER_STEPS) as u64, Ordering::Release);
    }

    /// Returns the table positions of the lane for tight or for patient requests.
    pub fn range(&self, tight: bool, positions: usize) -> Range<usize> {
        let share = self.share.load(Ordering::Acquire);
        if share == u64::MAX {
            return 0..positions;
        }
        let border = (share as f64 / BORDER_STEPS * positions as f64).round() as usize;
        let border = border.min(positions);
        match (tight, border) {
            // An empty lane would refuse requests that arrive before the border has moved.
            (true, border) if border == positions => 0..positions,
            (false, 0) => 0..positions,
            (true, border) => border..positions,
            (false, border) => 0..border,
        }
    }
}

/// `LaneBalancer` moves the border between the lanes as the mix of requests changes.
#[derive(Clone, Debug)]
pub struct LaneBalancer {
    shape: PoolShape,
    seen: Option<ObservedWork>,
    border: Option<f64>,
}

impl LaneBalancer {
    /// Creates a balancer for a pool.
    pub fn new(shape: &PoolShape) -> Self {
        Self { shape: *shape, seen: None, border: None }
    }

    /// Moves the border among `engines` engines according to the work of the pool, summed over all
    /// instances.
    pub fn update(&mut self, seen: &ObservedWork, engines: usize, lanes: &Lanes) {
        let seen = match self.seen {
            Some(before) => before.times(1.0 - NEWEST_WEIGHT).plus(seen.times(NEWEST_WEIGHT)),
            None => *seen,
        };
        self.seen = Some(seen);
        let patient = self.shape.mixed_ms(&seen.patient);
        let tight = self.shape.tight_mixed_ms(&seen.tight);
        if patient + tight <= 0.0 || engines < 2 {
            return;
        }
        let wanted = patient / (patient + tight) * engines as f64;
        if self.border.is_some_and(|border| (border - wanted).abs() < HYSTERESIS_ENGINES) {
            return;
        }
        // Each kind of work keeps at least one engine as soon as there is any of it.
        let min_border = if patient > 0.0 { 1.0 } else { 0.0 };
        let max_border = engines as f64 - if tight > 0.0 { 1.0 } else { 0.0 };
        let border = wanted.round().clamp(min_border, max_border);
        self.border = Some(border);
        lanes.set_patient_share(border / engines as f64);
    }
}

/// Returns the preferred position of a prefix in a table, by jump consistent hashing (Lamping and
/// Veach, 2014): if one position is added, only the prefixes that it now owns move to it. `rank` is
/// 0 for the first preferred position, 1 for the second.
pub(super) fn preferred_position(block: PrefixHash, rank: u64, positions: usize) -> usize {
    let mut key = (block.0 ^ rank.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(MIX) ^ rank;
    let (mut position, mut next) = (0, 0.0);
    while next < positions as f64 {
        position = next as usize;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let draw = ((key >> 33) + 1) as f64;
        next = (position + 1) as f64 * ((1_u64 << 31) as f64 / draw);
    }
    position
}

/// An odd constant that spreads nearby hashes.
const MIX: u64 = 0xbf58_476d_1ce4_e5b9;
