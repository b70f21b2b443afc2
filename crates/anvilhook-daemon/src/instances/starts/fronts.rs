//! Starts the fronts of an instance for callers and operators.

use std::sync::Arc;

use anvilhook_authority::POOL_PREFIX;
use anvilhook_core::client_bounds::ListenerBounds;
use anvilhook_core::units::Clock;
use anvilhook_http::{ClientBudget, ConnectionCheck, ConnectionLimits, Phase, serve_checked};
use anvilhook_platform::HttpPlatform;
use anvilhook_store::{ArchiveOptions, AuditArchive};
use tokio::net::TcpListener;
use volo_http::response::Response;
use volo_http::server::route::Router;

use super::{ARCHIVE_STREAM, OPERATOR_STREAM, Wiring};
use crate::front::refused_for_memory;
use crate::instances::archives::run_archiving;
use crate::instances::tasks::Tasks;
use crate::observability::probe_router;
use crate::operators::{
    self, LeaseRows, OperatorApi, OperatorOptions, OperatorParts, system_wall_time,
};

/// The most bytes of a body that are discarded after its request was refused.
const MAX_BODY_BYTES: usize = 32 << 20;

/// `FrontCheck` limits what clients of a front send.
#[derive(Clone, Copy, Debug)]
struct FrontCheck {
    limits: ConnectionLimits,
}

impl ConnectionCheck for FrontCheck {
    fn limits(&self) -> ConnectionLimits {
        self.limits
    }

    fn refusal(&self) -> Response {
        refused_for_memory()
    }
}

type HttpArchive = AuditArchive<HttpPlatform, HttpPlatform>;

impl<C: Clock> Wiring<C> {
    pub(super) fn spawn_front(
        &self,
        tasks: &mut Tasks,
        name: &'static str,
        listener: TcpListener,
        router: Router,
        bounds: ListenerBounds,
    ) {
        let shutdown = self.shutdown.clone();
        let check = FrontCheck { limits: self.settings.limits.connection_limits(MAX_BODY_BYTES) };
        let budget = ClientBudget::new(bounds);
        tasks.spawn(name, async move {
            if let Err(err) = serve_checked(listener, router, shutdown, check, budget).await {
                log::error!("the front for {name} failed: {err}");
            }
        });
    }

    /// Starts the operators' front and the archiving of the audit trail.
    pub(super) fn spawn_operators(&mut self, tasks: &mut Tasks, listener: TcpListener) {
        let registry = Arc::new(std::mem::take(&mut self.registry));
        let probes = probe_router(registry, self.readiness.clone());
        let archive = self.archive();
        let archiving = run_archiving(archive.clone(), self.stream(ARCHIVE_STREAM));
        tasks.spawn_until("audit archive", Phase::Draining, archiving);
        let router = probes.merge(self.operator_router(archive));
        let bounds = self.settings.limits.client_bounds().operators;
        self.spawn_front(tasks, "operators", listener, router, bounds);
    }

    fn archive(&self) -> HttpArchive {
        let store = self.follower.store().clone();
        AuditArchive::new(store, self.clients.platform.clone(), ArchiveOptions::default())
    }

    fn operator_router(&self, archive: HttpArchive) -> Router {
        let api = OperatorApi::new(OperatorParts {
            follower: self.follower.clone(),
            archive,
            leases: LeaseRows::new(self.clients.platform.clone(), POOL_PREFIX),
            credentials: self.credentials.clone(),
            shutdown: self.shutdown.clone(),
            rng: self.stream(OPERATOR_STREAM),
            wall_clock: system_wall_time,
            options: OperatorOptions::default(),
        });
        operators::router(api)
    }
}
