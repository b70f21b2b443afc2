//! Lanes: which engines of a table read long prompts and which are kept for tight deadlines.
//!
//! An engine that reads a long prompt holds up everything that generates there. Requests whose
//! deadlines are tight are therefore kept apart from patient ones, by routing alone: the patient
//! lane is the first part of the table, the tight lane the rest. The border follows the mix within
//! seconds and costs no order, no drain and no role change.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::reports::PrefixHash;
use crate::roles::{ObservedWork, PoolShape};

/// The steps in which the share of the patient lane is stored.
const BORDER_STEPS: f64 = 65_536.0;

/// How far, in engines, the wanted border must be from the present one to move it. Without it the
/// border would move with every uneven arrival, and prefixes with it.
const HYSTERESIS_ENGINES: f64 = 0.75;

/// The weight of the newest work seen against what was seen before.
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
    // The patient share in parts of `BORDER_STEPS`; all ones means that there is only one lane.
    share: AtomicU64,
}

impl Default for Lanes {
    fn default() -> Self {
        Self::new()
    }
}

impl Lanes {
    /// Makes one lane of all engines, until the mix is known.
    pub fn new() -> Self {
        Self { share: AtomicU64::new(u64::MAX) }
    }

    /// Sets the share of the table, from 0 to 1, that is the patient lane.
    pub fn set_patient_share(&self, share: f64) {
        self.share.store((share.clamp(0.0, 1.0) * BORDER_STEPS) as u64, Ordering::Release);
    }

    /// Returns the places of the lane for tight or for patient requests.
    pub fn range(&self, tight: bool, places: usize) -> Range<usize> {
        let share = self.share.load(Ordering::Acquire);
        if share == u64::MAX {
            return 0..places;
        }
        let border = (share as f64 / BORDER_STEPS * places as f64).round() as usize;
        let border = border.min(places);
        match (tight, border) {
            // A lane without places would refuse what comes before the border has moved.
            (true, border) if border == places => 0..places,
            (false, 0) => 0..places,
            (true, border) => border..places,
            (false, border) => 0..border,
        }
    }
}

/// `LaneBalancer` moves the border with the mix.
#[derive(Clone, Debug)]
pub struct LaneBalancer {
    shape: PoolShape,
    seen: Option<ObservedWork>,
    border: Option<f64>,
}

impl LaneBalancer {
    /// Makes a keeper for a pool.
    pub fn new(shape: &PoolShape) -> Self {
        Self { shape: *shape, seen: None, border: None }
    }

    /// Moves the border of `engines` places by the work of the pool, summed over all instances.
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
        // Each kind of work keeps one engine at least, as soon as there is any of it.
        let least = if patient > 0.0 { 1.0 } else { 0.0 };
        let most = engines as f64 - if tight > 0.0 { 1.0 } else { 0.0 };
        let border = wanted.round().clamp(least, most);
        self.border = Some(border);
        lanes.set_patient_share(border / engines as f64);
    }
}

/// Returns the home of a prefix among a number of places, by jump consistent hashing (Lamping and
/// Veach, 2014): if there is one place more, only its own part of the prefixes moves to it.
pub(super) fn home(block: PrefixHash, turn: u64, places: usize) -> usize {
    let mut key = (block.0 ^ turn.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(MIX) ^ turn;
    let (mut place, mut next) = (0, 0.0);
    while next < places as f64 {
        place = next as usize;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let draw = ((key >> 33) + 1) as f64;
        next = (place + 1) as f64 * ((1_u64 << 31) as f64 / draw);
    }
    place
}

/// An odd constant that spreads nearby hashes.
const MIX: u64 = 0xbf58_476d_1ce4_e5b9;
