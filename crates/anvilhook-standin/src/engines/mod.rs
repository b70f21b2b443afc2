//! A stand-in model engine: a state machine without I/O, and a server that offers it over HTTP.
//!
//! `EngineModel` receives the time as an argument, so the same engine can serve over HTTP and run
//! under a manual clock.

mod batches;
mod caches;
mod events;
mod models;
mod options;
mod orders;
mod serving;
mod setups;
mod snapshots;

pub use events::{CutCause, EngineEvent, ModelRequest, Refused, WorkKind};
pub use models::EngineModel;
pub use options::{EngineOptions, OrderOutcome};
pub use orders::{OrderEnd, OrderRecord};
pub use serving::{
    AttemptEnd, AttemptRecord, EngineServer, EngineServerOptions, OrderFault, expected_output,
    prompt_digest,
};
