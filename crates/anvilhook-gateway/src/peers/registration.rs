//! Registers this instance in a table, by which instances find each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::units::Millis;

use super::members::Peers;
use crate::events::{InstanceEvent, emit};
use crate::tables::{Table, TableError, Write, Written};

/// The table of the instances' addresses.
const PEER_TABLE: &str = "anvilhook_instances";

/// The pause after a failed call to the table.
const TABLE_PAUSE: Duration = Duration::from_millis(700);

/// The time within which all instances list themselves again after a restore. All at once would
/// exceed the rate of writes that the store accepts.
const RELISTING_TIME: Millis = Millis(2_000);

/// Keeps this instance listed in the table for as long as the process runs, also if the store is
/// restored from a copy in which the instance is missing.
pub async fn keep_registered<T: Table>(
    table: T,
    name: String,
    address: SocketAddr,
    peers: Arc<Peers>,
) {
    loop {
        let epoch = register(table.clone(), name.clone(), address, Arc::clone(&peers)).await;
        peers.restored_after(epoch).await;
        let delay = Millis(peers.number() % RELISTING_TIME.0);
        tokio::time::sleep(delay.as_duration()).await;
    }
}

/// Lists this instance in the table, and adds the other listed ones. Of two instances that start
/// together, each lists itself before it reads, so at least one of them finds the other and sends
/// it a digest. Returns the epoch of the store.
pub async fn register<T: Table>(
    table: T,
    name: String,
    address: SocketAddr,
    peers: Arc<Peers>,
) -> u64 {
    loop {
        match try_register(&table, &name, address, &peers).await {
            Ok(epoch) => return epoch,
            Err(err) => {
                emit(&InstanceEvent::DependencyLost {
                    dependency: PEER_TABLE,
                    cause: err.to_string(),
                });
                tokio::time::sleep(TABLE_PAUSE).await;
            }
        }
    }
}

async fn try_register<T: Table>(
    table: &T,
    name: &str,
    address: SocketAddr,
    peers: &Peers,
) -> Result<u64, TableError> {
    let own = format!("{address} {:08x}", peers.zone());
    let value = bytes::Bytes::from(own.clone());
    // Most instances are new to the table; a conflict reveals the row of an earlier start.
    let write = Write { key: name.to_owned(), expected: 0, value: value.clone() };
    let written = table.write(PEER_TABLE, write).await?;
    let rows = table.scan(PEER_TABLE).await?;
    for row in &rows.rows {
        let text = row.value.as_ref().and_then(|value| std::str::from_utf8(value).ok());
        let listed = text.and_then(listed_instance).filter(|(listed, _)| *listed != address);
        if row.key != name {
            listed.into_iter().for_each(|(listed, zone)| peers.add_in_zone(listed, zone));
        } else if written == Written::Conflict && text != Some(own.as_str()) {
            let write = Write { key: name.to_owned(), expected: row.version, value: value.clone() };
            table.write(PEER_TABLE, write).await?;
        }
    }
    peers.record_listed(address);
    Ok(rows.epoch)
}

/// Returns the address in an instance's row, and the hash of its availability zone if the row has
/// one.
fn listed_instance(text: &str) -> Option<(SocketAddr, Option<u32>)> {
    let (address, zone) = text.split_once(' ').unwrap_or((text, ""));
    Some((address.parse().ok()?, u32::from_str_radix(zone, 16).ok()))
}
