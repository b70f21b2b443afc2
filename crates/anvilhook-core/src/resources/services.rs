//! Services: what callers ask for and what they are promised.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{ModelName, PoolName, UpstreamName, ZoneName};
use crate::units::Millis;

/// `ServiceSpec` declares a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Who answers.
    pub backend: ServiceBackend,
    /// The deadline of a request that names none, from its arrival.
    pub deadline_ms: Millis,
    /// The longest time from sending a request to the first byte or event of its answer.
    pub first_byte_ms: Millis,
    /// The longest time between two events of a streamed answer.
    pub between_events_ms: Millis,
    /// The priority of a request that names none; the smaller goes first. Alerts and ledger records
    /// use 0, verdicts 1, quick questions 2 unless an operator decides otherwise.
    pub priority: u8,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// The largest answer, streamed or whole, in bytes.
    pub max_answer_bytes: u64,
}

/// `ServiceBackend` says who answers a service's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "type")]
pub enum ServiceBackend {
    /// Model engines answer chat completions. These have no side effects and are idempotent.
    Model {
        /// The pool of engines.
        pool: PoolName,
        /// The model that requests name.
        model: ModelName,
    },
    /// Plain services answer application requests.
    Plain {
        /// The upstreams, each able to answer any request.
        upstreams: Vec<PlainUpstream>,
        /// The calls that the service offers. A path that no call matches is refused as not run.
        calls: Vec<CallSpec>,
    },
}

/// `PlainUpstream` is one upstream of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainUpstream {
    /// Its name.
    pub name: UpstreamName,
    /// Where it listens.
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
    /// The beginning of the path below the service, such as `/alerts`.
    pub path_prefix: String,
    /// Whether the call may be repeated without harm.
    pub idempotent: bool,
}
