//! Acknowledgements of drains, and which of them are missing.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::marks::DrainMark;
use crate::names::{InstanceName, PoolName, UpstreamName};

/// `PoolAck` is one instance's acknowledgement of the draining engines of one pool. For each engine at
/// which the instance has nothing in flight, it holds the generation since which that engine drains. The
/// instance sends nothing there until it uses a later generation in which the engine serves again.
pub type PoolAck = BTreeMap<UpstreamName, u64>;

/// `DrainAck` contains all acknowledgements of one instance. It is sent over the peer link or stored in
/// the table.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DrainAck {
    /// The instance that acknowledges.
    pub instance: InstanceName,
    /// Its acknowledgement for each pool.
    pub pools: BTreeMap<PoolName, PoolAck>,
}

impl DrainAck {
    /// Returns whether this acknowledges the drain of an engine by the given mark. An
    /// acknowledgement of an earlier drain does not count: the engine has served in between.
    pub fn clears(&self, pool: &PoolName, engine: &UpstreamName, mark: &DrainMark) -> bool {
        self.pools.get(pool).and_then(|ack| ack.get(engine)) == Some(&mark.since)
    }
}

/// `DrainProgress` is the progress of one engine's drain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum DrainProgress {
    /// The engine is not marked.
    NotMarked,
    /// These instances have not acknowledged.
    AwaitingInstances(BTreeSet<InstanceName>),
    /// All have acknowledged; the engine's own state must confirm it.
    Acknowledged,
}

/// Returns the progress of an engine's drain. `required` are the instances that must acknowledge, and
/// `acknowledges` returns whether one of them has acknowledged the mark.
pub fn progress<'a>(
    mark: Option<&DrainMark>,
    required: impl IntoIterator<Item = &'a InstanceName>,
    acknowledges: impl Fn(&InstanceName, &DrainMark) -> bool,
) -> DrainProgress {
    let Some(mark) = mark else { return DrainProgress::NotMarked };

    // A missing acknowledgement blocks the drain; it never counts as consent.
    let unacknowledged = |name: &&InstanceName| !acknowledges(name, mark);
    let missing: BTreeSet<InstanceName> =
        required.into_iter().filter(unacknowledged).cloned().collect();
    if missing.is_empty() {
        DrainProgress::Acknowledged
    } else {
        DrainProgress::AwaitingInstances(missing)
    }
}
