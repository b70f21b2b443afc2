//! The settings of an instance, read from a YAML file.
//!
//! Every field is checked when the file is read. A file with an unknown field, a bad value or a
//! missing field is refused as a whole with one error that names the file, the line and the field.

mod checks;
mod files;

use std::fmt;
use std::net::SocketAddr;

use anvilhook_core::leases::LeaseOptions;
use anvilhook_core::names::{SubjectName, ZoneName};
use anvilhook_core::resources::RolePolicy;
use anvilhook_core::roles::PlanOptions;
use anvilhook_core::units::Millis;
use serde::Deserialize;

pub use checks::MAX_NAME_PREFIX_LEN;
pub use files::{SettingsError, load, parse};

/// How many renewals fall into the length of a lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// `Settings` is what an instance is told at its start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// What the instance is and where it stands.
    pub instance: InstanceSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Who may use the operator API.
    #[serde(default, deserialize_with = "checks::distinct_operators")]
    pub operators: Vec<OperatorSettings>,
    /// How it logs.
    #[serde(default)]
    pub logging: LoggingSettings,
    /// Bounds on what callers may ask of this instance.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How often it asks for news.
    #[serde(default)]
    pub polling: PollingSettings,
    /// How it holds authority.
    #[serde(default)]
    pub leases: LeaseSettings,
    /// The link to the other instances.
    pub peers: PeerSettings,
    /// How it plans roles.
    #[serde(default)]
    pub roles: RoleSettings,
    /// What this deployment values.
    #[serde(default)]
    pub weights: WeightSettings,
}

/// `InstanceSettings` says what the instance is and where it stands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// The beginning of the running name; a random part for each start of the process follows.
    #[serde(deserialize_with = "checks::name_prefix")]
    pub name_prefix: String,
    /// The availability zone.
    pub zone: ZoneName,
}

/// `ListenSettings` holds the addresses to listen on. Port 0 lets the kernel choose.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "checks::PlainListen")]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators, metrics and probes.
    pub operators: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
}

/// `PlatformSettings` says where the platform's services are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Their address.
    #[serde(deserialize_with = "checks::remote_address")]
    pub address: SocketAddr,
    /// The longest time that one call of them may take.
    #[serde(default = "default_platform_timeout", deserialize_with = "checks::positive_millis")]
    pub timeout_ms: Millis,
}

/// `OperatorSettings` is one operator's credential.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The name in the audit trail.
    pub subject: SubjectName,
    /// The SHA-256 digest of the bearer token, in hexadecimal.
    #[serde(deserialize_with = "checks::sha256_digest")]
    pub token_sha256: String,
    /// What the operator may do.
    pub rights: OperatorRights,
}

/// `OperatorRights` says what an operator may do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRights {
    /// Read resources, status and the audit trail.
    Reader,
    /// Change resources besides.
    Operator,
}

/// `LoggingSettings` says how the instance logs.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoggingSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: LogLevel,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: LogLevel::Info }
    }
}

/// `LogFormat` is the form of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// `LogLevel` is the severity of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Something failed that should not.
    Error,
    /// Something is not as it should be.
    Warn,
    /// What an operator wants to know of a sound instance.
    Info,
    /// One line or more for each request.
    Debug,
}

/// `LimitSettings` bounds what callers may ask of one instance.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The most requests open at once.
    #[serde(deserialize_with = "checks::positive_count")]
    pub open_requests: u32,
    /// The largest head of a request, in bytes.
    #[serde(deserialize_with = "checks::header_bytes")]
    pub header_bytes: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { open_requests: 16_384, header_bytes: 16_384 }
    }
}

/// `PollingSettings` says how often the instance asks for news.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PollingSettings {
    /// The time between two readings of the configuration's revision.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub configuration_ms: Millis,
    /// The time between two readings of an engine's load report.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub reports_ms: Millis,
    /// The time between two readings of the platform's list.
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

/// `LeaseSettings` says how the instance holds authority over engines.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "checks::PlainLeases")]
pub struct LeaseSettings {
    /// How long a lease lasts after its renewal.
    pub length_ms: Millis,
    /// How long before the lease's end its holder stops giving orders.
    pub guard_ms: Millis,
}

impl LeaseSettings {
    /// Returns all lengths that leases rest on.
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

/// `RoleSettings` says how often the roles of a pool are planned, and how far ahead.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoleSettings {
    /// The time between two plans.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub plan_every_ms: Millis,
    /// How long a change takes an engine out of service, its drain included.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub change_ms: Millis,
    /// The time for which a plan is made.
    #[serde(deserialize_with = "checks::positive_millis")]
    pub horizon_ms: Millis,
    /// The time over which what was seen loses its weight.
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

/// `WeightSettings` says what this deployment values.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// The cost of a role change against the goodput that it gains, where a pool names none.
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
