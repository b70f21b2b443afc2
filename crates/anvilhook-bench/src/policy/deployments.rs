//! The two current deployments, as the bench models them.

use anvilhook_core::units::Millis;
use anvilhook_standin::engines::EngineOptions;

use super::kinds::{Kind, KindSpec};

/// `Deployment` is one of the two sites.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Papadakis in Attica.
    Papadakis,
    /// The Association in Mexico City.
    Association,
}

impl Deployment {
    /// Both sites.
    pub const ALL: [Deployment; 2] = [Deployment::Papadakis, Deployment::Association];

    /// The model engines of each site.
    pub const ENGINES: usize = 12;
    /// The upstreams of each site's plain service.
    pub const PLAIN: usize = 3;
    /// The entry instances of each site.
    pub const INSTANCES: usize = 8;
    /// The availability zones of each site.
    pub const ZONES: usize = 3;

    /// Returns the name used in rows and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Deployment::Papadakis => "papadakis",
            Deployment::Association => "association",
        }
    }

    /// Returns the weight that the planner gives a role change against the goodput that it gains.
    pub fn change_weight(self) -> f64 {
        match self {
            Deployment::Papadakis => 1.0,
            Deployment::Association => 10.0,
        }
    }

    /// Returns the one-way delay between two availability zones, in milliseconds.
    pub fn zone_delay_ms(self) -> f64 {
        match self {
            Deployment::Papadakis => 1.0,
            Deployment::Association => 0.5,
        }
    }

    /// Returns the one-way delay from an instance to its callers.
    pub fn caller_delay(self) -> Millis {
        match self {
            Deployment::Papadakis => Millis(3),
            Deployment::Association => Millis(1),
        }
    }

    /// Returns the sizes of a kind's requests at this site.
    pub fn kind(self, kind: Kind) -> KindSpec {
        let (shared, own, output, topics) = match (self, kind) {
            (Deployment::Papadakis, Kind::Verdict) => (6_144, 1_500..3_500, 40..80, 24),
            (Deployment::Papadakis, Kind::Question) => (256, 50..350, 120..260, 1),
            (Deployment::Association, Kind::Verdict) => (4_096, 2_000..5_000, 60..120, 32),
            (Deployment::Association, Kind::Question) => (256, 40..200, 60..140, 1),
            (_, Kind::Record) => (0, 0..1, 0..1, 1),
        };
        KindSpec { shared, own, output, topics }
    }

    /// Returns the engines' speeds and memory. The KV cache holds about 160,000 tokens, as many as
    /// all shared texts together.
    pub fn engine_options(self) -> EngineOptions {
        EngineOptions { cache_blocks: 640, token_events: false, ..EngineOptions::default() }
    }
}
