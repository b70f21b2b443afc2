//! Interfaces to upstreams (model engines and plain services) and their HTTP binding.
//!
//! `wire` defines the HTTP protocol between this binding and the stand-ins.
#![forbid(unsafe_code)]

pub mod control;
pub mod errors;
pub mod http_control;
pub mod prompts;
pub mod requests;
pub mod streams;
pub mod wire;

pub use control::EngineControl;
pub use errors::{Error, Result};
pub use http_control::{ControlOptions, HttpEngineControl};
pub use requests::{Attempt, Bounds, HttpUpstreams, KvPull, Opened, Upstreams, WholeAnswer};
pub use streams::{EventSource, EventStream, StreamItem};
