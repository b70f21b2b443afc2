//! Calls to upstreams through other instances.
//!
//! An instance that can't reach an upstream over its own path sends the finished call to another instance (the
//! forwarder), over HTTP to the port of that instance's datagrams. The forwarder sends it to the upstream, once and
//! over its own path only, and returns the upstream's answer as it arrives. All decisions about the request stay
//! with the instance that received it: the choice of the upstream, retries, limits and usage.

mod forwarders;
mod messages;
mod serving;

pub(crate) use forwarders::{Forwarders, Scope};
pub(crate) use messages::{CALL_HEADERS, ForwardOutcome, ForwardedCall, Purpose, outcome_of};
pub use serving::forwarding_router;
pub(crate) use serving::{ServedCalls, unanswered};
