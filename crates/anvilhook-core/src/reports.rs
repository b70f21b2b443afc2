//! What engines publish of their load and of their prefix caches, late and sometimes with gaps.

use serde::{Deserialize, Serialize};

use crate::orders::{ModelRef, Role};
use crate::units::{Millis, Tokens};

/// `PrefixHash` stands for one block of a prompt together with all blocks before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// The number of tokens in one block of the prefix cache.
pub const PREFIX_BLOCK_TOKENS: u64 = 256;

/// `LoadReport` is an engine's load as it was some time ago.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// A number that changes with each start of the engine's process.
    pub boot: u64,
    /// The report's number since the start; a later report has a higher one.
    pub seq: u64,
    /// How old the report was when it was answered.
    pub age: Millis,
    /// The role at that time.
    pub role: Role,
    /// The model served at that time.
    pub model: Option<ModelRef>,
    /// Whether the engine is leaving and wants no new work.
    pub leaving: bool,
    /// Requests waiting to start.
    pub queued_requests: u32,
    /// Prompt tokens of the waiting requests and of those being read.
    pub queued_prefill: Tokens,
    /// Requests generating output.
    pub running_requests: u32,
    /// Output tokens still to come of the running requests, as far as the engine knows.
    pub running_decode: Tokens,
    /// Prompt tokens that the engine reads in a second when it does nothing else.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens of one request when it runs alone.
    pub decode_step_ms: f64,
    /// How much each further request of the batch adds to that time.
    pub decode_step_per_request_ms: f64,
    /// The most requests that generate at once.
    pub max_batch: u32,
}

/// `CacheEvent` tells of one change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The block is held now.
    Stored,
    /// The block is held no more.
    Evicted,
}

/// `CacheEvent` is one numbered change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The event's number since the engine's start, from 1 without gaps as published.
    pub seq: u64,
    /// What happened.
    pub change: CacheChange,
    /// To which block.
    pub block: PrefixHash,
}

/// `CacheEventPage` is an answer to the question for later cache events.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEventPage {
    /// A number that changes with each start of the engine's process; knowledge from an earlier
    /// start is void.
    pub boot: u64,
    /// The events, in order. A jump in their numbers is a gap.
    pub events: Vec<CacheEvent>,
}
