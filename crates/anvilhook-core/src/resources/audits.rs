//! The audit trail: one entry for each accepted change.

use serde::{Deserialize, Serialize};

use super::{Change, Spec};
use crate::attempts::ChangeId;
use crate::names::{InstanceName, SubjectName};
use crate::units::{Revision, WallTime};

/// `AuditEntry` says who changed what, when and through which instance. It is the change's row as
/// well, so that no change is without an entry and no entry without a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditEntry {
    /// The revision that the change made.
    pub revision: Revision,
    /// The id that the change was sent with.
    pub change_id: ChangeId,
    /// Who asked for it.
    pub subject: SubjectName,
    /// When, on the clock of the instance.
    pub at: WallTime,
    /// The instance that accepted it.
    pub instance: InstanceName,
    /// What was done to which resource.
    #[serde(flatten)]
    pub change: Change,
    /// The spec before the change, if the resource was there.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub before: Option<Spec>,
}
