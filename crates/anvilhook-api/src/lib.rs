//! The operator API: its paths and messages, and a client of it.
//!
//! The daemon's handlers and the command line share these message types, so that both change
//! together.
#![forbid(unsafe_code)]

pub mod clients;
pub mod errors;
pub mod messages;
pub mod paths;
pub mod refusals;
pub mod watches;

pub use clients::{ApiClient, ApiClientOptions};
pub use errors::{Error, Result};
pub use messages::{
    AuditPage, ChangeAnswer, ChangeStateAnswer, InstanceAnswer, LeaseAnswer, Observation, PutBody,
    ResourceList, StatusAnswer, WhyAnswer,
};
pub use refusals::{Code, Refusal, RefusalBody};
pub use watches::{WatchEvent, WatchReader};
