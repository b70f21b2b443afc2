//! The local demonstration and the bench.
#![forbid(unsafe_code)]
