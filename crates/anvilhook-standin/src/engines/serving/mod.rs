//! The engine's HTTP server, which implements `anvilhook_engine::wire`.

mod controls;
mod feeds;
mod handlers;
mod hubs;
mod ledgers;
mod pulls;
mod servers;
mod texts;

pub use ledgers::{AttemptEnd, AttemptRecord};
pub use servers::{EngineServer, EngineServerOptions, OrderFault};
pub use texts::{expected_output, prompt_digest};
