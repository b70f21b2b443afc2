//! Polls the configuration and the platform's instance list.

use std::collections::BTreeSet;

use anvilhook_core::names::UpstreamName;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::Upstreams;
use anvilhook_platform::{InstanceList, ListedState, Table};
use anvilhook_store::ConfigurationFollower;
use anvilhook_store::instances::poll_interval;
use tokio::sync::watch;

use super::marks::{MarkSource, Marks};
use super::tasks::sleep_for;
use crate::front::Front;
use crate::observability::Readiness;
use crate::proxy::Claims;

/// How many times per second the whole fleet reads the configuration's revision. With more
/// instances, each one reads less often.
const FLEET_READS_PER_S: u64 = 200;

/// The longest pause between two reads of the revision, unless the settings have a longer one. A
/// change must be applied everywhere within 4 s, even without peers.
const MAX_PAUSE: Millis = Millis(2_500);

/// How many times per second the whole fleet reads the platform's list, and the longest pause
/// between two reads: every instance must know within a few seconds that an upstream leaves.
const FLEET_LIST_READS_PER_S: u64 = 100;
const MAX_LIST_PAUSE: Millis = Millis(4_000);

/// `Pollers` holds the state that the pollers share.
#[derive(Debug)]
pub(super) struct Pollers<C, U, K, T> {
    pub clock: C,
    pub front: Front<C, U, K>,
    pub follower: ConfigurationFollower<T>,
    pub marks: Marks,
    pub readiness: Readiness,
    /// The number of announced instances, or 0 until it is known.
    pub instances: watch::Sender<usize>,
    /// Whether requests may be routed.
    pub routable: watch::Sender<bool>,
}

impl<C: Clone, U, K, T> Clone for Pollers<C, U, K, T> {
    fn clone(&self) -> Self {
        Self {
            clock: self.clock.clone(),
            front: self.front.clone(),
            follower: self.follower.clone(),
            marks: self.marks.clone(),
            readiness: self.readiness.clone(),
            instances: self.instances.clone(),
            routable: self.routable.clone(),
        }
    }
}

impl<C: Clock, U: Upstreams, K: Claims, T: Table> Pollers<C, U, K, T> {
    /// Polls the newest configuration in the table until it is dropped.
    pub async fn follow_table(self, pause: Millis) {
        loop {
            if let Err(err) = self.follower.poll_once().await {
                // The applied configuration stays active; the next read may succeed.
                log::warn!("failed to read the configuration: {err}");
            }
            let announced = *self.instances.borrow();
            sleep_for(poll_interval(announced, FLEET_READS_PER_S, pause..=pause.max(MAX_PAUSE)))
                .await;
        }
    }

    /// Applies each newer configuration to the front, once this instance may route requests.
    pub async fn apply_configurations(self) {
        let mut routable = self.routable.subscribe();
        if routable.wait_for(|routable| *routable).await.is_err() {
            return;
        }
        let mut revisions = self.follower.subscribe();
        let mut instances = self.instances.subscribe();
        revisions.mark_changed();
        loop {
            let changed = tokio::select! {
                changed = revisions.changed() => changed,
                changed = instances.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
            let (revision, count) =
                (*revisions.borrow_and_update(), (*instances.borrow_and_update()).max(1));
            if revision.0 == 0 {
                continue;
            }
            let cfg = self.follower.current();
            self.front.apply_with(&cfg, count, |upstreams| self.marks.apply_to(upstreams));
            // A mark that was set meanwhile has been applied to the earlier state only.
            self.marks.apply_to(self.front.state().upstreams());
            self.readiness.set_configured();
        }
    }

    /// Polls the platform's list until it is dropped, and marks the upstreams that are not live.
    pub async fn watch_list<L: InstanceList>(self, list: L, pause: Millis) {
        loop {
            match list.list().await {
                Ok(lines) => {
                    let leaving = lines.into_iter().filter(|line| line.state != ListedState::Live);
                    let names: BTreeSet<UpstreamName> = leaving.map(|line| line.name).collect();
                    self.marks.replace(MarkSource::Listed, names);
                    self.marks.apply_to(self.front.state().upstreams());
                }
                Err(err) => log::warn!("failed to read the platform's list: {err}"),
            }
            let announced = *self.instances.borrow();
            let bounds = pause..=pause.max(MAX_LIST_PAUSE);
            sleep_for(poll_interval(announced, FLEET_LIST_READS_PER_S, bounds)).await;
        }
    }
}
