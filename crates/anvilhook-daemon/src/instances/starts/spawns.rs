//! Starts the background tasks of an instance.

use anvilhook_authority::{AckSchedule, Controller, ControllerOptions, Follower, Services};
use anvilhook_core::units::Clock;
use anvilhook_engine::HttpUpstreams;
use anvilhook_http::Phase;
use anvilhook_peer::PeerHandle;
use anvilhook_platform::HttpPlatform;
use anvilhook_store::claims::{ClaimOptions, Claims};
use anvilhook_store::{MembershipFollower, StatusStore};

use super::{MEMBERSHIP_STREAM, Wiring, front_options};
use crate::instances::authorities::{Acknowledged, ControllerTask, DrainTask};
use crate::instances::caches::CachePoller;
use crate::instances::errors::StartError;
use crate::instances::loads::LoadTask;
use crate::instances::peers::{Presence, membership_options};
use crate::instances::pollers::Pollers;
use crate::instances::roles::RolePlanners;
use crate::instances::shares::ShareTask;
use crate::instances::sweeps::sweep_claims;
use crate::instances::tasks::Tasks;
use crate::proxy::TableClaims;
use crate::settings::{LeaseSettings, PollingSettings};

type HttpPollers<C> = Pollers<C, HttpUpstreams, TableClaims<HttpPlatform, C>, HttpPlatform>;

type HttpLoadTask<C> = LoadTask<C, HttpUpstreams, TableClaims<HttpPlatform, C>, HttpPlatform>;

impl<C: Clock> Wiring<C> {
    /// Starts the pollers of configuration, instance list, caches and load. They run until the end
    /// of a graceful stop, because requests in flight still need their updates.
    pub(super) fn spawn_pollers(&self, tasks: &mut Tasks, link: &PeerHandle) {
        let pollers = self.pollers();
        let PollingSettings { configuration_ms, reports_ms, instance_list_ms } =
            self.settings.polling;
        let (platform, control) = (self.clients.platform.clone(), self.clients.control.clone());
        let until = Phase::Closed;
        let applying = pollers.clone().apply_configurations();
        tasks.spawn_until("configuration", until, applying);
        let following = pollers.clone().follow_table(configuration_ms);
        tasks.spawn_until("table", until, following);
        let watching = pollers.watch_list(platform, instance_list_ms);
        tasks.spawn_until("instance list", until, watching);
        let caches = CachePoller::new(self.front.clone()).poll(control.clone(), reports_ms);
        tasks.spawn_until("cache events", until, caches);
        let loads = self.load_task(link).run(control, reports_ms);
        tasks.spawn_until("load reports", until, loads);
    }

    fn pollers(&self) -> HttpPollers<C> {
        Pollers {
            clock: self.clock.clone(),
            front: self.front.clone(),
            follower: self.follower.clone(),
            marks: self.marks.clone(),
            readiness: self.readiness.clone(),
            instances: self.instances.clone(),
            routable: self.routable.clone(),
        }
    }

    fn load_task(&self, link: &PeerHandle) -> HttpLoadTask<C> {
        LoadTask {
            clock: self.clock.clone(),
            name: self.name.clone(),
            zone: self.settings.instance.zone.clone(),
            front: self.front.clone(),
            follower: self.follower.clone(),
            link: link.clone(),
            marks: self.marks.clone(),
            counts: self.load_counts.clone(),
        }
    }

    /// Starts the tasks that exchange membership, configurations and account demand with peers, and
    /// the sweep of claims.
    pub(super) fn spawn_presence(&self, tasks: &mut Tasks, presence: &Presence<C, HttpPlatform>) {
        let platform = self.clients.platform.clone();
        let leases = self.settings.leases;
        let wait_limit = leases.length_ms + leases.guard_ms;
        let until = Phase::Closed;
        tasks.spawn_until("announcement", until, presence.clone().maintain_record(wait_limit));
        let members = MembershipFollower::new(
            platform.clone(),
            self.clock.clone(),
            self.name.clone(),
            membership_options(self.settings.polling.instance_list_ms),
        );
        let finding =
            presence.clone().find_peers(members, platform.clone(), self.stream(MEMBERSHIP_STREAM));
        tasks.spawn_until("peers", until, finding);
        let exchanging = presence.clone().exchange_configurations();
        tasks.spawn_until("peers' configurations", until, exchanging);
        let shares = ShareTask {
            clock: self.clock.clone(),
            front: self.front.clone(),
            link: presence.link.clone(),
            peers: self.peers.clone(),
            options: front_options(&self.settings).limits,
        };
        tasks.spawn_until("account shares", until, shares.run());
        let (clock, name) = (self.clock.clone(), self.name.clone());
        let claims = Claims::new(platform.clone(), clock, name, ClaimOptions::default());
        let sweeping = sweep_claims(claims, platform, self.instances.subscribe());
        tasks.spawn_until("sweep of claims", until, sweeping);
    }

    /// Starts the task that follows drains and the controller of the pools that this instance
    /// holds.
    pub(super) fn spawn_authority(
        &self,
        tasks: &mut Tasks,
        link: &PeerHandle,
    ) -> Result<(), StartError> {
        let acknowledged = Acknowledged::new(link.clone());
        self.spawn_drains(tasks, &acknowledged);
        self.spawn_controller(tasks, link, acknowledged)
    }

    fn spawn_drains(&self, tasks: &mut Tasks, acknowledged: &Acknowledged) {
        let table = self.clients.platform.clone();
        let drains = DrainTask {
            clock: self.clock.clone(),
            front: self.front.clone(),
            follower: Follower::new(self.name.clone(), table, AckSchedule::default()),
            marks: self.marks.clone(),
            acknowledged: acknowledged.clone(),
            instances: self.instances.clone(),
            announced: self.announced.clone(),
            routable: self.routable.clone(),
        };
        tasks.spawn_until("drains", Phase::Closed, drains.follow());
    }

    fn spawn_controller(
        &self,
        tasks: &mut Tasks,
        link: &PeerHandle,
        acknowledged: Acknowledged,
    ) -> Result<(), StartError> {
        let table = self.clients.platform.clone();
        let services = Services {
            table: table.clone(),
            engines: self.clients.control.clone(),
            instances: table.clone(),
            clock: self.clock.clone(),
        };
        let options = controller_options(&self.settings.leases);
        options.check()?;
        let controller = ControllerTask {
            name: self.name.clone(),
            clock: self.clock.clone(),
            front: self.front.clone(),
            instances: self.instances.clone(),
            planners: RolePlanners::new(self.settings.roles),
            controller: Controller::new(self.name.clone(), services, options),
            follower: self.follower.clone(),
            statuses: StatusStore::new(table),
            link: link.clone(),
            peers: self.peers.subscribe(),
            acknowledged,
            shutdown: self.shutdown.clone(),
        };
        tasks.spawn("authority", controller.run());
        Ok(())
    }
}

fn controller_options(leases: &LeaseSettings) -> ControllerOptions {
    ControllerOptions { lease: leases.options(), ..ControllerOptions::default() }
}
