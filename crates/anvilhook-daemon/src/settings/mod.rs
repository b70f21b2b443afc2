//! The settings of an instance, read from a YAML file.
//!
//! Every field is checked when the file is read. A file with an unknown, invalid or missing field
//! is rejected as a whole with one error that names the file, the line and the field.

mod checks;
mod files;

use std::fmt;
use std::net::SocketAddr;

use anvilhook_core::client_bounds::ClientBounds;
use anvilhook_core::leases::LeaseOptions;
use anvilhook_core::names::{SubjectName, ZoneName};
use anvilhook_core::resources::RolePolicy;
use anvilhook_core::roles::PlanOptions;
use anvilhook_core::units::Millis;
use anvilhook_http::ConnectionLimits;
use nix::sys::resource::{Resource, getrlimit};
use serde::Deserialize;

pub use checks::MAX_NAME_PREFIX_LEN;
pub use files::{SettingsError, load, parse};

/// How many times a lease is renewed within its length.
const RENEWALS_PER_LEASE: u64 = 3;

/// `Settings` holds the settings of an instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's name prefix and availability zone.
    pub instance: InstanceSettings,
    /// The addresses that it listens on.
    pub listen: ListenSettings,
    /// How to reach the platform's services.
    pub platform: PlatformSettings,
    /// The operators who may use the operator API.
    #[serde(default, deserialize_with = "checks::distinct_operators")]
    pub operators: Vec<OperatorSettings>,
    /// The format and level of logs.
    #[serde(default)]
    pub logging: LoggingSettings,
    /// The limits on callers' requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The polling intervals.
    #[serde(default)]
    pub polling: PollingSettings,
    /// The lengths of leases.
    #[serde(default)]
    pub leases: LeaseSettings,
    /// The link to the other instances.
    pub peers: PeerSettings,
    /// The planning of roles.
    #[serde(default)]
    pub roles: RoleSettings,
    /// The weights of this deployment's goals.
    #[serde(default)]
    pub weights: WeightSettings,
}

/// `InstanceSettings` holds the instance's name prefix and availability zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// The prefix of the running name; each start of the process adds a random suffix.
    #[serde(deserialize_with = "checks::name_prefix")]
    pub name_prefix: String,
    /// The availability zone.
    pub zone: ZoneName,
}

/// `ListenSettings` holds the addresses to listen on. With port 0, the kernel chooses the port.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "checks::PlainListen")]
pub struct ListenSettings {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators, metrics and probes.
    pub operators: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
}

/// `PlatformSettings` describes how to reach the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the services.
    #[serde(deserialize_with = "checks::remote_address")]
    pub address: SocketAddr,
    /// The timeout of one call.
    #[serde(default = "default_platform_timeout", deserialize_with = "checks::positive_millis")]
    pub timeout_ms: Millis,
}

/// `OperatorSettings` is one operator's credential.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The operator's name in the audit trail.
    pub subject: SubjectName,
    /// The SHA-256 digest of the bearer token, in hexadecimal.
    #[serde(deserialize_with = "checks::sha256_digest")]
    pub token_sha256: String,
    /// The operator's rights.
    pub rights: OperatorRights,
}

/// `OperatorRights` is the set of actions that an operator may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRights {
    /// May read resources, status and the audit trail.
    Reader,
    /// May also change resources.
    Operator,
}

/// `LoggingSettings` holds the format and level of logs.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoggingSettings {
    /// The format of a line.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: LogLevel,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: LogLevel::Info }
    }
}

/// `LogFormat` is the format of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// `LogLevel` is the severity of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// An unexpected failure.
    Error,
    /// An abnormal condition.
    Warn,
    /// Notable events of a healthy instance.
    Info,
    /// Details, with one or more lines for each request.
    Debug,
}

/// `LimitSettings` limits callers' requests at one instance.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The maximum number of open requests.
    #[serde(deserialize_with = "checks::positive_count")]
    pub open_requests: u32,
    /// The maximum size of a request's headers, in bytes.
    #[serde(deserialize_with = "checks::header_bytes")]
    pub header_bytes: u32,
    /// The maximum time from the first byte of a request's headers to their last.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub header_timeout_ms: Millis,
    /// The maximum time that a connection may be idle.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub idle_timeout_ms: Millis,
    /// The memory that the process may use, in megabytes.
    #[serde(deserialize_with = "checks::memory_mb")]
    pub memory_mb: u32,
    /// The descriptors that the process may open; by default, as many as the operating system allows.
    #[serde(deserialize_with = "checks::descriptors")]
    pub descriptors: Option<u32>,
}

impl LimitSettings {
    /// Returns the bounds of what clients may make the process hold.
    pub fn client_bounds(&self) -> ClientBounds {
        const MEGABYTE: u64 = 1_000_000;
        let allowed = || getrlimit(Resource::RLIMIT_NOFILE).ok().map(|(soft, _hard)| soft);
        let descriptors = self.descriptors.map(u64::from).or_else(allowed);
        ClientBounds::of(Some(u64::from(self.memory_mb) * MEGABYTE), descriptors)
    }

    /// Returns the limits on what clients send, where bodies have at most `max_body_bytes`.
    pub fn connection_limits(&self, max_body_bytes: usize) -> ConnectionLimits {
        ConnectionLimits {
            max_head_bytes: self.header_bytes as usize,
            max_body_bytes,
            head_timeout: self.header_timeout_ms,
            idle_timeout: self.idle_timeout_ms,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            open_requests: 16_384,
            header_bytes: 16_384,
            header_timeout_ms: Millis::from_secs(30),
            idle_timeout_ms: Millis::from_secs(300),
            memory_mb: 256,
            descriptors: None,
        }
    }
}

/// `PollingSettings` holds the intervals at which the instance polls for updates.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PollingSettings {
    /// The time between two reads of the configuration's revision.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub configuration_ms: Millis,
    /// The time between two reads of an engine's load report.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub reports_ms: Millis,
    /// The time between two reads of the platform's list.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub instance_list_ms: Millis,
}

impl Default for PollingSettings {
    fn default() -> Self {
        Self {
            configuration_ms: Millis(500),
            reports_ms: Millis(250),
            instance_list_ms: Millis(1_000),
        }
    }
}

/// `LeaseSettings` holds the lengths of leases, by which the instance has authority over engines.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "checks::PlainLeases")]
pub struct LeaseSettings {
    /// How long a lease is valid after its renewal.
    pub length_ms: Millis,
    /// How long before the end of its lease a holder stops giving orders.
    pub guard_ms: Millis,
}

impl LeaseSettings {
    /// Returns the lease options, with defaults for those that are not settings.
    pub fn options(&self) -> LeaseOptions {
        LeaseOptions {
            length_ms: self.length_ms,
            renew_every_ms: Millis(self.length_ms.0 / RENEWALS_PER_LEASE),
            guard_ms: self.guard_ms,
            ..LeaseOptions::default()
        }
    }
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { length_ms: Millis(9_000), guard_ms: Millis(2_500) }
    }
}

/// `PeerSettings` describes the link to the other instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The key that all instances of a deployment share.
    pub key: PeerKey,
}

/// `PeerKey` is the secret that all instances of a deployment share. It is never printed.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct PeerKey(#[serde(deserialize_with = "checks::peer_key")] String);

impl PeerKey {
    /// Returns the secret.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// `RoleSettings` holds how often the roles of a pool are planned, and for how long ahead.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoleSettings {
    /// The time between two plans.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub plan_every_ms: Millis,
    /// How long a role change takes an engine out of service, including its drain.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub change_ms: Millis,
    /// How far ahead a plan is made.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub horizon_ms: Millis,
    /// The time over which observed work loses its weight.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub memory_ms: Millis,
}

impl Default for RoleSettings {
    fn default() -> Self {
        let usual = PlanOptions::new(RolePolicy::default());
        Self {
            plan_every_ms: Millis::from_secs(5),
            change_ms: usual.change,
            horizon_ms: usual.horizon,
            memory_ms: usual.memory,
        }
    }
}

/// `WeightSettings` holds the weights of this deployment's goals.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// The cost of a role change relative to the goodput that it gains, for pools that set none.
    #[serde(deserialize_with = "checks::weight")]
    pub role_change: f64,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self { role_change: 1.0 }
    }
}

fn default_platform_timeout() -> Millis {
    Millis::from_secs(2)
}
