//! Limits the loads from the weight store, over all holders of pools.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::names::{PoolName, UpstreamName};

/// `LoadSlot` is the slot of one load in progress.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LoadSlot {
    /// The engine's pool.
    pub pool: PoolName,
    /// The engine that is loading.
    pub engine: UpstreamName,
}

/// `LoadSlots` is the row that counts the loads in progress over all pools.
///
/// A slot is taken in the transaction that records the order and freed in the one that closes the
/// order. If a holder ends in between, its successor finds both, so a slot never leaks.
///
/// ```
/// use anvilhook_core::authority::{LoadSlot, LoadSlots};
///
/// let slot = |engine: &str| LoadSlot {
///     pool: "verdicts".parse().unwrap(),
///     engine: engine.parse().unwrap(),
/// };
/// let one = LoadSlots::default().take(slot("runner-1"), 1).unwrap();
/// assert!(one.take(slot("runner-2"), 1).is_none());
/// assert!(one.free(&slot("runner-1")).take(slot("runner-2"), 1).is_some());
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LoadSlots {
    /// The loads in progress.
    pub taken: BTreeSet<LoadSlot>,
}

impl LoadSlots {
    /// Returns whether one more load may begin.
    pub fn has_room(&self, max_loads: usize) -> bool {
        self.taken.len() < max_loads
    }

    /// Returns the row with one more slot taken, or `None` if there is no room. An engine that has
    /// a slot already keeps it.
    pub fn take(&self, slot: LoadSlot, max_loads: usize) -> Option<LoadSlots> {
        if !self.taken.contains(&slot) && !self.has_room(max_loads) {
            return None;
        }
        let mut slots = self.clone();
        slots.taken.insert(slot);
        Some(slots)
    }

    /// Returns the row without an engine's slot.
    pub fn free(&self, slot: &LoadSlot) -> LoadSlots {
        let mut slots = self.clone();
        slots.taken.remove(slot);
        slots
    }
}
