//! The operator API: resources, watches, the audit trail and the state of the system.
//!
//! Reads of resources are answered from the applied configuration, so they work while the table is
//! unavailable. Changes need the table and are refused as not accepted while it is unavailable.

mod audits;
mod changes;
mod credentials;
mod endpoints;
mod leases;
mod refusals;
mod resources;
mod statuses;
mod watches;

use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use anvilhook_api::paths;
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::units::{Millis, WallTime};
use anvilhook_http::Shutdown;
use anvilhook_platform::{ObjectStore, Table};
use anvilhook_store::{AuditArchive, ConfigurationFollower, InstanceDirectory, StatusStore};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use volo_http::server::route::{MethodRouter, Router, get_service};

pub use credentials::{Credentials, Operator};
pub use leases::{LeaseRows, LeaseSource, NoLeases};

use crate::settings::OperatorRights;
use crate::settings::OperatorRights::{Operator as MayChange, Reader as MayRead};
use endpoints::{Answer, Authoriser, Call, Endpoint};

/// `OperatorOptions` limits the resources that operators' requests may use.
#[derive(Clone, Copy, Debug)]
pub struct OperatorOptions {
    /// The maximum number of concurrent watchers. Each uses memory, and table reads if it lags.
    pub max_watchers: usize,
    /// The maximum number of events buffered for a watcher.
    pub watch_buffer: usize,
    /// How long a watcher's buffer may stay full before the watcher is dropped.
    pub watch_wait_limit: Millis,
    /// The interval of keep-alive comments on a watch without events.
    pub watch_keep_alive: Millis,
    /// The pause before a failed read of a watcher's changes is retried.
    pub watch_retry: Millis,
    /// The maximum number of audit entries in one answer.
    pub max_audit_entries: usize,
}

impl Default for OperatorOptions {
    fn default() -> Self {
        Self {
            max_watchers: 64,
            watch_buffer: 64,
            watch_wait_limit: Millis::from_secs(10),
            watch_keep_alive: Millis::from_secs(10),
            watch_retry: Millis::from_secs(1),
            max_audit_entries: 500,
        }
    }
}

/// `OperatorParts` holds the parts that the API is built from.
#[derive(Debug)]
pub struct OperatorParts<T, O, L> {
    /// Provides the applied configuration and makes changes.
    pub follower: ConfigurationFollower<T>,
    /// The audit trail.
    pub archive: AuditArchive<T, O>,
    /// The source of lease holders.
    pub leases: L,
    /// The operators' credentials.
    pub credentials: Credentials,
    /// Ends watches when the instance stops.
    pub shutdown: Shutdown,
    /// Draws the ids of changes whose callers sent none.
    pub rng: ChaCha8Rng,
    /// Reads the wall-clock time for the audit trail.
    pub wall_clock: fn() -> WallTime,
    /// The limits.
    pub options: OperatorOptions,
}

/// `OperatorApi` is the state that all handlers share.
#[derive(Debug)]
pub struct OperatorApi<T, O, L> {
    follower: ConfigurationFollower<T>,
    statuses: StatusStore<T>,
    instances: InstanceDirectory<T>,
    archive: AuditArchive<T, O>,
    leases: L,
    credentials: Credentials,
    shutdown: Shutdown,
    rng: Mutex<ChaCha8Rng>,
    wall_clock: fn() -> WallTime,
    options: OperatorOptions,
    watchers: Arc<Semaphore>,
}

impl<T: Table, O: ObjectStore, L: LeaseSource> OperatorApi<T, O, L> {
    /// Creates the API from its parts.
    pub fn new(parts: OperatorParts<T, O, L>) -> Self {
        let table = parts.follower.store().table().clone();
        Self {
            statuses: StatusStore::new(table.clone()),
            instances: InstanceDirectory::new(table),
            follower: parts.follower,
            archive: parts.archive,
            leases: parts.leases,
            credentials: parts.credentials,
            shutdown: parts.shutdown,
            rng: Mutex::new(parts.rng),
            wall_clock: parts.wall_clock,
            watchers: Arc::new(Semaphore::new(parts.options.max_watchers)),
            options: parts.options,
        }
    }

    fn draw_change_id(&self) -> ChangeId {
        // The generator stays usable even if another thread panicked while drawing from it.
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        ChangeId::random(&mut *rng)
    }
}

impl<T, O, L> Authoriser for OperatorApi<T, O, L> {
    fn credentials(&self) -> &Credentials {
        &self.credentials
    }
}

/// Creates the router of the API, to be merged with the other routes of the operators' front.
pub fn router<T: Table, O: ObjectStore, L: LeaseSource>(api: OperatorApi<T, O, L>) -> Router {
    let api = &Arc::new(api);
    let kind = get_service(endpoint(api, MayRead, resources::list)).post_service(endpoint(
        api,
        MayChange,
        resources::create,
    ));
    let resource = get_service(endpoint(api, MayRead, resources::get))
        .put_service(endpoint(api, MayChange, resources::replace))
        .delete_service(endpoint(api, MayChange, resources::delete));
    Router::new()
        .route(paths::CONFIGURATION, reads(api, resources::configuration))
        .route(paths::WATCH, reads(api, watches::watch))
        .route(paths::AUDIT, reads(api, audits::list))
        .route(paths::STATUS, reads(api, statuses::status))
        .route(format!("{}/{{id}}", paths::CHANGES), reads(api, changes::state))
        .route(format!("{}/{{kind}}/{{name}}", paths::WHY), reads(api, statuses::why))
        .route(format!("{}/{{kind}}", paths::ROOT), kind)
        .route(format!("{}/{{kind}}/{{name}}", paths::ROOT), resource)
}

fn endpoint<A, F, Fut>(api: &Arc<A>, rights: OperatorRights, run: F) -> Endpoint<A, F>
where
    F: Fn(Arc<A>, Call) -> Fut,
    Fut: Future<Output = Answer>,
{
    Endpoint { api: Arc::clone(api), rights, run }
}

fn reads<A, F, Fut>(api: &Arc<A>, run: F) -> MethodRouter
where
    A: Authoriser + Send + Sync + 'static,
    F: Fn(Arc<A>, Call) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    get_service(endpoint(api, MayRead, run))
}

/// Returns the system's wall-clock time. It is only shown to people; no decision depends on it.
#[expect(clippy::disallowed_methods, reason = "people read it, and nothing goes by it")]
pub fn system_wall_time() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since_epoch.as_millis() as u64)
}
