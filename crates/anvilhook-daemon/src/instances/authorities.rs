//! Authority over engines: every instance follows the drains, and keeps the pools that it holds.

use std::sync::{Arc, Mutex, PoisonError};

use anvilhook_authority::{DrainHint, Follower, Keeper, Observation, PeerHints, TermHint};
use anvilhook_core::names::{InstanceName, UpstreamName};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::{EngineControl, Upstreams};
use anvilhook_http::{Phase, Shutdown};
use anvilhook_peer::PeerHandle;
use anvilhook_peer::gossip::{AckSection, DrainAck, TermAck};
use anvilhook_platform::{InstanceList, Table};
use anvilhook_store::instances::poll_interval;
use anvilhook_store::{ConfigurationFollower, StatusRecord, StatusStore};
use tokio::sync::watch;

use super::marks::{MarkSource, Marks};
use super::plans::{plain_upstreams, pool_plans};
use super::tasks::rest;
use crate::front::Front;
use crate::operators::system_wall_time;
use crate::proxy::Claims;

/// The pause between two steps of the keeper. It must be well below the guard interval of leases.
const STEP_PAUSE: Millis = Millis(250);

/// How often the whole fleet reads the marks of drains in a second, and the bounds of one
/// instance's pause.
const FLEET_READS_PER_S: u64 = 200;
const MARK_PAUSES: std::ops::RangeInclusive<Millis> = Millis(500)..=Millis(5_000);

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
        poll_interval(*self.instances.borrow(), FLEET_READS_PER_S, MARK_PAUSES)
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

/// `KeeperTask` keeps the pools that this instance holds.
#[derive(Debug)]
pub(super) struct KeeperTask<T, E, L, C> {
    pub name: InstanceName,
    pub keeper: Keeper<T, E, L, C>,
    pub follower: ConfigurationFollower<T>,
    pub statuses: StatusStore<T>,
    pub link: PeerHandle,
    /// All other announced instances.
    pub peers: watch::Receiver<Vec<InstanceName>>,
    pub acknowledged: Acknowledged,
    pub shutdown: Shutdown,
}

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> KeeperTask<T, E, L, C> {
    /// Steps the keeper until the instance stops, and then gives its pools up. A step is never cut:
    /// its order could be on the way.
    pub async fn keep(mut self) {
        while self.shutdown.phase() == Phase::Serving {
            let configuration = self.follower.current();
            let plans = pool_plans(&configuration);
            self.keeper.note_upstreams(plain_upstreams(&configuration));
            self.keeper.note_instances(self.peers.borrow_and_update().iter().cloned());
            self.keeper.step(&plans, &self.hints(), system_wall_time()).await;
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

    fn hints(&self) -> PeerHints {
        let news = self.link.news();
        let mut hints = PeerHints::default();
        for (instance, heard) in news.acks.iter() {
            hints.drains.extend(heard.body.drains.iter().map(|ack| DrainHint {
                instance: instance.clone(),
                pool: ack.pool.clone(),
                engine: ack.engine.clone(),
                since: ack.generation,
            }));
            hints.terms.extend(heard.body.terms.iter().map(|ack| TermHint {
                instance: instance.clone(),
                pool: ack.pool.clone(),
                term: ack.term,
            }));
        }
        hints
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
