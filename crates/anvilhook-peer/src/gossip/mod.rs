//! The pure part of the link: no I/O, no time of its own.
//!
//! Each instance writes three sections about itself: acknowledgements, load and account demand. A
//! section is replaced as a whole and numbered, so merging keeps the highest number of each origin
//! and can be repeated, reordered or left out without harm. The configuration's revision travels
//! with every update; the bytes are pulled by the one that lacks them.

mod budgets;
mod configurations;
mod knowledge;
mod latest_sections;
mod messages;
mod nodes;
mod options;
mod partner_states;
mod partners;
mod sections;

pub use budgets::{hops_within, reach, spacing, traffic};
pub use configurations::ConfigurationCache;
pub use knowledge::ChangedSections;
pub use latest_sections::{LatestSections, ReceivedSection, SectionBounds};
pub use messages::{Item, LinkId, Message, Transfer, Transport, Update};
pub use nodes::GossipNode;
pub use options::GossipOptions;
pub use partners::{PartnerOptions, choose_partners};
pub use sections::{
    AccountDigest, AckSection, DemandSection, DrainAck, EngineDigest, LoadSection, ReportDigest,
    Section, TermAck,
};
