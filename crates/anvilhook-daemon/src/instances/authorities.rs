//! Authority over engines: every instance follows drains and controls the pools that it holds.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use anvilhook_authority::{Controller, Follower, Observation};
use anvilhook_core::names::{InstanceName, PoolName, ResourceName, UpstreamName};
use anvilhook_core::resources::{
    Condition, ConditionState, Configuration, Kind, ResourceKey, ServiceBackend,
};
use anvilhook_core::roles::ObservedWork;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::{EngineControl, Upstreams};
use anvilhook_http::{Phase, Shutdown};
use anvilhook_peer::PeerHandle;
use anvilhook_peer::gossip::{AckSection, DrainAck, TermAck};
use anvilhook_platform::{InstanceList, Table};
use anvilhook_store::{ConfigurationFollower, StatusRecord, StatusStore};
use tokio::sync::watch;

use super::hints::peer_hints;
use super::marks::{MarkSource, Marks, mark_pause};
use super::plans::{engines_of, plain_upstreams, planned_pools, pool_plans};
use super::roles::{PoolDeclaration, RolePlanners, SeenEngine};
use super::tasks::sleep_for;
use crate::front::Front;
use crate::operators::system_wall_time;
use crate::proxy::Claims;

/// The pause between two steps of the controller. It must be well below the guard interval of
/// leases.
const STEP_PAUSE: Millis = Millis(250);

/// The kind and the reason of the condition that describes a pool's planned roles.
const ROLES_CONDITION: &str = "Roles";
const ROLES_PLANNED: &str = "Planned";

/// The pause between two reads of the drain marks until requests may be routed.
const START_PAUSE: Millis = Millis(50);

/// `Acknowledged` holds the acknowledgements that this instance publishes over the peer link.
/// Clones share them.
#[derive(Clone, Debug)]
pub(super) struct Acknowledged {
    link: PeerHandle,
    section: Arc<Mutex<AckSection>>,
}

impl Acknowledged {
    /// Creates an empty set of acknowledgements.
    pub fn new(link: PeerHandle) -> Self {
        Self { link, section: Arc::default() }
    }

    fn publish(&self, change: impl FnOnce(&mut AckSection)) {
        // The lock is held while publishing, so that an older section can't replace a newer one.
        let mut section = self.section.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut section);
        self.link.publish_acks(section.clone());
    }
}

/// `DrainTask` applies the marks of drains and acknowledges them.
#[derive(Debug)]
pub(super) struct DrainTask<C, U, K, T> {
    pub clock: C,
    pub front: Front<C, U, K>,
    pub follower: Follower<T>,
    pub marks: Marks,
    pub acknowledged: Acknowledged,
    pub instances: watch::Sender<usize>,
    pub announced: watch::Sender<bool>,
    pub routable: watch::Sender<bool>,
}

impl<C: Clock, U: Upstreams, K: Claims, T: Table> DrainTask<C, U, K, T> {
    /// Follows drains until it is dropped. Requests may be routed after the first read that follows
    /// the announcement: it covers all drains that were marked earlier, and the holder of a later
    /// drain waits for this instance as well.
    pub async fn follow(mut self) {
        loop {
            let was_announced = *self.announced.borrow();
            match self.follower.poll().await {
                Ok(_changed) => {
                    self.apply_marks();
                    // The shares of account limits depend on the number of instances.
                    if was_announced && *self.instances.borrow() > 0 {
                        self.routable.send_replace(true);
                    }
                }
                Err(err) => log::warn!("failed to read the drain marks: {err}"),
            }
            self.acknowledge().await;
            sleep_for(self.pause()).await;
        }
    }

    fn pause(&self) -> Millis {
        if !*self.routable.borrow() {
            return START_PAUSE;
        }
        mark_pause(*self.instances.borrow())
    }

    /// Applies the marks to routing. A drain may be acknowledged only after this.
    fn apply_marks(&self) {
        let draining = self.follower.draining().cloned().collect();
        self.marks.replace(MarkSource::Drained, draining);
        self.marks.apply_to(self.front.state().upstreams());
    }

    async fn acknowledge(&mut self) {
        let front = self.front.clone();
        let open_requests = |engine: &UpstreamName| front.in_flight_at(engine);
        let current = self.follower.current(open_requests);
        let pools = current.pools.iter();
        let drains = pools.flat_map(|(pool, acks)| {
            acks.iter().map(|(engine, since)| DrainAck {
                pool: pool.clone(),
                engine: engine.clone(),
                generation: *since,
            })
        });
        let drains: Vec<DrainAck> = drains.collect();
        self.acknowledged.publish(|section| section.drains = drains);
        if let Err(err) = self.follower.acknowledge(self.clock.now(), open_requests).await {
            log::warn!("failed to acknowledge a drain in the table: {err}");
        }
    }
}

/// `ControllerTask` runs the controller of the pools that this instance holds.
#[derive(Debug)]
pub(super) struct ControllerTask<T, E, L, C, U, K> {
    pub name: InstanceName,
    pub clock: C,
    pub front: Front<C, U, K>,
    pub instances: watch::Sender<usize>,
    pub planners: RolePlanners,
    pub controller: Controller<T, E, L, C>,
    pub follower: ConfigurationFollower<T>,
    pub statuses: StatusStore<T>,
    pub link: PeerHandle,
    /// All other announced instances.
    pub peers: watch::Receiver<Vec<InstanceName>>,
    pub acknowledged: Acknowledged,
    pub shutdown: Shutdown,
}

impl<T, E, L, C, U, K> ControllerTask<T, E, L, C, U, K>
where
    T: Table,
    E: EngineControl,
    L: InstanceList,
    C: Clock,
    U: Upstreams,
    K: Claims,
{
    /// Steps the controller until the instance stops, and then releases its pools. A step is never
    /// aborted halfway, because its order could already be on the way.
    pub async fn run(mut self) {
        while self.shutdown.phase() == Phase::Serving {
            let configuration = self.follower.current();
            self.plan_roles(&configuration).await;
            let plans = pool_plans(&configuration, &self.planners);
            self.controller.note_upstreams(plain_upstreams(&configuration));
            self.controller.note_instances(self.peers.borrow_and_update().iter().cloned());
            self.controller.step(&plans, &peer_hints(&self.link), system_wall_time()).await;
            self.publish_terms();
            for observation in self.controller.take_changes() {
                self.report(observation).await;
            }
            tokio::select! {
                () = sleep_for(STEP_PAUSE) => {}
                () = self.shutdown.reached(Phase::Draining) => {}
            }
        }
        if let Err(err) = self.controller.stop().await {
            log::warn!("failed to release authority, which will expire with its lease: {err}");
        }
        self.publish_terms();
    }

    /// Plans the roles of the held pools whose roles are automatic and whose next plan is due.
    async fn plan_roles(&mut self, cfg: &Configuration) {
        let held: BTreeSet<PoolName> =
            self.controller.held().map(|(pool, _)| pool.clone()).collect();
        let planned = planned_pools(cfg).into_iter().filter(|(pool, _)| held.contains(pool));
        let planned: Vec<(PoolName, PoolDeclaration)> = planned.collect();
        self.planners.retain_pools(&planned.iter().map(|(pool, _)| pool.clone()).collect());
        let now = self.clock.now();
        for (pool, declared) in planned {
            if !self.planners.is_due(&pool, now) {
                continue;
            }
            let engines = self.seen_engines(cfg, &pool, now);
            let seen = self.seen_work(&pool, now);
            if let Some(message) = self.planners.plan(&pool, &declared, &engines, &seen, now) {
                self.report_roles(&pool, message).await;
            }
        }
    }

    fn seen_engines(&self, cfg: &Configuration, pool: &PoolName, now: Millis) -> Vec<SeenEngine> {
        let state = self.front.state();
        let names = engines_of(cfg, pool).into_iter();
        let engines = names.filter_map(|name| {
            let upstream = state.upstreams().get(&name)?;
            Some(SeenEngine {
                name,
                role: upstream.has_report().then(|| upstream.role()),
                takes_work: upstream.takes_work() && upstream.ejection().share(now) > 0.0,
                speeds: upstream.load(now).speeds,
            })
        });
        engines.collect()
    }

    /// Returns the estimated work of a pool since its last plan. The balancer spreads callers
    /// evenly over the instances, so this instance's own work is multiplied by their number.
    fn seen_work(&self, pool: &PoolName, now: Millis) -> ObservedWork {
        let span = self.planners.span(pool, now).unwrap_or_default();
        let state = self.front.state();
        let of_pool = state.services().values().filter(|service| match &service.spec.backend {
            ServiceBackend::Model { pool: other, .. } => other == pool,
            ServiceBackend::Plain { .. } => false,
        });
        let own = of_pool.fold(ObservedWork::default(), |sum, it| sum.plus(it.meter.take(span)));
        own.times((*self.instances.borrow()).max(1) as f64)
    }

    async fn report_roles(&self, pool: &PoolName, message: String) {
        let Ok(name) = ResourceName::try_new(pool.as_str()) else { return };
        let condition = Condition {
            kind: ROLES_CONDITION.to_owned(),
            state: ConditionState::True,
            reason: ROLES_PLANNED.to_owned(),
            message,
            since: system_wall_time(),
        };
        let key = ResourceKey { kind: Kind::EnginePool, name };
        self.report(Observation { key, condition }).await;
    }

    fn publish_terms(&self) {
        let terms = self.controller.terms().into_iter();
        let terms: Vec<TermAck> =
            terms.map(|(pool, term)| TermAck { pool, term, holder: self.name.clone() }).collect();
        self.acknowledged.publish(|section| section.terms = terms);
    }

    async fn report(&self, observation: Observation) {
        let Observation { key, condition } = observation;
        let record = StatusRecord { key, observer: self.name.clone(), condition };
        if let Err(err) = self.statuses.report(&record).await {
            log::warn!("failed to write the status of {}: {err}", record.key);
        }
    }
}
