//! Determines whether a pool may give orders to one of its engines, and prepares the record of an
//! order.

use anvilhook_core::authority::{
    Claim, ClaimRefusal, EngineOwner, OrderTarget, PoolRow, effective_fencing, is_met,
};
use anvilhook_core::drains::DrainCause;
use anvilhook_core::names::PoolName;
use anvilhook_core::orders::Order;
use anvilhook_core::units::Clock;
use anvilhook_engine::EngineControl;
use anvilhook_platform::{InstanceList, Result, Table};

use super::{Reconciler, StateRead};
use crate::observations::{Finding, reasons};
use crate::owners::{OwnerChange, OwnerView};
use crate::plans::{EnginePlan, PoolPlan};
use crate::pools::{HeldPool, is_declared};
use crate::slots::SlotChange;

/// `Claimed` indicates whether a pool may give orders to an engine.
pub(super) enum Claimed {
    /// The pool has no order to give.
    NotNeeded,
    /// The owner has just been read, and the engine's state must be read after it.
    OwnerRead,
    /// The pool may give orders by this claim.
    Granted(Claim),
    /// The pool may not give orders.
    Refused(Finding),
}

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> Reconciler<'_, T, E, L, C> {
    /// Determines whether the pool may give orders to an engine, if it has any to give.
    pub(super) async fn claim(
        &mut self,
        pool: &mut HeldPool,
        plan: &PoolPlan,
        engine: &EnginePlan,
        read: &StateRead,
    ) -> Result<Claimed> {
        let open = pool.row.open.get(&engine.name);
        let is_left = plan.engine(&engine.name).is_none();
        if open.is_some_and(|open| !is_left && !is_declared(plan, &engine.name, open)) {
            let message = "an order may still arrive at the engine's former address";
            return Ok(Claimed::Refused(Finding::new(false, reasons::ORDER_IN_DOUBT, message)));
        }
        let is_unmet = engine.desired.iter().any(|order| !is_met(order, &read.state));
        if open.is_none() && !is_unmet {
            return Ok(Claimed::NotNeeded);
        }

        let memory = pool.engines.entry(engine.name.clone()).or_default();
        let fencing = effective_fencing(engine.fencing, &read.state, memory.lost_fence);
        let wanted = owner_of(&pool.name, engine);
        let claim = memory.owner.as_ref().map(|view| view.claim(&pool.row, &wanted, fencing));
        let (now, awaited) = (self.services.clock.now(), self.options.awaited_read_ms);
        let is_refused = matches!(claim, Some(Err(_)));
        let view = memory.owner.as_ref();
        let (Some(view), Some(claim)) = (
            view.filter(|view| !view.is_outdated(engine.address, is_refused, now, awaited)),
            claim,
        ) else {
            let table = &self.services.table;
            memory.owner = None;
            memory.owner = Some(OwnerView::read(table, engine.address, &pool.name, now).await?);
            return Ok(Claimed::OwnerRead);
        };
        match claim {
            Ok(claim) => Ok(Claimed::Granted(claim)),
            Err(refusal) => {
                if refusal != ClaimRefusal::DeclaredLater {
                    self.awaited.extend(view.owner().cloned());
                }
                Ok(Claimed::Refused(view.finding(&refusal, engine)))
            }
        }
    }

    /// Lifts the change mark of an engine without an open order, so that it serves until the pool may
    /// give it orders.
    pub(super) async fn unmark(&mut self, pool: &mut HeldPool, engine: &EnginePlan) {
        let is_marked = pool.row.drains.is_marked_for(&engine.name, &DrainCause::Change);
        if !is_marked || pool.row.open.contains_key(&engine.name) {
            return;
        }
        let mut row = pool.row.clone();
        row.drains.unmark(&engine.name, &DrainCause::Change);
        let (table, now) = (&self.services.table, self.services.clock.now());
        if let Err(err) = pool.write(table, row, self.slots, SlotChange::default(), now).await {
            log::warn!("the drain of {} cannot be lifted: {err}", engine.name);
        }
    }

    /// Returns the row that records an order, and the change of the engine's owner that goes with it.
    pub(super) fn record(
        &self,
        pool: &HeldPool,
        engine: &EnginePlan,
        read: &StateRead,
        claim: Option<Claim>,
        order: Order,
    ) -> Option<(PoolRow, OwnerChange)> {
        let view = pool.engines.get(&engine.name)?.owner.as_ref()?;
        let claim = claim?;
        let owner = view.change(claim, &owner_of(&pool.name, engine)).ok()?;
        let EnginePlan { address, zone, fencing, .. } = engine.clone();
        let former = view.former_row(&pool.row);
        let row = pool.row.claim_engine(claim, former, read.state.last_stamp);
        Some((row.record_for(&engine.name, order, OrderTarget { address, zone, fencing }), owner))
    }
}

fn owner_of(pool: &PoolName, engine: &EnginePlan) -> EngineOwner {
    let EnginePlan { name, declared_at, .. } = engine.clone();
    EngineOwner { pool: pool.clone(), engine: name, declared_at }
}
