//! The reports that engines publish about their load and prefix caches. They arrive late and sometimes
//! with gaps.

use serde::{Deserialize, Serialize};

use crate::orders::{ModelRef, Role};
use crate::units::{Millis, Tokens};

/// `PrefixHash` is the hash of one block of a prompt together with all blocks before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// The number of tokens in one block of the prefix cache.
pub const PREFIX_BLOCK_TOKENS: u64 = 256;

/// `LoadReport` is an engine's load at the time of the report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// A number that changes with each start of the engine's process.
    pub boot: u64,
    /// The report's number since the start; a later report has a higher one.
    pub seq: u64,
    /// The age of the report when the engine sent it.
    pub age: Millis,
    /// The role at that time.
    pub role: Role,
    /// The model served at that time.
    pub model: Option<ModelRef>,
    /// Whether the engine is leaving and accepts no new work.
    pub leaving: bool,
    /// Requests waiting to start.
    pub queued_requests: u32,
    /// Prompt tokens of the waiting requests and of those being read.
    pub queued_prefill: Tokens,
    /// Requests generating output.
    pub running_requests: u32,
    /// Output tokens that the running requests still have to generate, as far as the engine knows.
    pub running_decode: Tokens,
    /// Prompt tokens that the engine reads in a second when it does nothing else.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens of one request when it runs alone.
    pub decode_step_ms: f64,
    /// The time that each further request of the batch adds to it.
    pub decode_step_per_request_ms: f64,
    /// The maximum number of requests that generate at once.
    pub max_batch: u32,
}

/// `CacheChange` is the kind of a change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// `CacheEvent` is one numbered change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The event's number since the engine's start. Events are published from 1 without gaps.
    pub seq: u64,
    /// The change.
    pub change: CacheChange,
    /// The block that changed.
    pub block: PrefixHash,
}

/// `CacheEventPage` is the response to a request for later cache events.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEventPage {
    /// A number that changes with each start of the engine's process. State from an earlier start is
    /// no longer valid.
    pub boot: u64,
    /// The events, in order. A jump in their numbers means that events are missing.
    pub events: Vec<CacheEvent>,
}
