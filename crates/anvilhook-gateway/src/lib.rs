//! The gateway serves requests of any service, by routes and upstreams that somebody else declares.
//!
//! Where `anvilhook-daemon` has an interface of its own, the gateway passes a caller's request on
//! as it came: path, body and end-to-end headers. What it believes (the configuration in force,
//! the upstreams, what their caches hold) it reads from a [`Table`](tables::Table). How the
//! configuration, the entries and the upstreams' own messages are spelled is told by a
//! [`Wire`](wires::Wire), so that no decision knows the names of one deployment.
#![forbid(unsafe_code)]

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
mod hashes;
pub mod instances;
mod leases;
pub mod loads;
pub mod metrics;
pub mod peers;
pub mod placements;
pub mod prompts;
pub mod relay;
pub mod reloads;
pub mod roles;
pub mod speeds;
pub mod streams;
pub mod suspects;
pub mod tables;
mod texts;
pub mod usage;
pub mod wires;
