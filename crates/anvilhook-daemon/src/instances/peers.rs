//! The link to the other instances, and the record by which they find this one.

use std::net::SocketAddr;

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_peer::{PeerAddress, PeerHandle};
use anvilhook_platform::{InstanceList, ListedInstance, ListedState, Table};
use anvilhook_store::{ConfigurationFollower, InstanceDirectory, InstanceRecord, ReportSchedule};
use tokio::sync::watch;

use super::tasks::rest;
use crate::operators::system_wall_time;

/// The least time between two writes of the revision in force.
const REPORT_INTERVAL: Millis = Millis::from_secs(5);

/// The pause before a failed announcement is tried again.
const ANNOUNCE_AGAIN: Millis = Millis(200);

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
        let mut schedule = ReportSchedule::new(REPORT_INTERVAL);
        loop {
            let (now, revision) = (self.clock.now(), self.follower.revision());
            if schedule.is_due(now, revision) && self.announce().await {
                schedule.reported(now, revision);
                self.announced.send_replace(true);
            }
            if !*self.routable.borrow() && now - started_at > patience {
                log::warn!("routing begins without an announcement; the table has been down");
                self.routable.send_replace(true);
            }
            rest(ANNOUNCE_AGAIN).await;
        }
    }

    /// Writes the record and returns whether it stands.
    async fn announce(&self) -> bool {
        let announced = self.directory.announce(&self.record()).await;
        if let Err(err) = &announced {
            log::warn!("this instance cannot be announced: {err}");
        }
        announced.is_ok()
    }

    /// Reads the other instances' records and tells the link where they are. As long as no records
    /// have been read, the platform's list stands in: an instance that starts while the table is
    /// down still has to find peers that hold the configuration.
    pub async fn find_peers<L: InstanceList>(self, list: L, pause: Millis) {
        let mut has_read = false;
        loop {
            match self.directory.list().await {
                Ok(records) => {
                    has_read = true;
                    self.instances.send_replace(records.len().max(1));
                    let names = records.iter().map(|record| record.name.clone());
                    self.peers.send_replace(names.filter(|name| *name != self.name).collect());
                    self.announce_to_link(records.into_iter().map(peer_address));
                }
                Err(err) => {
                    log::warn!("the instances' records cannot be read: {err}");
                    if let (false, Ok(lines)) = (has_read, list.list().await) {
                        self.announce_to_link(lines.into_iter().filter_map(listed_peer));
                    }
                }
            }
            rest(pause).await;
        }
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
    pub async fn forget_gone<L: InstanceList>(self, list: L, pause: Millis) {
        loop {
            if let (Ok(lines), Ok(records)) = (list.list().await, self.directory.list().await) {
                let gone = lines.iter().filter(|line| line.state == ListedState::Gone);
                let gone: Vec<&str> = gone.map(|line| line.name.as_str()).collect();
                for record in records.iter().filter(|record| gone.contains(&record.name.as_str())) {
                    self.forget(&record.name).await;
                }
            }
            rest(pause).await;
        }
    }

    async fn forget(&self, gone: &InstanceName) {
        if let Err(err) = self.directory.remove(gone).await {
            log::warn!("the record of {gone} cannot be removed: {err}");
        }
    }

    fn record(&self) -> InstanceRecord {
        InstanceRecord {
            name: self.name.clone(),
            peer_address: self.peer_address,
            zone: self.zone.clone(),
            revision: self.follower.revision(),
            since: system_wall_time(),
        }
    }
}

fn peer_address(record: InstanceRecord) -> PeerAddress {
    let InstanceRecord { name, zone, peer_address, .. } = record;
    PeerAddress { name, zone, address: peer_address }
}

/// Returns where a line of the platform's list is reached, if it is live and an instance for all
/// that is known. An upstream that is taken for one does not prove that it holds the key.
fn listed_peer(line: ListedInstance) -> Option<PeerAddress> {
    let name = InstanceName::try_new(line.name.as_str()).ok()?;
    let is_live = line.state == ListedState::Live;
    is_live.then_some(PeerAddress { name, zone: line.zone, address: line.address })
}
