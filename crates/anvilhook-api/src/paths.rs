//! The paths and headers of the API.

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::{Kind, ResourceKey};

/// The beginning of all paths.
pub const ROOT: &str = "/api/v1";
/// All resources at one revision.
pub const CONFIGURATION: &str = "/api/v1/configuration";
/// Changes as they are accepted.
pub const WATCH: &str = "/api/v1/watch";
/// Who changed what.
pub const AUDIT: &str = "/api/v1/audit";
/// Instances, their revisions and lease holders.
pub const STATUS: &str = "/api/v1/status";
/// What became of a change.
pub const CHANGES: &str = "/api/v1/changes";
/// What a resource waits for.
pub const WHY: &str = "/api/v1/why";

/// The header that carries the id of a change, in the request if the caller chooses it, and in
/// every answer to a change.
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

/// Returns the path of what a resource waits for.
pub fn why(key: &ResourceKey) -> String {
    format!("{WHY}/{}/{}", key.kind, key.name)
}
