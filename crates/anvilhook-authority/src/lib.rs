//! Exercises authority over engines: renews leases, gives orders and awaits drains.
//!
//! Every instance runs a `Controller` and a `Follower`. The controller takes the leases of pools that
//! have no holder, and reconciles the engines of the pools that it holds with their desired state. The
//! follower observes the drains that holders have marked, and acknowledges them. The rules are in
//! `anvilhook_core::{leases, authority, drains, membership}`; this crate adds the reads and writes.
#![forbid(unsafe_code)]

mod circuit_breakers;
mod controllers;
mod engines;
mod fleets;
mod followers;
mod observations;
mod options;
mod orphans;
mod owners;
mod plans;
mod pools;
mod rows;
mod sessions;
mod slots;
mod takeovers;

pub use controllers::{Controller, Services};
pub use fleets::{DrainHint, PeerHints, TermHint};
pub use followers::{AckSchedule, Follower};
pub use observations::{Observation, reasons};
pub use options::ControllerOptions;
pub use plans::{DeclaredDrain, EnginePlan, PoolPlan};
pub use rows::{DRAIN_ACK_PREFIX, OWNER_PREFIX, POOL_PREFIX, SESSION_PREFIX};
