//! One instance: its parts, wired together, from start to graceful stop.

mod handles;
mod marks;
mod pollers;
mod signals;
mod starts;
mod tasks;

pub use handles::{Addresses, Announcement, InstanceHandle};
pub use marks::{MarkSource, Marks};
pub use signals::StopSignals;
pub use starts::{Instance, Parts, StartError};
pub use tasks::Tasks;
