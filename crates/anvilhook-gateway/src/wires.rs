//! How a deployment spells what the gateway says and hears.

use std::fmt;
use std::net::SocketAddr;

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
    /// The time that the caller waits.
    pub deadline: HeaderName,
    /// The upstream's signature of an answer.
    pub signature: HeaderName,
    /// The upstream that a request is meant for.
    pub expect_instance: HeaderName,
    /// The upstream that answered.
    pub instance: HeaderName,
    /// Says that the upstream did not run the request.
    pub not_run: HeaderName,
    /// The upstream's load.
    pub load: HeaderName,
    /// The last event that a stream's caller has.
    pub last_event_id: HeaderName,
    /// Asks an engine for one stage of the work.
    pub stage: HeaderName,
    /// The handle from which an engine fetches a prompt's KV cache.
    pub kv_source: HeaderName,
    /// The engine from which another may fetch what it keeps of a prompt.
    pub kv_fetch: HeaderName,
    /// The urgency of a request at an engine.
    pub priority: HeaderName,
    /// The name of the caller's client account.
    pub account: HeaderName,
    /// Says in an upstream's answer that it is leaving.
    pub leaving: HeaderName,
    /// All headers that a caller may not set; they are taken off its request.
    pub reserved: Vec<HeaderName>,
}

/// `DecodeError` is a message of the platform that can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// Where in the message the fault is.
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

/// `Load` is what an upstream says of its load in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// `RoleOrder` asks an engine to change its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleOrder {
    /// The role to take.
    pub role: Role,
    /// Who gives the order.
    pub holder: String,
    /// The fencing token of its lease.
    pub fencing_token: u64,
    /// The number of orders that the engine must have taken so far, if it is known.
    pub expected: Option<u64>,
}

/// `OrderAnswer` is what an engine says to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is being carried out, or holds already.
    Taken,
    /// Another order is in progress, or another came before.
    Busy,
    /// A newer holder has given orders.
    Fenced,
    /// The engine is another one, or does not know the order.
    Refused,
}

/// `Call` is a request of the gateway's own to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: http::Method,
    /// The path.
    pub path: String,
    /// The JSON body, if there is one.
    pub body: Option<Vec<u8>>,
}

/// `EngineReport` is what an engine reports of itself on demand.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Its role.
    pub role: Role,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders that it has taken.
    pub orders: u64,
    /// When this start of it was, if it says so.
    pub born: Option<u64>,
    /// Requests that wait to be run.
    pub waiting: u32,
    /// The ids of the requests that run, if it says them.
    pub runs: Option<Vec<String>>,
}

impl EngineReport {
    /// Returns whether the engine may still work on a request that was sent a while ago.
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

/// `Wire` spells and reads the messages of one deployment. It decides nothing.
pub trait Wire: Clone + Send + Sync + 'static {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the table of the configuration and the key of its row.
    fn config_row(&self) -> (&'static str, &'static str);

    /// Returns the table of the upstreams' entries.
    fn upstream_table(&self) -> &'static str;

    /// Reads a configuration.
    fn config(&self, value: &[u8]) -> Result<Config, DecodeError>;

    /// Reads an upstream's entry.
    fn entry(&self, key: &str, value: &[u8]) -> Result<Entry, DecodeError>;

    /// Reads what a request says of its prompt.
    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Returns whether an answer with these headers says that its upstream leaves.
    fn says_leaving(&self, headers: &HeaderMap) -> bool;

    /// Reads an upstream's load.
    fn load(&self, value: &HeaderValue) -> Option<Load>;

    /// Returns the value that asks an engine only to read the prompt.
    fn prefill_stage(&self) -> HeaderValue;

    /// Reads the handle in the answer of an engine that has read a prompt.
    fn prefill_handle(&self, body: &[u8]) -> Result<String, DecodeError>;

    /// Returns the value that names a KV handle at an engine.
    fn kv_source(&self, address: SocketAddr, handle: &str) -> HeaderValue;

    /// Returns the call that frees a KV handle.
    fn drop_handle(&self, handle: &str) -> Call;

    /// Returns the call that gives an order.
    fn order(&self, order: &RoleOrder) -> Call;

    /// Reads the status of an answer to an order.
    fn order_answer(&self, status: http::StatusCode) -> OrderAnswer;

    /// Returns the call for what an engine's cache holds.
    fn cache_list(&self) -> Call;

    /// Reads what an engine's cache holds.
    fn cached_parts(&self, body: &[u8]) -> Result<Vec<Part>, DecodeError>;

    /// Returns the call for an engine's report.
    fn report(&self) -> Call;

    /// Reads an engine's report.
    fn engine_report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Returns how long is left of the caller's time, from the header's value.
    fn time_left(&self, value: &HeaderValue) -> Option<Millis>;
}
