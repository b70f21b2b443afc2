//! Pools that are not declared any more and keep slots of the weight store.

use std::collections::BTreeSet;

use anvilhook_core::membership::{CandidateOptions, rank, watch_interval};
use anvilhook_core::names::{InstanceName, PoolName};
use anvilhook_core::units::Millis;

use crate::fleets::Fleet;
use crate::plans::PoolPlan;
use crate::slots::SlotView;

/// The name by which the instances share the reading of the slots among them, as they share that
/// of a pool.
const SLOT_READING_NAME: &str = "load-slots";

/// `OrphanWatch` says when this instance looks for pools without a declaration.
///
/// If a pool is undeclared amid a load and its holder dies, no plan names the pool, and nobody would
/// take it and close the order: its slot would be taken for ever, and one would see loads elsewhere
/// wait for the weight store. The slots still name the pool, so candidates look at it too. Nobody
/// frees a slot from outside: whoever takes the pool, by the rules of leases, closes the order by
/// the rules of orders, and the slot goes with it.
#[derive(Debug)]
pub(crate) struct OrphanWatch {
    shared_as: PoolName,
    next_look: Option<Millis>,
}

impl OrphanWatch {
    /// Makes the watch of an instance that has not looked yet.
    pub fn new() -> Self {
        let shared_as =
            PoolName::try_new(SLOT_READING_NAME).expect("a fixed name that obeys the rule");
        Self { shared_as, next_look: None }
    }

    /// Returns whether the slots should be read now, and puts the next reading off.
    pub fn is_due(
        &mut self,
        me: &InstanceName,
        fleet: &Fleet,
        options: &CandidateOptions,
        now: Millis,
    ) -> bool {
        let interval = watch_interval(rank(&self.shared_as, me, fleet.present()), options);
        let is_due = now >= *self.next_look.get_or_insert(now + interval);
        if is_due {
            self.next_look = Some(now + interval);
        }
        is_due
    }
}

/// Returns the pools that have slots and no plan.
pub(crate) fn orphans(slots: &SlotView, plans: &[PoolPlan]) -> BTreeSet<PoolName> {
    let is_declared = |pool: &PoolName| plans.iter().any(|plan| plan.pool == *pool);
    slots.pools().filter(|pool| !is_declared(pool)).cloned().collect()
}
