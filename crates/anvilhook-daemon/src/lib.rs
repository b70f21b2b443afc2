//! The parts of the daemon, as a library, so that a test or the local demonstration can start an
//! instance in-process.
#![forbid(unsafe_code)]

pub mod front;
pub mod instances;
pub mod names;
pub mod observability;
pub mod operators;
pub mod proxy;
pub mod settings;
