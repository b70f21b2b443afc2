//! Which engine is believed to hold which prefix.
//!
//! Engines publish the changes of their prefix caches late and with gaps, so all of this is belief:
//! a wrong one costs the time of reading a prompt again, never a wrong answer. What was learnt
//! before a long gap or before a new start of the engine's process is void.

mod followers;
mod indices;

pub use followers::CacheFollower;
pub use indices::{CacheSlot, Holder, Holders, PrefixIndex};
