//! Small stand-ins for the platform and the upstreams, the local demonstration and the bench.
#![forbid(unsafe_code)]

pub mod platform;
