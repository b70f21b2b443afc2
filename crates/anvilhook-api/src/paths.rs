//! The paths and headers of the API.

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::{Kind, ResourceKey};

/// The common prefix of all paths.
pub const ROOT: &str = "/api/v1";
/// The path of all resources at one revision.
pub const CONFIGURATION: &str = "/api/v1/configuration";
/// The path of the stream of accepted changes.
pub const WATCH: &str = "/api/v1/watch";
/// The path of the audit trail.
pub const AUDIT: &str = "/api/v1/audit";
/// The path of the status: instances, their revisions and lease holders.
pub const STATUS: &str = "/api/v1/status";
/// The path of the states of changes, followed by a change's id.
pub const CHANGES: &str = "/api/v1/changes";
/// The path of the conditions that a resource is waiting for, followed by the resource's key.
pub const WHY: &str = "/api/v1/why";

/// The header with the id of a change. A request may contain it to choose the id; every answer to a
/// change contains it.
pub const CHANGE_ID_HEADER: &str = "x-anvilhook-change-id";

/// Returns the path of a kind's resources.
pub fn kind(kind: Kind) -> String {
    format!("{ROOT}/{kind}")
}

/// Returns the path of a resource.
pub fn resource(key: &ResourceKey) -> String {
    format!("{ROOT}/{}/{}", key.kind, key.name)
}

/// Returns the path of a change.
pub fn change(id: ChangeId) -> String {
    format!("{CHANGES}/{id}")
}

/// Returns the path of the conditions that a resource is waiting for.
pub fn why(key: &ResourceKey) -> String {
    format!("{WHY}/{}/{}", key.kind, key.name)
}
