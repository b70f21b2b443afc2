//! Interfaces to the platform's services: a transactional table, an object store and a lagging list
//! of instances.
//!
//! The rest of the system depends on the traits only. `wire` defines the HTTP protocol between the
//! one binding and the stand-in. A site with another protocol needs an additional binding.
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
