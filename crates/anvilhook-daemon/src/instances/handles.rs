//! A running instance, and its graceful stop.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anvilhook_core::names::{InstanceName, UpstreamName, ZoneName};
use anvilhook_core::units::Clock;
use anvilhook_http::{Phase, Shutdown};
use anvilhook_peer::PeerHandle;
use anvilhook_platform::HttpPlatform;
use anvilhook_store::InstanceDirectory;
use serde::{Deserialize, Serialize};

use super::load_counts::{LoadCounts, LoadSources};
use super::starts::HttpFront;
use super::tasks::Tasks;
use crate::observability::Readiness;

/// `Addresses` holds where an instance listens, with the ports that the kernel chose.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators, metrics and probes.
    pub operators: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
}

/// `Announcement` is the line that the daemon prints on its standard output when it listens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The running name.
    pub instance: InstanceName,
    /// The availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    #[serde(flatten)]
    pub addresses: Addresses,
}

/// `InstanceHandle` is a running instance. Dropping it ends the instance at once and cuts what is in
/// flight; `stop` cuts nothing.
#[derive(Debug)]
pub struct InstanceHandle<C> {
    pub(super) announcement: Announcement,
    pub(super) shutdown: Shutdown,
    pub(super) front: HttpFront<C>,
    pub(super) readiness: Readiness,
    pub(super) directory: InstanceDirectory<HttpPlatform>,
    pub(super) link: PeerHandle,
    pub(super) load_counts: LoadCounts,
    pub(super) tasks: Tasks,
}

impl<C: Clock> InstanceHandle<C> {
    /// Returns what the daemon prints when it listens.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns where the instance listens.
    pub fn addresses(&self) -> Addresses {
        self.announcement.addresses
    }

    /// Waits until a configuration is in force.
    pub async fn ready(&self) {
        self.readiness.configured().await;
    }

    /// Returns how many callers' requests are in flight.
    pub fn in_flight(&self) -> u64 {
        self.front.in_flight()
    }

    /// Returns where the knowledge of each engine's load has come from.
    pub fn load_sources(&self) -> BTreeMap<UpstreamName, LoadSources> {
        self.load_counts.by_engine()
    }

    /// Returns whether an upstream may be given new work, as far as this instance knows.
    pub fn takes_work(&self, upstream: &UpstreamName) -> bool {
        let state = self.front.state();
        state.upstreams().get(upstream).is_some_and(|upstream| upstream.takes_work())
    }

    /// Ends the link to the peers for good, as a partition would. Everything else goes on.
    pub fn cut_link(&self) {
        self.link.stop();
    }

    /// Turns readiness off and refuses new requests as not run, and returns at once. What is in
    /// flight goes on.
    pub fn begin_stop(&self) {
        self.shutdown.advance(Phase::Draining);
    }

    /// Stops gracefully: refuses new requests as not run, waits for every request in flight however
    /// long that takes, then closes.
    pub async fn stop(self) {
        self.begin_stop();
        log::info!("waiting for {} requests in flight", self.front.in_flight());
        self.front.idle().await;

        // Whoever drains an engine asks every announced instance, and this one will answer no more.
        if let Err(err) = self.directory.remove(&self.announcement.instance).await {
            log::warn!("this instance's record cannot be removed: {err}");
        }
        log::info!("nothing is in flight; closing");
        self.shutdown.advance(Phase::Closed);
        self.tasks.join().await;
        self.link.stop();
    }
}
