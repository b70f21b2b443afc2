//! Plans to take engines out of service without cutting a request.

use serde::{Deserialize, Serialize};

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
    /// The most engines that drain at once.
    pub max_at_once: u32,
    /// The least time from one engine's drain to the next one's.
    pub pace_ms: Millis,
    /// The fewest engines of the pool that must go on serving.
    pub min_serving: u32,
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
