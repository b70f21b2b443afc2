//! Records of the attempts that reached an engine's server and of how each ended.

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::{Millis, Tokens};

use crate::engines::Refused;

/// `AttemptEnd` is the way in which an attempt ended at the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The engine refused the attempt and did none of its work.
    Refused(Refused),
    /// The complete output was generated.
    Finished,
    /// The prompt was read and its KV cache stored for export.
    Prefilled,
    /// A call cancelled the attempt.
    Cancelled,
    /// The engine cancelled the attempt because its answer had no reader left.
    Abandoned,
    /// A crash or an order dropped the attempt.
    Cut,
}

/// `AttemptRecord` is one attempt that reached the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptRecord {
    /// The attempt's id.
    pub attempt: AttemptId,
    /// The digest of the prompt; see `prompt_digest`.
    pub prompt: u64,
    /// The requested length of the output.
    pub output: Tokens,
    /// When the attempt was received.
    pub received_at: Millis,
    /// How and when the attempt ended, if it has.
    pub end: Option<(AttemptEnd, Millis)>,
}

impl AttemptRecord {
    /// Returns whether the engine may have done any of the attempt's work: everything but a refusal
    /// counts. Reporting such an attempt as "not run" is wrong.
    pub fn ran(&self) -> bool {
        !matches!(self.end, Some((AttemptEnd::Refused(_), _)))
    }
}
