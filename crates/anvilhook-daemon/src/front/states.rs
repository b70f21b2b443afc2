//! The caller front's view of the configuration, which is replaced as a whole when that changes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use anvilhook_core::caches::{CacheSlot, PrefixIndex};
use anvilhook_core::limits::{AccountLimiter, LimitOptions};
use anvilhook_core::names::{AccountName, PoolName, ServiceName, UpstreamName, ZoneName};
use anvilhook_core::resources::{
    AccountSpec, CallSpec, Configuration, Kind, Resource, ServiceBackend, ServiceSpec, Spec,
};
use anvilhook_core::retries::{RetryBudget, RetryBudgetOptions};
use anvilhook_core::roles::WorkMeter;
use anvilhook_core::routing::{RouteTable, UpstreamState};

use super::credentials::{Credentials, TokenDigest};
use super::metrics::{FrontMetrics, ServiceMetrics};
use crate::proxy::in_flight_at;

/// `Account` is a caller's account.
#[derive(Debug)]
pub struct Account {
    /// The account's name.
    pub name: AccountName,
    /// Its declaration.
    pub spec: AccountSpec,
    /// Enforces this instance's share of its limits.
    pub limiter: AccountLimiter,
}

/// `Service` is a service that callers can use, with this instance's state of it.
#[derive(Debug)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Its declaration.
    pub spec: ServiceSpec,
    /// Its upstreams.
    pub table: RouteTable,
    /// Its retry budget.
    pub budget: Arc<RetryBudget>,
    /// Measures the requested work, for the planning of roles.
    pub meter: Arc<WorkMeter>,
    /// Its metrics.
    pub metrics: Arc<ServiceMetrics>,
}

impl Service {
    /// Returns the declared call that a request matches, if there is one. The call with the longest
    /// matching path prefix wins.
    pub fn call(&self, method: &str, path: &str) -> Option<&CallSpec> {
        let ServiceBackend::Plain { calls, .. } = &self.spec.backend else { return None };
        let matches = |call: &&CallSpec| {
            call.method.eq_ignore_ascii_case(method) && is_below(path, &call.path_prefix)
        };
        calls.iter().filter(matches).max_by_key(|call| call.path_prefix.len())
    }
}

/// Returns whether `prefix` matches whole leading segments of a path: `/alerts` matches
/// `/alerts/7`, but not `/alertsx`.
fn is_below(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The maximum number of engines whose prefix caches are tracked.
const MAX_CACHE_SLOTS: u16 = 4_096;

/// How many pairs of an engine and a prompt block the prefix index stores, in 2 MB.
const MAX_INDEXED_BLOCKS: usize = 1 << 18;

/// `BuildOptions` holds the inputs of a state other than the configuration.
#[derive(Clone, Copy, Debug)]
pub struct BuildOptions<'a> {
    /// The number of running instances, by which account limits are divided at first.
    pub instances: usize,
    /// How the shares of account limits are adjusted.
    pub limits: &'a LimitOptions,
    /// The metrics that services are counted in.
    pub metrics: &'a FrontMetrics,
    /// The estimate of the engines' prefix caches.
    pub prefixes: &'a Arc<PrefixIndex>,
}

/// Returns an empty prefix index.
pub fn new_prefix_index() -> Arc<PrefixIndex> {
    Arc::new(PrefixIndex::new(usize::from(MAX_CACHE_SLOTS), MAX_INDEXED_BLOCKS))
}

/// `FrontState` is the state by which requests are checked and routed.
#[derive(Debug, Default)]
pub struct FrontState {
    services: HashMap<ServiceName, Arc<Service>>,
    models: HashMap<String, Arc<Service>>,
    credentials: Credentials,
    accounts: BTreeMap<AccountName, Arc<Account>>,
    upstreams: BTreeMap<UpstreamName, Arc<UpstreamState>>,
    retired: Vec<Arc<UpstreamState>>,
}

impl FrontState {
    /// Builds the state for a configuration. The runtime state of upstreams, accounts and retry
    /// budgets is taken over from `earlier` where their declarations stay the same.
    pub fn build(cfg: &Configuration, earlier: &FrontState, options: &BuildOptions<'_>) -> Self {
        let mut state = FrontState::default();
        for resource in cfg.of_kind(Kind::Account) {
            state.add_account(resource, earlier, options);
        }
        let mut pools: HashMap<PoolName, Vec<Arc<UpstreamState>>> = HashMap::new();
        for resource in cfg.of_kind(Kind::Engine) {
            let Spec::Engine(engine) = &resource.spec else { continue };
            // Resource names and upstream names follow the same rule, so this does not fail.
            let Ok(name) = UpstreamName::try_new(resource.name.as_str()) else { continue };
            let upstream = state.upstream(earlier, name, engine.address, &engine.zone);
            pools.entry(engine.pool.clone()).or_default().push(upstream);
        }
        state.assign_cache_slots(&pools, options.prefixes);
        for resource in cfg.of_kind(Kind::Service) {
            state.add_service(resource, earlier, &pools, options);
        }
        state.retire_undeclared(earlier);
        state
    }

    /// Retains the earlier upstreams that are no longer declared for as long as they have open
    /// requests. Otherwise, an engine that is declared again would count as idle while it still
    /// answers an earlier request, and draining it would truncate that answer.
    ///
    /// Each upstream is retired before its requests are counted: a request that chose it from an
    /// earlier state is either counted here or sees that the upstream accepts no work, so no
    /// request begins at an upstream that is not retained.
    fn retire_undeclared(&mut self, earlier: &FrontState) {
        let is_declared = |state: &Arc<UpstreamState>| {
            self.upstreams.get(state.name()).is_some_and(|declared| Arc::ptr_eq(declared, state))
        };
        let undeclared = earlier.upstreams.values().filter(|state| !is_declared(state));
        let open = undeclared.chain(&earlier.retired).filter(|state| {
            state.retire();
            in_flight_at(state) > 0
        });
        self.retired = open.cloned().collect();
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(&ServiceName::try_new(name).ok()?)
    }

    /// Returns the service for chat completions with the given `model`: the model service of that
    /// name, or else the first service by name that serves the model.
    pub fn chat_service(&self, model: &str) -> Option<&Arc<Service>> {
        let named = self.service(model);
        let is_model =
            |service: &&Arc<Service>| matches!(service.spec.backend, ServiceBackend::Model { .. });
        named.filter(is_model).or_else(|| self.models.get(model))
    }

    /// Returns the account that a token belongs to.
    pub fn account(&self, token: &str) -> Option<&Arc<Account>> {
        self.credentials.find(token)
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> &BTreeMap<AccountName, Arc<Account>> {
        &self.accounts
    }

    /// Returns all services.
    pub fn services(&self) -> &HashMap<ServiceName, Arc<Service>> {
        &self.services
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> &BTreeMap<UpstreamName, Arc<UpstreamState>> {
        &self.upstreams
    }

    /// Returns how many requests are in flight at an upstream. This includes requests that began
    /// under an earlier declaration of the same name or the same address.
    pub fn in_flight_at(&self, name: &UpstreamName) -> u64 {
        let declared = self.upstreams.get(name);
        let address = declared.map(|state| state.address());
        let same =
            |state: &&Arc<UpstreamState>| state.name() == name || Some(state.address()) == address;
        let retired = self.retired.iter().filter(same);
        declared.into_iter().chain(retired).map(|state| in_flight_at(state)).sum()
    }

    fn add_account(
        &mut self,
        resource: &Resource,
        earlier: &FrontState,
        options: &BuildOptions<'_>,
    ) {
        let Spec::Account(spec) = &resource.spec else { return };
        let Ok(name) = AccountName::try_new(resource.name.as_str()) else { return };
        let unchanged = earlier.accounts.get(&name).filter(|account| account.spec == *spec);
        if let Some(unchanged) = unchanged {
            unchanged.limiter.set_instances(spec, options.instances);
        }
        let account = unchanged.cloned().unwrap_or_else(|| {
            let limiter = AccountLimiter::new(spec, options.instances, options.limits);
            Arc::new(Account { name: name.clone(), spec: spec.clone(), limiter })
        });
        for text in &spec.token_sha256 {
            match TokenDigest::from_hex(text) {
                Some(digest) => self.credentials.insert(digest, Arc::clone(&account)),
                None => log::warn!("account {name}: a token digest is not 64 hexadecimal digits"),
            }
        }
        self.accounts.insert(name, account);
    }

    /// Assigns a free slot of the prefix index to each new engine.
    fn assign_cache_slots(
        &self,
        pools: &HashMap<PoolName, Vec<Arc<UpstreamState>>>,
        prefixes: &PrefixIndex,
    ) {
        let engines = || pools.values().flatten();
        let mut taken: HashSet<u16> =
            engines().filter_map(|engine| engine.cache_slot()).map(|slot| slot.0).collect();
        let mut free = 0..MAX_CACHE_SLOTS;
        for engine in engines().filter(|engine| engine.cache_slot().is_none()) {
            // When all slots are taken, requests are routed to the engine without an estimate of
            // its cache.
            let Some(slot) = free.find(|slot| !taken.contains(slot)) else { return };
            taken.insert(slot);
            // Entries of the engine that had the slot before do not apply to this one.
            prefixes.void(CacheSlot(slot));
            engine.set_cache_slot(CacheSlot(slot));
        }
    }

    fn add_service(
        &mut self,
        resource: &Resource,
        earlier: &FrontState,
        pools: &HashMap<PoolName, Vec<Arc<UpstreamState>>>,
        options: &BuildOptions<'_>,
    ) {
        let Spec::Service(spec) = &resource.spec else { return };
        let Ok(name) = ServiceName::try_new(resource.name.as_str()) else { return };
        let upstreams: Vec<Arc<UpstreamState>> = match &spec.backend {
            ServiceBackend::Model { pool, .. } => pools.get(pool).cloned().unwrap_or_default(),
            ServiceBackend::Plain { upstreams, .. } => upstreams
                .iter()
                .map(|plain| self.upstream(earlier, plain.name.clone(), plain.address, &plain.zone))
                .collect(),
        };
        let previous = earlier.services.get(&name);
        let budget = previous.map(|service| Arc::clone(&service.budget));
        let meter = previous.map(|service| Arc::clone(&service.meter));
        let new_budget = || Arc::new(RetryBudget::new(&RetryBudgetOptions::default()));
        let service = Arc::new(Service {
            name: name.clone(),
            spec: spec.clone(),
            table: RouteTable::new(upstreams).with_prefixes(Arc::clone(options.prefixes)),
            budget: budget.unwrap_or_else(new_budget),
            meter: meter.unwrap_or_default(),
            metrics: options.metrics.service(&name),
        });
        if let ServiceBackend::Model { model, .. } = &spec.backend {
            let model = model.as_str().to_owned();
            self.models.entry(model).or_insert_with(|| Arc::clone(&service));
        }
        self.services.insert(name, service);
    }

    /// Returns the existing state of an upstream, or a new state if its address or zone changed.
    fn upstream(
        &mut self,
        earlier: &FrontState,
        name: UpstreamName,
        address: std::net::SocketAddr,
        zone: &ZoneName,
    ) -> Arc<UpstreamState> {
        let same = |state: &&Arc<UpstreamState>| state.address() == address && state.zone() == zone;
        let known = self.upstreams.get(&name).filter(same);
        let known = known.or_else(|| earlier.upstreams.get(&name).filter(same));
        let state = known
            .cloned()
            .unwrap_or_else(|| Arc::new(UpstreamState::new(name.clone(), address, zone.clone())));
        self.upstreams.insert(name, Arc::clone(&state));
        state
    }
}
