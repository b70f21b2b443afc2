//! Which instances there are: those that announced themselves in the table, seen beside what the
//! platform says of them.

mod candidates;
mod members;
mod readers;

pub use candidates::{CandidateOptions, rank, watch_interval};
pub use members::{Listed, Roster};
pub use readers::{READERS, choose_readers};
