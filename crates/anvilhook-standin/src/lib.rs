//! Small stand-ins for the platform, model engines and plain services, each with switches for the
//! faults that the real ones show.
#![forbid(unsafe_code)]

pub mod engines;
pub mod faults;
pub mod plain;
pub mod platform;
