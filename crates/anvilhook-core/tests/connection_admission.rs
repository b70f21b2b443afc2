//! Tests which connections an instance closes unread.

use anvilhook_core::connection_admission::{Admission, ConnectionAdmission, Direction};
use anvilhook_core::units::Millis;

/// A link of one megabit a second transfers this many bytes in a second.
const LINK_BYTES: usize = 125_000;

fn after_lags(lags: &[(u64, u64)]) -> ConnectionAdmission {
    let mut admission = ConnectionAdmission::new(Some(1.0));
    for (lag, at) in lags {
        admission.record_lag(Millis(*lag), Millis(*at));
    }
    admission
}

/// Guards against closing connections because the process was suspended once or is a little late, and against
/// accepting them while it is late most of the time.
#[test]
fn verify_connections_are_closed_only_while_events_are_late_most_of_the_time() {
    let steady = |lag: u64| (1..=8).map(|n| (lag, 120 * n)).collect::<Vec<_>>();
    let cases = [
        ("idle", vec![], Admission::Accepted),
        ("suspended for three seconds", vec![(3_000, 900)], Admission::Accepted),
        ("a little late all the time", steady(90), Admission::Accepted),
        ("late all the time", steady(120), Admission::Lagging),
        ("late before", vec![(150, 10), (150, 20), (150, 30), (150, 40)], Admission::Accepted),
    ];
    for (name, lags, expected) in cases {
        assert_eq!(after_lags(&lags).decide(Millis(1_000)), expected, "{name}");
    }
}

/// Guards against an instance that goes on closing connections after it has become idle.
#[test]
fn verify_connections_are_accepted_again_within_a_second() {
    let lags: Vec<_> = (1..=8).map(|n| (300, 120 * n)).collect();
    let mut admission = after_lags(&lags);
    admission.record_bytes(Direction::Inbound, 10 * LINK_BYTES, Millis(960));

    let decisions = [1_000, 1_500, 1_959, 1_960].map(|at| admission.decide(Millis(at)));

    let expected =
        [Admission::Lagging, Admission::LinkFull, Admission::LinkFull, Admission::Accepted];
    assert_eq!(decisions, expected);
}

/// Guards against a link that is full in one direction, and against adding up both.
#[test]
fn verify_each_direction_of_the_link_counts_for_itself() {
    let cases = [
        ("half in each", [LINK_BYTES / 2, LINK_BYTES / 2], Admission::Accepted),
        ("full inbound", [LINK_BYTES, 0], Admission::LinkFull),
        ("full outbound", [0, LINK_BYTES], Admission::LinkFull),
    ];
    for (name, [inbound, outbound], expected) in cases {
        let mut admission = ConnectionAdmission::new(Some(1.0));
        for step in 0..10 {
            let at = Millis(100 * step);
            admission.record_bytes(Direction::Inbound, inbound / 10, at);
            admission.record_bytes(Direction::Outbound, outbound / 10, at);
        }
        assert_eq!(admission.decide(Millis(950)), expected, "{name}");
    }
}

/// Guards against closing connections for a link of unknown bandwidth.
#[test]
fn verify_bytes_do_not_count_without_a_known_link() {
    let mut admission = ConnectionAdmission::new(None);

    admission.record_bytes(Direction::Outbound, usize::MAX / 2, Millis(0));

    assert_eq!(admission.decide(Millis(1)), Admission::Accepted);
}
