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
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is said to refuse orders with an old fencing number. The engine says so itself
    /// when it is met; if the two disagree, `Ignores` holds. The default is the safer `Ignores`.
    #[serde(default)]
    pub fencing: Fencing,
    /// The role that it should have where the planner does not decide, by default `Mixed`.
    #[serde(default = "default_role")]
    pub role: Role,
}

impl EngineSpec {
    /// Checks the engine's own rules.
    pub(super) fn check(&self) -> Result<()> {
        let can_be_reached = self.address.port() != 0 && !self.address.ip().is_unspecified();
        require(can_be_reached, "address", "an IP address and port that can be connected to")
    }
}

impl EngineSpec {
    /// Checks that this may take the place of what stands.
    ///
    /// Authority goes by pools. While a holder of the old pool's lease has not heard of the move, the
    /// new pool's holder would give orders to the same engine, and both leases would be valid.
    pub(super) fn check_replacing(&self, standing: &EngineSpec) -> Result<()> {
        let expected = format!(
            "{} as declared; to move the engine drain it, delete it, and declare it anew",
            standing.pool
        );
        require(self.pool == standing.pool, "pool", &expected)
    }
}

fn default_role() -> Role {
    Role::Mixed
}

/// `Fencing` says what an engine does with an order whose fencing number is old.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses the order.
    Checks,
    /// It carries the order out.
    #[default]
    Ignores,
}
