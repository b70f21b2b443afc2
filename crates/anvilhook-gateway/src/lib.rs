//! The gateway serves requests to any service, by routes and upstreams that are declared elsewhere.
//!
//! Unlike `anvilhook-daemon`, which defines its own interface, the gateway forwards a caller's request
//! unchanged: path, body and end-to-end headers. It reads its cached state (the active configuration, the
//! upstreams and the content of their caches) from a [`Table`](tables::Table). A [`Wire`](wires::Wire)
//! encodes and decodes the configuration, the entries and the upstreams' messages, so that no decision
//! depends on the names that one deployment uses.
#![forbid(unsafe_code)]

pub mod account_shares;
pub mod budgets;
pub mod caches;
pub mod clouds;
pub mod configs;
pub mod controls;
pub mod duties;
pub mod entries;
pub mod events;
pub mod fleets;
pub mod followers;
pub mod forwarding;
mod hashes;
pub mod instances;
mod leases;
pub mod loads;
pub mod metrics;
pub mod origins;
pub mod paths;
pub mod peers;
pub mod placements;
pub mod policies;
pub mod prompts;
pub mod relay;
pub mod reloads;
pub mod request_limits;
pub mod roles;
pub mod slow_starts;
pub mod speeds;
pub mod streams;
pub mod suspects;
pub mod tables;
mod texts;
pub mod usage;
pub mod wires;
