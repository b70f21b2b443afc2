//! Tests the parsing of `Retry-After`.

use anvilhook_core::units::Millis;
use anvilhook_http::pauses::{MAX_PAUSE, retry_after};
use http::HeaderMap;
use http::header::{DATE, HeaderValue, RETRY_AFTER};

const NOON: &str = "Thu, 03 Dec 2026 12:00:00 GMT";
const LATER: &str = "Thu, 03 Dec 2026 12:00:07 GMT";

fn headers(fields: &[(http::HeaderName, &str)]) -> HeaderMap {
    let value = |text: &str| HeaderValue::from_bytes(text.as_bytes()).expect("a value");
    fields.iter().map(|(name, text)| (name.clone(), value(text))).collect()
}

/// Guards against ignoring a valid spelling of a pause, and against an absurd pause that lasts forever.
#[test]
fn verify_each_spelling_of_a_pause_is_read_and_bounded() {
    let cases = [
        ("3", Some(Millis(3_000))),
        (" 3 ", Some(Millis(3_000))),
        ("0", Some(Millis::ZERO)),
        ("0.25", Some(Millis(250))),
        ("999999999", Some(MAX_PAUSE)),
        ("1e300", Some(MAX_PAUSE)),
        (LATER, Some(Millis(7_000))),
        ("Thu, 03 Dec 2026 11:00:00 GMT", Some(Millis::ZERO)),
        ("Thu, 03 Dec 2099 12:00:00 GMT", Some(MAX_PAUSE)),
        ("-1", None),
        ("NaN", None),
        ("inf", None),
        ("soon", None),
        ("", None),
        ("3 s", None),
        ("\u{e9}", None),
    ];
    for (text, expected) in cases {
        let read = retry_after(&headers(&[(RETRY_AFTER, text), (DATE, NOON)]));

        assert_eq!(read.clone().ok().flatten(), expected, "{text}");
        assert_eq!(read.is_err(), expected.is_none(), "{text}");
    }
    assert_eq!(retry_after(&HeaderMap::new()), Ok(None));
}

/// Guards against comparing a date with the local clock: the pause would be wrong by the difference
/// between the clocks.
#[test]
fn verify_a_date_without_a_date_header_is_rejected() {
    let read = retry_after(&headers(&[(RETRY_AFTER, LATER)]));

    assert!(read.is_err(), "{read:?}");
}
