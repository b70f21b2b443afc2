//! Tests which requests an instance that is stopping accepts.

use anvilhook_core::stops::{Acceptance, SIGNAL_CHECK_INTERVAL, SignalWatch, Stop, StopEnd};
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

/// Runs the checks of a process that is suspended in `suspensions` (from, to), and returns when a signal is handled that
/// is sent at `sent_at`, and its estimate. A check that was missed comes first after a suspension, before the signal.
fn handle(suspensions: &[(u64, u64)], sent_at: u64) -> (Millis, Millis) {
    let is_suspended = |at| suspensions.iter().any(|&(from, to)| (from..to).contains(&at));
    let mut watch = SignalWatch::new(Millis::ZERO);
    let mut next_check = SIGNAL_CHECK_INTERVAL.0;
    for at in (0..).filter(|&at| !is_suspended(at)) {
        if at >= next_check {
            watch.record_check(Millis(at));
            next_check = at + SIGNAL_CHECK_INTERVAL.0;
        } else if at >= sent_at {
            return (Millis(at), watch.sent_at(Millis(at)));
        }
    }
    unreachable!("the process goes on")
}

/// Guards against a stop that counts its grace period from the end of a suspension: the process is killed before the
/// end that it assumes. The signal is sent at any moment before, in and after suspensions of any length, also of
/// several with little time between them.
#[test]
fn verify_a_signal_is_never_assumed_to_be_much_younger_than_it_is() {
    let max_error = SIGNAL_CHECK_INTERVAL * 2;
    let short = [1, 20, 49, 50, 51, 75, 99, 100, 130].into_iter();
    for length in short.chain((150..7_000).step_by(450)) {
        for pause in [3, 20, 60, 120, 400] {
            let second = 1_000 + length + pause;
            let suspensions = [(1_000, 1_000 + length), (second, second + length)];
            for sent_at in (850..second + length + 150).step_by(7) {
                let (handled_at, estimate) = handle(&suspensions, sent_at);

                let case = format!("{suspensions:?}, sent at {sent_at}: {estimate:?}");
                assert!(estimate <= Millis(sent_at) + max_error, "{case}");
                assert!(estimate <= handled_at, "{case}");
            }
        }
    }
}

/// Guards against an ordinary stop that uses less than its grace period.
#[test]
fn verify_a_signal_without_a_suspension_is_as_old_as_its_handling() {
    for sent_at in 1_000..1_200 {
        let (handled_at, estimate) = handle(&[], sent_at);

        assert_eq!(estimate, handled_at, "{sent_at}");
    }
}

/// Guards against an instance that wakes up after its end and discards the answers that arrived meanwhile.
#[test]
fn verify_answers_that_arrived_during_a_suspension_are_passed_on() {
    let (before, end) = (STOP.ends_at - Millis(20), STOP.ends_at);
    let cases = [
        (Some(before - Millis(20)), before, StopEnd::Later),
        (Some(before), end, StopEnd::Now),
        (Some(before), end + Millis(1_500), StopEnd::After(Millis(50))),
        (None, end + Millis(1_500), StopEnd::After(Millis(50))),
    ];
    for (checked_at, now, expected) in cases {
        assert_eq!(STOP.end(checked_at, now), expected, "{checked_at:?} {now:?}");
    }
}
