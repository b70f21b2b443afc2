//! Runs a fleet of instances' control parts and the platform stand-in that they share.

use std::net::SocketAddr;
use std::time::Duration;

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::{AccountSpec, Action, Change, Expected, Kind, ResourceKey, Spec};
use anvilhook_core::units::{Millis, Revision, SystemClock, WallTime};
use anvilhook_peer::PeerAddress;
use anvilhook_platform::{HttpPlatform, InstanceList, ListedInstance, ListedState};
use anvilhook_standin::platform::{
    LocalPlatform, Pacing, PlatformOptions, PlatformServer, RateLimits,
};
use anvilhook_store::{ChangeRequest, ConfigurationFollower};
use eyre::WrapErr;
use rand::SeedableRng;
use rand::rngs::SysRng;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::{Builder, Runtime};

use super::engines::Engines;
use super::instances::{ControlInstance, FleetContext, listen};
use super::processes::{CONTROL_THREAD, PLATFORM_THREAD};

/// The number of threads that the instances share, in addition to one for each peer link.
const CONTROL_THREADS: usize = 4;
/// The number of the stand-in's threads.
const PLATFORM_THREADS: usize = 2;

/// The delay until the instance list shows that an instance has terminated.
const LIST_LAG: Millis = Millis(5_000);

/// The time limit for the fleet to become ready.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// The interval at which a condition that is waited for is checked.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// `Fleet` holds the instances under measurement.
pub(super) struct Fleet {
    pub(super) instances: Vec<ControlInstance>,
    pub(super) platform: LocalPlatform<SystemClock>,
    pub(super) control: Runtime,
    pub(super) engines: Engines,
    // The instances' views of the platform, each with separate faults.
    pub(super) views: Vec<LocalPlatform<SystemClock>>,
    servers: Vec<PlatformServer>,
    // The stand-ins stop when their runtime is dropped.
    platform_runtime: Runtime,
}

impl Fleet {
    /// Starts the platform stand-in and the instances, and declares the resources.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started or a change is not accepted.
    pub(super) fn start(size: usize, resources: usize) -> eyre::Result<Self> {
        let platform_runtime = runtime(PLATFORM_THREAD, PLATFORM_THREADS)?;
        let control = runtime(CONTROL_THREAD, CONTROL_THREADS)?;
        let options = PlatformOptions { pacing: Pacing::Timed, list_lag: LIST_LAG };
        let platform = LocalPlatform::new(SystemClock::new(), options);
        let engines = platform_runtime.block_on(Engines::start())?;
        let mut fleet = Self {
            instances: Vec::new(),
            platform,
            control,
            engines,
            views: Vec::new(),
            servers: Vec::new(),
            platform_runtime,
        };
        fleet.start_instances(size)?;
        fleet.declare(resources)?;
        // The rate limits of the users' table apply to the measurement, not to its preparation.
        fleet.platform.faults().set_rate_limits(Some(RateLimits::default()));
        fleet.wait_until_linked()?;
        Ok(fleet)
    }

    fn start_instances(&mut self, size: usize) -> eyre::Result<()> {
        let listeners = (0..size).map(listen).collect::<eyre::Result<Vec<_>>>()?;
        let announced: Vec<PeerAddress> =
            listeners.iter().map(|(address, _)| address.clone()).collect();
        for (address, listener) in listeners {
            self.start_instance(address, listener, announced.clone())?;
        }
        Ok(())
    }

    fn start_instance(
        &mut self,
        address: PeerAddress,
        listener: std::net::TcpListener,
        announced: Vec<PeerAddress>,
    ) -> eyre::Result<()> {
        let index = self.instances.len();
        let view = self.platform.for_caller(address.name.as_str());
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let serving = PlatformServer::start(any_port, view.clone());
        let server = self.platform_runtime.block_on(serving)?;
        let context = FleetContext {
            platform: server.address(),
            announced,
            plans: self.engines.plans(),
            index,
        };
        let entered = self.control.enter();
        let instance = ControlInstance::start(address, listener, context)?;
        drop(entered);
        self.views.push(view);
        self.servers.push(server);
        self.instances.push(instance);
        self.list(index, ListedState::Live)
    }

    /// Starts one more instance and announces it to all others.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started.
    pub(super) fn start_late_instance(&mut self) -> eyre::Result<()> {
        let (address, listener) = listen(self.instances.len())?;
        let mut announced = self.addresses();
        announced.push(address.clone());
        self.start_instance(address, listener, announced.clone())?;
        for instance in &self.instances {
            instance.peers.set_announced(announced.clone());
        }
        Ok(())
    }

    /// Returns the entries of the instance list as the instances see it.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be read.
    pub(super) fn listed(&self) -> eyre::Result<Vec<ListedInstance>> {
        Ok(self.control.block_on(self.platform.list())?)
    }

    /// Sets the state of an instance in the instance list, which shows it after `LIST_LAG`.
    ///
    /// # Errors
    ///
    /// Returns an error if the list does not accept the instance's name.
    pub(super) fn list(&self, at: usize, state: ListedState) -> eyre::Result<()> {
        let PeerAddress { name, zone, address } = self.instances[at].address.clone();
        let name = name.as_str().parse()?;
        self.platform.enter_instance(ListedInstance { name, address, zone, state });
        Ok(())
    }

    /// Establishes the peer links, or takes them down.
    ///
    /// # Errors
    ///
    /// Returns an error if the links are not up or down within the time limit.
    pub(super) fn set_linked(&self, linked: bool) -> eyre::Result<()> {
        let announced = if linked { self.addresses() } else { Vec::new() };
        for instance in &self.instances {
            instance.peers.set_announced(announced.clone());
        }
        if linked { self.wait_until_linked() } else { self.wait_until(|i| links(i) == 0) }
    }

    /// Makes one change on an instance and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is not accepted.
    pub(super) fn change(&self, at: usize, number: usize) -> eyre::Result<Revision> {
        self.control.block_on(change(&self.instances[at].follower, number))
    }

    fn addresses(&self) -> Vec<PeerAddress> {
        self.instances.iter().map(|instance| instance.address.clone()).collect()
    }

    fn declare(&self, resources: usize) -> eyre::Result<()> {
        let mut last = Revision::default();
        for number in 0..resources {
            last = self.change(0, number)?;
        }
        self.wait_until(|instance| instance.applied_at(last).is_some())
    }

    fn wait_until_linked(&self) -> eyre::Result<()> {
        let min_links = 2.min(self.instances.len() - 1);
        self.wait_until(|instance| links(instance) >= min_links)
    }

    fn wait_until(&self, condition: impl Fn(&ControlInstance) -> bool) -> eyre::Result<()> {
        let all_met = async {
            while !self.instances.iter().all(&condition) {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        self.control
            .block_on(async { tokio::time::timeout(READY_LIMIT, all_met).await })
            .wrap_err("the fleet did not become ready in time")
    }
}

fn links(instance: &ControlInstance) -> usize {
    instance.peers.view().linked.len()
}

fn runtime(name: &str, threads: usize) -> eyre::Result<Runtime> {
    Ok(Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

/// Declares an account, or changes its limit.
async fn change(
    follower: &ConfigurationFollower<HttpPlatform>,
    number: usize,
) -> eyre::Result<Revision> {
    let key = ResourceKey { kind: Kind::Account, name: format!("account-{number}").parse()? };
    let version = follower.current().get(&key).map(|resource| resource.version);
    let spec = AccountSpec {
        token_sha256: vec![format!("{number:064x}")],
        requests_per_s: 10 + follower.revision().0 as u32,
        open_requests: 10,
    };
    let req = ChangeRequest {
        id: ChangeId::random(&mut ChaCha8Rng::try_from_rng(&mut SysRng)?),
        subject: "bench".parse()?,
        at: WallTime::default(),
        change: Change { key, action: Action::Put(Spec::Account(spec)) },
        expected: version.map_or(Expected::Absent, Expected::Version),
    };
    Ok(follower.change(&req).await?.revision)
}
