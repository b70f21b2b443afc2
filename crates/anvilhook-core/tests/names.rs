//! Tests that names and identifiers accept exactly the texts that their rules allow.

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::names::ServiceName;

#[test]
fn verify_names_follow_their_rule() {
    let longest = "a".repeat(63);
    let too_long = "a".repeat(64);
    let cases: [(&str, bool); 10] = [
        ("checklist", true),
        ("sala-roma.2", true),
        ("7", true),
        (&longest, true),
        (&too_long, false),
        ("", false),
        ("-a", false),
        ("a.", false),
        ("Alerts", false),
        ("a/b", false),
    ];
    for (text, expected) in cases {
        let name = ServiceName::try_new(text);
        assert_eq!(name.is_ok(), expected, "{text:?}");
    }
}

#[test]
fn verify_name_errors_state_the_expected_form() {
    let err = ServiceName::try_new("A b").expect_err("a bad name");

    let message = err.to_string();

    assert!(message.contains("\"A b\""), "{message}");
    assert!(message.contains("service"), "{message}");
    assert!(message.contains("1 to 63 characters"), "{message}");
}

#[test]
fn verify_attempt_ids_round_trip_as_text() {
    let cases = [
        ("000102030405060708090a0b0c0d0e0f", true),
        ("0001", false),
        ("+00102030405060708090a0b0c0d0e0f", false),
        ("zz0102030405060708090a0b0c0d0e0f", false),
    ];
    for (text, expected) in cases {
        let parsed: Result<AttemptId, _> = text.parse();
        assert_eq!(parsed.is_ok(), expected, "{text}");
        if let Ok(id) = parsed {
            assert_eq!(id.to_string(), text);
        }
    }
}
