//! One instance: its parts, wired together, from start to graceful stop.

mod archives;
mod authorities;
mod caches;
mod clients;
mod errors;
mod handles;
mod listeners;
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
pub use marks::{MarkSource, Marks};
pub use roles::{PoolDeclaration, RoleDesk, SeenEngine};
pub use signals::StopSignals;
pub use starts::{Instance, Parts};
pub use tasks::Tasks;
