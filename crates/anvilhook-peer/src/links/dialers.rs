//! Maintains connections to the chosen partners.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Clock, Millis};
use rand::{Rng, RngExt};
use tokio::task::{JoinError, JoinSet};

use super::connections;
use super::hubs::{Direction, Hub};
use crate::errors::Error;
use crate::gossip::choose_partners;
use crate::options::PeerAddress;

/// `Failure` records the failed attempts to reach an instance and the time of the next retry.
#[derive(Debug)]
struct Failure {
    count: u32,
    retry_at: Millis,
}

/// `Dialer` connects to the chosen partners, and to other instances while those are unreachable.
pub(crate) struct Dialer<C, R> {
    hub: Rc<Hub<C>>,
    clock: C,
    rng: R,
    announced: Vec<PeerAddress>,
    // The instances that were unreachable at the last choice, and the partners chosen.
    chosen: Option<(BTreeSet<InstanceName>, Vec<PeerAddress>)>,
    failures: BTreeMap<InstanceName, Failure>,
    dialing: JoinSet<Attempt>,
    in_progress: BTreeSet<InstanceName>,
}

/// `Attempt` is the outcome of a dialed connection: why its link closed or was never established.
#[derive(Debug)]
pub(crate) struct Attempt {
    name: InstanceName,
    lasted_for: Millis,
    cause: Error,
}

impl<C: Clock, R: Rng> Dialer<C, R> {
    /// Creates a dialer without partners.
    pub(crate) fn new(hub: Rc<Hub<C>>, clock: C, rng: R) -> Self {
        Self {
            hub,
            clock,
            rng,
            announced: Vec::new(),
            chosen: None,
            failures: BTreeMap::new(),
            dialing: JoinSet::new(),
            in_progress: BTreeSet::new(),
        }
    }

    /// Sets the announced instances.
    pub(crate) fn set_announced(&mut self, announced: Vec<PeerAddress>) {
        self.failures.retain(|name, _| announced.iter().any(|peer| peer.name == *name));
        self.announced = announced;
        self.chosen = None;
        self.dial_missing();
    }

    /// Waits until an attempt ends, or forever if there is none.
    pub(crate) async fn next_ended(&mut self) -> Result<Attempt, JoinError> {
        match self.dialing.join_next().await {
            Some(ended) => ended,
            None => std::future::pending().await,
        }
    }

    /// Records the outcome of an attempt and schedules the next retry.
    pub(crate) fn record_ended(&mut self, ended: Result<Attempt, JoinError>) {
        let Ok(attempt) = ended else {
            return;
        };
        self.in_progress.remove(&attempt.name);
        log::debug!(peer = attempt.name.as_str(); "peer link closed: {}", attempt.cause);
        if self.hub.linked().contains_key(&attempt.name) {
            return;
        }
        let options = &self.hub.options;
        let failure = self
            .failures
            .entry(attempt.name)
            .or_insert(Failure { count: 0, retry_at: Millis::ZERO });
        // A link that lasted for a while shows that the instance is reachable.
        failure.count =
            if attempt.lasted_for > options.max_backoff { 1 } else { failure.count + 1 };
        let doubled = options.backoff.0 << (failure.count - 1).min(16);
        let longest = doubled.min(options.max_backoff.0).max(1);
        // The wait is random, so that instances that lost the same partner at the same moment do not
        // all reconnect at once.
        let wait = self.rng.random_range(longest / 2..=longest);
        failure.retry_at = self.clock.now() + Millis(wait);
    }

    /// Connects to the chosen partners without a link. If none is missing, closes the links that are
    /// no longer needed.
    pub(crate) fn dial_missing(&mut self) {
        let now = self.clock.now();
        let unreachable: BTreeSet<InstanceName> = self
            .failures
            .iter()
            .filter(|(_, failure)| failure.retry_at > now)
            .map(|(name, _)| name.clone())
            .collect();
        let wanted = self.choose(unreachable);
        let linked = self.hub.linked();
        let missing: Vec<&PeerAddress> =
            wanted.iter().filter(|peer| !linked.contains_key(&peer.name)).collect();
        if missing.is_empty() {
            self.close_unwanted(&wanted);
        }
        for peer in missing {
            if self.in_progress.insert(peer.name.clone()) {
                let hub = Rc::clone(&self.hub);
                self.dialing.spawn_local(attempt(hub, peer.clone(), self.clock.clone()));
            }
        }
    }

    fn choose(&mut self, unreachable: BTreeSet<InstanceName>) -> Vec<PeerAddress> {
        if let Some((_, chosen)) = self.chosen.as_ref().filter(|(then, _)| *then == unreachable) {
            return chosen.clone();
        }
        let options = &self.hub.options;
        let (me, zone) = (&options.name, &options.zone);
        let partners = &options.gossip.partners;
        let chosen = choose_partners(me, zone, &self.announced, &unreachable, partners);
        self.chosen = Some((unreachable, chosen.clone()));
        chosen
    }

    /// Closes the links that this instance dialed to instances other than the wanted ones. They stay
    /// open until all wanted links are established, so that a partner's replacement serves until the
    /// partner is reachable again.
    fn close_unwanted(&self, wanted: &[PeerAddress]) {
        for (name, (link, direction)) in self.hub.linked() {
            let is_wanted = wanted.iter().any(|peer| peer.name == name);
            if direction == Direction::Dialed && !is_wanted {
                self.hub.close(link);
            }
        }
    }
}

/// Dials one link and waits until it closes.
async fn attempt<C: Clock>(hub: Rc<Hub<C>>, peer: PeerAddress, clock: C) -> Attempt {
    let PeerAddress { name, address, .. } = peer;
    let started_at = clock.now();
    let cause = match connections::dial(hub, address, name.clone()).await {
        Ok(running) => running.await.unwrap_or_else(Error::broken),
        Err(err) => err,
    };
    Attempt { name, lasted_for: clock.now() - started_at, cause }
}
