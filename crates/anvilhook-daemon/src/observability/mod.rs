//! Logs, metrics and probes of an instance.

mod fronts;
mod logs;
mod processes;

pub use fronts::{Readiness, metrics_text, probe_router};
pub use logs::{LogError, start_logging};
pub use processes::{ProcessCollector, ProcessUsage, read_process_usage, read_usage_of};
