//! What is known of a resource's actual state, and why it is so.

use serde::{Deserialize, Serialize};

use crate::units::WallTime;

/// `ConditionState` says whether a condition holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConditionState {
    /// It holds.
    True,
    /// It does not hold.
    False,
    /// It is not known.
    Unknown,
}

/// `Condition` is one aspect of a resource's actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Condition {
    /// The aspect, such as `Ready` or `Drained`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether it holds.
    pub state: ConditionState,
    /// Why, as one word for programs, such as `AwaitingPredecessor`.
    pub reason: String,
    /// Why, as a sentence for people.
    pub message: String,
    /// Since when the state has been so.
    pub since: WallTime,
}
