//! What goes into an engine and what comes out.

use std::fmt;
use std::sync::Arc;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::Stamp;
use anvilhook_core::reports::PrefixHash;
use anvilhook_core::units::{Millis, Tokens};

/// `WorkKind` says which part of a request an engine is asked for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WorkKind {
    /// Read the prompt and generate the output.
    Full,
    /// Read the prompt and keep its KV cache for export.
    Prefill,
    /// Import the prompt's KV cache and generate the output.
    Decode,
}

/// `ModelRequest` is one attempt's work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Which part is asked for.
    pub kind: WorkKind,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The prompt's whole blocks, from its start.
    pub blocks: Arc<[PrefixHash]>,
    /// The length of the output, at least 1.
    pub output: Tokens,
    /// The priority; the smaller goes first.
    pub priority: u8,
}

/// `Refused` says why an engine did not take a request. It has done nothing of it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refused {
    /// The engine's process does not run.
    Down,
    /// An order is being carried out.
    Changing,
    /// The engine's role does not include this kind of work.
    WrongRole,
    /// No model is loaded.
    NoModel,
    /// Too many requests wait.
    QueueFull,
    /// The attempt is already known.
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

/// `CutCause` says why an engine dropped open requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CutCause {
    /// The process ended.
    Crash,
    /// An order took the engine out of service while requests were open.
    Order,
}

/// `EngineEvent` is one thing that happened in an engine. Events come in the order of their times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// The first token of the output.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
        /// When.
        at: Millis,
        /// The prompt tokens that the prefix cache spared.
        cached: Tokens,
    },
    /// A later token; published only with `EngineOptions::token_events`.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// The token's number, from 2.
        index: u64,
        /// When.
        at: Millis,
    },
    /// The last token has been published.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// When.
        at: Millis,
        /// The output's length.
        output: Tokens,
        /// The longest time between two tokens.
        longest_gap: Millis,
    },
    /// The prompt has been read and its KV cache can be exported; ends work of kind `Prefill`.
    Prefilled {
        /// The attempt.
        attempt: AttemptId,
        /// When.
        at: Millis,
        /// The prompt tokens that the prefix cache spared.
        cached: Tokens,
    },
    /// The attempt was cancelled before its end.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
        /// When.
        at: Millis,
    },
    /// The attempt was dropped before its end.
    Cut {
        /// The attempt.
        attempt: AttemptId,
        /// When.
        at: Millis,
        /// Why.
        cause: CutCause,
    },
    /// An order has been carried out.
    OrderDone {
        /// The order's stamp.
        stamp: Stamp,
        /// When.
        at: Millis,
    },
}
