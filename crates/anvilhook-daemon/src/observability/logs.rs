//! Writes logs to the standard error stream, as text or JSON.
//!
//! Each line about a request has the request's id as the key-value pair `request`.

use std::fmt;

use flexi_logger::{DeferredNow, FormatFunction, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};

use crate::settings::{LogFormat, LogLevel, LoggingSettings};

/// `LogError` is returned when logging can't be started.
#[derive(Debug)]
pub struct LogError(flexi_logger::FlexiLoggerError);

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "logging cannot be started: {}", self.0)
    }
}

impl std::error::Error for LogError {}

/// Starts logging for the whole process. Logging stops when the handle is dropped.
///
/// # Errors
///
/// A `LogError` if the process already logs.
pub fn start_logging(settings: &LoggingSettings) -> Result<LoggerHandle, LogError> {
    let level = match settings.level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let format: FormatFunction = match settings.format {
        LogFormat::Text => text_line,
        LogFormat::Json => flexi_logger::json_format,
    };

    // The libraries log each connection; only their warnings are relevant to an operator.
    let mut spec = LogSpecification::builder();
    spec.default(level.min(LevelFilter::Warn)).module("anvilhook", level);
    for name in OWN_CRATES {
        spec.module(name, level);
    }
    let logger = Logger::with(spec.build()).log_to_stderr().format(format).use_utc();
    logger.start().map_err(LogError)
}

/// The crates whose lines are written at the configured level.
const OWN_CRATES: [&str; 7] = [
    "anvilhook_authority",
    "anvilhook_core",
    "anvilhook_daemon",
    "anvilhook_engine",
    "anvilhook_http",
    "anvilhook_peer",
    "anvilhook_store",
];

fn text_line(
    w: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    write!(w, "{} ", now.format_rfc3339())?;
    flexi_logger::default_format(w, now, record)
}
