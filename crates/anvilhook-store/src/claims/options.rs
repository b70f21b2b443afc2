//! Options of claims.

use anvilhook_core::units::Millis;

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
    /// The most rows that one sweep looks at, and so deletes.
    pub sweep_rows: usize,
}

impl ClaimOptions {
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
            max_body_bytes: 64 * 1024,
            sweep_rows: 200,
        }
    }
}
