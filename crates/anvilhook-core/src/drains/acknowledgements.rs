//! Acknowledgements of drains, and what is still missing of one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::marks::DrainMark;
use crate::names::{InstanceName, PoolName, UpstreamName};

/// `PoolAck` is what one instance says of the draining engines of one pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PoolAck {
    /// The generation of the marks that the instance goes by.
    pub generation: u64,
    /// The engines, draining at that generation, at which the instance has nothing in flight. It
    /// sends nothing there until it goes by a later generation.
    pub clear: BTreeSet<UpstreamName>,
}

impl PoolAck {
    /// Returns whether this says that the instance has nothing in flight at an engine that drains
    /// by the given mark, and will send nothing there.
    pub fn clears(&self, engine: &UpstreamName, mark: &DrainMark) -> bool {
        self.generation >= mark.since && self.clear.contains(engine)
    }
}

/// `DrainAck` is all that one instance acknowledges. It crosses the peer link or is stored in the
/// table; of two, the one with the higher generation of a pool holds, and both are true.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DrainAck {
    /// Who acknowledges.
    pub instance: InstanceName,
    /// What it says of each pool.
    pub pools: BTreeMap<PoolName, PoolAck>,
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

/// Returns how far the drain of an engine is. `required` are the announced instances that the
/// platform has not said to be gone.
pub fn progress<'a>(
    engine: &UpstreamName,
    mark: Option<&DrainMark>,
    required: impl IntoIterator<Item = &'a InstanceName>,
    ack_of: impl Fn(&InstanceName) -> Option<&'a PoolAck>,
) -> DrainProgress {
    let Some(mark) = mark else { return DrainProgress::NotMarked };

    // An instance that has said nothing is a veto, not a yes.
    let clears = |name: &InstanceName| ack_of(name).is_some_and(|ack| ack.clears(engine, mark));
    let missing: BTreeSet<InstanceName> =
        required.into_iter().filter(|name| !clears(name)).cloned().collect();
    if missing.is_empty() {
        DrainProgress::Acknowledged
    } else {
        DrainProgress::AwaitingInstances(missing)
    }
}
