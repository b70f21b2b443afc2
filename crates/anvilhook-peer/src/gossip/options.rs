//! The limits on what a node sends and retains.

use anvilhook_core::units::Millis;

use super::partners::PartnerOptions;

/// `GossipOptions` limits what a node sends and retains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipOptions {
    /// The minimum time between two updates on a link that carry only load and demand.
    pub round: Millis,
    /// The minimum time between two updates on a link that carry acknowledgements or a new revision.
    pub urgent_gap: Millis,
    /// The maximum time between two updates on a link.
    pub heartbeat: Millis,
    /// The time after which an update or a pull without a response counts as lost.
    pub answer_timeout: Millis,
    /// The minimum time between two own load sections.
    pub load_interval: Millis,
    /// The maximum time between two own load sections that are relayed over more than one link.
    pub max_relayed_load_interval: Millis,
    /// The age beyond which a load section is ignored.
    pub load_max_age: Millis,
    /// The traffic that load sections may cause at one instance, in bytes per second.
    pub load_bytes_per_s: u32,
    /// The minimum time between two own demand sections.
    pub demand_interval: Millis,
    /// The age beyond which a demand section is ignored.
    pub demand_max_age: Millis,
    /// The traffic that demand sections may cause at one instance, in bytes per second.
    pub demand_bytes_per_s: u32,
    /// The maximum number of acknowledgements in one section.
    pub max_acks: usize,
    /// The maximum number of engines in one load section.
    pub max_engines: usize,
    /// The maximum number of accounts in one demand section.
    pub max_accounts: usize,
    /// The size from which no further section is added to an update, in bytes.
    pub max_update_bytes: usize,
    /// The maximum number of instances whose sections are retained.
    pub max_origins: usize,
    /// How long the sections of an instance that is not announced are retained.
    pub retention: Millis,
    /// The options for choosing partners.
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
