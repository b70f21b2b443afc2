//! The active configuration: routes, services and limits.

use std::collections::HashMap;
use std::sync::Arc;

use anvilhook_core::api_keys::{AccountRegistry, ClientAccount, KeyDigest, KnownKeys};
use anvilhook_core::fleet_size::ScalingSpec;
use anvilhook_core::units::{Millis, Tokens};
use serde::{Serialize, Serializer};

/// `Repeats` indicates whether a route's requests may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeats {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream of numbered events. A stream either may be resumed after any event or not at
    /// all.
    Stream {
        /// Whether a stream may be resumed after its last event.
        resumable: bool,
    },
}

impl Repeats {
    /// Returns the text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Repeats::Idempotent => "idempotent",
            Repeats::AtMostOnce => "at-most-once",
            Repeats::Stream { resumable: true } => "resumable-stream",
            Repeats::Stream { resumable: false } => "stream",
        }
    }

    /// Returns whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Repeats::Idempotent | Repeats::Stream { resumable: true })
    }
}

impl Serialize for Repeats {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

/// `Target` is a service with its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// `Route` determines the services for requests with a host and path prefix, and the requests' limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host of its requests.
    pub host: Arc<str>,
    /// The prefix of the path, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub repeats: Repeats,
    /// The maximum time until the caller's final answer, if there is one.
    pub timeout: Option<Millis>,
    /// The time within which an answer counts as on time.
    pub objective: Millis,
    /// How long a caller waits for the beginning of an answer before it leaves.
    pub patience: Millis,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The services, with their weights.
    pub targets: Vec<Target>,
    /// The maximum number of upstreams on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// Returns the service for a request. The same request always gets the same one.
    pub fn target(&self, request_hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = request_hash % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}

/// `EngineSpec` is the declaration of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The number of requests that an engine batches.
    pub slots: u32,
    /// The number of tokens that its KV cache holds.
    pub kv_tokens: Tokens,
    /// The size of a token's KV cache, in bytes.
    pub kv_token_bytes: u64,
    /// The bandwidth of an engine's link to other engines, in Mbit/s.
    pub link_mbps: f64,
    /// How long an engine accepts no work while it changes its role.
    pub role_change: Millis,
}

/// `ServiceSpec` is a declared service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: Arc<str>,
    /// The declaration of its upstreams, if they are model engines.
    pub engine: Option<EngineSpec>,
    /// The numbers of upstreams that may be ordered, if any may.
    pub scaling: Option<ScalingSpec>,
}

/// `Limits` limits the size of callers' requests, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time from the first byte of a head to its last.
    pub header_timeout: Millis,
    /// The maximum time that a caller's connection may be idle.
    pub idle_timeout: Millis,
}

/// `Config` is one version of the whole configuration, ready for lookups.
#[derive(Debug)]
pub struct Config {
    /// The version; it only increases.
    pub version: u64,
    /// The limits for callers.
    pub limits: Limits,
    services: HashMap<Arc<str>, ServiceSpec>,
    tightest: HashMap<Arc<str>, Millis>,
    /// The loosest objective of the streams of each service.
    loosest: HashMap<Arc<str>, Millis>,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    accounts: Option<AccountRegistry>,
    /// The keys of this configuration and of those that were active before it.
    known_keys: KnownKeys,
}

/// `Access` identifies on whose behalf a request is made, by one version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Access {
    /// The client account, if the caller presented its key.
    pub account: Option<Arc<ClientAccount>>,
    /// Whether callers are identified by API keys, or the caller's credentials have been an API key before. They are
    /// then not forwarded to upstreams.
    pub is_by_key: bool,
}

impl Access {
    /// Returns whether a request that is made on these terms differs in nothing that an upstream receives.
    pub fn is_same_caller(&self, other: &Access) -> bool {
        let name =
            |access: &Access| access.account.as_ref().map(|account| Arc::clone(&account.name));
        self.is_by_key == other.is_by_key && name(self) == name(other)
    }
}

impl Config {
    /// Creates a configuration with its lookup indexes.
    pub fn new(
        version: u64,
        limits: Limits,
        services: Vec<ServiceSpec>,
        routes: Vec<Route>,
    ) -> Self {
        let services =
            services.into_iter().map(|service| (Arc::clone(&service.name), service)).collect();
        let mut tightest: HashMap<Arc<str>, Millis> = HashMap::new();
        for (route, target) in routes.iter().flat_map(|r| r.targets.iter().map(move |t| (r, t))) {
            let known = tightest.entry(Arc::clone(&target.service)).or_insert(route.objective);
            *known = route.objective.min(*known);
        }
        let mut loosest: HashMap<Arc<str>, Millis> = HashMap::new();
        let streams = routes.iter().filter(|route| matches!(route.repeats, Repeats::Stream { .. }));
        for (route, target) in streams.flat_map(|r| r.targets.iter().map(move |t| (r, t))) {
            let known = loosest.entry(Arc::clone(&target.service)).or_default();
            *known = route.objective.max(*known);
        }
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in routes {
            let prefixes = by_host.entry(Arc::clone(&route.host)).or_default();
            prefixes.insert(Arc::clone(&route.prefix), Arc::new(route));
        }
        Self {
            version,
            limits,
            services,
            tightest,
            loosest,
            routes: by_host,
            accounts: None,
            known_keys: KnownKeys::default(),
        }
    }

    /// Requires callers to present a key of one of these client accounts, except on public routes.
    pub fn with_accounts(mut self, accounts: AccountRegistry) -> Self {
        self.known_keys.record(&accounts);
        Self { accounts: Some(accounts), ..self }
    }

    /// Keeps the keys of the configuration that was active before as known.
    pub fn after(mut self, before: &Config) -> Self {
        let mut known_keys = before.known_keys.clone();
        if let Some(accounts) = &self.accounts {
            known_keys.record(accounts);
        }
        self.known_keys = known_keys;
        self
    }

    /// Returns the client accounts, if there are any.
    pub fn accounts(&self) -> Option<&AccountRegistry> {
        self.accounts.as_ref()
    }

    /// Returns the account that a key belongs to or belonged to last.
    pub fn known_account(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.known_keys.account(key)
    }

    /// Returns on whose behalf a request on a route with this key is made, or `None` if it is not allowed.
    pub fn access(&self, route: &Route, key: Option<&KeyDigest>) -> Option<Access> {
        let Some(accounts) = &self.accounts else {
            let is_by_key = key.is_some_and(|key| self.known_keys.account(key).is_some());
            return Some(Access { account: None, is_by_key });
        };
        let account = key.and_then(|key| accounts.account(key)).cloned();
        let is_allowed = account.is_some() || route.is_public;
        is_allowed.then_some(Access { account, is_by_key: true })
    }

    /// Returns the host's route with the longest prefix that matches the path.
    ///
    /// The work is bounded by the number of slashes in the path, regardless of the number of routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| prefixes.get(&path[..end])).next()
    }

    /// Returns whether the objectives of a service's streams differ by a factor of two or more. Only then do
    /// prompts with the tighter objective need reading lanes: with similar objectives, a short prompt has time to
    /// be read behind a long one.
    pub fn has_mixed_objectives(&self, service: &str) -> bool {
        /// The minimum factor between the loosest and the tightest objective.
        const MIN_FACTOR: u64 = 2;
        let loosest = self.loosest.get(service).copied().unwrap_or_default();
        self.tightest_objective(service).0 * MIN_FACTOR <= loosest.0
    }

    /// Returns the tightest objective of a service's routes, or 0 if it has no routes.
    pub fn tightest_objective(&self, service: &str) -> Millis {
        self.tightest.get(service).copied().unwrap_or_default()
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }
}
