//! A controller's view of the weight store's slots.

use anvilhook_core::authority::{LoadSlot, LoadSlots};
use anvilhook_core::names::PoolName;
use anvilhook_core::orders::Order;
use anvilhook_platform::{Condition, Result, Row, Table, Write};

use crate::rows::{self, Stored};

/// `SlotView` is the row of slots, as last read.
#[derive(Debug, Default)]
pub(crate) struct SlotView {
    seen: Option<Stored<LoadSlots>>,
}

/// `SlotChange` takes or frees a slot in the transaction that records or closes an order. It is empty
/// if the order needs no slot.
#[derive(Debug, Default)]
pub(crate) struct SlotChange {
    next: Option<LoadSlots>,
    version: Option<u64>,
}

impl SlotView {
    /// Rereads the row.
    pub async fn refresh(&mut self, table: &impl Table) -> Result<()> {
        self.seen = rows::read(table, &rows::load_slots_key()).await?;
        Ok(())
    }

    /// Returns whether one more load may begin.
    pub fn has_room(&self, max_loads: usize) -> bool {
        self.seen.as_ref().is_none_or(|seen| seen.value.has_room(max_loads))
    }

    /// Returns the pools of the loads in progress.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.seen.iter().flat_map(|seen| seen.value.taken.iter().map(|slot| &slot.pool))
    }

    /// Returns the change that goes with recording an order, or `None` if no slot is free for it.
    pub fn take(&self, order: &Order, slot: LoadSlot, max_loads: usize) -> Option<SlotChange> {
        if !matches!(order, Order::LoadModel { .. }) {
            return Some(SlotChange::default());
        }
        let slots = self.seen.as_ref().map(|seen| seen.value.clone()).unwrap_or_default();
        Some(self.change(slots.take(slot, max_loads)?))
    }

    /// Returns the change that goes with closing an order.
    pub fn free(&self, slot: &LoadSlot) -> SlotChange {
        match &self.seen {
            Some(seen) if seen.value.taken.contains(slot) => self.change(seen.value.free(slot)),
            _ => SlotChange::default(),
        }
    }

    fn change(&self, next: LoadSlots) -> SlotChange {
        SlotChange { next: Some(next), version: self.seen.as_ref().map(|seen| seen.version) }
    }

    /// Records that a change took effect.
    pub fn applied(&mut self, change: SlotChange) {
        if let Some(value) = change.next {
            self.seen = Some(Stored { value, version: change.version.unwrap_or(0) + 1 });
        }
    }

    /// Adopts the row if it is among those that a conflict returned.
    pub fn adopt(&mut self, standing: &[Row]) -> Result<()> {
        if let Some(seen) = rows::find(standing, &rows::load_slots_key())? {
            self.seen = Some(seen);
        }
        Ok(())
    }
}

impl SlotChange {
    /// Adds the change to a transaction.
    pub fn add_to(&self, conditions: &mut Vec<Condition>, writes: &mut Vec<Write>) -> Result<()> {
        if let Some(next) = &self.next {
            let key = rows::load_slots_key();
            conditions.push(rows::unchanged_at(key.clone(), self.version));
            writes.push(rows::put(key, next)?);
        }
        Ok(())
    }
}
