//! Maintains this instance's record in the table and the peer link to the other instances.

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

use super::tasks::sleep_for;
use crate::operators::system_wall_time;

/// The minimum time between two writes of the applied revision.
const REPORT_INTERVAL: Millis = Millis::from_secs(5);

/// The pause between two checks of whether the record must be written.
const ANNOUNCE_CHECK_PAUSE: Millis = Millis(200);

/// The interval between scans of the instances' records, in intervals of the instance list. Records
/// change far less often than the list, and each scan reads all of them.
const LIST_INTERVALS_PER_SCAN: u64 = 5;

/// `Presence` announces this instance to the others and follows them.
#[derive(Clone, Debug)]
pub(super) struct Presence<C, T> {
    pub clock: C,
    pub name: InstanceName,
    pub zone: ZoneName,
    pub peer_address: SocketAddr,
    pub follower: ConfigurationFollower<T>,
    pub directory: InstanceDirectory<T>,
    pub link: PeerHandle,
    /// The number of announced instances, including this one.
    pub instances: watch::Sender<usize>,
    /// All other announced instances.
    pub peers: watch::Sender<Vec<InstanceName>>,
    /// Whether this instance's record has been written.
    pub announced: watch::Sender<bool>,
    /// Whether requests may be routed.
    pub routable: watch::Sender<bool>,
}

impl<C: Clock, T: Table> Presence<C, T> {
    /// Writes this instance's record before it routes, and again whenever its revision has changed.
    ///
    /// A drain waits for every announced instance. If an instance routed before it was announced, a
    /// drain would not wait for it, and the engine's change would abort its requests. While the
    /// table is unavailable, no holder can renew its authority, so after `wait_limit` all authority
    /// has expired and routing may begin without an announcement. An instance that takes authority
    /// later also waits for every instance in the platform's list.
    pub async fn maintain_record(self, wait_limit: Millis) {
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
            if !*self.routable.borrow() && now - started_at > wait_limit {
                log::warn!("routing begins without an announcement; the table is unavailable");
                self.routable.send_replace(true);
            }
            sleep_for(ANNOUNCE_CHECK_PAUSE).await;
        }
    }

    /// Writes the record and returns whether the write succeeded.
    async fn announce(&self, revision: Revision, since: WallTime) -> bool {
        let announced = self.directory.announce(&self.record(revision, since)).await;
        if let Err(err) = &announced {
            log::warn!("failed to write this instance's record: {err}");
        }
        announced.is_ok()
    }

    /// Follows the members and passes their addresses to the peer link. Until the members have been
    /// read once, the platform's instance list is used instead: an instance that starts while the
    /// table is unavailable must still find peers that have the configuration.
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
                        self.apply_members(members.members());
                    }
                    if report.scanned {
                        // Only one instance scans at a time, so only one cleans up at a time.
                        self.remove_gone(members.members(), &list).await;
                    }
                }
                Err(err) => {
                    log::warn!("failed to read the members: {err}");
                    if let (false, Ok(lines)) = (has_read, list.list().await) {
                        self.announce_to_link(lines.into_iter().filter_map(listed_peer));
                    }
                }
            }
            // Without random pauses, instances that started together would always scan together.
            let pause = members.pause().0;
            sleep_for(Millis(rng.random_range(pause * 3 / 4..=pause * 5 / 4))).await;
        }
    }

    fn apply_members(&self, members: &[Member]) {
        let peers = members.iter().filter(|member| member.name != self.name);
        let names: Vec<InstanceName> = peers.clone().map(|peer| peer.name.clone()).collect();
        // This instance counts even if it is not among the members yet.
        self.instances.send_replace(names.len() + 1);
        self.peers.send_replace(names);
        self.announce_to_link(peers.cloned().map(peer_address));
    }

    fn announce_to_link(&self, known: impl Iterator<Item = PeerAddress>) {
        self.link.set_announced(known.filter(|peer| peer.name != self.name).collect());
    }

    /// Applies configurations received from peers, and publishes the applied one to them.
    pub async fn exchange_configurations(self) {
        let mut own = self.follower.subscribe();
        // A configuration that was applied before this task began has not been published yet.
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

    /// Removes the records of instances that are listed as gone by the platform.
    async fn remove_gone(&self, members: &[Member], list: &impl InstanceList) {
        let Ok(lines) = list.list().await else { return };
        let gone = lines.iter().filter(|line| line.state == ListedState::Gone);
        let gone: BTreeSet<&str> = gone.map(|line| line.name.as_str()).collect();
        for member in members.iter().filter(|member| gone.contains(member.name.as_str())) {
            self.remove(&member.name).await;
        }
    }

    async fn remove(&self, gone: &InstanceName) {
        if let Err(err) = self.directory.remove(gone).await {
            log::warn!("failed to remove the record of {gone}: {err}");
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

/// Returns the membership options for the given polling interval of the instance list.
pub(super) fn membership_options(pause: Millis) -> MembershipOptions {
    let scan_every = Millis(pause.0 * LIST_INTERVALS_PER_SCAN);
    let defaults = MembershipOptions::default();
    MembershipOptions { scan_every, min_pause: pause, ..defaults }
}

fn peer_address(member: Member) -> PeerAddress {
    let Member { name, zone, peer_address } = member;
    PeerAddress { name, zone, address: peer_address }
}

/// Returns the address of an entry of the platform's list if the entry is live and its name is
/// valid for an instance. An upstream that is mistaken for an instance can't prove that it has the
/// key, so no link is established to it.
fn listed_peer(line: ListedInstance) -> Option<PeerAddress> {
    let name = InstanceName::try_new(line.name.as_str()).ok()?;
    let is_live = line.state == ListedState::Live;
    is_live.then_some(PeerAddress { name, zone: line.zone, address: line.address })
}
