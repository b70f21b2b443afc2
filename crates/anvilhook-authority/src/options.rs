//! The settings of a controller.

use anvilhook_core::Result;
use anvilhook_core::authority::SettleOptions;
use anvilhook_core::leases::LeaseOptions;
use anvilhook_core::membership::CandidateOptions;
use anvilhook_core::units::Millis;
use serde::{Deserialize, Serialize};

/// `ControllerOptions` sets how a controller holds authority.
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
    /// How long an order can take to arrive.
    pub settle: SettleOptions,
    /// How often the leases of other instances are read.
    pub candidates: CandidateOptions,
    /// The maximum number of concurrent model loads over all pools, limited by the weight store.
    pub max_loads: usize,
    /// How often the state of an engine that is in its desired state is read.
    pub idle_read_ms: Millis,
    /// How often a held pool's row is reread while no former holder is awaited.
    pub row_read_ms: Millis,
    /// How often the instances are read while no drain and no former holder is awaited.
    pub fleet_read_ms: Millis,
    /// The minimum time between two reads of the instances, of a pool's row or of an engine's owner
    /// while a change of it is awaited.
    pub awaited_read_ms: Millis,
    /// How long a holder that can reach none of a pool's engines holds the pool. It then releases the
    /// pool for another instance to try, and skips it for the longest interval of a candidate.
    pub release_unreached_ms: Millis,
    /// How long no order is given to an engine that refused one.
    pub refusal_pause_ms: Millis,
}

impl ControllerOptions {
    /// Checks that the settings are valid and consistent with each other.
    ///
    /// # Errors
    ///
    /// `Error::BadField` naming the first invalid field.
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
