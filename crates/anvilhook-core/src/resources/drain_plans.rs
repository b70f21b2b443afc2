//! Plans to take engines out of service without cutting a request.

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
    /// Which of its engines.
    pub target: DrainTarget,
    /// The most engines that drain at once, by default 1.
    #[serde(default = "default_max_at_once")]
    pub max_at_once: u32,
    /// The least time from one engine's drain to the next one's, by default none.
    #[serde(default)]
    pub pace_ms: Millis,
    /// The fewest engines of the pool that must go on serving, by default 1.
    #[serde(default = "default_min_serving")]
    pub min_serving: u32,
}

impl DrainPlanSpec {
    /// Checks the plan's own rules.
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

/// `DrainTarget` says which engines of a pool a plan drains. Of several availability zones only one
/// drains at a time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum DrainTarget {
    /// The named engines.
    Engines(Vec<UpstreamName>),
    /// All engines of the named availability zones, one zone after the other.
    Zones(Vec<ZoneName>),
}
