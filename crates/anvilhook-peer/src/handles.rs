//! What the rest of an instance holds of its link.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::Configuration;
use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::gossip::{AckSection, DemandSection, LoadSection, ReceivedSection};
use crate::options::PeerAddress;

/// `PeerView` is what has been heard of the other instances. It is replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Their acknowledgements.
    pub acks: Arc<BTreeMap<InstanceName, ReceivedSection<AckSection>>>,
    /// Their load sections.
    pub load: Arc<BTreeMap<InstanceName, ReceivedSection<LoadSection>>>,
    /// Their demand sections.
    pub demand: Arc<BTreeMap<InstanceName, ReceivedSection<DemandSection>>>,
    /// The instances that a link stands to.
    pub linked: Arc<Vec<InstanceName>>,
}

/// `PeerCounts` is what the link has done since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerCounts {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Links that came to stand.
    pub links_opened: u64,
    /// Links that broke or were closed.
    pub links_closed: u64,
    /// Connections whose other side did not prove that it holds the key.
    pub refused: u64,
}

/// `Counters` counts what the link does, for `PeerCounts`.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) bytes_in: AtomicU64,
    pub(crate) bytes_out: AtomicU64,
    pub(crate) links_opened: AtomicU64,
    pub(crate) links_closed: AtomicU64,
    pub(crate) refused: AtomicU64,
}

/// `Published` is what the handle hands to the link's thread: always the latest of each kind.
#[derive(Debug)]
pub(crate) struct Published {
    pub(crate) configuration: watch::Sender<Option<Arc<Configuration>>>,
    pub(crate) acks: watch::Sender<AckSection>,
    pub(crate) load: watch::Sender<LoadSection>,
    pub(crate) demand: watch::Sender<DemandSection>,
    pub(crate) announced: watch::Sender<Vec<PeerAddress>>,
    pub(crate) stopped: watch::Sender<bool>,
}

/// `Received` is what the link's thread hands to the handle.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) configuration: watch::Sender<Option<Arc<Configuration>>>,
    pub(crate) view: ArcSwap<PeerView>,
    pub(crate) changes: watch::Sender<u64>,
    pub(crate) counters: Counters,
}

/// `PeerHandle` is how the rest of an instance speaks with its link. No call waits. The link ends
/// when its last handle is dropped or it is stopped.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    pub(crate) published: Arc<Published>,
    pub(crate) received: Arc<Received>,
}

impl PeerHandle {
    /// Hands on an accepted configuration; an older one than the newest known changes nothing.
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

    /// Sets the announced instances, among which the link chooses its partners.
    pub fn set_announced(&self, announced: Vec<PeerAddress>) {
        self.published.announced.send_if_modified(|current| {
            let differs = *current != announced;
            *current = announced;
            differs
        });
    }

    /// Returns the announced instances as they were set last.
    pub fn announced(&self) -> Vec<PeerAddress> {
        self.published.announced.borrow().clone()
    }

    /// Returns the newest configuration received, and the changes of it. Its revision only grows.
    ///
    /// What has been received before counts as a change. Otherwise a configuration that comes in
    /// between the link's start and this call would be passed over, and an instance that starts
    /// while the table is down would wait for the next change, perhaps for hours.
    pub fn configurations(&self) -> watch::Receiver<Option<Arc<Configuration>>> {
        let mut newest = self.received.configuration.subscribe();
        newest.mark_changed();
        newest
    }

    /// Returns what has been heard of the other instances.
    pub fn view(&self) -> arc_swap::Guard<Arc<PeerView>> {
        self.received.view.load()
    }

    /// Returns a number that changes whenever `view` does, to wait for.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.received.changes.subscribe()
    }

    /// Returns what the link has done since its start.
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

    /// Closes all links and ends the link's thread.
    pub fn stop(&self) {
        self.published.stopped.send_replace(true);
    }
}
