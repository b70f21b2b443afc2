//! Bounds on the roles of a pool.

use serde::{Deserialize, Serialize};

use super::checks::require;
use crate::errors::Result;
use crate::names::PoolName;
use crate::orders::Role;

/// `RoleSpec` declares how many engines of a pool may hold a role.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSpec {
    /// The pool.
    pub pool: PoolName,
    /// The role.
    pub role: Role,
    /// The minimum number of engines that hold the role.
    pub min_engines: u32,
    /// The maximum number of engines that hold the role.
    pub max_engines: u32,
}

impl RoleSpec {
    /// Checks that the bounds are consistent with each other.
    pub(super) fn check(&self) -> Result<()> {
        let in_order = self.min_engines <= self.max_engines;
        require(in_order, "max_engines", "at least spec.min_engines")
    }
}
