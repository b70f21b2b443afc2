//! The options with which a link is started.

use std::net::SocketAddr;

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::units::Millis;

use crate::gossip::GossipOptions;
use crate::keys::PeerKey;

/// `PeerAddress` is the address at which an instance listens for its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// The instance's name.
    pub name: InstanceName,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The address for peer connections.
    pub address: SocketAddr,
}

/// `PeerOptions` identifies an instance and limits its links.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// The instance's name. A restarted process takes a new name, because its section numbers start
    /// again.
    pub name: InstanceName,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The key that all instances share.
    pub key: PeerKey,
    /// The limits on what is sent, how often, and to how many partners.
    pub gossip: GossipOptions,
    /// The maximum number of links, in both directions together.
    pub max_links: usize,
    /// The maximum number of accepted connections that are not yet authenticated.
    pub max_unauthenticated: usize,
    /// The time limit for connecting and authenticating.
    pub connect_timeout: Millis,
    /// The wait before the first retry of an instance that failed. It doubles with each failure.
    pub backoff: Millis,
    /// The maximum wait before a retry.
    pub max_backoff: Millis,
    /// The maximum size of a message, in bytes.
    pub max_message_bytes: usize,
    /// The number of bytes that may arrive before the remote side is authenticated.
    pub max_unauthenticated_bytes: u64,
    /// The sustained rate at which a partner may send, in bytes per second.
    pub max_bytes_per_s: u64,
    /// The number of bytes that a partner may send in a burst above that rate.
    pub burst_bytes: u64,
}

impl PeerOptions {
    /// Creates the default options for an instance.
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
