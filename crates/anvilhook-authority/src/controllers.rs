//! The controller, which takes pools and brings their engines to the desired state.

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

/// `Services` contains the external services that a controller uses.
#[derive(Clone, Debug)]
pub struct Services<T, E, L, C> {
    /// The platform's table.
    pub table: T,
    /// Control of the engines. Every call must end, with or without an answer, within the guard
    /// interval of the lease. A time-out of `LeaseOptions::call_timeout` ensures this.
    pub engines: E,
    /// The instance list.
    pub instances: L,
    /// The machine's monotonic clock.
    pub clock: C,
}

/// `Controller` holds authority over pools and brings their engines to the desired state.
///
/// It makes its calls sequentially: when a step has returned, none of its calls is in progress. A step
/// reads what it needs or takes it from the controller's state, which it changes while it runs, so its
/// future may be cancelled only if the whole controller is dropped with it.
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
    /// All names that have been declared as upstreams. They are retained after their removal,
    /// because the platform lists an engine for a while after it was taken from the configuration.
    upstreams: BTreeSet<UpstreamName>,
    /// The terminated instances whose rows this controller has removed.
    swept: BTreeSet<InstanceName>,
    observations: Observations,
    /// The former pools for which engines of this instance's pools wait.
    awaited: BTreeSet<PoolName>,
    /// The addresses of all declared engines.
    declared: BTreeSet<SocketAddr>,
}

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> Controller<T, E, L, C> {
    /// Creates the controller of an instance. No earlier process may have used the name.
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

    /// Adds names in the instance list that belong to upstreams, such as those of plain services. The
    /// engines of the plans need not be added.
    pub fn note_upstreams(&mut self, names: impl IntoIterator<Item = UpstreamName>) {
        self.upstreams.extend(names);
    }

    /// Replaces the hinted set of other instances, which is known without reading every record. It
    /// determines the rank of this instance among the candidates for a pool; a drain reads the
    /// records.
    pub fn note_instances(&mut self, names: impl IntoIterator<Item = InstanceName>) {
        self.fleet.set_hinted(names);
    }

    /// Runs one step: does all work that is possible now. It should be called several times per
    /// second, and more often than the guard interval. `wall` dates the observations.
    ///
    /// Failures of the platform and of engines are recorded as observations, not returned: the next
    /// step tries again. The result of `terms` should be published after each step. A step that finds
    /// a pool lost before its first call ends there, so that the successor does not wait for the rest.
    pub async fn step(&mut self, plans: &[PoolPlan], hints: &PeerHints, wall: WallTime) {
        let plans = &self.with_awaited(plans);
        self.begin_step(plans, hints, wall);
        // No call is in progress here, so dropping a pool ends its authority for good, and the caller
        // publishes that as soon as this returns. If the step first called an unreachable table, the
        // successor at an engine that ignores fencing would have to wait for that time-out too.
        if self.drop_lost() {
            return;
        }
        if !self.held.is_empty() {
            self.renew_session().await;
        }
        self.drop_lost();
        self.read_fleet().await;
        self.release_undeclared(plans).await;
        for plan in plans {
            match self.held.remove(&plan.pool) {
                Some(pool) => self.reconcile(pool, plan).await,
                None => self.check(plan).await,
            }
        }
        self.check_orphans(plans).await;
    }

    /// Applies the inputs of a step before its first call.
    fn begin_step(&mut self, plans: &[PoolPlan], hints: &PeerHints, wall: WallTime) {
        self.observations.begin_step(wall, self.services.clock.now());
        // Only holders use hints.
        let none = PeerHints::default();
        self.fleet.begin_step(if self.held.is_empty() { &none } else { hints });
        self.services.table.close();
        let engines = plans.iter().flat_map(|plan| &plan.engines);
        self.declared = engines.clone().map(|engine| engine.address).collect();
        self.upstreams.extend(engines.map(|engine| engine.name.clone()));
    }

    /// Returns the plans, with an empty plan added for each undeclared pool for which one of the
    /// engines waits. No other instance takes such a pool, so an order that it left behind would stay
    /// open for good, and the engine would wait for a pool that does not exist.
    fn with_awaited(&mut self, plans: &[PoolPlan]) -> Vec<PoolPlan> {
        let awaited = std::mem::take(&mut self.awaited);
        let undeclared =
            awaited.into_iter().filter(|name| plans.iter().all(|plan| plan.pool != *name));
        plans.iter().cloned().chain(undeclared.map(PoolPlan::undeclared)).collect()
    }

    /// Releases all pools and ends the session at a planned stop, so that successors need not wait.
    ///
    /// # Errors
    ///
    /// The platform's error if a call to the table fails; the leases then lapse.
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

    /// Returns the terms that this instance acknowledges to its successors over the peer link: for
    /// each pool, the term below which it gives no order. For a pool that it holds this is the pool's
    /// current term, from which its predecessors learn that they have been replaced.
    pub fn terms(&self) -> Vec<(PoolName, Term)> {
        let mut terms = self.candidate.lowest_terms().clone();
        terms.extend(self.held().map(|(name, term)| (name.clone(), term)));
        terms.into_iter().collect()
    }

    /// Returns all current observations of the pools that this instance holds.
    pub fn observations(&self) -> Vec<Observation> {
        self.observations.all()
    }

    /// Returns the observations that have changed since the last call. An observation of which only
    /// the message has changed is returned at most once every two seconds.
    pub fn take_changes(&mut self) -> Vec<Observation> {
        self.observations.take_changes()
    }

    async fn renew_session(&mut self) {
        let Services { table, clock, .. } = &self.services;
        self.session.renew(table, clock, &self.options.lease).await;
    }
}
