//! Formats times.

use anvilhook_core::units::WallTime;
use chrono::{DateTime, SecondsFormat};

/// Returns a time as text, in UTC.
pub(crate) fn show(at: WallTime) -> String {
    let time = i64::try_from(at.0).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(|| "?".to_owned(), |time| time.to_rfc3339_opts(SecondsFormat::Secs, true))
}
