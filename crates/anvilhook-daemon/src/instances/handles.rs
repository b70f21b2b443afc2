//! Controls a running instance and stops it gracefully.

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

/// `Addresses` holds the addresses that an instance listens on, with the ports that the kernel
/// chose.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators, metrics and probes.
    pub operators: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
}

/// `Announcement` is the line that the daemon prints to its standard output once it listens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The instance's running name.
    pub instance: InstanceName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The addresses that it listens on.
    #[serde(flatten)]
    pub addresses: Addresses,
}

/// `InstanceHandle` controls a running instance. Dropping it ends the instance at once and aborts
/// requests in flight; `stop` lets them finish.
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
    /// Returns the announcement that the daemon prints.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns the addresses that the instance listens on.
    pub fn addresses(&self) -> Addresses {
        self.announcement.addresses
    }

    /// Waits until a configuration is applied.
    pub async fn ready(&self) {
        self.readiness.configured().await;
    }

    /// Returns how many callers' requests are in flight.
    pub fn in_flight(&self) -> u64 {
        self.front.in_flight()
    }

    /// Returns, for each engine, how many load reports this instance got from each source.
    pub fn load_sources(&self) -> BTreeMap<UpstreamName, LoadSources> {
        self.load_counts.by_engine()
    }

    /// Returns whether an upstream accepts new work in this instance's local view.
    pub fn takes_work(&self, upstream: &UpstreamName) -> bool {
        let state = self.front.state();
        state.upstreams().get(upstream).is_some_and(|upstream| upstream.takes_work())
    }

    /// Stops the link to the peers permanently, like a network partition. All other parts keep
    /// running.
    pub fn stop_peer_link(&self) {
        self.link.stop();
    }

    /// Begins a graceful stop and returns at once: readiness is turned off and new requests are
    /// refused as not run, while requests in flight continue.
    pub fn begin_stop(&self) {
        self.shutdown.advance(Phase::Draining);
    }

    /// Stops gracefully: refuses new requests as not run, waits without a time limit for all
    /// requests in flight, then closes.
    pub async fn stop(self) {
        self.begin_stop();
        log::info!("waiting for {} requests in flight", self.front.in_flight());
        self.front.idle().await;

        // The drain of an engine waits for every announced instance, and this instance will not
        // acknowledge drains any more.
        if let Err(err) = self.directory.remove(&self.announcement.instance).await {
            log::warn!("failed to remove this instance's record: {err}");
        }
        log::info!("no requests in flight; closing");
        self.shutdown.advance(Phase::Closed);
        self.tasks.join().await;
        self.link.stop();
    }
}
