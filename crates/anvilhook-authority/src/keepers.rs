//! The keeper: takes pools, and carries out what is wanted of their engines.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use anvilhook_core::authority::LoadSlot;
use anvilhook_core::names::{InstanceName, PoolName, UpstreamName};
use anvilhook_core::orders::Term;
use anvilhook_core::units::{Clock, WallTime};
use anvilhook_engine::EngineControl;
use anvilhook_platform::{InstanceList, Result, Table, Transaction, Write};

use crate::breakers::Breaker;
use crate::engines::Desk;
use crate::fleets::{Fleet, PeerHints};
use crate::observations::{Finding, Observation, ObservationBook, kinds, list, reasons};
use crate::options::KeeperOptions;
use crate::orphans::{OrphanWatch, orphans};
use crate::plans::PoolPlan;
use crate::pools::HeldPool;
use crate::rows;
use crate::sessions::SessionHolder;
use crate::slots::{SlotChange, SlotView};
use crate::takeovers::Candidate;

/// `Services` is what a keeper works with.
#[derive(Clone, Debug)]
pub struct Services<T, E, L, C> {
    /// The platform's table.
    pub table: T,
    /// Control of the engines. A call must end, one way or the other, within the guard interval of
    /// the lease, which one that goes by `LeaseOptions::call_timeout` does.
    pub engines: E,
    /// The platform's list of instances.
    pub instances: L,
    /// The machine's monotonic clock.
    pub clock: C,
}

/// `Keeper` holds authority over pools and carries out what is wanted of their engines.
///
/// It does one thing after another: when a step has returned, none of its calls is under way. All
/// that a step needs it reads or remembers, so a step may be given up at any point where it waits
/// only together with the whole keeper.
#[derive(Debug)]
pub struct Keeper<T, E, L, C> {
    me: InstanceName,
    services: Services<Breaker<T>, E, L, C>,
    options: KeeperOptions,
    session: SessionHolder,
    candidate: Candidate,
    fleet: Fleet,
    slots: SlotView,
    orphans: OrphanWatch,
    held: BTreeMap<PoolName, HeldPool>,
    /// All names that have been declared as upstreams. They are remembered after their removal,
    /// because the platform lists an engine for a while after it was taken from the configuration.
    upstreams: BTreeSet<UpstreamName>,
    /// The gone instances whose rows this keeper has removed.
    swept: BTreeSet<InstanceName>,
    book: ObservationBook,
    /// The pools that engines of this instance's pools wait for.
    awaited: BTreeSet<PoolName>,
    /// The addresses of all declared engines.
    declared: BTreeSet<SocketAddr>,
}

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> Keeper<T, E, L, C> {
    /// Makes the keeper of an instance. The name must be that of no earlier process.
    pub fn new(me: InstanceName, services: Services<T, E, L, C>, options: KeeperOptions) -> Self {
        let Services { table, engines, instances, clock } = services;
        Self {
            services: Services { table: Breaker::new(table), engines, instances, clock },
            options,
            session: SessionHolder::new(me.clone()),
            candidate: Candidate::new(me.clone()),
            me,
            fleet: Fleet::default(),
            slots: SlotView::default(),
            orphans: OrphanWatch::new(),
            held: BTreeMap::new(),
            upstreams: BTreeSet::new(),
            swept: BTreeSet::new(),
            book: ObservationBook::default(),
            awaited: BTreeSet::new(),
            declared: BTreeSet::new(),
        }
    }

    /// Notes names in the platform's list that are upstreams, such as those of plain services. The
    /// engines of the plans are known without.
    pub fn note_upstreams(&mut self, names: impl IntoIterator<Item = UpstreamName>) {
        self.upstreams.extend(names);
    }

    /// Notes the other instances, as far as they are known without reading every record. They say
    /// which of the candidates for a pool this one is; a drain reads the records.
    pub fn note_instances(&mut self, names: impl IntoIterator<Item = InstanceName>) {
        self.fleet.note(names);
    }

    /// Does what can be done now. It should be called a few times a second, and more often than the
    /// guard interval. `wall` dates what is observed.
    ///
    /// Failures of the platform and of engines are observed, not returned: the next step tries
    /// again. What `terms` returns should be published after each step: one that finds a pool lost
    /// before its first call ends there, so that the successor does not wait for the rest.
    pub async fn step(&mut self, plans: &[PoolPlan], hints: &PeerHints, wall: WallTime) {
        let plans = &self.with_awaited(plans);
        self.book.begin_step(wall, self.services.clock.now());
        // Hints matter to holders only.
        let none = PeerHints::default();
        self.fleet.begin_step(if self.held.is_empty() { &none } else { hints });
        self.services.table.close();
        let engines = plans.iter().flat_map(|plan| &plan.engines);
        self.declared = engines.clone().map(|engine| engine.address).collect();
        self.upstreams.extend(engines.map(|engine| engine.name.clone()));

        // Nothing is under way here, so a pool that is dropped is given up for good, and the caller
        // publishes that as soon as this returns. After a call of a table that is out of reach, the
        // successor at an engine that ignores fencing would wait for its time-out too.
        if self.drop_lost() {
            return;
        }
        if !self.held.is_empty() {
            self.keep_session().await;
        }
        self.drop_lost();
        self.read_fleet().await;
        self.release_undeclared(plans).await;
        for plan in plans {
            match self.held.remove(&plan.pool) {
                Some(pool) => self.work(pool, plan).await,
                None => self.look(plan).await,
            }
        }
        self.look_for_orphans(plans).await;
    }

    /// Returns the plans with an empty one for each undeclared pool that one of the engines waits
    /// for. Nobody else takes such a pool, and an order that it left behind would stay open for
    /// good; one would see the engine wait for a pool that does not exist.
    fn with_awaited(&mut self, plans: &[PoolPlan]) -> Vec<PoolPlan> {
        let awaited = std::mem::take(&mut self.awaited);
        let undeclared =
            awaited.into_iter().filter(|name| plans.iter().all(|plan| plan.pool != *name));
        plans.iter().cloned().chain(undeclared.map(PoolPlan::undeclared)).collect()
    }

    /// Gives up everything at a planned stop, so that successors need not wait.
    ///
    /// # Errors
    ///
    /// The platform's error if the table cannot be asked; the leases then lapse.
    pub async fn stop(&mut self) -> Result<()> {
        self.services.table.close();
        let pools: Vec<PoolName> = self.held.keys().cloned().collect();
        for name in pools {
            self.release(&name).await?;
        }
        self.session.end(&self.services.table).await
    }

    /// Returns the pools that this instance holds, with their terms.
    pub fn held(&self) -> impl Iterator<Item = (&PoolName, Term)> {
        self.held.iter().map(|(name, pool)| (name, pool.row.term))
    }

    /// Returns what this instance acknowledges to its successors over the peer link: for each pool,
    /// the term below which it gives no order. For the pools that it holds it is their term, by
    /// which its predecessors learn of it.
    pub fn terms(&self) -> Vec<(PoolName, Term)> {
        let mut terms = self.candidate.lowest_terms().clone();
        terms.extend(self.held().map(|(name, term)| (name.clone(), term)));
        terms.into_iter().collect()
    }

    /// Returns all that is observed of the pools that this instance holds.
    pub fn observations(&self) -> Vec<Observation> {
        self.book.all()
    }

    /// Returns what has changed of that since the last call. Where only a message has changed, it is
    /// returned once in two seconds at most.
    pub fn take_changes(&mut self) -> Vec<Observation> {
        self.book.take_changes()
    }

    async fn keep_session(&mut self) {
        let Services { table, clock, .. } = &self.services;
        if let Err(err) = self.session.keep(table, clock, &self.options.lease).await {
            log::warn!("the session cannot be renewed: {err}");
        }
    }

    /// Drops the pools that are not this instance's any more: its session has ended, the row names
    /// another, or a peer knows of a later term. The last is a hint, and following it is safe.
    /// Returns whether there were any.
    fn drop_lost(&mut self) -> bool {
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
            self.candidate.bar_below(&name, later.max(Term(term.0 + 1)));
        }
        any
    }

    /// Reads the instances where a drain or a former holder is awaited, and now and then otherwise.
    async fn read_fleet(&mut self) {
        let awaits =
            |pool: &HeldPool| !pool.row.drains.engines.is_empty() || !pool.row.uncleared.is_empty();
        let awaited = self.held.values().any(awaits);
        if !awaited && self.fleet.is_noted() {
            // Every instance would else read every other's record.
            return;
        }
        let interval =
            if awaited { self.options.awaited_read_ms } else { self.options.fleet_read_ms };
        let Services { table, instances, clock, .. } = &self.services;
        let now = clock.now();
        // Without the table the reading fails, and would be due again at every step.
        if table.is_open() || !self.fleet.is_due(now, interval) {
            return;
        }
        if let Err(err) = self.fleet.refresh(table, instances, &self.upstreams, now).await {
            log::warn!("the instances cannot be read: {err}");
        } else if !self.held.is_empty() {
            self.sweep_gone().await;
        }
    }

    /// Removes the rows of instances that are gone, once for each: their names never come again.
    /// Without this every replaced instance would make the scans of acknowledgements longer.
    async fn sweep_gone(&mut self) {
        let mut gone = self.fleet.gone_with_acks();
        let uncleared = self.held.values().flat_map(|pool| &pool.row.uncleared);
        gone.extend(uncleared.filter(|name| self.fleet.is_gone(name)).cloned());
        gone.retain(|name| !self.swept.contains(name));
        if gone.is_empty() {
            return;
        }
        let delete = |name: &InstanceName| {
            let keys = [rows::drain_ack_key(name), rows::session_key(name)];
            keys.map(|key| Write::Delete { key })
        };
        let writes = gone.iter().flat_map(delete).collect();
        match self.services.table.commit(&Transaction { conditions: Vec::new(), writes }).await {
            Ok(_) => self.swept.extend(gone),
            Err(err) => log::warn!("the rows of gone instances cannot be removed: {err}"),
        }
    }

    /// Gives up the pools that are not declared any more, once no order is open there: nobody would
    /// close it, and a load would keep its slot for ever.
    async fn release_undeclared(&mut self, plans: &[PoolPlan]) {
        let declared = |name: &PoolName| plans.iter().any(|plan| plan.pool == *name);
        let gone: Vec<PoolName> =
            self.held.keys().filter(|name| !declared(name)).cloned().collect();
        for name in gone {
            let Some(pool) = self.held.remove(&name) else { continue };
            self.work(pool, &PoolPlan::undeclared(name.clone())).await;
            let is_idle = self.held.get(&name).is_some_and(|pool| pool.row.open.is_empty());
            if !is_idle {
                continue;
            }
            if let Err(err) = self.release(&name).await {
                log::warn!("pool {name} cannot be released: {err}");
            }
        }
    }

    /// Takes the pools that are not declared any more and keep slots of the weight store, if their
    /// holders have ended. The next step closes their orders and gives them up.
    async fn look_for_orphans(&mut self, plans: &[PoolPlan]) {
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

    /// Drops a pool and what was observed of it; its next holder observes it anew.
    fn forget(&mut self, name: &PoolName) -> Option<HeldPool> {
        let pool = self.held.remove(name)?;
        let names = pool.engines.keys().map(UpstreamName::as_str);
        self.book.forget(name, names);
        Some(pool)
    }

    async fn release(&mut self, name: &PoolName) -> Result<()> {
        let Some(mut pool) = self.forget(name) else { return Ok(()) };
        // From here on no order is given by this term, whether or not the write stands.
        self.candidate.bar_below(name, Term(pool.row.term.0 + 1));
        let now = self.services.clock.now();
        if pool.is_stale() {
            pool.refresh(&self.services.table, now).await?;
        }
        let row = pool.row.release();
        pool.write(&self.services.table, row, &mut self.slots, SlotChange::default(), now).await?;
        Ok(())
    }

    async fn look(&mut self, plan: &PoolPlan) {
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

    /// Carries out a pool's plan, and keeps the pool unless it turns out to be lost.
    async fn work(&mut self, mut pool: HeldPool, plan: &PoolPlan) {
        if let Err(err) = self.work_row(&mut pool).await {
            let message = format!("the table does not answer: {err}");
            let found = Finding::new(false, reasons::TABLE_UNAVAILABLE, message);
            self.book.pool(&pool.name, kinds::AUTHORITY, found);
        } else if !pool.is_lost() && !pool.is_stale() {
            let mut desk = Desk {
                services: &self.services,
                options: &self.options,
                session: &mut self.session,
                fleet: &self.fleet,
                slots: &mut self.slots,
                book: &mut self.book,
                declared: &self.declared,
                awaited: &mut self.awaited,
            };
            desk.work(&mut pool, plan).await;
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

    /// Gives a pool up of whose engines this instance reaches none. Cut off from the engines and not
    /// from the table, it would renew for ever, and nobody could change the engines.
    async fn release_unreached(&mut self, plan: &PoolPlan) {
        log::warn!("pool {}: given up, because no engine of it can be reached", plan.pool);
        if let Err(err) = self.release(&plan.pool).await {
            log::warn!("pool {} cannot be released: {err}", plan.pool);
        }
        let until = self.services.clock.now() + self.options.candidates.last_interval_ms;
        self.candidate.leave_until(&plan.pool, until);
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
        self.book.pool(&pool.name, kinds::AUTHORITY, Finding::new(true, reasons::HELD, message));
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
        pool.follow_plans(table, plan, &mut self.slots, &mut self.book, now).await
    }
}
