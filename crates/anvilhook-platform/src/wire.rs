//! Defines the HTTP protocol of the platform's services, as used by the binding and the stand-in.
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
//! | add or replace an instance | `PUT /instances` | `ListedInstance` | 204 |
//!
//! Status 503 with the header `x-platform-refused: true` means that the call had no effect. After
//! any other failure of a commit, its effect is unknown.

/// The path for reading one row.
pub const ROW_PATH: &str = "/table/row";
/// The path for scanning rows.
pub const SCAN_PATH: &str = "/table/scan";
/// The path for committing a transaction.
pub const COMMIT_PATH: &str = "/table/commit";
/// The path for storing and reading objects.
pub const OBJECTS_PATH: &str = "/objects";
/// The path for listing objects.
pub const OBJECT_LIST_PATH: &str = "/objects/list";
/// The path for listing instances and, at the stand-in, for adding or replacing them.
pub const INSTANCES_PATH: &str = "/instances";
/// The header that, on status 503, indicates that the call had no effect.
pub const REFUSED_HEADER: &str = "x-platform-refused";
