//! Runs one instance: creates and connects its parts, and runs them from start to graceful stop.

mod archives;
mod authorities;
mod caches;
mod clients;
mod errors;
mod handles;
mod hints;
mod listeners;
mod load_counts;
mod loads;
mod marks;
mod metrics;
mod peers;
mod plans;
mod pollers;
mod roles;
mod shares;
mod signals;
mod starts;
mod sweeps;
mod tasks;

pub use errors::StartError;
pub use handles::{Addresses, Announcement, InstanceHandle};
pub use hints::peer_hints;
pub use load_counts::LoadSources;
pub use marks::{MarkSource, Marks, mark_pause};
pub use roles::{PoolDeclaration, RolePlanners, SeenEngine};
pub use signals::StopSignals;
pub use starts::{Instance, Parts};
pub use tasks::Tasks;
