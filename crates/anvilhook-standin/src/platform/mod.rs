//! The stand-in platform: a transactional table, an object store and an instance list with a lag.
//!
//! The services are state machines. `LocalPlatform` gives access to them within the process,
//! `PlatformServer` over HTTP. Both apply the same faults to every call.
//!
//! ```
//! use anvilhook_core::units::ManualClock;
//! use anvilhook_platform::{Condition, RowKey, Table, Transaction, Write};
//! use anvilhook_standin::platform::{LocalPlatform, Loss, PlatformOptions};
//!
//! # let rt = tokio::runtime::Builder::new_current_thread().build().unwrap();
//! # rt.block_on(async {
//! let platform = LocalPlatform::new(ManualClock::new(), PlatformOptions::default());
//! let key = RowKey::new("leases/pool-a");
//! let txn = Transaction {
//!     conditions: vec![Condition::Absent { key: key.clone() }],
//!     writes: vec![Write::Put { key: key.clone(), value: "1".into() }],
//! };
//!
//! // The next answer is lost after the write takes effect; a read back shows the row.
//! platform.faults().lose_next_writes(1, Loss::AfterEffect);
//! assert!(platform.commit(&txn).await.is_err());
//! assert_eq!(platform.read(&key).await.unwrap().unwrap().value, "1");
//! # });
//! ```

mod counts;
mod faults;
mod instance_lists;
mod local;
mod objects;
mod rate_limits;
mod servers;
mod tables;

pub use counts::Counts;
pub use faults::{Loss, PlatformFaults, Reach, Service};
pub use instance_lists::InstanceListState;
pub use local::{LocalPlatform, Pacing, PlatformOptions};
pub use objects::ObjectStoreState;
pub use rate_limits::RateLimits;
pub use servers::{PlatformServer, serve_at};
pub use tables::TableState;
