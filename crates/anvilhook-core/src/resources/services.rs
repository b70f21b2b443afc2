//! Services that callers send requests to, with their deadlines and limits.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::checks::require;
use crate::errors::Result;
use crate::names::{ModelName, PoolName, UpstreamName, ZoneName};
use crate::units::Millis;

/// `ServiceSpec` declares a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The backend that answers requests.
    pub backend: ServiceBackend,
    /// The deadline of a request that sets none, counted from its arrival, by default 60 s.
    #[serde(default = "defaults::deadline")]
    pub deadline_ms: Millis,
    /// The longest time from sending a request to the first byte or event of its answer, by default
    /// 10 s.
    #[serde(default = "defaults::first_byte")]
    pub first_byte_ms: Millis,
    /// The longest time between two events of a streamed answer, by default 5 s.
    #[serde(default = "defaults::between_events")]
    pub between_events_ms: Millis,
    /// The priority of a request that sets none; a lower number goes first. Unless an operator decides
    /// otherwise, alerts and ledger records use 0, verdicts 1 and quick questions 2. The default is 1.
    #[serde(default = "defaults::priority")]
    pub priority: u8,
    /// The largest body of a request, in bytes, by default 8 MiB.
    #[serde(default = "defaults::max_body")]
    pub max_body_bytes: u64,
    /// The largest answer, streamed or whole, in bytes, by default 8 MiB.
    #[serde(default = "defaults::max_answer")]
    pub max_answer_bytes: u64,
}

impl ServiceSpec {
    /// Checks the rules on the service's own fields.
    pub(super) fn check(&self) -> Result<()> {
        require(self.deadline_ms > Millis::ZERO, "deadline_ms", "at least 1 ms")?;
        require(self.first_byte_ms > Millis::ZERO, "first_byte_ms", "at least 1 ms")?;
        let in_time = self.first_byte_ms <= self.deadline_ms;
        require(in_time, "first_byte_ms", "at most spec.deadline_ms")?;
        require(self.between_events_ms > Millis::ZERO, "between_events_ms", "at least 1 ms")?;
        require(self.max_body_bytes > 0, "max_body_bytes", "at least 1 byte")?;
        require(self.max_answer_bytes > 0, "max_answer_bytes", "at least 1 byte")?;
        match &self.backend {
            ServiceBackend::Model { .. } => Ok(()),
            ServiceBackend::Plain { upstreams, calls } => check_plain(upstreams, calls),
        }
    }
}

fn check_plain(upstreams: &[PlainUpstream], calls: &[CallSpec]) -> Result<()> {
    require(!upstreams.is_empty(), "backend.upstreams", "at least one upstream")?;
    for (i, upstream) in upstreams.iter().enumerate() {
        let is_new = upstreams[..i].iter().all(|earlier| earlier.name != upstream.name);
        let field = format!("backend.upstreams[{i}].name");
        require(is_new, &field, "a name that no upstream before it has")?;
        let address = upstream.address;
        let can_be_reached = address.port() != 0 && !address.ip().is_unspecified();
        let field = format!("backend.upstreams[{i}].address");
        require(can_be_reached, &field, "an IP address and port that can be connected to")?;
    }
    require(!calls.is_empty(), "backend.calls", "at least one call")?;
    for (i, call) in calls.iter().enumerate() {
        let is_method =
            !call.method.is_empty() && call.method.bytes().all(|b| b.is_ascii_uppercase());
        let field = format!("backend.calls[{i}].method");
        require(is_method, &field, "an HTTP method in capitals, such as POST")?;
        let is_path = call.path_prefix.starts_with('/');
        let field = format!("backend.calls[{i}].path_prefix");
        require(is_path, &field, "a path that begins with '/'")?;
    }
    Ok(())
}

mod defaults {
    use crate::units::Millis;

    pub(super) fn deadline() -> Millis {
        Millis::from_secs(60)
    }

    pub(super) fn first_byte() -> Millis {
        Millis::from_secs(10)
    }

    pub(super) fn between_events() -> Millis {
        Millis::from_secs(5)
    }

    pub(super) fn priority() -> u8 {
        1
    }

    pub(super) fn max_body() -> u64 {
        8 << 20
    }

    pub(super) fn max_answer() -> u64 {
        8 << 20
    }
}

/// `ServiceBackend` is the kind of upstreams that answer a service's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "type")]
pub enum ServiceBackend {
    /// Model engines answer chat completions, which have no side effects and are idempotent.
    Model {
        /// The pool of engines.
        pool: PoolName,
        /// The model that requests must name.
        model: ModelName,
    },
    /// Plain services answer application requests.
    Plain {
        /// The upstreams, each of which can answer any request.
        upstreams: Vec<PlainUpstream>,
        /// The calls that the service offers. A request whose path matches no call is refused with the
        /// verdict that it did not run.
        calls: Vec<CallSpec>,
    },
}

/// `PlainUpstream` is one upstream of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainUpstream {
    /// Its name.
    pub name: UpstreamName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// `CallSpec` declares one call of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    /// The method, such as `POST`.
    pub method: String,
    /// The prefix of the path below the service, such as `/alerts`.
    pub path_prefix: String,
    /// Whether the call may be repeated without harm, by default false.
    #[serde(default)]
    pub idempotent: bool,
}
