//! The platform's services as the system sees them: a transactional table, an object store and a
//! lagging list of instances.
//!
//! The traits are what the decisions rest on; `wire` is the form in which the one HTTP binding
//! and the stand-in speak of them. Another site's form becomes another binding beside it.
#![forbid(unsafe_code)]

pub mod errors;
pub mod http_platform;
pub mod instance_lists;
pub mod objects;
pub mod tables;
pub mod wire;

pub use errors::{Error, Result};
pub use http_platform::{HttpPlatform, HttpPlatformOptions};
pub use instance_lists::{InstanceList, ListedInstance, ListedState};
pub use objects::ObjectStore;
pub use tables::{Commit, Condition, Row, RowKey, Table, Transaction, Write};
