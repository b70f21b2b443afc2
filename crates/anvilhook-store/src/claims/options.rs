//! Options of claims.

use anvilhook_core::units::Millis;

use super::sweeps::SweepReport;

/// The number of whole epochs that a settled claim is kept for.
pub(super) const EPOCHS_PER_RETENTION: u64 = 4;

/// `ClaimOptions` bounds what claims cost.
#[derive(Clone, Copy, Debug)]
pub struct ClaimOptions {
    /// How long a settled claim is kept at least: a repeat that comes later may run again.
    pub retention: Millis,
    /// How often a write is sent whose answer was lost, and how often a claim follows a row that
    /// others change.
    pub max_tries: usize,
    /// The largest body of an outcome that is kept, in bytes.
    pub max_body_bytes: usize,
    /// The most rows that one sweep looks at, and so deletes. Together with the largest body it
    /// bounds the answer that a sweep has to hold.
    pub sweep_rows: usize,
    /// The time between two sweeps of all instances together, while a round is under way.
    pub sweep_pause: Millis,
    /// The time between two rounds of all instances together.
    pub round_pause: Millis,
}

impl ClaimOptions {
    /// Returns how long one of `instances` rests after a sweep, so that all of them together keep
    /// to the pauses.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_store::claims::{ClaimOptions, SweepReport};
    ///
    /// let options = ClaimOptions::default();
    /// let report = SweepReport { round_done: true, ..SweepReport::default() };
    /// assert_eq!(options.pause_after(&report, 9), Millis::from_secs(90));
    /// ```
    pub fn pause_after(&self, report: &SweepReport, instances: usize) -> Millis {
        let pause = if report.round_done { self.round_pause } else { self.sweep_pause };
        Millis(pause.0 * instances.max(1) as u64)
    }

    /// Returns the shortest time between two epochs.
    pub(super) fn epoch_length(&self) -> Millis {
        Millis(self.retention.0.div_ceil(EPOCHS_PER_RETENTION))
    }
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            retention: Millis::from_secs(4 * 60 * 60),
            max_tries: 3,
            max_body_bytes: 16 * 1024,
            sweep_rows: 200,
            sweep_pause: Millis(200),
            round_pause: Millis::from_secs(10),
        }
    }
}
