//! The bounds on what a node says and keeps.

use anvilhook_core::units::Millis;

use super::partners::PartnerOptions;

/// `GossipOptions` bounds what a node says and keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipOptions {
    /// The least time between two updates on a link that carry only load and demand.
    pub round: Millis,
    /// The least time between two updates on a link that carry more urgent news.
    pub urgent_gap: Millis,
    /// The longest time between two updates on a link.
    pub heartbeat: Millis,
    /// How long an update or a pull may go unanswered before it counts as lost.
    pub answer_timeout: Millis,
    /// The least time between two own load sections.
    pub load_interval: Millis,
    /// The greatest time between two own load sections for which they cross more than one link.
    pub max_relayed_load_interval: Millis,
    /// The age from which a load section no longer counts.
    pub load_max_age: Millis,
    /// The traffic that load sections may cause at one instance, in bytes a second.
    pub load_bytes_per_s: u32,
    /// The least time between two own demand sections.
    pub demand_interval: Millis,
    /// The age from which a demand section no longer counts.
    pub demand_max_age: Millis,
    /// The traffic that demand sections may cause at one instance, in bytes a second.
    pub demand_bytes_per_s: u32,
    /// The most acknowledgements in one section.
    pub max_acks: usize,
    /// The most engines in one load section.
    pub max_engines: usize,
    /// The most accounts in one demand section.
    pub max_accounts: usize,
    /// The size from which an update takes no further section, in bytes.
    pub max_update_bytes: usize,
    /// The most instances whose sections are kept.
    pub max_origins: usize,
    /// How long anything is kept of an instance that is not announced.
    pub retention: Millis,
    /// How partners are chosen.
    pub partners: PartnerOptions,
}

impl Default for GossipOptions {
    fn default() -> Self {
        Self {
            round: Millis(500),
            urgent_gap: Millis(20),
            heartbeat: Millis(1_000),
            answer_timeout: Millis(3_000),
            load_interval: Millis(1_000),
            max_relayed_load_interval: Millis(2_500),
            load_max_age: Millis(5_000),
            load_bytes_per_s: 8_000,
            demand_interval: Millis(1_000),
            demand_max_age: Millis(10_000),
            demand_bytes_per_s: 8_000,
            max_acks: 1_024,
            max_engines: 64,
            max_accounts: 32,
            max_update_bytes: 64 * 1_024,
            max_origins: 4_096,
            retention: Millis::from_secs(600),
            partners: PartnerOptions::default(),
        }
    }
}
