//! A stand-in plain service, such as one that sends alerts or records sales. It runs every call
//! that reaches it and records each run, so that checks detect duplicated and lost calls.

mod handlers;
mod ledgers;
mod servers;

pub use handlers::PlainAnswer;
pub use ledgers::{Run, RunLedger, body_digest};
pub use servers::{PlainServer, PlainServerOptions};
