//! Simulates callers, which send requests to an instance or directly to an upstream and record the
//! outcome of each.

mod clients;
mod outcomes;

pub use clients::{Caller, ChatCall, PlainCall, micros};
pub use outcomes::{Answer, Outcome};
