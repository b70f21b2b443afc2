//! The bodies of the API's requests and answers.

use std::net::SocketAddr;

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::{InstanceName, PoolName, ResourceName, ZoneName};
use anvilhook_core::orders::Term;
use anvilhook_core::resources::{AuditEntry, Condition, Kind, Resource, ResourceKey};
use anvilhook_core::units::{Revision, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// `PutBody` declares or replaces a resource. Kind and name may be omitted if the path contains them.
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
    /// The status from an earlier answer. It is accepted but ignored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Value>,
}

/// `ResourceList` is a part of the configuration at one revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResourceList {
    /// The revision. A watch from this revision does not miss a change.
    pub revision: Revision,
    /// The resources, ordered by kind and name.
    pub items: Vec<Resource>,
    /// The reason why the resources' status is missing, if it could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status_missing: Option<String>,
}

/// `ChangeAnswer` is the answer to an accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeAnswer {
    /// The change's id.
    pub change_id: ChangeId,
    /// The revision that the change created.
    pub revision: Revision,
    /// The current resource, unless it was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource: Option<Resource>,
}

/// `ChangeStateAnswer` is the state of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ChangeStateAnswer {
    /// The change was accepted.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
    },
    /// The change was not accepted and never will be.
    NotAccepted,
    /// The change is not recorded, but may still be in progress. Resending it with the same id
    /// determines its outcome without applying it twice.
    Unknown,
}

/// `AuditPage` is a part of the audit trail, oldest first.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditPage {
    /// The entries, without gaps.
    pub entries: Vec<AuditEntry>,
    /// The revision at which the next page starts, if there may be one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Revision>,
}

/// `StatusAnswer` is the state of the system in the view of the answering instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusAnswer {
    /// The instance that answers.
    pub instance: InstanceName,
    /// The revision that is active at this instance.
    pub in_force: Revision,
    /// The last accepted revision, or `None` if the table cannot be read.
    pub head: Option<Revision>,
    /// The reason why the other fields are missing, if the table cannot be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub missing: Option<String>,
    /// All announced instances.
    pub instances: Vec<InstanceAnswer>,
    /// The leases of the pools and their holders.
    pub leases: Vec<LeaseAnswer>,
}

/// `InstanceAnswer` is one announced instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceAnswer {
    /// The instance's name.
    pub name: InstanceName,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The address at which peers reach the instance.
    pub peer_address: SocketAddr,
    /// The revision that the instance last reported as active.
    pub revision: Revision,
    /// The time since which that revision has been active. It is earlier than the report.
    pub since: WallTime,
    /// The number of revisions by which the reported one lags behind the head. A report follows the
    /// change by up to five seconds, or by one second per 50 instances if that is longer, so a lag
    /// that disappears within that time is normal.
    pub lag: u64,
}

/// `LeaseAnswer` is the state of the lease that grants authority over one pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseAnswer {
    /// The pool.
    pub pool: PoolName,
    /// The lease's holder, if there is one.
    pub holder: Option<InstanceName>,
    /// The fencing number.
    pub term: Term,
    /// Former holders that are not known to have stopped giving orders.
    pub uncleared: Vec<InstanceName>,
    /// The number of orders that are not known to be completed.
    pub open_orders: usize,
}

/// `Observation` is a condition and the instance that observed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// The instance that observed the condition.
    pub observer: InstanceName,
    /// The condition.
    #[serde(flatten)]
    pub condition: Condition,
}

/// `WhyAnswer` explains why a resource's actual state differs from its declared state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WhyAnswer {
    /// The resource.
    pub key: ResourceKey,
    /// The declared resource, or `None` if it was deleted.
    pub wanted: Option<Resource>,
    /// The observed conditions of the resource.
    pub observed: Vec<Observation>,
    /// The conditions that do not hold and that the resource is therefore waiting for.
    pub waiting: Vec<Observation>,
    /// The last change of the resource.
    pub last_change: Option<AuditEntry>,
    /// Announced instances that have not yet reported that change as active.
    pub lagging: Vec<InstanceName>,
    /// The reason why other fields are incomplete, if the table cannot be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub missing: Option<String>,
}
