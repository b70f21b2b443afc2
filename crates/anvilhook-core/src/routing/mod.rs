//! Choosing the upstream of a request.
//!
//! A `RouteTable` is an immutable snapshot that is replaced as a whole (read-copy-update). State
//! that changes with every request, such as the work in flight, is kept in atomics of
//! `UpstreamState`, which outlives the tables that contain it.

mod costs;
mod lanes;
mod loads;
mod polls;
mod searches;
mod tables;
mod upstreams;

pub use costs::{CostOptions, Estimate, Phase, estimate};
pub use lanes::{LaneBalancer, Lanes};
pub use loads::{Load, Speeds};
pub use polls::{PollOptions, PollSchedule};
pub use tables::{Candidate, Placement, RouteRequest, RouteTable};
pub use upstreams::{SentSince, SentTotals, UpstreamState, Work};
