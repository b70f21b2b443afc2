//! The keeper: takes pools, and carries out what is wanted of their engines.

mod instances;
mod pools;
mod releases;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use anvilhook_core::names::{InstanceName, PoolName, UpstreamName};
use anvilhook_core::orders::Term;
use anvilhook_core::units::{Clock, WallTime};
use anvilhook_engine::EngineControl;
use anvilhook_platform::{InstanceList, Result, Table};

use crate::circuit_breakers::CircuitBreaker;
use crate::fleets::{Fleet, PeerHints};
use crate::observations::{Observation, Observations};
use crate::options::ControllerOptions;
use crate::orphans::OrphanWatch;
use crate::plans::PoolPlan;
use crate::pools::HeldPool;
use crate::sessions::SessionHolder;
use crate::slots::SlotView;
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

/// `Controller` holds authority over pools and carries out what is wanted of their engines.
///
/// It does one thing after another: when a step has returned, none of its calls is under way. All
/// that a step needs it reads or remembers, so a step may be given up at any point where it waits
/// only together with the whole keeper.
#[derive(Debug)]
pub struct Controller<T, E, L, C> {
    me: InstanceName,
    services: Services<CircuitBreaker<T>, E, L, C>,
    options: ControllerOptions,
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
    observations: Observations,
    /// The pools that engines of this instance's pools wait for.
    awaited: BTreeSet<PoolName>,
    /// The addresses of all declared engines.
    declared: BTreeSet<SocketAddr>,
}

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> Controller<T, E, L, C> {
    /// Makes the keeper of an instance. The name must be that of no earlier process.
    pub fn new(
        me: InstanceName,
        services: Services<T, E, L, C>,
        options: ControllerOptions,
    ) -> Self {
        let Services { table, engines, instances, clock } = services;
        Self {
            services: Services { table: CircuitBreaker::new(table), engines, instances, clock },
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
            observations: Observations::default(),
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
        self.begin_step(plans, hints, wall);
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

    /// Takes in what a step goes by, before its first call.
    fn begin_step(&mut self, plans: &[PoolPlan], hints: &PeerHints, wall: WallTime) {
        self.observations.begin_step(wall, self.services.clock.now());
        // Hints matter to holders only.
        let none = PeerHints::default();
        self.fleet.begin_step(if self.held.is_empty() { &none } else { hints });
        self.services.table.close();
        let engines = plans.iter().flat_map(|plan| &plan.engines);
        self.declared = engines.clone().map(|engine| engine.address).collect();
        self.upstreams.extend(engines.map(|engine| engine.name.clone()));
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
        self.observations.all()
    }

    /// Returns what has changed of that since the last call. Where only a message has changed, it is
    /// returned once in two seconds at most.
    pub fn take_changes(&mut self) -> Vec<Observation> {
        self.observations.take_changes()
    }

    async fn keep_session(&mut self) {
        let Services { table, clock, .. } = &self.services;
        self.session.renew(table, clock, &self.options.lease).await;
    }
}
