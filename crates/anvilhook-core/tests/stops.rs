//! Tests which requests an instance that is stopping accepts.

use anvilhook_core::stops::{Acceptance, Stop};
use anvilhook_core::units::Millis;

const STOP: Stop = Stop { noticed_at: Millis(2_300), ends_at: Millis(7_100) };

/// Guards against streams that are truncated when their instance terminates because they were accepted on a
/// prediction alone. Requests of each length arrive at each time of a stop. Their expected time is accurate, a
/// third of the actual time, or unknown. Once load balancers have noticed the stop, only the caller's own limit
/// counts. Before that, a request whose expected time is accurate is never truncated.
#[test]
fn verify_accepted_requests_complete_before_the_instance_terminates() {
    let moments = (0..7_100).step_by(100).map(Millis);
    for now in moments {
        for duration in (100..9_000).step_by(300).map(Millis) {
            for limit in [Millis(1_200), Millis(2_500), Millis(8_000)] {
                let ends_at = now + duration.min(limit);
                for expected_ms in [Some(duration.0 as f64), Some(duration.0 as f64 / 3.0), None] {
                    let acceptance = STOP.decide(now, now + limit, expected_ms);

                    let is_truncated = acceptance != Acceptance::Refused && ends_at > STOP.ends_at;
                    let is_accurate = expected_ms == Some(duration.0 as f64);
                    let case = format!("at {now:?}, {duration:?} of {limit:?}, {expected_ms:?}");
                    assert!(
                        !is_truncated || (now < STOP.noticed_at && !is_accurate),
                        "{case}: {acceptance:?}"
                    );
                }
            }
        }
    }
}

/// Guards against refusing callers without need. A request with a short limit is accepted for as long as it
/// can be complete in time, even if its expected time is unknown.
#[test]
fn verify_requests_with_a_caller_limit_are_accepted_until_late() {
    let limit = Millis(2_500);
    let last_accepted = STOP.ends_at - limit;
    for (now, expected) in [
        (Millis::ZERO, Acceptance::Bounded),
        (last_accepted, Acceptance::Bounded),
        (last_accepted + Millis(1), Acceptance::Refused),
    ] {
        assert_eq!(STOP.decide(now, now + limit, None), expected, "{now:?}");
    }
}
