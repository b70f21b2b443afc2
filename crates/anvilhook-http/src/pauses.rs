//! How long an answer asks its reader to wait before the next request.

use std::fmt;
use std::time::{Duration, SystemTime};

use anvilhook_core::units::Millis;
use http::header::{DATE, HeaderMap, HeaderValue, RETRY_AFTER};

/// The longest pause that is believed. A longer one is more likely a fault than a wish.
pub const LONGEST_PAUSE: Millis = Millis::from_secs(600);

/// `BadPause` is a `Retry-After` that is neither a number of seconds nor a date beside the answer's own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadPause(String);

impl fmt::Display for BadPause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "retry-after: neither seconds nor an HTTP date beside a date: {:?}", self.0)
    }
}

impl std::error::Error for BadPause {}

/// Reads the pause that the head of an answer asks for by `Retry-After`, [`LONGEST_PAUSE`] at the most;
/// `None` if it asks for none. It is a number of seconds, also with fractions, or an HTTP date (RFC 9110,
/// section 10.2.3), which is taken against the answer's own `Date`: the two clocks may differ.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_http::pauses::retry_after;
/// use http::HeaderMap;
/// use http::header::{HeaderValue, RETRY_AFTER};
///
/// let mut headers = HeaderMap::new();
/// headers.insert(RETRY_AFTER, HeaderValue::from_static("1.5"));
/// assert_eq!(retry_after(&headers), Ok(Some(Millis(1_500))));
/// ```
///
/// # Errors
///
/// A `BadPause` if the value can't be read.
pub fn retry_after(headers: &HeaderMap) -> Result<Option<Millis>, BadPause> {
    let Some(value) = headers.get(RETRY_AFTER) else { return Ok(None) };
    let bad = || BadPause(String::from_utf8_lossy(value.as_bytes()).into_owned());
    let text = value.to_str().map_err(|_| bad())?.trim();
    let pause = match text.parse::<f64>() {
        Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
            Millis((seconds * 1e3).ceil() as u64)
        }
        Ok(_) => return Err(bad()),
        Err(_) => {
            let until = httpdate::parse_http_date(text).map_err(|_| bad())?;
            let sent_at = headers.get(DATE).and_then(date).ok_or_else(bad)?;
            let pause = until.duration_since(sent_at).unwrap_or(Duration::ZERO);
            Millis(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX))
        }
    };
    Ok(Some(pause.min(LONGEST_PAUSE)))
}

fn date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?).ok()
}
