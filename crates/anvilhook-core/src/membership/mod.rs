//! Tracks which instances exist, from their announcements in the table and the platform's instance list.

mod candidates;
mod members;
mod readers;

pub use candidates::{CandidateOptions, rank, watch_interval};
pub use members::{Listed, Roster};
pub use readers::{READERS, choose_readers};
