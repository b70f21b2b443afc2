//! The message formats of a deployment: headers, table rows and calls to upstreams.

use std::fmt;
use std::net::SocketAddr;

use anvilhook_core::api_keys::KeyHasher;
use anvilhook_core::orders::Role;
use anvilhook_core::units::Millis;
use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};

use crate::configs::Config;
use crate::fleets::Entry;
use crate::prompts::{Part, Prompt};

/// `HeaderNames` are the headers that the gateway reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's id of a request.
    pub request_id: HeaderName,
    /// The time until the caller's deadline.
    pub deadline: HeaderName,
    /// The upstream's signature of an answer.
    pub signature: HeaderName,
    /// The upstream for which a request is intended.
    pub expect_instance: HeaderName,
    /// The upstream that answered.
    pub instance: HeaderName,
    /// Indicates that the upstream did not run the request.
    pub not_run: HeaderName,
    /// The upstream's load.
    pub load: HeaderName,
    /// The last event that the caller of a stream has received.
    pub last_event_id: HeaderName,
    /// The id of the request that brought the first event of the stream that the caller continues.
    pub resumes: HeaderName,
    /// Requests only one stage of the work from an engine.
    pub stage: HeaderName,
    /// The handle from which an engine fetches a prompt's KV cache.
    pub kv_source: HeaderName,
    /// The engine from which another one may fetch the cached part of a prompt.
    pub kv_fetch: HeaderName,
    /// The urgency of a request at an engine.
    pub priority: HeaderName,
    /// The name of the caller's client account.
    pub account: HeaderName,
    /// Indicates in an upstream's answer that the upstream is leaving.
    pub leaving: HeaderName,
    /// The requests a second that the upstream accepts from all instances together.
    pub request_limit: HeaderName,
    /// All headers that a caller may not set; they are removed from its request.
    pub reserved: Vec<HeaderName>,
}

/// `DecodeError` describes why a message of the platform can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// The field of the message that is wrong.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

impl std::error::Error for DecodeError {}

/// `Load` is the load that an upstream reports in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of requests that can run at once.
    pub slots: u32,
    /// The time that work currently takes there in percent of the usual, if it is reported.
    pub work_percent: Option<u32>,
}

impl Load {
    /// Returns whether all slots are taken. A report without slots shows nothing.
    pub fn is_full(&self) -> bool {
        self.slots > 0 && self.running.saturating_add(self.waiting) >= self.slots
    }
}

/// `RoleOrder` orders an engine to change its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleOrder {
    /// The new role.
    pub role: Role,
    /// The holder of the lease, which gives the order.
    pub holder: String,
    /// The fencing token of its lease.
    pub fencing_token: u64,
    /// The number of orders that the engine must have accepted so far, if it is known.
    pub expected: Option<u64>,
}

/// `OrderAnswer` is an engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The order is being carried out, or the engine already has the role.
    Taken,
    /// Another order is in progress or was accepted first.
    Busy,
    /// A newer holder has given orders.
    Fenced,
    /// Another engine answered, or the engine does not know the order.
    Refused,
}

/// `Call` is a request that the gateway itself makes to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: http::Method,
    /// The path.
    pub path: String,
    /// The JSON body, if there is one.
    pub body: Option<Vec<u8>>,
}

/// `EngineReport` is what an engine reports about itself on demand.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Its role.
    pub role: Role,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders that it has accepted.
    pub orders: u64,
    /// When the engine was started, if it is reported.
    pub born: Option<u64>,
    /// The number of requests that wait to run.
    pub waiting: u32,
    /// The ids of the running requests, if they are reported.
    pub runs: Option<Vec<String>>,
}

impl EngineReport {
    /// Returns whether the engine may still work on a request that was sent to it earlier.
    ///
    /// ```
    /// use anvilhook_core::orders::Role;
    /// use anvilhook_gateway::wires::EngineReport;
    ///
    /// let runs = Some(vec!["r1".to_owned()]);
    /// let report =
    ///     EngineReport { role: Role::Decode, busy: false, orders: 0, born: None, waiting: 0, runs };
    /// assert!(report.may_work_on("r1") && !report.may_work_on("r2"));
    /// assert!(EngineReport { waiting: 1, ..report }.may_work_on("r2"));
    /// ```
    pub fn may_work_on(&self, request: &str) -> bool {
        let is_listed = |runs: &Vec<String>| runs.iter().any(|run| run == request);
        self.waiting > 0 || self.runs.as_ref().is_none_or(is_listed)
    }
}

/// `Wire` encodes and decodes the messages of one deployment. It makes no decisions.
pub trait Wire: Clone + Send + Sync + 'static {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the configuration's table and the key of its row.
    fn config_row(&self) -> (&'static str, &'static str);

    /// Returns the table that holds the upstreams' entries.
    fn upstream_table(&self) -> &'static str;

    /// Returns the hasher of all configurations' API keys.
    fn key_hasher(&self) -> &KeyHasher;

    /// Decodes a configuration.
    fn config(&self, value: &[u8]) -> Result<Config, DecodeError>;

    /// Decodes an upstream's entry.
    fn entry(&self, key: &str, value: &[u8]) -> Result<Entry, DecodeError>;

    /// Decodes the description of a request's prompt.
    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Returns whether an answer with these headers indicates that its upstream is leaving.
    fn says_leaving(&self, headers: &HeaderMap) -> bool;

    /// Decodes the requests a second that an upstream accepts from all instances together, if an answer
    /// with these headers names that limit.
    fn request_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, DecodeError>;

    /// Decodes an upstream's load.
    fn load(&self, value: &HeaderValue) -> Option<Load>;

    /// Returns the value that requests an engine only to read the prompt (prefill).
    fn prefill_stage(&self) -> HeaderValue;

    /// Decodes the handle in the answer of an engine that has read a prompt.
    fn prefill_handle(&self, body: &[u8]) -> Result<String, DecodeError>;

    /// Returns the value that identifies a KV handle at an engine.
    fn kv_source(&self, address: SocketAddr, handle: &str) -> HeaderValue;

    /// Returns the call that frees a KV handle.
    fn drop_handle(&self, handle: &str) -> Call;

    /// Returns the call that gives an order.
    fn order(&self, order: &RoleOrder) -> Call;

    /// Decodes the status of an answer to an order.
    fn order_answer(&self, status: http::StatusCode) -> OrderAnswer;

    /// Returns the call that lists the content of an engine's cache.
    fn cache_list(&self) -> Call;

    /// Decodes the content of an engine's cache.
    fn cached_parts(&self, body: &[u8]) -> Result<Vec<Part>, DecodeError>;

    /// Returns the call that requests an engine's report.
    fn report(&self) -> Call;

    /// Decodes an engine's report.
    fn engine_report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Decodes the time until the caller's deadline from the header's value.
    fn time_left(&self, value: &HeaderValue) -> Option<Millis>;
}
