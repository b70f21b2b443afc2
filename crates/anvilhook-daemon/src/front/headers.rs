//! The headers that callers send and receive. The callers' reference is `docs/CALLERS.md`.

use anvilhook_core::attempts::RequestId;
use anvilhook_core::units::Millis;
use anvilhook_engine::wire::{ATTEMPT_HEADER, TIME_LEFT_HEADER};
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::proxy::{Code, Failure};

/// The time within which the caller needs the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-anvilhook-deadline-ms";
/// The request's priority; smaller values go first.
pub const PRIORITY_HEADER: &str = "x-anvilhook-priority";
/// The idempotency key; requests with the same key run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The request's id, generated if the caller sends none.
pub const REQUEST_HEADER: &str = "x-anvilhook-request";
/// Whether a request that failed may have run.
pub const VERDICT_HEADER: &str = "x-anvilhook-verdict";

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// The bytes counted for each header in addition to its name and value.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Headers that are never forwarded, because they belong to one connection or to this system.
const UNFORWARDED_HEADERS: [HeaderName; 9] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    PROXY_AUTHORIZATION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];
const UNFORWARDED_HEADER_NAMES: [&str; 7] = [
    "keep-alive",
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    PRIORITY_HEADER,
    REQUEST_HEADER,
    TIME_LEFT_HEADER,
    VERDICT_HEADER,
];

/// `CallerHeaders` holds the settings that a caller sends in a request's headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerHeaders {
    /// The time within which the caller needs the answer.
    pub deadline: Option<Millis>,
    /// The request's priority.
    pub priority: Option<u8>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
}

impl CallerHeaders {
    /// Parses a caller's headers.
    ///
    /// # Errors
    ///
    /// A `Failure` that names the invalid header and the expected form.
    pub fn try_parse(headers: &HeaderMap, max_deadline: Millis) -> Result<Self, Failure> {
        let deadline =
            parse(headers, DEADLINE_HEADER, "milliseconds, from 1 to the maximum", |ms| {
                ms.parse().ok().map(Millis).filter(|ms| *ms > Millis::ZERO && *ms <= max_deadline)
            })?;
        let priority =
            parse(headers, PRIORITY_HEADER, "a number from 0 to 255", |text| text.parse().ok())?;
        let key_rule = "1 to 200 visible ASCII characters";
        let idempotency_key = parse(headers, IDEMPOTENCY_KEY_HEADER, key_rule, |text| {
            let fits = (1..=MAX_KEY_BYTES).contains(&text.len());
            let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
            (fits && visible).then(|| text.to_owned())
        })?;
        Ok(Self { deadline, priority, idempotency_key })
    }
}

/// Parses the request's id, if the caller sends one.
///
/// # Errors
///
/// A `Failure` if the header is not a valid id.
pub fn request_id(headers: &HeaderMap) -> Result<Option<RequestId>, Failure> {
    parse(headers, REQUEST_HEADER, "32 hexadecimal digits", |text| text.parse().ok())
}

/// Returns the bearer token, if there is one.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token.trim())
}

/// Returns the size of all headers, in bytes.
pub fn header_bytes(headers: &HeaderMap) -> usize {
    let size = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES
    };
    headers.iter().map(size).sum()
}

/// Returns the headers that are forwarded between caller and upstream.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    // The `Connection` header can name further headers that apply only to the connection.
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<&str> = named.flat_map(|list| list.split(',')).map(str::trim).collect();
    let passes = |name: &HeaderName| {
        !UNFORWARDED_HEADERS.contains(name)
            && *name != TRAILER
            && !UNFORWARDED_HEADER_NAMES.contains(&name.as_str())
            && !named.iter().any(|named| name.as_str().eq_ignore_ascii_case(named))
    };
    let passed = headers.iter().filter(|(name, _)| passes(name));
    passed.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn parse<T>(
    headers: &HeaderMap,
    name: &'static str,
    expected: &str,
    read: impl FnOnce(&str) -> Option<T>,
) -> Result<Option<T>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(read);
    match parsed {
        Some(parsed) => Ok(Some(parsed)),
        None => {
            let message = format!("header {name}: expected {expected}");
            Err(Failure::not_run(Code::BadRequest, message))
        }
    }
}
