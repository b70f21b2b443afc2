//! Orders to engines, and the authority under which they are given.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::names::ModelName;

/// `Term` is the fencing number of a lease: it is taken by compare-and-set and never reused.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}", self.0)
    }
}

/// `Stamp` defines the order of all orders to an engine: first by term, then by sequence number
/// within the term.
///
/// ```
/// use anvilhook_core::orders::{Stamp, Term};
///
/// let old = Stamp { term: Term(3), seq: 9 };
/// let new = Stamp { term: Term(4), seq: 1 };
/// assert!(new > old);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// The term of the lease under which the order is given.
    pub term: Term,
    /// The order's number within the term, from 1.
    pub seq: u64,
}

/// `Role` is the kind of work that an engine accepts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefills prompts and exports their KV cache.
    Prefill,
    /// Imports KV caches and generates output.
    Decode,
    /// Does both.
    Mixed,
}

/// `ModelRef` is one version of a model.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRef {
    /// The model.
    pub model: ModelName,
    /// Its version, from 1.
    pub version: u64,
}

/// `Order` is an order that the authority over an engine can give to it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Order {
    /// Switch to another role.
    SetRole {
        /// The role to switch to.
        role: Role,
    },
    /// Load a version of a model and serve it instead of the current one.
    LoadModel {
        /// The version to load.
        model: ModelRef,
    },
    /// Load an adapter in addition to the model.
    LoadAdapter {
        /// The adapter's name.
        adapter: ModelName,
    },
}

/// `StampedOrder` is an order with its stamp.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StampedOrder {
    /// The order's stamp: its term and its number within the term.
    pub stamp: Stamp,
    /// The order itself.
    pub order: Order,
}

/// `EngineState` is the state that an engine reports when it is read before an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Whether the engine refuses an order whose stamp is not above the last accepted one.
    pub checks_fencing: bool,
    /// A number that changes with each start of the engine's process.
    pub boot: u64,
    /// The current role.
    pub role: Role,
    /// The model that is being served, if one is loaded.
    pub model: Option<ModelRef>,
    /// The adapters that are loaded in addition to the model.
    pub adapters: Vec<ModelName>,
    /// The highest stamp accepted since the process started.
    pub last_stamp: Stamp,
    /// The order being carried out, if any.
    pub running_order: Option<StampedOrder>,
    /// The number of requests that are queued or running.
    pub open_requests: u64,
}

/// `OrderReply` is an engine's answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum OrderReply {
    /// The order is being carried out or has been carried out.
    Accepted,
    /// The stamp is not above the last accepted one; nothing was done.
    Fenced {
        /// The highest stamp that the engine has accepted.
        last: Stamp,
    },
    /// The engine cannot carry the order out now; nothing was done.
    Refused {
        /// The reason, in readable form.
        reason: String,
    },
}
