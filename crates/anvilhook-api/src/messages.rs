//! Requests and answers.

use std::net::SocketAddr;

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::{InstanceName, PoolName, ResourceName, ZoneName};
use anvilhook_core::orders::Term;
use anvilhook_core::resources::{AuditEntry, Condition, Kind, Resource, ResourceKey};
use anvilhook_core::units::{Revision, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// `PutBody` declares or replaces a resource. Kind and name may be left out where the path has them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PutBody {
    /// The kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Kind>,
    /// The name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<ResourceName>,
    /// The version that the change replaces; zero for a resource that must not exist yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Revision>,
    /// The spec, whose fields depend on the kind.
    pub spec: Value,
    /// What an earlier answer said of the actual state. It is not looked at.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Value>,
}

/// `ResourceList` is a part of the configuration, as it was at one revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResourceList {
    /// The revision. A watch from here misses nothing.
    pub revision: Revision,
    /// The resources in the order of kind and name.
    pub items: Vec<Resource>,
    /// Why the resources' status is missing, if it could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status_missing: Option<String>,
}

/// `ChangeAnswer` says that a change was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeAnswer {
    /// The change's id.
    pub change_id: ChangeId,
    /// The revision that it made.
    pub revision: Revision,
    /// The resource as it stands now, unless it was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource: Option<Resource>,
}

/// `ChangeStateAnswer` says what became of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ChangeStateAnswer {
    /// It was accepted.
    Accepted {
        /// The revision that it made.
        revision: Revision,
    },
    /// It was not accepted and never will be.
    NotAccepted,
    /// It is not recorded, but may still be under way. Sending the change again with its id settles
    /// it without making it twice.
    Unknown,
}

/// `AuditPage` is a part of the audit trail, oldest first.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditPage {
    /// The entries, without a gap.
    pub entries: Vec<AuditEntry>,
    /// Where the next page begins, if there may be one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Revision>,
}

/// `StatusAnswer` is the state of the system as the answering instance sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusAnswer {
    /// The instance that answers.
    pub instance: InstanceName,
    /// The revision in force there.
    pub in_force: Revision,
    /// The last accepted revision, or nothing if the table cannot be read.
    pub head: Option<Revision>,
    /// Why the rest is missing, if the table cannot be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub missing: Option<String>,
    /// All announced instances.
    pub instances: Vec<InstanceAnswer>,
    /// Who holds authority over which pool.
    pub leases: Vec<LeaseAnswer>,
}

/// `InstanceAnswer` is one announced instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceAnswer {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// The revision that it last reported to be in force.
    pub revision: Revision,
    /// Since when it has been in force there, which is before it was reported.
    pub since: WallTime,
    /// How many revisions the reported one lags behind the head. A report follows the change by up
    /// to five seconds, or by a second for every 50 instances where that is longer, so a lag that
    /// goes by itself within that time says nothing.
    pub lag: u64,
}

/// `LeaseAnswer` is the authority over one pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseAnswer {
    /// The pool.
    pub pool: PoolName,
    /// The holder, if there is one.
    pub holder: Option<InstanceName>,
    /// The fencing number.
    pub term: Term,
    /// Former holders that are not known to have stopped giving orders.
    pub uncleared: Vec<InstanceName>,
    /// The number of orders that are not known to be done.
    pub open_orders: usize,
}

/// `Observation` is a condition and who observed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// The observer.
    pub observer: InstanceName,
    /// What was observed.
    #[serde(flatten)]
    pub condition: Condition,
}

/// `WhyAnswer` tells why a resource is not as it was declared.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WhyAnswer {
    /// The resource.
    pub key: ResourceKey,
    /// What is wanted; nothing if the resource was deleted.
    pub wanted: Option<Resource>,
    /// What is, as observed.
    pub observed: Vec<Observation>,
    /// The conditions that do not hold, which is what it waits for.
    pub waiting: Vec<Observation>,
    /// The change that declared it so.
    pub last_change: Option<AuditEntry>,
    /// Announced instances that have not reported that change to be in force yet.
    pub lagging: Vec<InstanceName>,
    /// Why something is missing here, if the table cannot be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub missing: Option<String>,
}
