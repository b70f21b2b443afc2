//! The link to the other instances, and the record by which they find this one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::units::{Clock, Millis, Revision, WallTime};
use anvilhook_peer::{PeerAddress, PeerHandle};
use anvilhook_platform::{InstanceList, ListedInstance, ListedState, Table};
use anvilhook_store::{
    ConfigurationFollower, InstanceDirectory, InstanceRecord, Member, MembershipFollower,
    MembershipOptions, ReportSchedule,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use super::tasks::rest;
use crate::operators::system_wall_time;

/// The least time between two writes of the revision in force.
const REPORT_INTERVAL: Millis = Millis::from_secs(5);

/// The pause before a failed announcement is tried again.
const ANNOUNCE_AGAIN: Millis = Millis(200);

/// How many pauses of the instance list lie between two scans of the instances' records by the one
/// that scans. Records change far less often, and each scan reads all of them.
const DIRECTORY_PAUSES: u64 = 5;

/// `Presence` is this instance as the others see it.
#[derive(Clone, Debug)]
pub(super) struct Presence<C, T> {
    pub clock: C,
    pub name: InstanceName,
    pub zone: ZoneName,
    pub peer_address: SocketAddr,
    pub follower: ConfigurationFollower<T>,
    pub directory: InstanceDirectory<T>,
    pub link: PeerHandle,
    /// The number of announced instances, this one among them.
    pub instances: watch::Sender<usize>,
    /// All other announced instances.
    pub peers: watch::Sender<Vec<InstanceName>>,
    /// Whether the record stands.
    pub announced: watch::Sender<bool>,
    /// Whether requests may be routed.
    pub routable: watch::Sender<bool>,
}

impl<C: Clock, T: Table> Presence<C, T> {
    /// Writes this instance's record before it routes, and again when its revision has changed.
    ///
    /// A drain asks every announced instance. One that routed before it was announced would not be
    /// asked, and its requests would be cut by the change. With the table down nobody can renew
    /// authority, so after `patience` none is left and routing may begin all the same; and whoever
    /// takes authority later asks every instance that the platform lists too.
    pub async fn keep_announced(self, patience: Millis) {
        let started_at = self.clock.now();
        let mut schedule = ReportSchedule::new(&self.name, REPORT_INTERVAL);
        loop {
            let (now, revision) = (self.clock.now(), self.follower.revision());
            let instances = *self.instances.borrow();
            if schedule.is_due(now, revision, instances) {
                let since = system_wall_time().0.saturating_sub(schedule.applied_for(now).0);
                if self.announce(revision, WallTime(since)).await {
                    schedule.reported(now, revision, instances);
                    self.announced.send_replace(true);
                } else {
                    schedule.failed(now, instances);
                }
            }
            if !*self.routable.borrow() && now - started_at > patience {
                log::warn!("routing begins without an announcement; the table has been down");
                self.routable.send_replace(true);
            }
            rest(ANNOUNCE_AGAIN).await;
        }
    }

    /// Writes the record and returns whether it stands.
    async fn announce(&self, revision: Revision, since: WallTime) -> bool {
        let announced = self.directory.announce(&self.record(revision, since)).await;
        if let Err(err) = &announced {
            log::warn!("this instance cannot be announced: {err}");
        }
        announced.is_ok()
    }

    /// Follows who the other instances are and tells the link where they are. As long as nothing is
    /// known of them, the platform's list stands in: an instance that starts while the table is down
    /// still has to find peers that hold the configuration.
    pub async fn find_peers<L: InstanceList>(
        self,
        mut members: MembershipFollower<T, C>,
        list: L,
        mut rng: ChaCha8Rng,
    ) {
        let mut has_read = false;
        loop {
            let is_announced = *self.announced.borrow();
            match members.poll(is_announced).await {
                Ok(report) => {
                    if report.changed || !has_read {
                        has_read = true;
                        self.adopt(members.members());
                    }
                    if report.scanned {
                        // One instance at a time scans, so one at a time tidies up.
                        self.forget_gone(members.members(), &list).await;
                    }
                }
                Err(err) => {
                    log::warn!("the instances cannot be read: {err}");
                    if let (false, Ok(lines)) = (has_read, list.list().await) {
                        self.announce_to_link(lines.into_iter().filter_map(listed_peer));
                    }
                }
            }
            // Instances that were started together would otherwise scan together for good.
            let pause = members.pause().0;
            rest(Millis(rng.random_range(pause * 3 / 4..=pause * 5 / 4))).await;
        }
    }

    fn adopt(&self, members: &[Member]) {
        let peers = members.iter().filter(|member| member.name != self.name);
        let names: Vec<InstanceName> = peers.clone().map(|peer| peer.name.clone()).collect();
        // This instance counts whether or not the others know of it.
        self.instances.send_replace(names.len() + 1);
        self.peers.send_replace(names);
        self.announce_to_link(peers.cloned().map(peer_address));
    }

    fn announce_to_link(&self, known: impl Iterator<Item = PeerAddress>) {
        self.link.set_announced(known.filter(|peer| peer.name != self.name).collect());
    }

    /// Takes configurations from peers, and gives them the one in force.
    pub async fn exchange_configurations(self) {
        let mut own = self.follower.subscribe();
        // What came into force before this task began has not been handed on yet.
        own.mark_changed();
        let mut theirs = self.link.configurations();
        loop {
            tokio::select! {
                changed = own.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    own.mark_unchanged();
                    self.link.publish_configuration(self.follower.current());
                }
                changed = theirs.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let offered = theirs.borrow_and_update().clone();
                    if let Some(offered) = offered {
                        self.follower.offer(offered.as_ref().clone());
                    }
                }
            }
        }
    }

    /// Removes the records of instances that the platform says are gone for good.
    async fn forget_gone(&self, members: &[Member], list: &impl InstanceList) {
        let Ok(lines) = list.list().await else { return };
        let gone = lines.iter().filter(|line| line.state == ListedState::Gone);
        let gone: BTreeSet<&str> = gone.map(|line| line.name.as_str()).collect();
        for member in members.iter().filter(|member| gone.contains(member.name.as_str())) {
            self.forget(&member.name).await;
        }
    }

    async fn forget(&self, gone: &InstanceName) {
        if let Err(err) = self.directory.remove(gone).await {
            log::warn!("the record of {gone} cannot be removed: {err}");
        }
    }

    fn record(&self, revision: Revision, since: WallTime) -> InstanceRecord {
        InstanceRecord {
            name: self.name.clone(),
            peer_address: self.peer_address,
            zone: self.zone.clone(),
            revision,
            since,
        }
    }
}

/// Returns how the members are followed where the platform's list is read with this pause.
pub(super) fn membership_options(pause: Millis) -> MembershipOptions {
    let scan_every = Millis(pause.0 * DIRECTORY_PAUSES);
    let defaults = MembershipOptions::default();
    MembershipOptions { scan_every, min_pause: pause, ..defaults }
}

fn peer_address(member: Member) -> PeerAddress {
    let Member { name, zone, peer_address } = member;
    PeerAddress { name, zone, address: peer_address }
}

/// Returns where a line of the platform's list is reached, if it is live and an instance for all
/// that is known. An upstream that is taken for one does not prove that it holds the key.
fn listed_peer(line: ListedInstance) -> Option<PeerAddress> {
    let name = InstanceName::try_new(line.name.as_str()).ok()?;
    let is_live = line.state == ListedState::Live;
    is_live.then_some(PeerAddress { name, zone: line.zone, address: line.address })
}
