//! Takes pools, and reconciles those that are held.

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
    pub(super) async fn check(&mut self, plan: &PoolPlan) {
        let candidate = &mut self.candidate;
        let check = candidate.check(
            &plan.pool,
            &self.services,
            &self.options,
            &mut self.session,
            &self.fleet,
        );
        match check.await {
            Ok(Some(pool)) => self.reconcile(pool, plan).await,
            Ok(None) => {}
            Err(err) => log::warn!("pool {} cannot be read: {err}", plan.pool),
        }
    }

    /// Takes the pools that are not declared any more but still occupy slots of the weight store, if
    /// their holders' sessions have ended. The next step closes their orders and releases them.
    pub(super) async fn check_orphans(&mut self, plans: &[PoolPlan]) {
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
                self.check(&PoolPlan::undeclared(pool)).await;
            }
        }
    }

    /// Reconciles a pool with its plan, and retains the pool unless it turns out to be lost.
    pub(super) async fn reconcile(&mut self, mut pool: HeldPool, plan: &PoolPlan) {
        if let Err(err) = self.update_row(&mut pool).await {
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
            if let Err(err) = self.advance_drain_plans(&mut pool, plan).await {
                log::warn!("pool {}: the drain plans cannot continue: {err}", pool.name);
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

    /// Updates the pool's row before decisions are made on its engines.
    async fn update_row(&mut self, pool: &mut HeldPool) -> Result<()> {
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

    /// Advances the drain plans, and closes orders of engines that are not declared any more. It runs
    /// after the engines are reconciled, because their states in this step show which drains are
    /// complete.
    async fn advance_drain_plans(&mut self, pool: &mut HeldPool, plan: &PoolPlan) -> Result<()> {
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
