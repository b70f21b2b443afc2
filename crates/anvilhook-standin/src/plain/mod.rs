//! A plain service, such as one that sends alerts or keeps a ledger of sales: it runs every call
//! that reaches it, and counts each run, so that doubled and lost calls are seen on its side.

mod handlers;
mod ledgers;
mod servers;

pub use handlers::PlainAnswer;
pub use ledgers::{Run, RunLedger, body_digest};
pub use servers::{PlainServer, PlainServerOptions};
