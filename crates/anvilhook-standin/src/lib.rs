//! Small stand-ins for the platform, model engines and plain services. Each can be made to show the
//! faults of the real services.
#![forbid(unsafe_code)]

pub mod engines;
pub mod faults;
pub mod plain;
pub mod platform;
