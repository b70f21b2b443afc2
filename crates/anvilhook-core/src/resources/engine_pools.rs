//! Pools of engines.

use serde::{Deserialize, Serialize};

use crate::orders::ModelRef;
use crate::units::Millis;

/// `EnginePoolSpec` declares a pool: the unit of authority, of role planning and of drains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePoolSpec {
    /// The version of the model that the engines should serve.
    pub model: ModelRef,
    /// How roles are planned.
    pub roles: RolePolicy,
    /// The fewest engines that must go on serving during planned changes.
    pub min_serving: u32,
}

/// `RolePolicy` says how the roles of a pool are planned.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RolePolicy {
    /// Whether the planner may change roles. If not, roles stay as declared.
    pub automatic: bool,
    /// The weight of a change's cost against the goodput that it gains. The Association sets it
    /// high, Papadakis low.
    pub change_weight: f64,
    /// The greatest share of the pool, from 0 to 1, that may be in a change at once.
    pub max_changing_share: f64,
    /// The least time between two changes of one engine.
    pub min_dwell_ms: Millis,
}
