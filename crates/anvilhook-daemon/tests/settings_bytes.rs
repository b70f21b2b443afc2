//! Settings files, given bytes and figures that no sound writer wrote.
//!
//! A file is mutated by a seeded generator. Whatever comes, it gives settings that can be used, or one
//! line that names the file and, where there is one, the line and the field. What was found once is a
//! case of its own below.

use std::path::Path;

use anvilhook_core::units::Millis;
use anvilhook_daemon::settings::{Settings, SettingsError, load, parse};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How many mutations of the file are tried with each seed.
const TRIES: usize = 1_500;

/// The longest span that any setting may ask for.
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

/// What is put in the place of a number.
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

/// What is put anywhere.
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

/// Puts an extreme number in the place of the next one.
fn put_number(rng: &mut ChaCha8Rng, bytes: &mut Vec<u8>, from: usize) {
    let Some(start) = (from..bytes.len()).find(|at| bytes[*at].is_ascii_digit()) else { return };
    let length = bytes[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    let number = NUMBERS[rng.random_range(0..NUMBERS.len())];
    bytes.splice(start..start + length, number.bytes());
}

/// Fails if an instance could not run by the settings.
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
    leases.options().check().expect("leases by which an instance can hold authority");
    assert!(limits.open_requests > 0, "{limits:?}");
    assert!(weights.role_change.is_finite() && weights.role_change >= 0.0, "{weights:?}");
    assert!(platform.address.port() != 0 && !platform.address.ip().is_unspecified());
    assert!(settings.peers.key.reveal().len() >= KEY.len());
}

fn verify_told_in_one_line(err: &SettingsError) {
    let text = err.to_string();
    assert!(text.starts_with("a.yaml"), "{text:?}");
    assert_eq!(text.lines().count(), 1, "{text:?}");
    assert!(err.line.is_some() || err.field.is_some(), "{text:?}");
    assert!(!text.contains(KEY), "a secret is told: {text:?}");
}

/// Symptom: an instance ends without a word about its settings, or starts by figures that harm it.
/// Sequence: the file is cut, doubled, overwritten in part, or carries figures at their ends.
/// Cause: what can't be used must be refused with its field, whatever it is.
#[test]
fn verify_mutated_settings_can_be_used_or_name_the_place() {
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
                    verify_told_in_one_line(&err);
                    refused += 1;
                }
            }
        }
    }
    assert!(used > TRIES / 20 && refused > TRIES / 10, "{used} used, {refused} refused");
}

/// Symptom: an instance takes minutes or all memory at its start.
/// Sequence: a file holds values that name one another many times over, or lies deep in itself.
/// Cause: what a short text stands for may be large without a bound.
#[test]
fn verify_settings_that_unfold_are_refused() {
    let mut doubled = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for at in 1..12 {
        let before = at - 1;
        let names = vec![format!("*a{before}"); 9].join(", ");
        doubled.push_str(&format!("a{at}: &a{at} [{names}]\n"));
    }
    let deep = format!("instance: {}{}", "[".repeat(50_000), "]".repeat(50_000));
    for text in [doubled, deep] {
        assert!(parse(Path::new("a.yaml"), &text).is_err());
    }
}

/// Symptom: an instance takes all memory at its start.
/// Sequence: the path leads to a file without end.
/// Cause: the file was read whole, however large it is.
#[test]
fn verify_settings_without_end_are_refused() {
    let err = load(Path::new("/dev/zero")).expect_err("endless");
    assert!(err.to_string().starts_with("/dev/zero: "), "{err}");
}
