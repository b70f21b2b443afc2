//! Finds pools that are not declared any more but still occupy slots of the weight store.

use std::collections::BTreeSet;

use anvilhook_core::membership::{CandidateOptions, rank, watch_interval};
use anvilhook_core::names::{InstanceName, PoolName};
use anvilhook_core::units::Millis;

use crate::fleets::Fleet;
use crate::plans::PoolPlan;
use crate::slots::SlotView;

/// The name under which the instances are ranked for checking the slots, as they are ranked for a
/// pool under its name.
const SLOT_RANK_NAME: &str = "load-slots";

/// `OrphanWatch` schedules this instance's checks for undeclared pools.
///
/// If a pool is removed from the configuration during a load and its holder then terminates, no plan
/// names the pool, and no instance would take it and close the order. The slot would stay occupied for
/// ever, and loads of other pools would wait for the weight store. The slots still name the pool, so
/// candidates check those pools too. A slot is never freed from outside: the instance that takes the
/// pool, by the rules of leases, closes the order by the rules of orders, which frees the slot.
#[derive(Debug)]
pub(crate) struct OrphanWatch {
    rank_name: PoolName,
    next_check: Option<Millis>,
}

impl OrphanWatch {
    /// Creates the schedule of an instance that has made no check yet.
    pub fn new() -> Self {
        let rank_name = PoolName::try_new(SLOT_RANK_NAME).expect("the constant is a valid name");
        Self { rank_name, next_check: None }
    }

    /// Returns whether the slots should be read now, and if so, schedules the next read.
    pub fn is_due(
        &mut self,
        me: &InstanceName,
        fleet: &Fleet,
        options: &CandidateOptions,
        now: Millis,
    ) -> bool {
        let interval = watch_interval(rank(&self.rank_name, me, fleet.present()), options);
        let is_due = now >= *self.next_check.get_or_insert(now + interval);
        if is_due {
            self.next_check = Some(now + interval);
        }
        is_due
    }
}

/// Returns the pools that have slots but no plan.
pub(crate) fn orphans(slots: &SlotView, plans: &[PoolPlan]) -> BTreeSet<PoolName> {
    let is_declared = |pool: &PoolName| plans.iter().any(|plan| plan.pool == *pool);
    slots.pools().filter(|pool| !is_declared(pool)).cloned().collect()
}
