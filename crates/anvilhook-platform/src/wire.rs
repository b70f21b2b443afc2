//! The HTTP form of the platform's services that this binding and the stand-in speak.
//!
//! | call | path | body | answer |
//! |---|---|---|---|
//! | read a row | `GET /table/row?key=K` | | 200 with `Row`, 404 if absent |
//! | scan rows | `GET /table/scan?prefix=P&after=K&limit=N` | | 200 with a list of `Row` |
//! | commit | `POST /table/commit` | `Transaction` | 200 with `Commit` |
//! | put an object | `PUT /objects?key=K` | bytes | 204 |
//! | get an object | `GET /objects?key=K` | | 200 with bytes, 404 if absent |
//! | list objects | `GET /objects/list?prefix=P` | | 200 with a list of keys |
//! | list instances | `GET /instances` | | 200 with a list of `ListedInstance` |
//! | enter the list | `PUT /instances` | `ListedInstance` | 204 |
//!
//! Status 503 with header `x-platform-refused: true` says that the call had no effect. Any other
//! failure of a commit leaves its effect unknown.

/// Reads one row.
pub const ROW_PATH: &str = "/table/row";
/// Scans rows.
pub const SCAN_PATH: &str = "/table/scan";
/// Commits a transaction.
pub const COMMIT_PATH: &str = "/table/commit";
/// Stores and returns objects.
pub const OBJECTS_PATH: &str = "/objects";
/// Lists objects.
pub const OBJECT_LIST_PATH: &str = "/objects/list";
/// Lists instances, and takes the platform's own entries in the stand-in.
pub const INSTANCES_PATH: &str = "/instances";
/// On status 503, says that the call had no effect.
pub const REFUSED_HEADER: &str = "x-platform-refused";
