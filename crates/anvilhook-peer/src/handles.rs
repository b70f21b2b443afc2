//! The handle through which the rest of an instance uses the peer link, and the state that it shares
//! with the link's thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::Configuration;
use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::gossip::{AckSection, DemandSection, LoadSection, ReceivedSection};
use crate::options::PeerAddress;

/// `PeerView` holds the sections received from the other instances. Each change replaces the whole
/// view.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// The acknowledgements by instance.
    pub acks: Arc<BTreeMap<InstanceName, ReceivedSection<AckSection>>>,
    /// The load sections by instance.
    pub load: Arc<BTreeMap<InstanceName, ReceivedSection<LoadSection>>>,
    /// The demand sections by instance.
    pub demand: Arc<BTreeMap<InstanceName, ReceivedSection<DemandSection>>>,
    /// The instances to which a link is established.
    pub linked: Arc<Vec<InstanceName>>,
}

/// `PeerCounts` holds the traffic and connection counts of the link since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerCounts {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Links that were established.
    pub links_opened: u64,
    /// Links that broke or were closed.
    pub links_closed: u64,
    /// Connections refused because the remote side did not prove that it holds the key.
    pub refused: u64,
}

/// `Counters` holds the live counters behind `PeerCounts`.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) bytes_in: AtomicU64,
    pub(crate) bytes_out: AtomicU64,
    pub(crate) links_opened: AtomicU64,
    pub(crate) links_closed: AtomicU64,
    pub(crate) refused: AtomicU64,
}

/// `Published` passes the latest value of each kind from the handle to the link's thread.
#[derive(Debug)]
pub(crate) struct Published {
    pub(crate) configuration: watch::Sender<Option<Arc<Configuration>>>,
    pub(crate) acks: watch::Sender<AckSection>,
    pub(crate) load: watch::Sender<LoadSection>,
    pub(crate) demand: watch::Sender<DemandSection>,
    pub(crate) announced: watch::Sender<Vec<PeerAddress>>,
    pub(crate) stopped: watch::Sender<bool>,
}

/// `Received` passes received state and counters from the link's thread to the handle.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) configuration: watch::Sender<Option<Arc<Configuration>>>,
    pub(crate) view: ArcSwap<PeerView>,
    pub(crate) changes: watch::Sender<u64>,
    pub(crate) counters: Counters,
}

/// `PeerHandle` gives the rest of an instance access to its link. No call blocks. The link stops when
/// its last handle is dropped or `stop` is called.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    pub(crate) published: Arc<Published>,
    pub(crate) received: Arc<Received>,
}

impl PeerHandle {
    /// Publishes an accepted configuration. One that is older than the newest known has no effect.
    pub fn publish_configuration(&self, configuration: Arc<Configuration>) {
        self.published.configuration.send_replace(Some(configuration));
    }

    /// Replaces all of the instance's acknowledgements.
    pub fn publish_acks(&self, acks: AckSection) {
        self.published.acks.send_if_modified(|current| {
            let differs = *current != acks;
            *current = acks;
            differs
        });
    }

    /// Replaces the instance's load section. It is sent as often as the budget allows.
    pub fn publish_load(&self, load: LoadSection) {
        self.published.load.send_replace(load);
    }

    /// Replaces the instance's demand section. It is sent as often as the budget allows.
    pub fn publish_demand(&self, demand: DemandSection) {
        self.published.demand.send_replace(demand);
    }

    /// Sets the announced instances, from which the link chooses its partners.
    pub fn set_announced(&self, announced: Vec<PeerAddress>) {
        self.published.announced.send_if_modified(|current| {
            let differs = *current != announced;
            *current = announced;
            differs
        });
    }

    /// Returns the announced instances that were set last.
    pub fn announced(&self) -> Vec<PeerAddress> {
        self.published.announced.borrow().clone()
    }

    /// Subscribes to the newest configuration received. Its revision never decreases.
    ///
    /// A configuration that was received before this call counts as a change. Otherwise one that
    /// arrives between the link's start and this call would be missed, and an instance that starts
    /// while the table is unreachable would wait for the next change, possibly for hours.
    pub fn configurations(&self) -> watch::Receiver<Option<Arc<Configuration>>> {
        let mut newest = self.received.configuration.subscribe();
        newest.mark_changed();
        newest
    }

    /// Returns the sections received from the other instances and the established links.
    pub fn view(&self) -> arc_swap::Guard<Arc<PeerView>> {
        self.received.view.load()
    }

    /// Subscribes to a number that increases whenever `view` changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.received.changes.subscribe()
    }

    /// Returns the link's counts since its start.
    pub fn counts(&self) -> PeerCounts {
        let counters = &self.received.counters;
        PeerCounts {
            bytes_in: counters.bytes_in.load(Ordering::Relaxed),
            bytes_out: counters.bytes_out.load(Ordering::Relaxed),
            links_opened: counters.links_opened.load(Ordering::Relaxed),
            links_closed: counters.links_closed.load(Ordering::Relaxed),
            refused: counters.refused.load(Ordering::Relaxed),
        }
    }

    /// Closes all links and stops the link's thread.
    pub fn stop(&self) {
        self.published.stopped.send_replace(true);
    }
}
