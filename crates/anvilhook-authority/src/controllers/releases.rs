//! Releases pools, and drops those that the controller has lost.

use anvilhook_core::names::{PoolName, UpstreamName};
use anvilhook_core::orders::Term;
use anvilhook_core::units::Clock;
use anvilhook_engine::EngineControl;
use anvilhook_platform::{InstanceList, Result, Table};

use super::Controller;
use crate::fleets::Fleet;
use crate::plans::PoolPlan;
use crate::pools::HeldPool;
use crate::slots::SlotChange;

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> Controller<T, E, L, C> {
    /// Drops the pools that this instance no longer holds: its session has ended, the row names
    /// another holder, or a peer knows of a later term. The last is only a hint, but acting on it is
    /// safe. Returns whether any pool was dropped.
    pub(super) fn drop_lost(&mut self) -> bool {
        let session = self.session.session();
        let is_lost = |pool: &HeldPool, fleet: &Fleet| {
            let later = fleet.highest_term(&pool.name).is_some_and(|term| term > pool.row.term);
            session != Some(pool.holder()) || pool.is_lost() || later
        };
        let lost = self.held.values().filter(|pool| is_lost(pool, &self.fleet));
        let lost: Vec<(PoolName, Term)> =
            lost.map(|pool| (pool.name.clone(), pool.row.term)).collect();
        let any = !lost.is_empty();
        for (name, term) in lost {
            log::warn!("pool {name}: authority of {term} has ended");
            self.forget(&name);
            let later = self.fleet.highest_term(&name).unwrap_or_default();
            self.candidate.raise_lowest_term(&name, later.max(Term(term.0 + 1)));
        }
        any
    }

    /// Releases the pools that are not declared any more once they have no open order. No other
    /// instance would close such an order, and a load would occupy its slot for ever.
    pub(super) async fn release_undeclared(&mut self, plans: &[PoolPlan]) {
        let declared = |name: &PoolName| plans.iter().any(|plan| plan.pool == *name);
        let gone: Vec<PoolName> =
            self.held.keys().filter(|name| !declared(name)).cloned().collect();
        for name in gone {
            let Some(pool) = self.held.remove(&name) else { continue };
            self.reconcile(pool, &PoolPlan::undeclared(name.clone())).await;
            let is_idle = self.held.get(&name).is_some_and(|pool| pool.row.open.is_empty());
            if !is_idle {
                continue;
            }
            if let Err(err) = self.release(&name).await {
                log::warn!("pool {name} cannot be released: {err}");
            }
        }
    }

    /// Releases a pool if this instance can reach none of its engines. If it is partitioned from the
    /// engines but not from the table, it would renew its lease for ever, and no instance could change
    /// the engines.
    pub(super) async fn release_unreached(&mut self, plan: &PoolPlan) {
        log::warn!("pool {}: released, because none of its engines can be reached", plan.pool);
        if let Err(err) = self.release(&plan.pool).await {
            log::warn!("pool {} cannot be released: {err}", plan.pool);
        }
        let until = self.services.clock.now() + self.options.candidates.last_interval_ms;
        self.candidate.skip_until(&plan.pool, until);
    }

    pub(super) async fn release(&mut self, name: &PoolName) -> Result<()> {
        let Some(mut pool) = self.forget(name) else { return Ok(()) };
        // From here on no order is given under this term, even if the write fails.
        self.candidate.raise_lowest_term(name, Term(pool.row.term.0 + 1));
        let now = self.services.clock.now();
        if pool.is_stale() {
            pool.refresh(&self.services.table, now).await?;
        }
        let row = pool.row.release();
        pool.write(&self.services.table, row, &mut self.slots, SlotChange::default(), now).await?;
        Ok(())
    }

    /// Drops a pool and its observations; its next holder makes new ones.
    fn forget(&mut self, name: &PoolName) -> Option<HeldPool> {
        let pool = self.held.remove(name)?;
        let names = pool.engines.keys().map(UpstreamName::as_str);
        self.observations.forget(name, names);
        Some(pool)
    }
}
