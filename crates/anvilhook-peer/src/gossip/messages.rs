//! The messages between two partners, and the transport that carries them.

use std::sync::Arc;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Millis, Revision};

use super::sections::{AckSection, DemandSection, LoadSection};

/// `LinkId` names one connection within one instance. It is never used again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u64);

/// `Item` is a section on its way.
#[derive(Clone, Debug, PartialEq)]
pub struct Item<T> {
    /// The instance that wrote it.
    pub origin: InstanceName,
    /// Its number among the origin's sections of this kind.
    pub version: u64,
    /// How long ago it was written, as the sender reckons.
    pub age: Millis,
    /// How many links it has crossed, this one included.
    pub hops: u8,
    /// The section.
    pub body: Arc<T>,
}

/// `Update` is what one partner tells the other. An empty one is a heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// The newest configuration that the sender holds.
    pub revision: Revision,
    /// Acknowledgements.
    pub acks: Vec<Item<AckSection>>,
    /// Load digests.
    pub load: Vec<Item<LoadSection>>,
    /// Account demand.
    pub demand: Vec<Item<DemandSection>>,
}

impl Update {
    /// Returns whether the update carries any section.
    pub fn has_sections(&self) -> bool {
        !(self.acks.is_empty() && self.load.is_empty() && self.demand.is_empty())
    }
}

/// `Transfer` carries a configuration, whole or as a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Transfer {
    /// The revision that the bytes are a change of; zero if they are a whole configuration.
    pub base: Revision,
    /// The revision that they lead to.
    pub revision: Revision,
    /// The bytes.
    pub json: Arc<[u8]>,
}

/// `Message` is one message between two partners.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// News, which the receiver confirms.
    Update {
        /// The update's number on this link.
        seq: u64,
        /// The news.
        update: Arc<Update>,
    },
    /// The news has been merged.
    Confirm {
        /// The update's number.
        seq: u64,
    },
    /// Asks for the newest configuration.
    Pull {
        /// The revision that the asker holds.
        have: Revision,
    },
    /// Answers a pull.
    Transfer(Transfer),
}

/// `Transport` carries messages to partners. It may lose, delay, repeat and reorder them.
pub trait Transport {
    /// Sends a message over a link, if the link is still there.
    fn send(&mut self, link: LinkId, message: Message);
}
