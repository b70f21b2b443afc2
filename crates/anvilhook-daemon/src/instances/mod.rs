//! One instance: its parts, wired together, from start to graceful stop.

mod configurations;
mod handles;
mod signals;
mod starts;
mod tasks;

pub use configurations::{BootstrapRow, ConfigurationSource, bootstrap_key};
pub use handles::{Addresses, Announcement, InstanceHandle};
pub use signals::StopSignals;
pub use starts::{Instance, Parts, StartError};
pub use tasks::Tasks;
