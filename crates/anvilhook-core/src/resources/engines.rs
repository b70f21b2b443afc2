//! Model engines.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::checks::require;
use crate::errors::Result;
use crate::names::{PoolName, ZoneName};
use crate::orders::Role;

/// `EngineSpec` declares one model engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether the engine is declared to refuse orders with an old fencing number. The engine itself
    /// also reports this when an instance contacts it; if the two disagree, `Ignores` applies. The
    /// default is `Ignores`, the safer value.
    #[serde(default)]
    pub fencing: Fencing,
    /// The role that it should have where the planner does not decide, by default `Mixed`.
    #[serde(default = "default_role")]
    pub role: Role,
}

impl EngineSpec {
    /// Checks the rules on the engine's own fields.
    pub(super) fn check(&self) -> Result<()> {
        let can_be_reached = self.address.port() != 0 && !self.address.ip().is_unspecified();
        require(can_be_reached, "address", "an IP address and port that can be connected to")
    }
}

impl EngineSpec {
    /// Checks that this spec may replace the current one, which must be of the same pool.
    ///
    /// Each pool has its own authority. If an engine moved to another pool, the holder of the new
    /// pool's lease could give it orders while the holder of the old pool's lease has not yet learnt of
    /// the move, and both leases would be valid.
    pub(super) fn check_replacing(&self, current: &EngineSpec) -> Result<()> {
        let expected = format!(
            "{} as declared; to move the engine drain it, delete it, and declare it again",
            current.pool
        );
        require(self.pool == current.pool, "pool", &expected)
    }
}

fn default_role() -> Role {
    Role::Mixed
}

/// `Fencing` describes what an engine does with an order whose fencing number is old.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The engine refuses the order.
    Checks,
    /// The engine executes the order.
    #[default]
    Ignores,
}
