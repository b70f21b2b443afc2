//! The HTTP server and client that all of anvilhook's HTTP bindings share.
//!
//! The server passes requests to `volo-http`'s routers, bounds what its clients may make the process hold, and shuts down
//! as gracefully as requests need. The client is a thin wrapper around `volo-http`'s and adds a verdict to each failure.
#![forbid(unsafe_code)]

pub mod answers;
mod bodies;
mod client_budgets;
mod client_holds;
mod client_streams;
pub mod clients;
pub mod collecting;
mod connections;
pub mod errors;
mod heads;
mod interim;
mod own_connections;
pub mod pauses;
pub mod servers;

pub use bodies::{GuardedBody, SendProgress, counted};
pub use client_budgets::ClientBudget;
pub use client_holds::{BodyRoom, ClientConnection, ClientHold, collect_request};
pub use clients::{ClientOptions, HttpClient};
pub use errors::{CallError, Stage};
pub use servers::{
    AdmitAll, Closed, ConnectionCheck, ConnectionLimits, Phase, Shutdown, serve, serve_checked,
};
