//! Estimates which engine holds which prefix in its cache.
//!
//! Engines publish the changes of their prefix caches late and with gaps, so the index is only an
//! estimate: a wrong entry costs the time to prefill a prompt again, but never causes a wrong answer.
//! Entries from before a long gap or before a restart of the engine's process are invalid.

mod followers;
mod indices;

pub use followers::CacheFollower;
pub use indices::{CacheSlot, Holder, Holders, PrefixIndex};
