//! Acknowledgements of drains, and what is still missing of one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::marks::DrainMark;
use crate::names::{InstanceName, PoolName, UpstreamName};

/// `PoolAck` is what one instance says of the draining engines of one pool: for each at which it has
/// nothing in flight, the generation since which that engine drains. The instance sends nothing
/// there until it goes by a later generation in which the engine serves again.
pub type PoolAck = BTreeMap<UpstreamName, u64>;

/// `DrainAck` is all that one instance acknowledges. It crosses the peer link or is stored in the
/// table.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DrainAck {
    /// Who acknowledges.
    pub instance: InstanceName,
    /// What it says of each pool.
    pub pools: BTreeMap<PoolName, PoolAck>,
}

impl DrainAck {
    /// Returns whether this acknowledges the drain of an engine by the given mark. An
    /// acknowledgement of an earlier drain of the engine does not: it has served in between.
    pub fn clears(&self, pool: &PoolName, engine: &UpstreamName, mark: &DrainMark) -> bool {
        self.pools.get(pool).and_then(|ack| ack.get(engine)) == Some(&mark.since)
    }
}

/// `DrainProgress` says how far the drain of one engine is.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum DrainProgress {
    /// The engine is not marked.
    NotMarked,
    /// These instances have not acknowledged.
    AwaitingInstances(BTreeSet<InstanceName>),
    /// All have acknowledged; the engine's own state must agree.
    Acknowledged,
}

/// Returns how far the drain of an engine is. `required` are the instances that must acknowledge, and
/// `acknowledges` says whether one of them has acknowledged the mark.
pub fn progress<'a>(
    mark: Option<&DrainMark>,
    required: impl IntoIterator<Item = &'a InstanceName>,
    acknowledges: impl Fn(&InstanceName, &DrainMark) -> bool,
) -> DrainProgress {
    let Some(mark) = mark else { return DrainProgress::NotMarked };

    // An instance that has said nothing is a veto, not a yes.
    let silent = |name: &&InstanceName| !acknowledges(name, mark);
    let missing: BTreeSet<InstanceName> = required.into_iter().filter(silent).cloned().collect();
    if missing.is_empty() {
        DrainProgress::Acknowledged
    } else {
        DrainProgress::AwaitingInstances(missing)
    }
}
