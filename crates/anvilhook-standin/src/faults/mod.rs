//! Faults of an upstream's connections and answers, used by all stand-in upstreams.
//!
//! Faults are planned while the stand-in runs, for a number of requests or for all of them.

mod answers;
mod connections;
mod servers;
mod switches;

pub use answers::{FaultyAnswers, WholeAnswer};
pub(crate) use answers::{attempt_in, break_off, echo};
pub(crate) use connections::peer_of;
pub use connections::{Connection, Connections};
pub use servers::{Front, FrontOptions};
pub use switches::{Fault, FaultPlan, Switches, When};
