//! What a link is started with.

use std::net::SocketAddr;

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::units::Millis;

use crate::gossip::GossipOptions;
use crate::keys::PeerKey;

/// `PeerAddress` is where an instance listens for its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// The instance.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its peer address.
    pub address: SocketAddr,
}

/// `PeerOptions` says who an instance is and bounds its links.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// The instance's name. A restarted process takes a new one, because numbers begin anew.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The key that all instances share.
    pub key: PeerKey,
    /// What is said, how often, and to how many.
    pub gossip: GossipOptions,
    /// The most links, in both directions.
    pub max_links: usize,
    /// The most accepted connections that have not proved themselves yet.
    pub max_unauthenticated: usize,
    /// How long connecting and proving may take.
    pub connect_timeout: Millis,
    /// The first wait before an instance that failed is tried again. It doubles with each failure.
    pub backoff: Millis,
    /// The longest wait.
    pub max_backoff: Millis,
    /// The largest message, in bytes.
    pub max_message_bytes: usize,
    /// The bytes that may arrive before the other side has proved itself.
    pub max_unauthenticated_bytes: u64,
    /// The bytes a second that a partner may send for long; a burst may have `burst_bytes`.
    pub max_bytes_per_s: u64,
    /// The bytes that a partner may send at once.
    pub burst_bytes: u64,
}

impl PeerOptions {
    /// Returns the defaults for an instance.
    pub fn new(name: InstanceName, zone: ZoneName, key: PeerKey) -> Self {
        Self {
            name,
            zone,
            key,
            gossip: GossipOptions::default(),
            max_links: 16,
            max_unauthenticated: 16,
            connect_timeout: Millis(1_000),
            backoff: Millis(200),
            max_backoff: Millis(10_000),
            max_message_bytes: 4 * 1_024 * 1_024,
            max_unauthenticated_bytes: 8 * 1_024,
            max_bytes_per_s: 256 * 1_024,
            burst_bytes: 8 * 1_024 * 1_024,
        }
    }
}
