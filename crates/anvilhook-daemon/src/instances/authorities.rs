//! Authority over engines: every instance follows the drains, and keeps the pools that it holds.

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
use super::tasks::rest;
use crate::front::Front;
use crate::operators::system_wall_time;
use crate::proxy::Claims;

/// The pause between two steps of the keeper. It must be well below the guard interval of leases.
const STEP_PAUSE: Millis = Millis(250);

/// The condition of a pool that says which roles are planned and why, and its reason.
const ROLES_CONDITION: &str = "Roles";
const ROLES_PLANNED: &str = "Planned";

/// The pause before the first reading that opens the way for requests.
const START_PAUSE: Millis = Millis(50);

/// `Acknowledged` gathers what this instance acknowledges over the peer link. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct Acknowledged {
    link: PeerHandle,
    section: Arc<Mutex<AckSection>>,
}

impl Acknowledged {
    /// Makes an empty one.
    pub fn new(link: PeerHandle) -> Self {
        Self { link, section: Arc::default() }
    }

    fn publish(&self, change: impl FnOnce(&mut AckSection)) {
        // The lock is held while publishing, so that an older section cannot replace a newer one.
        let mut section = self.section.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut section);
        self.link.publish_acks(section.clone());
    }
}

/// `DrainTask` goes by the marks of drains and acknowledges them.
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
    /// Follows the drains again and again. The first reading after the announcement opens the way
    /// for requests: a drain that was marked before it is known then, and whoever marks one later
    /// asks this instance too.
    pub async fn follow(mut self) {
        loop {
            let was_announced = *self.announced.borrow();
            match self.follower.poll().await {
                Ok(_changed) => {
                    self.mark();
                    // Without the number of instances a share of an account's limit is not known.
                    if was_announced && *self.instances.borrow() > 0 {
                        self.routable.send_replace(true);
                    }
                }
                Err(err) => log::warn!("the marks of drains cannot be read: {err}"),
            }
            self.acknowledge().await;
            rest(self.pause()).await;
        }
    }

    fn pause(&self) -> Millis {
        if !*self.routable.borrow() {
            return START_PAUSE;
        }
        mark_pause(*self.instances.borrow())
    }

    /// Has requests go by the marks. Only after this may a drain be acknowledged.
    fn mark(&self) {
        let draining = self.follower.draining().cloned().collect();
        self.marks.replace(MarkSource::Drained, draining);
        self.marks.carry_over(self.front.state().upstreams());
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
            log::warn!("a drain cannot be acknowledged in the table: {err}");
        }
    }
}

/// `ControllerTask` keeps the pools that this instance holds.
#[derive(Debug)]
pub(super) struct ControllerTask<T, E, L, C, U, K> {
    pub name: InstanceName,
    pub clock: C,
    pub front: Front<C, U, K>,
    pub instances: watch::Sender<usize>,
    pub planners: RolePlanners,
    pub keeper: Controller<T, E, L, C>,
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
    /// Steps the keeper until the instance stops, and then gives its pools up. A step is never cut:
    /// its order could be on the way.
    pub async fn keep(mut self) {
        while self.shutdown.phase() == Phase::Serving {
            let configuration = self.follower.current();
            self.plan_roles(&configuration).await;
            let plans = pool_plans(&configuration, &self.planners);
            self.keeper.note_upstreams(plain_upstreams(&configuration));
            self.keeper.note_instances(self.peers.borrow_and_update().iter().cloned());
            self.keeper.step(&plans, &peer_hints(&self.link), system_wall_time()).await;
            self.publish_terms();
            for observation in self.keeper.take_changes() {
                self.report(observation).await;
            }
            tokio::select! {
                () = rest(STEP_PAUSE) => {}
                () = self.shutdown.reached(Phase::Draining) => {}
            }
        }
        if let Err(err) = self.keeper.stop().await {
            log::warn!("authority cannot be given up and lapses: {err}");
        }
        self.publish_terms();
    }

    /// Plans the roles of the pools that are held, where that is declared and due.
    async fn plan_roles(&mut self, cfg: &Configuration) {
        let held: BTreeSet<PoolName> = self.keeper.held().map(|(pool, _)| pool.clone()).collect();
        let planned = planned_pools(cfg).into_iter().filter(|(pool, _)| held.contains(pool));
        let planned: Vec<(PoolName, PoolDeclaration)> = planned.collect();
        self.planners.keep_only(&planned.iter().map(|(pool, _)| pool.clone()).collect());
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

    /// Returns the work of a pool since its last plan. The balancer spreads callers evenly over the
    /// instances, so this one's own share stands for all.
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
        let terms = self.keeper.terms().into_iter();
        let terms: Vec<TermAck> =
            terms.map(|(pool, term)| TermAck { pool, term, holder: self.name.clone() }).collect();
        self.acknowledged.publish(|section| section.terms = terms);
    }

    async fn report(&self, observation: Observation) {
        let Observation { key, condition } = observation;
        let record = StatusRecord { key, observer: self.name.clone(), condition };
        if let Err(err) = self.statuses.report(&record).await {
            log::warn!("the status of {} cannot be written: {err}", record.key);
        }
    }
}
