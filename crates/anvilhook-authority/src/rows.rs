//! The table rows that store authority.
//!
//! | row | value |
//! |---|---|
//! | `authority/pools/<pool>` | a `PoolRow`; never deleted, so that no term is used twice |
//! | `authority/sessions/<instance>` | a `SessionRow` |
//! | `authority/drain-acks/<instance>` | a `DrainAck` |
//! | `authority/engines/<address>` | an `EngineOwner`, from the first order on; never deleted |
//! | `authority/load-slots` | the `LoadSlots` |

use std::net::SocketAddr;

use anvilhook_core::names::{InstanceName, PoolName};
use anvilhook_platform::{Condition, Error, Result, Row, RowKey, Table, Write};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The prefix of the rows of pools.
pub const POOL_PREFIX: &str = "authority/pools/";
/// The prefix of the rows of sessions.
pub const SESSION_PREFIX: &str = "authority/sessions/";
/// The prefix of the rows of engines' owners.
pub const OWNER_PREFIX: &str = "authority/engines/";
/// The prefix of the rows of drain acknowledgements.
pub const DRAIN_ACK_PREFIX: &str = "authority/drain-acks/";

/// The maximum number of rows that one scan requests.
const PAGE_ROWS: usize = 500;

/// `Stored` is a value with the version of its row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Stored<V> {
    pub value: V,
    pub version: u64,
}

pub(crate) fn pool_key(pool: &PoolName) -> RowKey {
    RowKey::new(format!("{POOL_PREFIX}{pool}"))
}

pub(crate) fn session_key(instance: &InstanceName) -> RowKey {
    RowKey::new(format!("{SESSION_PREFIX}{instance}"))
}

pub(crate) fn drain_ack_key(instance: &InstanceName) -> RowKey {
    RowKey::new(format!("{DRAIN_ACK_PREFIX}{instance}"))
}

pub(crate) fn owner_key(engine: SocketAddr) -> RowKey {
    RowKey::new(format!("{OWNER_PREFIX}{engine}"))
}

pub(crate) fn load_slots_key() -> RowKey {
    RowKey::new("authority/load-slots")
}

/// Returns the condition that a row is still at a version, or is still absent.
pub(crate) fn unchanged_at(key: RowKey, version: Option<u64>) -> Condition {
    match version {
        Some(version) => Condition::AtVersion { key, version },
        None => Condition::Absent { key },
    }
}

pub(crate) fn put(key: RowKey, value: &impl Serialize) -> Result<Write> {
    let value = serde_json::to_string(value)
        .map_err(|err| Error::Unavailable { message: format!("{key}: {err}") })?;
    Ok(Write::Put { key, value })
}

pub(crate) fn decode<V: DeserializeOwned>(row: &Row) -> Result<Stored<V>> {
    let value = serde_json::from_str(&row.value)
        .map_err(|err| Error::BadAnswer { message: format!("{}: {err}", row.key) })?;
    Ok(Stored { value, version: row.version })
}

pub(crate) async fn read<V: DeserializeOwned>(
    table: &impl Table,
    key: &RowKey,
) -> Result<Option<Stored<V>>> {
    table.read(key).await?.as_ref().map(decode).transpose()
}

/// Finds a row among those that a conflict returned.
pub(crate) fn find<V: DeserializeOwned>(rows: &[Row], key: &RowKey) -> Result<Option<Stored<V>>> {
    rows.iter().find(|row| row.key == *key).map(decode).transpose()
}

/// Reads all rows below a prefix.
pub(crate) async fn scan<V: DeserializeOwned>(table: &impl Table, prefix: &str) -> Result<Vec<V>> {
    let mut values = Vec::new();
    let mut after: Option<RowKey> = None;
    loop {
        let rows = table.scan(prefix, after.as_ref(), PAGE_ROWS).await?;
        for row in &rows {
            values.push(decode(row)?.value);
        }
        match rows.last() {
            Some(last) if rows.len() == PAGE_ROWS => after = Some(last.key.clone()),
            _ => return Ok(values),
        }
    }
}
