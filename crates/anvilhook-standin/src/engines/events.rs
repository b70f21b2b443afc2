//! The requests that an engine receives and the events that it publishes.

use std::fmt;
use std::sync::Arc;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::Stamp;
use anvilhook_core::reports::PrefixHash;
use anvilhook_core::units::{Millis, Tokens};

/// `WorkKind` indicates which part of a request an engine is to process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WorkKind {
    /// Read the prompt and generate the output.
    Full,
    /// Read the prompt and retain its KV cache for export.
    Prefill,
    /// Import the prompt's KV cache and generate the output.
    Decode,
}

/// `ModelRequest` is the work of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelRequest {
    /// The attempt's id.
    pub attempt: AttemptId,
    /// The part of the request to process.
    pub kind: WorkKind,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The hashes of the prompt's complete blocks, from its start.
    pub blocks: Arc<[PrefixHash]>,
    /// The length of the output; 0 counts as 1 where output is generated.
    pub output: Tokens,
    /// The priority; smaller values go first.
    pub priority: u8,
}

/// `Refused` is the reason why an engine refused a request. A refused request has not run at all.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refused {
    /// The engine's process is not running.
    Down,
    /// An order is being carried out.
    Changing,
    /// The engine's role does not include this kind of work.
    WrongRole,
    /// No model is loaded.
    NoModel,
    /// Too many requests are waiting.
    QueueFull,
    /// The engine already knows the attempt.
    Duplicate,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refused::Down => "the engine is down",
            Refused::Changing => "an order is being carried out",
            Refused::WrongRole => "the engine's role does not include this work",
            Refused::NoModel => "no model is loaded",
            Refused::QueueFull => "too many requests wait",
            Refused::Duplicate => "the attempt is already known",
        })
    }
}

impl std::error::Error for Refused {}

/// `CutCause` is the reason why an engine dropped open requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CutCause {
    /// The process terminated.
    Crash,
    /// An order took the engine out of service while requests were open.
    Order,
}

/// `EngineEvent` is an event of an engine. Events are returned in the order of their times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// The first token of the output has been generated.
    FirstToken {
        /// The attempt's id.
        attempt: AttemptId,
        /// The time of the event.
        at: Millis,
        /// The number of prompt tokens found in the prefix cache.
        cached: Tokens,
    },
    /// A later token has been generated. Published only with `EngineOptions::token_events`.
    Token {
        /// The attempt's id.
        attempt: AttemptId,
        /// The token's number, from 2.
        index: u64,
        /// The time of the event.
        at: Millis,
    },
    /// The last token has been published.
    Finished {
        /// The attempt's id.
        attempt: AttemptId,
        /// The time of the event.
        at: Millis,
        /// The output's length.
        output: Tokens,
        /// The longest time between two consecutive tokens.
        longest_gap: Millis,
    },
    /// The prompt has been read and its KV cache can be exported. Completes work of kind `Prefill`.
    Prefilled {
        /// The attempt's id.
        attempt: AttemptId,
        /// The time of the event.
        at: Millis,
        /// The number of prompt tokens found in the prefix cache.
        cached: Tokens,
    },
    /// The attempt was cancelled before its end.
    Cancelled {
        /// The attempt's id.
        attempt: AttemptId,
        /// The time of the event.
        at: Millis,
    },
    /// The engine dropped the attempt before its end.
    Cut {
        /// The attempt's id.
        attempt: AttemptId,
        /// The time of the event.
        at: Millis,
        /// Why it was dropped.
        cause: CutCause,
    },
    /// An order has been carried out.
    OrderDone {
        /// The order's stamp.
        stamp: Stamp,
        /// The time of the event.
        at: Millis,
    },
}
