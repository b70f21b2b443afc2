//! Model engines.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

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
    /// when it is met; if the two disagree, `Ignores` holds.
    pub fencing: Fencing,
    /// The role that it should have where the planner does not decide.
    pub role: Role,
}

/// `Fencing` says what an engine does with an order whose fencing number is old.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses the order.
    Checks,
    /// It carries the order out.
    Ignores,
}
