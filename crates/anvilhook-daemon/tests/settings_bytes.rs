//! Tests of settings files with corrupt bytes and extreme numbers.
//!
//! A seeded generator mutates a valid file. The result must be usable settings, or an error of one line
//! that names the file and, where possible, the line and the field. Faults that were found are separate
//! cases below.

use std::path::Path;

use anvilhook_core::units::Millis;
use anvilhook_daemon::settings::{Settings, SettingsError, load, parse};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of mutated files for each seed.
const TRIES: usize = 1_500;

/// The longest time span that a setting may have.
const LONGEST: Millis = Millis::from_secs(3_600);

const KEY: &str = "0123456789abcdef0123456789abcdef";

const GOOD: &str = r#"instance: {name_prefix: entry, zone: marousi}
listen: {callers: "127.0.0.1:7001", operators: "127.0.0.1:7002", peers: "127.0.0.1:7003"}
platform: {address: "127.0.0.1:7000", timeout_ms: 2000}
operators:
  - subject: ops
    token_sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
    rights: reader
logging: {format: json, level: info}
limits: {open_requests: 16384, header_bytes: 16384}
polling: {configuration_ms: 500, reports_ms: 250, instance_list_ms: 1000}
leases: {length_ms: 9000, guard_ms: 2500}
peers: {key: 0123456789abcdef0123456789abcdef}
roles: {plan_every_ms: 5000, change_ms: 14000, horizon_ms: 1200000, memory_ms: 1800000}
weights: {role_change: 1.0}
"#;

/// The replacements for a number.
const NUMBERS: [&str; 12] = [
    "0",
    "-1",
    "1",
    "1e400",
    ".nan",
    ".inf",
    "18446744073709551615",
    "18446744073709551616",
    "4294967295",
    "0.5",
    "null",
    "[7]",
];

/// The YAML fragments that are inserted at any position.
const PIECES: [&str; 10] =
    ["\n", ":", "&a ", "*a", "{", "]", "? ", "--- ", "<<: *a\n", "!!binary \"\0\""];

fn mutated(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = GOOD.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..bytes.len().max(1)).min(bytes.len());
        match rng.random_range(0..7) {
            0 if at < bytes.len() => bytes[at] ^= 1 << rng.random_range(0..8),
            1 => bytes.truncate(at),
            2 => {
                let end = (at + rng.random_range(0..40)).min(bytes.len());
                let part = bytes[at..end].to_vec();
                bytes.splice(at..at, part);
            }
            3 => {
                let piece = PIECES[rng.random_range(0..PIECES.len())];
                bytes.splice(at..at, piece.bytes());
            }
            _ => put_number(rng, &mut bytes, at),
        }
    }
    bytes
}

/// Replaces the next number after a position by an extreme one.
fn put_number(rng: &mut ChaCha8Rng, bytes: &mut Vec<u8>, from: usize) {
    let Some(start) = (from..bytes.len()).find(|at| bytes[*at].is_ascii_digit()) else { return };
    let length = bytes[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    let number = NUMBERS[rng.random_range(0..NUMBERS.len())];
    bytes.splice(start..start + length, number.bytes());
}

/// Fails if an instance could not run with the settings.
fn verify_usable(settings: &Settings) {
    let Settings { platform, limits, polling, leases, roles, weights, .. } = settings;
    let spans = [
        platform.timeout_ms,
        polling.configuration_ms,
        polling.reports_ms,
        polling.instance_list_ms,
        leases.length_ms,
        leases.guard_ms,
        roles.plan_every_ms,
        roles.change_ms,
        roles.horizon_ms,
        roles.memory_ms,
    ];
    assert!(spans.iter().all(|span| *span > Millis::ZERO && *span <= LONGEST), "{spans:?}");
    leases.options().check().expect("lease settings with which an instance can hold authority");
    assert!(limits.open_requests > 0, "{limits:?}");
    assert!(weights.role_change.is_finite() && weights.role_change >= 0.0, "{weights:?}");
    assert!(platform.address.port() != 0 && !platform.address.ip().is_unspecified());
    assert!(settings.peers.key.reveal().len() >= KEY.len());
}

fn verify_error_is_one_line(err: &SettingsError) {
    let text = err.to_string();
    assert!(text.starts_with("a.yaml"), "{text:?}");
    assert_eq!(text.lines().count(), 1, "{text:?}");
    assert!(err.line.is_some() || err.field.is_some(), "{text:?}");
    assert!(!text.contains(KEY), "the error contains a secret: {text:?}");
}

/// Guards against an instance that terminates without an error about its settings, or starts with
/// harmful numbers: the file is truncated, partly duplicated or overwritten, or has numbers at the limits
/// of their range. Every unusable value must be refused with its field.
#[test]
fn verify_mutated_settings_are_usable_or_refused_with_their_place() {
    let (mut used, mut refused) = (0, 0);
    for seed in 0..4 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..TRIES {
            let bytes = mutated(&mut rng);
            let Ok(text) = std::str::from_utf8(&bytes) else { continue };
            match parse(Path::new("a.yaml"), text) {
                Ok(settings) => {
                    verify_usable(&settings);
                    used += 1;
                }
                Err(err) => {
                    verify_error_is_one_line(&err);
                    refused += 1;
                }
            }
        }
    }
    assert!(used > TRIES / 20 && refused > TRIES / 10, "{used} used, {refused} refused");
}

/// Guards against an instance that needs minutes or all memory to start: a short file expands without a
/// limit through repeated aliases, or is deeply nested.
#[test]
fn verify_expanding_and_deeply_nested_settings_are_refused() {
    let mut expanding = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for at in 1..12 {
        let before = at - 1;
        let names = vec![format!("*a{before}"); 9].join(", ");
        expanding.push_str(&format!("a{at}: &a{at} [{names}]\n"));
    }
    let deep = format!("instance: {}{}", "[".repeat(50_000), "]".repeat(50_000));
    for text in [expanding, deep] {
        assert!(parse(Path::new("a.yaml"), &text).is_err());
    }
}

/// Guards against an instance that uses all memory at its start: the path names an endless file, which
/// is read without a size limit.
#[test]
fn verify_settings_without_end_are_refused() {
    let err = load(Path::new("/dev/zero")).expect_err("endless");
    assert!(err.to_string().starts_with("/dev/zero: "), "{err}");
}

/// Guards against an error message, and so a log, that contains the secret of a deployment: the section
/// with the key has a syntax fault (a missing colon, no section, a list), and the message quotes the text
/// that it found instead of a field or a value.
#[test]
fn verify_no_error_contains_the_secret() {
    let digits = "12345678901234567890123456789012";
    let cases = [
        ("peers: {key 0123456789abcdef0123456789abcdef}", "peers"),
        ("peers: {key0123456789abcdef0123456789abcdef: }", "peers"),
        ("peers: {key: a, 0123456789abcdef0123456789abcdef: a}", "peers.key"),
        ("peers: 0123456789abcdef0123456789abcdef", "peers"),
        ("peers: [0123456789abcdef0123456789abcdef]", "peers"),
        ("peers: {key: [0123456789abcdef0123456789abcdef]}", "peers.key"),
        ("peers: {key: {0123456789abcdef0123456789abcdef: 1}}", "peers.key"),
        ("peers: {key: 12345678901234567890123456789012, key: a}", "peers"),
        (
            "peers: {0123456789abcdef0123456789abcdef: a, 0123456789abcdef0123456789abcdef: b}",
            "peers",
        ),
        ("peers: {key: a, key: 0123456789abcdef0123456789abcdef}", "peers.key"),
        ("peers: {key: !!int 0123456789abcdef0123456789abcdef}", "peers.key"),
        ("peers: {key: !!binary 0123456789abcdef0123456789abcdef}", "peers.key"),
    ];
    for (peers, field) in cases {
        let text = GOOD.replace("peers: {key: 0123456789abcdef0123456789abcdef}", peers);
        assert_ne!(text, GOOD);

        match parse(Path::new("a.yaml"), &text) {
            Ok(settings) => verify_usable(&settings),
            Err(err) => {
                verify_error_is_one_line(&err);
                assert!(!err.to_string().contains(digits), "{err}");
                assert_eq!(err.field.as_deref(), Some(field), "{peers}: {err}");
            }
        }
    }
}
