//! Taking pools, and the work on those that are held.

use anvilhook_core::authority::LoadSlot;
use anvilhook_core::units::Clock;
use anvilhook_engine::EngineControl;
use anvilhook_platform::{InstanceList, Result, Table};

use super::Controller;
use crate::engines::Reconciler;
use crate::observations::{Finding, kinds, list, reasons};
use crate::orphans::orphans;
use crate::plans::PoolPlan;
use crate::pools::HeldPool;
use crate::slots::SlotChange;

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> Controller<T, E, L, C> {
    pub(super) async fn look(&mut self, plan: &PoolPlan) {
        let candidate = &mut self.candidate;
        let look = candidate.look(
            &plan.pool,
            &self.services,
            &self.options,
            &mut self.session,
            &self.fleet,
        );
        match look.await {
            Ok(Some(pool)) => self.work(pool, plan).await,
            Ok(None) => {}
            Err(err) => log::warn!("pool {} cannot be read: {err}", plan.pool),
        }
    }

    /// Takes the pools that are not declared any more and keep slots of the weight store, if their
    /// holders have ended. The next step closes their orders and gives them up.
    pub(super) async fn look_for_orphans(&mut self, plans: &[PoolPlan]) {
        let now = self.services.clock.now();
        if !self.orphans.is_due(&self.me, &self.fleet, &self.options.candidates, now) {
            return;
        }
        if let Err(err) = self.slots.refresh(&self.services.table).await {
            log::warn!("the load slots cannot be read: {err}");
            return;
        }
        for pool in orphans(&self.slots, plans) {
            if !self.held.contains_key(&pool) {
                self.look(&PoolPlan::undeclared(pool)).await;
            }
        }
    }

    /// Carries out a pool's plan, and keeps the pool unless it turns out to be lost.
    pub(super) async fn work(&mut self, mut pool: HeldPool, plan: &PoolPlan) {
        if let Err(err) = self.work_row(&mut pool).await {
            let message = format!("the table does not answer: {err}");
            let found = Finding::new(false, reasons::TABLE_UNAVAILABLE, message);
            self.observations.pool(&pool.name, kinds::AUTHORITY, found);
        } else if !pool.is_lost() && !pool.is_stale() {
            let mut reconciler = Reconciler {
                services: &self.services,
                options: &self.options,
                session: &mut self.session,
                fleet: &self.fleet,
                slots: &mut self.slots,
                observations: &mut self.observations,
                declared: &self.declared,
                awaited: &mut self.awaited,
            };
            reconciler.reconcile(&mut pool, plan).await;
            if let Err(err) = self.work_plans(&mut pool, plan).await {
                log::warn!("pool {}: the drain plans cannot go on: {err}", pool.name);
            }
        }
        let now = self.services.clock.now();
        let is_unreached = pool.unreached_for(plan, now) >= self.options.release_unreached_ms;
        self.held.insert(pool.name.clone(), pool);
        self.drop_lost();
        if is_unreached {
            self.release_unreached(plan).await;
        }
    }

    /// Brings the pool's row up to date before its engines are decided on.
    async fn work_row(&mut self, pool: &mut HeldPool) -> Result<()> {
        let table = &self.services.table;
        let now = self.services.clock.now();
        let (awaited, idle) = (self.options.awaited_read_ms, self.options.row_read_ms);
        if pool.is_due(now, awaited, idle) {
            pool.refresh(table, now).await?;
            self.slots.refresh(table).await?;
        }
        if let Some(cleared) = pool.cleared_row(&self.fleet) {
            pool.write(table, cleared, &mut self.slots, SlotChange::default(), now).await?;
        }
        let message = match pool.row.uncleared.is_empty() {
            true => format!("held at {}", pool.row.term),
            false => {
                format!("held at {}, after {}", pool.row.term, list(&pool.row.uncleared))
            }
        };
        self.observations.pool(
            &pool.name,
            kinds::AUTHORITY,
            Finding::new(true, reasons::HELD, message),
        );
        Ok(())
    }

    /// Takes the drain plans further, and puts the row in order where engines were undeclared. It
    /// comes after the engines, whose states in this step say which drains are complete.
    async fn work_plans(&mut self, pool: &mut HeldPool, plan: &PoolPlan) -> Result<()> {
        let table = &self.services.table;
        let now = self.services.clock.now();
        if pool.is_lost() || pool.is_stale() {
            return Ok(());
        }
        let bound = self.options.settle.delivery_bound_ms;
        if let Some(engine) = pool.withdrawn(plan, bound, now) {
            let slot = LoadSlot { pool: pool.name.clone(), engine: engine.clone() };
            let (row, change) = (pool.row.close(&engine), self.slots.free(&slot));
            pool.write(table, row, &mut self.slots, change, now).await?;
        }
        if pool.is_lost() {
            return Ok(());
        }
        pool.follow_plans(table, plan, &mut self.slots, &mut self.observations, now).await
    }
}
