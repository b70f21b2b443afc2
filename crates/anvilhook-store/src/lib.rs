//! What the system keeps in the platform's table: the configuration, its audit trail and claims.
#![forbid(unsafe_code)]

pub mod claims;
