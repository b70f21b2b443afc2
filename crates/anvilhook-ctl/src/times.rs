//! Times of day for people.

use anvilhook_core::units::WallTime;
use chrono::{DateTime, SecondsFormat};

/// Shows a time of day in UTC.
pub(crate) fn show(at: WallTime) -> String {
    let time = i64::try_from(at.0).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(|| "?".to_owned(), |time| time.to_rfc3339_opts(SecondsFormat::Secs, true))
}
