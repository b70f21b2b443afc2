//! Small stand-ins for the platform, model engines and plain services. Each can be made to show the
//! faults of the real services. Crowds of clients that don't keep to the limits stand beside them.
#![forbid(unsafe_code)]

pub mod crowds;
pub mod engines;
pub mod faults;
pub mod plain;
pub mod platform;
