//! Plans that take engines out of service without truncating an answer.

use serde::{Deserialize, Serialize};

use super::checks::{require, require_distinct};
use crate::errors::Result;
use crate::names::{PoolName, UpstreamName, ZoneName};
use crate::units::Millis;

/// `DrainPlanSpec` declares which engines to take out of service, and how fast.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainPlanSpec {
    /// The pool that the engines belong to.
    pub pool: PoolName,
    /// The engines of the pool to drain.
    pub target: DrainTarget,
    /// The maximum number of engines that drain at once, by default 1.
    #[serde(default = "default_max_at_once")]
    pub max_at_once: u32,
    /// The minimum time between the drains of two engines, by default none.
    #[serde(default)]
    pub pace_ms: Millis,
    /// The minimum number of engines of the pool that must go on serving, by default 1.
    #[serde(default = "default_min_serving")]
    pub min_serving: u32,
}

impl DrainPlanSpec {
    /// Checks the rules on the plan's own fields.
    pub(super) fn check(&self) -> Result<()> {
        require(self.max_at_once > 0, "max_at_once", "at least 1")?;
        match &self.target {
            DrainTarget::Engines(engines) => {
                require(!engines.is_empty(), "target.engines", "at least one engine")?;
                require_distinct(engines, "target.engines")
            }
            DrainTarget::Zones(zones) => {
                require(!zones.is_empty(), "target.zones", "at least one availability zone")?;
                require_distinct(zones, "target.zones")
            }
        }
    }
}

fn default_max_at_once() -> u32 {
    1
}

fn default_min_serving() -> u32 {
    1
}

/// `DrainTarget` selects the engines of a pool that a plan drains. Only one of several availability
/// zones drains at a time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum DrainTarget {
    /// The named engines.
    Engines(Vec<UpstreamName>),
    /// All engines of the named availability zones, one zone after the other.
    Zones(Vec<ZoneName>),
}
