//! Tests which connections an instance closes unread.

use anvilhook_core::connection_admission::{Admission, ConnectionAdmission, Direction};
use anvilhook_core::units::Millis;

/// When the decisions of a table are made.
const NOW: u64 = 5_100;

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
    let steady = |lag: u64, pause: u64| {
        let times = (1..).map(|n| n * (lag + pause)).take_while(|at| *at <= NOW);
        times.map(|at| (lag, at)).collect::<Vec<_>>()
    };
    let cases = [
        ("idle", vec![], Admission::Accepted),
        ("suspended for three seconds", vec![(3_000, NOW)], Admission::Accepted),
        ("a little late all the time", steady(90, 25), Admission::Accepted),
        ("late for a third of the time", steady(150, 300), Admission::Accepted),
        ("late all the time", steady(120, 25), Admission::Lagging),
        ("very late all the time", steady(900, 25), Admission::Lagging),
        ("seconds late all the time", steady(2_500, 25), Admission::Lagging),
        ("late before", vec![(400, NOW - 1_800), (900, NOW - 1_400)], Admission::Accepted),
    ];
    for (name, lags, expected) in cases {
        assert_eq!(after_lags(&lags).decide(Millis(NOW)), expected, "{name}");
    }
}

/// Guards against an instance that goes on closing connections after it has become idle.
#[test]
fn verify_connections_are_accepted_again_within_a_second() {
    let lags: Vec<_> = (1..=20).map(|n| (225, 250 * n)).collect();
    let mut admission = after_lags(&lags);
    admission.record_bytes(Direction::Inbound, 10 * LINK_BYTES, Millis(5_500));

    let decisions = [5_000, 6_000, 6_499, 6_500].map(|at| admission.decide(Millis(at)));

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
