//! The audit trail: one entry for each accepted change.

use serde::{Deserialize, Serialize};

use super::{Change, Spec};
use crate::attempts::ChangeId;
use crate::names::{InstanceName, SubjectName};
use crate::units::{Revision, WallTime};

/// `AuditEntry` records who changed what, when and through which instance. The same row also stores the
/// change itself, so that there is no change without an entry and no entry without a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditEntry {
    /// The revision that the change made.
    pub revision: Revision,
    /// The id that the change was sent with.
    pub change_id: ChangeId,
    /// The subject that requested the change.
    pub subject: SubjectName,
    /// The time of the change, on the clock of the instance.
    pub at: WallTime,
    /// The instance that accepted it.
    pub instance: InstanceName,
    /// The resource and what was done to it.
    #[serde(flatten)]
    pub change: Change,
    /// The spec before the change, if the resource existed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub before: Option<Spec>,
}
