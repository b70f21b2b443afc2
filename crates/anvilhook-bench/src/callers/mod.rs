//! Callers: requests sent to an instance, or straight to an upstream, and what became of each.

mod clients;
mod outcomes;

pub use clients::{Caller, ChatCall, PlainCall, micros};
pub use outcomes::{Answer, Outcome};
