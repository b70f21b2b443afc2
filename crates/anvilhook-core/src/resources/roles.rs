//! Bounds on the roles of a pool.

use serde::{Deserialize, Serialize};

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
    /// The fewest engines that hold it.
    pub min_engines: u32,
    /// The most engines that hold it.
    pub max_engines: u32,
}
