//! Parses `Retry-After`: how long an answer asks the client to wait before the next request.

use std::fmt;
use std::time::{Duration, SystemTime};

use anvilhook_core::units::Millis;
use http::header::{DATE, HeaderMap, HeaderValue, RETRY_AFTER};

/// The maximum pause. A longer one is more likely a fault than intended.
pub const MAX_PAUSE: Millis = Millis::from_secs(600);

/// `InvalidRetryAfter` is the error for a `Retry-After` that is neither a number of seconds nor an HTTP date in
/// an answer that has a `Date`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidRetryAfter(String);

impl fmt::Display for InvalidRetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "retry-after: neither seconds nor an HTTP date beside a date: {:?}", self.0)
    }
}

impl std::error::Error for InvalidRetryAfter {}

/// Returns the pause that an answer requests by `Retry-After`, at most [`MAX_PAUSE`], or `None` if
/// it requests none.
///
/// The value is a number of seconds, possibly with a fraction, or an HTTP date (RFC 9110, section
/// 10.2.3). A date is compared with the answer's own `Date`, because the clocks of server and client
/// may differ.
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
/// A `InvalidRetryAfter` if the value is invalid.
pub fn retry_after(headers: &HeaderMap) -> Result<Option<Millis>, InvalidRetryAfter> {
    let Some(value) = headers.get(RETRY_AFTER) else { return Ok(None) };
    let bad = || InvalidRetryAfter(String::from_utf8_lossy(value.as_bytes()).into_owned());
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
    Ok(Some(pause.min(MAX_PAUSE)))
}

fn date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?).ok()
}
