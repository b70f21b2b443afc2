//! The server and client shells that every HTTP binding of anvilhook shares.
//!
//! Both are thin covers of `volo-http`. The server's cover adds a graceful shutdown that waits as
//! long as requests need; the client's adds the verdict on each failure, in this one place.
#![forbid(unsafe_code)]

pub mod answers;
pub mod clients;
pub mod errors;
mod heads;
pub mod pauses;
pub mod servers;

pub use clients::{ClientOptions, HttpClient};
pub use errors::{CallError, Stage};
pub use servers::{Phase, Shutdown, serve};
