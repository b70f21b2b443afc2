//! Follows the drains that are ordered by other instances; every instance does this.

use std::collections::BTreeMap;

use super::acknowledgements::{DrainAck, PoolAck};
use super::marks::{DrainMark, DrainMarks};
use crate::names::{InstanceName, PoolName, UpstreamName};

/// `FollowedPool` is the newest generation of a pool's drain marks that an instance has adopted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FollowedPool {
    /// The generation.
    pub generation: u64,
    /// The draining engines, each with the generation since which it drains.
    pub draining: BTreeMap<UpstreamName, u64>,
}

/// `DrainFollower` tracks which engines an instance must not route to, and which drains it may
/// acknowledge.
#[derive(Clone, Debug, Default)]
pub struct DrainFollower {
    pools: BTreeMap<PoolName, FollowedPool>,
}

impl DrainFollower {
    /// Adopts marks that were read, and returns whether they are newer. Older marks change nothing: an
    /// answer of the table may be overtaken by a later one, and going back would route requests to an
    /// engine whose drain has been acknowledged.
    pub fn adopt(&mut self, pool: &PoolName, marks: &DrainMarks) -> bool {
        let known = self.pools.entry(pool.clone()).or_default();
        if marks.generation <= known.generation {
            return false;
        }
        known.generation = marks.generation;
        let since = |(name, mark): (&UpstreamName, &DrainMark)| (name.clone(), mark.since);
        known.draining = marks.engines.iter().map(since).collect();
        true
    }

    /// Returns whether an engine drains, so that it gets no new work.
    pub fn is_draining(&self, engine: &UpstreamName) -> bool {
        self.pools.values().any(|pool| pool.draining.contains_key(engine))
    }

    /// Returns all draining engines.
    pub fn draining(&self) -> impl Iterator<Item = &UpstreamName> {
        self.pools.values().flat_map(|pool| pool.draining.keys())
    }

    /// Returns the drains that the instance may acknowledge. The caller must route by the adopted marks
    /// before `open_requests` reads the counts. Otherwise a request that was routed by older marks could
    /// begin after its engine's count was read as zero, and the change would interrupt it.
    pub fn ack(
        &self,
        instance: &InstanceName,
        open_requests: impl Fn(&UpstreamName) -> u64,
    ) -> DrainAck {
        let ack_of = |pool: &FollowedPool| -> PoolAck {
            let idle = pool.draining.iter().filter(|(name, _)| open_requests(name) == 0);
            idle.map(|(name, since)| (name.clone(), *since)).collect()
        };
        let pools = self.pools.iter().filter(|(_, pool)| !pool.draining.is_empty());
        let pools = pools.map(|(name, pool)| (name.clone(), ack_of(pool))).collect();
        DrainAck { instance: instance.clone(), pools }
    }
}
