//! The messages between two partners, and the transport that carries them.

use std::sync::Arc;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Millis, Revision};

use super::sections::{AckSection, DemandSection, LoadSection};

/// `LinkId` identifies one connection within one instance. It is never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u64);

/// `Item` is a section in an update, with its header.
#[derive(Clone, Debug, PartialEq)]
pub struct Item<T> {
    /// The instance that wrote the section.
    pub origin: InstanceName,
    /// The section's number among the origin's sections of this kind.
    pub version: u64,
    /// How long ago the section was written, as estimated by the sender.
    pub age: Millis,
    /// How many links the section has crossed, including this one.
    pub hops: u8,
    /// The section's content.
    pub body: Arc<T>,
}

/// `Update` carries sections from one partner to the other. An empty update is a heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// The revision of the newest configuration that the sender has.
    pub revision: Revision,
    /// Acknowledgement sections.
    pub acks: Vec<Item<AckSection>>,
    /// Load sections.
    pub load: Vec<Item<LoadSection>>,
    /// Demand sections.
    pub demand: Vec<Item<DemandSection>>,
}

impl Update {
    /// Returns whether the update carries any section.
    pub fn has_sections(&self) -> bool {
        !(self.acks.is_empty() && self.load.is_empty() && self.demand.is_empty())
    }
}

/// `Transfer` carries a configuration, either complete or as a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Transfer {
    /// The revision that the change is based on; zero if the configuration is complete.
    pub base: Revision,
    /// The revision of the resulting configuration.
    pub revision: Revision,
    /// The configuration or the change as JSON.
    pub json: Arc<[u8]>,
}

/// `Message` is one message between two partners.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Carries an update, which the receiver confirms.
    Update {
        /// The update's number on this link.
        seq: u64,
        /// The update.
        update: Arc<Update>,
    },
    /// Confirms that an update has been merged.
    Confirm {
        /// The update's number.
        seq: u64,
    },
    /// Asks for the newest configuration.
    Pull {
        /// The revision that the requesting instance has.
        have: Revision,
    },
    /// Answers a pull.
    Transfer(Transfer),
}

/// `Transport` sends messages to partners. It may lose, delay, repeat and reorder them.
pub trait Transport {
    /// Sends a message over a link if the link is still open.
    fn send(&mut self, link: LinkId, message: Message);
}
