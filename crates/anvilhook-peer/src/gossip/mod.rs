//! The pure part of the link. It performs no I/O and receives the time from its caller.
//!
//! Each instance writes three sections about itself: acknowledgements, load and account demand. A
//! section is numbered and always replaced as a whole. Merging retains the highest number from each
//! origin, so messages can be repeated, reordered or lost without harm. Every update carries the
//! configuration's revision; an instance that does not have that revision pulls the bytes.

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
