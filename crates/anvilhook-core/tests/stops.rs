//! What an instance that stops takes on.

use anvilhook_core::stops::{Acceptance, Stop};
use anvilhook_core::units::Millis;

const STOP: Stop = Stop { noticed_at: Millis(2_300), ends_at: Millis(7_100) };

/// Streams were cut by the end of their instance because a prediction alone let them begin. Here a
/// request of each length comes at each moment of a stop, expected to take what it takes, a third of
/// that, or nothing known. Once the stop is noticed only the caller's own limit counts; before, what is
/// expected rightly is never cut.
#[test]
fn verify_what_is_taken_on_ends_before_the_instance() {
    let moments = (0..7_100).step_by(100).map(Millis);
    for now in moments {
        for took in (100..9_000).step_by(300).map(Millis) {
            for limit in [Millis(1_200), Millis(2_500), Millis(8_000)] {
                let ends_at = now + took.min(limit);
                for expected_ms in [Some(took.0 as f64), Some(took.0 as f64 / 3.0), None] {
                    let taking = STOP.decide(now, now + limit, expected_ms);

                    let is_cut = taking != Acceptance::Refused && ends_at > STOP.ends_at;
                    let is_right = expected_ms == Some(took.0 as f64);
                    let case = format!("at {now:?}, {took:?} of {limit:?}, {expected_ms:?}");
                    assert!(!is_cut || (now < STOP.noticed_at && !is_right), "{case}: {taking:?}");
                }
            }
        }
    }
}

/// What is short is served to the last, though nothing is known of it: callers are not turned away
/// without need.
#[test]
fn verify_what_its_caller_bounds_is_served_until_late() {
    let limit = Millis(2_500);
    let last = STOP.ends_at - limit;
    for (now, expected) in [
        (Millis::ZERO, Acceptance::Bounded),
        (last, Acceptance::Bounded),
        (last + Millis(1), Acceptance::Refused),
    ] {
        assert_eq!(STOP.decide(now, now + limit, None), expected, "{now:?}");
    }
}
