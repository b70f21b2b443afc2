//! The desired state of the engines, which is the input of a controller.

use std::net::SocketAddr;

use anvilhook_core::names::{PoolName, ResourceName, UpstreamName, ZoneName};
use anvilhook_core::orders::Order;
use anvilhook_core::resources::{DrainPlanSpec, Fencing};
use anvilhook_core::units::Revision;

/// `EnginePlan` is the desired state of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlan {
    /// The engine.
    pub name: UpstreamName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is declared to check fencing numbers.
    pub fencing: Fencing,
    /// The desired state, as orders in the sequence in which they may be given. Orders that its state
    /// already meets are skipped.
    pub desired: Vec<Order>,
    /// The revision of the change that declared it in its present form. If two pools claim the engine
    /// at an address, the one with the later declaration gets it.
    pub declared_at: Revision,
}

/// `DeclaredDrain` is a drain plan of the current configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredDrain {
    /// The plan's name.
    pub name: ResourceName,
    /// The plan.
    pub spec: DrainPlanSpec,
}

/// `PoolPlan` is the desired state of a pool. All instances get the same plans, except while a new
/// configuration has not reached all of them yet.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPlan {
    /// The pool.
    pub pool: PoolName,
    /// Its engines.
    pub engines: Vec<EnginePlan>,
    /// The minimum number of engines that must keep serving during planned changes.
    pub min_serving: u32,
    /// The maximum number of engines that may be out of service at once for changes.
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

    /// Returns the desired state of an engine, if it is declared.
    pub(crate) fn engine(&self, name: &UpstreamName) -> Option<&EnginePlan> {
        self.engines.iter().find(|engine| engine.name == *name)
    }
}
