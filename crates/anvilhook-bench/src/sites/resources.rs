//! The resources that the operators of a small site declare.

use std::net::SocketAddr;

use anvilhook_core::names::{ModelName, PoolName, ResourceName, UpstreamName, ZoneName};
use anvilhook_core::orders::{ModelRef, Role};
use anvilhook_core::resources::{
    AccountSpec, CallSpec, EnginePoolSpec, EngineSpec, Fencing, ModelVersionSpec, PlainUpstream,
    RolePolicy, ServiceBackend, ServiceSpec, Spec,
};
use anvilhook_core::units::Millis;
use sha2::{Digest, Sha256};

/// The model that all engines serve.
pub const MODEL: &str = "standin";
/// The pool that all engines belong to.
pub const POOL: &str = "runners";
/// The service of chat completions.
pub const CHAT_SERVICE: &str = "checklist";
/// The plain service that pushes alerts.
pub const ALERT_SERVICE: &str = "alerts";
/// The plain service that stores records.
pub const LEDGER_SERVICE: &str = "ledger";
/// The path, relative to the service, of each plain service's call that is not idempotent.
pub const CALL_PATH: &str = "/records";
/// The path, relative to the service, of the idempotent call.
pub const ECHO_PATH: &str = "/echo";
/// The account of all callers.
pub const ACCOUNT: &str = "kitchens";
/// The bearer token of that account.
pub const TOKEN: &str = "example-caller-token";

/// The token of the operator that the instances' settings name.
pub const OPERATOR_TOKEN: &str = "example-operator-token";
/// The availability zones, in the order in which upstreams and instances are spread over them.
pub const ZONES: [&str; 3] = ["piraeus", "marousi", "glyfada"];

/// The account's limit of open requests, and of requests per second.
const ACCOUNT_LIMIT: u32 = 1_000_000;

/// `Declared` is the name and the spec of a resource to declare.
pub type Declared = (ResourceName, Spec);

/// `Bounds` holds the time limits of the site's services.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The deadline of a chat completion.
    pub chat_deadline: Millis,
    /// The maximum time to the first event of a chat completion.
    pub chat_first_byte: Millis,
    /// The maximum time between two events.
    pub between_events: Millis,
    /// The deadline of a call of a plain service.
    pub plain_deadline: Millis,
    /// The maximum time to the first byte of the answer of such a call.
    pub plain_first_byte: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            chat_deadline: Millis::from_secs(20),
            chat_first_byte: Millis::from_secs(5),
            between_events: Millis::from_secs(1),
            plain_deadline: Millis::from_secs(5),
            plain_first_byte: Millis::from_secs(1),
        }
    }
}

/// Parses a name that is known to be valid.
///
/// # Panics
///
/// Panics if the text is not a valid name.
pub fn name<T: std::str::FromStr<Err = anvilhook_core::Error>>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(err) => panic!("a constant name is invalid: {err}"),
    }
}

/// Returns the availability zone of the upstream or instance with the given number.
pub fn zone(index: usize) -> ZoneName {
    name(ZONES[index % ZONES.len()])
}

/// Returns the name of the engine with the given number.
pub fn engine_name(index: usize) -> UpstreamName {
    name(&format!("engine-{index}"))
}

/// Returns the name of the plain upstream with the given number.
pub fn plain_name(index: usize) -> UpstreamName {
    name(&format!("plain-{index}"))
}

/// Returns all resources of a site, each one after the resources that it refers to.
pub fn resources(engines: &[SocketAddr], plain: &[SocketAddr], bounds: &Bounds) -> Vec<Declared> {
    let mut declared = vec![account(), model_version(), pool(model_ref())];
    declared.extend(engines.iter().enumerate().map(|(i, address)| engine(i, *address)));
    declared.push(chat_service(bounds));
    if !plain.is_empty() {
        declared.push(plain_service(ALERT_SERVICE, plain, bounds));
        declared.push(plain_service(LEDGER_SERVICE, plain, bounds));
    }
    declared
}

/// Returns a token's digest in the form that settings and accounts use.
pub fn token_digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn account() -> Declared {
    let spec = AccountSpec {
        token_sha256: vec![token_digest(TOKEN)],
        requests_per_s: ACCOUNT_LIMIT,
        open_requests: ACCOUNT_LIMIT,
    };
    (name(ACCOUNT), Spec::Account(spec))
}

/// Returns the model that all engines serve.
pub fn model_ref() -> ModelRef {
    ModelRef { model: name::<ModelName>(MODEL), version: 1 }
}

fn model_version() -> Declared {
    let spec = ModelVersionSpec {
        model: model_ref(),
        weights: "weights/standin/1".to_owned(),
        weight_bytes: 16_000_000_000,
        kv_bytes_per_token: 131_072,
    };
    (name("standin-1"), Spec::ModelVersion(spec))
}

/// Returns the pool of all engines with the given model and without automatic roles.
pub fn pool(model: ModelRef) -> Declared {
    let roles = RolePolicy {
        automatic: false,
        change_weight: 1.0,
        max_changing_share: 0.25,
        min_dwell_ms: Millis::from_secs(60),
    };
    pool_with(model, roles)
}

/// Returns the pool of all engines with the given model and role policy.
pub fn pool_with(model: ModelRef, roles: RolePolicy) -> Declared {
    let spec = EnginePoolSpec { model, roles, min_serving: 1 };
    (name(POOL), Spec::EnginePool(spec))
}

fn engine(index: usize, address: SocketAddr) -> Declared {
    let spec = EngineSpec {
        pool: name::<PoolName>(POOL),
        address,
        zone: zone(index),
        fencing: Fencing::Checks,
        role: Role::Mixed,
    };
    (name(engine_name(index).as_str()), Spec::Engine(spec))
}

fn chat_service(bounds: &Bounds) -> Declared {
    let spec = ServiceSpec {
        backend: ServiceBackend::Model { pool: name(POOL), model: name(MODEL) },
        deadline_ms: bounds.chat_deadline,
        first_byte_ms: bounds.chat_first_byte,
        between_events_ms: bounds.between_events,
        priority: 1,
        max_body_bytes: 1_048_576,
        max_answer_bytes: 16_777_216,
    };
    (name(CHAT_SERVICE), Spec::Service(spec))
}

fn plain_service(service: &str, addresses: &[SocketAddr], bounds: &Bounds) -> Declared {
    let upstream = |(i, address): (usize, &SocketAddr)| PlainUpstream {
        name: plain_name(i),
        address: *address,
        zone: zone(i),
    };
    let upstreams = addresses.iter().enumerate().map(upstream).collect();
    let call = |path: &str, idempotent| CallSpec {
        method: "POST".to_owned(),
        path_prefix: path.to_owned(),
        idempotent,
    };
    let calls = vec![call(CALL_PATH, false), call(ECHO_PATH, true)];
    let spec = ServiceSpec {
        backend: ServiceBackend::Plain { upstreams, calls },
        deadline_ms: bounds.plain_deadline,
        first_byte_ms: bounds.plain_first_byte,
        between_events_ms: bounds.between_events,
        priority: 0,
        max_body_bytes: 65_536,
        max_answer_bytes: 65_536,
    };
    (name(service), Spec::Service(spec))
}
