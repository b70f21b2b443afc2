//! What an engine's server did with each attempt, as counted on its own side.

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::{Millis, Tokens};

use crate::engines::Refused;

/// `AttemptEnd` says how an attempt ended at the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// It was refused; nothing of it was done.
    Refused(Refused),
    /// Its output was generated whole.
    Finished,
    /// Its prompt was read for export.
    Prefilled,
    /// It was cancelled by a call.
    Cancelled,
    /// Nobody read its answer any more.
    Abandoned,
    /// A crash or an order dropped it.
    Cut,
}

/// `AttemptRecord` is one attempt that reached the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// A number that stands for the prompt; see `prompt_digest`.
    pub prompt: u64,
    /// The length asked for.
    pub output: Tokens,
    /// When it came.
    pub received_at: Millis,
    /// How and when it ended, if it has.
    pub end: Option<(AttemptEnd, Millis)>,
}

impl AttemptRecord {
    /// Returns whether the engine did any of the attempt's work. A "not run" about such an attempt
    /// is false.
    pub fn ran(&self) -> bool {
        !matches!(self.end, Some((AttemptEnd::Refused(_), _)))
    }
}
