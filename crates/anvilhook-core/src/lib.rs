//! The decision logic and aggregates of anvilhook, without I/O.
//!
//! Nothing in this crate opens a socket, starts a thread or reads a clock: the time and a seeded
//! generator are passed in, so that every decision can be replayed in a test.
#![forbid(unsafe_code)]

pub mod admission;
pub mod api_keys;
pub mod attempts;
pub mod authority;
pub mod body_memory;
pub mod caches;
pub mod clearances;
pub mod client_bounds;
pub mod clock_offsets;
pub mod connection_admission;
pub mod demand_shares;
pub mod drains;
pub mod ejections;
pub mod errors;
pub mod fair_shares;
pub mod fingerprints;
pub mod fleet_size;
pub mod leases;
pub mod limits;
pub mod membership;
pub mod names;
pub mod orders;
pub mod pacing;
pub mod part_trials;
pub mod paths;
pub mod plain_costs;
pub mod quarantine;
pub mod ranks;
pub mod rate_shares;
pub mod reading_backlogs;
pub mod reading_lanes;
pub mod reports;
pub mod resources;
pub mod retries;
pub mod roles;
pub mod routing;
pub mod sendings;
pub mod slow_starts;
pub mod speeds;
pub mod splits;
pub mod start_history;
pub mod stops;
pub mod stream_origins;
pub mod units;
pub mod usage;
pub mod verdict;
pub mod waiting_queues;
pub mod watches;

pub use errors::{Error, Result};
pub use verdict::Verdict;
