//! Options of claims.

use anvilhook_core::units::Millis;

use super::sweeps::SweepReport;

/// The number of whole epochs for which a settled claim is retained.
pub(super) const EPOCHS_PER_RETENTION: u64 = 4;

/// `ClaimOptions` bounds the cost of claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimOptions {
    /// How long a settled claim is retained at least. A later repeat may run again.
    pub retention: Millis,
    /// The maximum number of times that a write is sent if its answers are lost, and that a claim is
    /// tried if other instances change its row.
    pub max_tries: usize,
    /// The largest body of an outcome that is stored, in bytes.
    pub max_body_bytes: usize,
    /// The maximum number of rows that one sweep reads, and so deletes. Together with the largest body
    /// it bounds the size of the answer that a sweep has to hold in memory.
    pub sweep_rows: usize,
    /// The time between two sweeps during a round, over all instances together.
    pub sweep_pause: Millis,
    /// The time between two rounds, over all instances together.
    pub round_pause: Millis,
}

impl ClaimOptions {
    /// Returns how long one of `instances` instances pauses after a sweep, so that all of them together
    /// observe the configured pauses.
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

    /// Returns the minimum length of an epoch.
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
