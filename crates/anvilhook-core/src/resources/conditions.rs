//! Conditions describe a resource's actual state and its reasons.

use serde::{Deserialize, Serialize};

use crate::units::WallTime;

/// `ConditionState` indicates whether a condition holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConditionState {
    /// The condition holds.
    True,
    /// The condition does not hold.
    False,
    /// It is not known whether the condition holds.
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
    /// The reason, as one word for programs, such as `AwaitingPredecessor`.
    pub reason: String,
    /// The reason, as a sentence for people.
    pub message: String,
    /// The time since which the condition has had this state.
    pub since: WallTime,
}
