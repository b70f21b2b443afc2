//! Stores data in the platform's table: the configuration, its audit trail, claims, statuses and the
//! records of instances.
//!
//! Each change of the configuration is one transaction, together with its revision and its audit entry.
//! Every change has its own row, so an instance that follows the configuration reads one small row
//! while nothing changes, and otherwise only the changes that it is missing.
#![forbid(unsafe_code)]

pub mod archives;
pub mod changes;
pub mod claims;
pub mod configurations;
pub mod errors;
pub mod followers;
pub mod histories;
pub mod instances;
pub mod memberships;
pub mod rows;
pub mod statuses;

pub use archives::{ArchiveOptions, ArchiveStep, AuditArchive};
pub use changes::{Accepted, ChangeRequest, ChangeState};
pub use configurations::{CatchUp, ConfigurationStore, Head, StoreOptions};
pub use errors::{Error, Result};
pub use followers::{Adoption, ConfigurationFollower};
pub use instances::{InstanceDirectory, InstanceRecord, ReportSchedule};
pub use memberships::{Member, MembershipFollower, MembershipOptions, PollReport};
pub use statuses::{StatusRecord, StatusStore};
