//! The keys and values of the store's rows.
//!
//! | row | value |
//! |---|---|
//! | `config/head` | the last accepted change: revision and change id |
//! | `resource/<Kind>/<name>` | a declared resource |
//! | `change/<revision>` | the audit entry of the change that made the revision |
//! | `change-id/<id>` | the revision that a change made |
//! | `audit/archive` | the revisions up to which the audit trail is archived and pruned |
//! | `audit/segment/<last revision>` | one archived segment |
//! | `status/<Kind>/<name>/<type>` | one condition of a resource |
//! | `instances/<name>` | the record of an announced instance |
//! | `membership/head`, `membership/members` | the instances as last scanned, see `memberships` |
//!
//! Revisions in keys are padded with zeros, so that the keys sort in the order of the changes.

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{Kind, ResourceKey};
use anvilhook_core::units::Revision;
use anvilhook_platform::{Row, RowKey, Table, Write};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::{Error, Result};

/// The prefix of the rows of resources.
pub const RESOURCE_PREFIX: &str = "resource/";
/// The prefix of the rows of changes.
pub const CHANGE_PREFIX: &str = "change/";
/// The prefix of the rows of archived segments.
pub const SEGMENT_PREFIX: &str = "audit/segment/";
/// The prefix of the rows of conditions.
pub const STATUS_PREFIX: &str = "status/";
/// The prefix of the rows of instances.
pub const INSTANCE_PREFIX: &str = "instances/";

/// Returns the key of the head.
pub fn head_key() -> RowKey {
    RowKey::new("config/head")
}

/// Returns the key of the archive's marker.
pub fn archive_key() -> RowKey {
    RowKey::new("audit/archive")
}

/// Returns the key of a resource.
pub fn resource_key(key: &ResourceKey) -> RowKey {
    RowKey::new(format!("{RESOURCE_PREFIX}{}/{}", key.kind, key.name))
}

/// Returns the key of a change.
pub fn change_key(revision: Revision) -> RowKey {
    RowKey::new(format!("{CHANGE_PREFIX}{:020}", revision.0))
}

/// Returns the key of the row that maps a change's id to its revision.
pub fn change_id_key(id: ChangeId) -> RowKey {
    RowKey::new(format!("change-id/{id}"))
}

/// Returns the key of the segment that ends with a revision.
pub fn segment_key(last: Revision) -> RowKey {
    RowKey::new(format!("{SEGMENT_PREFIX}{:020}", last.0))
}

/// Returns the prefix of the conditions of a kind's resources.
pub fn kind_status_prefix(kind: Kind) -> String {
    format!("{STATUS_PREFIX}{kind}/")
}

/// Returns the prefix of a resource's conditions.
pub fn status_prefix(key: &ResourceKey) -> String {
    format!("{STATUS_PREFIX}{}/{}/", key.kind, key.name)
}

/// Returns the key of an instance.
pub fn instance_key(name: &InstanceName) -> RowKey {
    RowKey::new(format!("{INSTANCE_PREFIX}{name}"))
}

/// Decodes a row's value.
pub(crate) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T> {
    serde_json::from_str(&row.value).map_err(|err| Error::undecodable(&row.key, err))
}

/// Creates the write that stores a value.
pub(crate) fn put<T: Serialize>(key: RowKey, value: &T) -> Result<Write> {
    let value = serde_json::to_string(value).map_err(|err| Error::undecodable(&key, err))?;
    Ok(Write::Put { key, value })
}

/// Reads all rows under a prefix, a page at a time.
pub(crate) async fn scan_all<T: Table>(table: &T, prefix: &str, page: usize) -> Result<Vec<Row>> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone());
        let found = table.scan(prefix, after.as_ref(), page).await?;
        let is_last = found.len() < page;
        rows.extend(found);
        if is_last {
            return Ok(rows);
        }
    }
}
