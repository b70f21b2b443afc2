//! What is wanted of the engines, as a keeper takes it.

use std::net::SocketAddr;

use anvilhook_core::names::{PoolName, ResourceName, UpstreamName, ZoneName};
use anvilhook_core::orders::Order;
use anvilhook_core::resources::{DrainPlanSpec, Fencing};
use anvilhook_core::units::Revision;

/// `EnginePlan` is what is wanted of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlan {
    /// The engine.
    pub name: UpstreamName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is declared to check fencing numbers.
    pub fencing: Fencing,
    /// What it should be, as orders in the sequence in which they may be given. Those that its
    /// state meets are not given.
    pub desired: Vec<Order>,
    /// The revision of the change that declared it as it is. Of two pools that claim the engine at
    /// an address, the one with the later declaration may have it.
    pub declared_at: Revision,
}

/// `DeclaredDrain` is a drain plan that stands.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredDrain {
    /// The plan's name.
    pub name: ResourceName,
    /// The plan.
    pub spec: DrainPlanSpec,
}

/// `PoolPlan` is what is wanted of a pool. All instances are given the same plans, up to the time
/// that a configuration needs to reach them.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPlan {
    /// The pool.
    pub pool: PoolName,
    /// Its engines.
    pub engines: Vec<EnginePlan>,
    /// The fewest engines that must go on serving during planned changes.
    pub min_serving: u32,
    /// The most engines that may be out of service at once for changes.
    pub max_changing: usize,
    /// The drain plans for it.
    pub drains: Vec<DeclaredDrain>,
}

impl PoolPlan {
    /// Returns the plan of a pool that is not declared any more.
    pub(crate) fn undeclared(pool: PoolName) -> Self {
        let (engines, drains) = (Vec::new(), Vec::new());
        Self { pool, engines, min_serving: 0, max_changing: 0, drains }
    }

    /// Returns what is wanted of an engine, if it is declared.
    pub(crate) fn engine(&self, name: &UpstreamName) -> Option<&EnginePlan> {
        self.engines.iter().find(|engine| engine.name == *name)
    }
}
