//! The settings of a keeper.

use anvilhook_core::Result;
use anvilhook_core::authority::SettleOptions;
use anvilhook_core::leases::LeaseOptions;
use anvilhook_core::membership::CandidateOptions;
use anvilhook_core::units::Millis;
use serde::{Deserialize, Serialize};

/// `ControllerOptions` sets how a keeper holds authority.
///
/// ```
/// use anvilhook_authority::ControllerOptions;
///
/// assert!(ControllerOptions::default().check().is_ok());
/// ```
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControllerOptions {
    /// The lengths of leases; the same on all instances.
    pub lease: LeaseOptions,
    /// How long an order can be on its way.
    pub settle: SettleOptions,
    /// How often the leases of others are read.
    pub candidates: CandidateOptions,
    /// The most models that load at once over all pools, which is what the weight store bears.
    pub max_loads: usize,
    /// How often the state of an engine is read that is as it should be.
    pub idle_read_ms: Millis,
    /// How often a held pool's row is read anew where nothing is awaited.
    pub row_read_ms: Millis,
    /// How often the instances are read where no drain is awaited.
    pub fleet_read_ms: Millis,
    /// The least time between two reads of the instances, and of a row, where something is awaited.
    pub awaited_read_ms: Millis,
    /// How long a holder goes on that reaches none of a pool's engines. It then gives the pool up for
    /// another instance to try, and leaves it alone for the longest interval of a candidate.
    pub release_unreached_ms: Millis,
    /// How long an engine that refused an order is left alone.
    pub refusal_pause_ms: Millis,
}

impl ControllerOptions {
    /// Checks that the settings fit each other.
    ///
    /// # Errors
    ///
    /// `Error::BadField` naming the first field that breaks its rule.
    pub fn check(&self) -> Result<()> {
        self.lease.check()?;
        if self.max_loads == 0 {
            return Err(anvilhook_core::Error::bad_field("max_loads", "at least 1"));
        }
        Ok(())
    }
}

impl Default for ControllerOptions {
    fn default() -> Self {
        Self {
            lease: LeaseOptions::default(),
            settle: SettleOptions::default(),
            candidates: CandidateOptions::default(),
            max_loads: 2,
            idle_read_ms: Millis(2_000),
            row_read_ms: Millis(10_000),
            fleet_read_ms: Millis(30_000),
            awaited_read_ms: Millis(500),
            release_unreached_ms: Millis(10_000),
            refusal_pause_ms: Millis(10_000),
        }
    }
}
