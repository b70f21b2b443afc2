//! Pools of engines.

use serde::{Deserialize, Serialize};

use super::checks::require;
use crate::errors::Result;
use crate::orders::ModelRef;
use crate::units::Millis;

/// `EnginePoolSpec` declares a pool, which is the unit of authority, of role planning and of drains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePoolSpec {
    /// The version of the model that the engines should serve.
    pub model: ModelRef,
    /// How roles are planned.
    #[serde(default)]
    pub roles: RolePolicy,
    /// The minimum number of engines that must go on serving during planned changes, by default 1.
    #[serde(default = "default_min_serving")]
    pub min_serving: u32,
}

impl EnginePoolSpec {
    /// Checks the rules on the pool's own fields.
    pub(super) fn check(&self) -> Result<()> {
        require(self.model.version > 0, "model.version", "a version from 1")?;
        let weight = self.roles.change_weight;
        let is_weight = weight.is_finite() && weight >= 0.0;
        require(is_weight, "roles.change_weight", "a finite number from 0")?;
        let share = self.roles.max_changing_share;
        let is_share = (0.0..=1.0).contains(&share);
        require(is_share, "roles.max_changing_share", "a share from 0 to 1")
    }
}

fn default_min_serving() -> u32 {
    1
}

/// `RolePolicy` sets how the roles of a pool are planned.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolePolicy {
    /// Whether the planner may change roles. Otherwise roles stay as declared.
    pub automatic: bool,
    /// The weight of a change's cost relative to the goodput that it gains. A higher weight means fewer
    /// role changes: the Association sets it high, Papadakis low.
    pub change_weight: f64,
    /// The maximum share of the pool, from 0 to 1, that may change roles at once.
    pub max_changing_share: f64,
    /// The minimum time between two role changes of one engine.
    pub min_dwell_ms: Millis,
}

impl Default for RolePolicy {
    /// Returns a policy that changes no role unless an operator requests it.
    fn default() -> Self {
        Self {
            automatic: false,
            change_weight: 1.0,
            max_changing_share: 0.25,
            min_dwell_ms: Millis::from_secs(300),
        }
    }
}
