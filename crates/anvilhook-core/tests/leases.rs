//! Tests that no two instances rely on the same lease at a time, even if clocks differ and answers are lost.

use anvilhook_core::leases::{LeaseOptions, OwnSession, SessionRow, SessionStatus, Watch};
use anvilhook_core::membership::{CandidateOptions, rank, watch_interval};
use anvilhook_core::names::{InstanceName, PoolName};
use anvilhook_core::units::Millis;

fn name(index: usize) -> InstanceName {
    InstanceName::try_new(&format!("entry-{index}")).unwrap()
}

fn opened(options: &LeaseOptions, now: Millis) -> (OwnSession, SessionRow) {
    let mut own = OwnSession::new(name(1), options.length_ms, None);
    let row = own.begin(now);
    own.confirm();
    (own, row)
}

/// Returns two times on an exact clock: the first at which a challenger may end the session that was
/// renewed and first seen at zero, and the last at which the session's holder still gives orders.
fn first_take_over_and_last_order(
    options: &LeaseOptions,
    holder_ppm: i64,
    watcher_ppm: i64,
) -> (u64, u64) {
    let clock = |real: u64, ppm: i64| {
        Millis((real as i128 * (1_000_000 + i128::from(ppm)) / 1_000_000) as u64)
    };
    let (own, row) = opened(options, Millis::ZERO);
    let mut watch = Watch::default();
    watch.observe(&row, 1, Millis::ZERO, options);
    let limit = 3 * options.length_ms.0;
    let first_take_over =
        (0..limit).find(|real| watch.observe(&row, 1, clock(*real, watcher_ppm), options)).unwrap();
    let last_order =
        (0..limit).rev().find(|real| own.may_order(clock(*real, holder_ppm), options)).unwrap();
    (first_take_over, last_order)
}

/// Guards against two instances that rely on their leases at the same time. The holder's clock is slow and
/// the challenger's is fast, so a challenger that waits only for the lease's length on its own clock takes
/// over too early.
#[test]
fn verify_leases_do_not_overlap_within_the_clock_bound() {
    for (bound, holder_ppm, watcher_ppm, safe) in [
        (1_000, 0, 0, true),
        (1_000, -500, 500, true),
        (1_000, 500, -500, true),
        (1_000, -1_000, 0, true),
        (1_000, 0, 1_000, true),
        (200_000, -90_000, 90_000, true),
        // Beyond the bound the leases may overlap. These cases show that the test detects it.
        (0, -90_000, 90_000, false),
        (1_000, -200_000, 200_000, false),
    ] {
        let case = format!("bound {bound}, holder {holder_ppm}, watcher {watcher_ppm} ppm");
        let options = LeaseOptions {
            length_ms: Millis(9_000),
            guard_ms: Millis::ZERO,
            margin_ms: Millis::ZERO,
            clock_rate_bound_ppm: bound,
            ..LeaseOptions::default()
        };

        let (first_take_over, last_order) =
            first_take_over_and_last_order(&options, holder_ppm, watcher_ppm);

        assert_eq!(
            last_order < first_take_over,
            safe,
            "{case}: first take-over at {first_take_over}, last order at {last_order}"
        );
    }
}

/// Guards against an engine that executes an order of a holder whose successor already gives orders. An
/// order is given just before the guard interval, the engine responds slowly, and the call may take longer
/// than the guard interval.
#[test]
fn verify_a_call_ends_within_any_accepted_guard() {
    for (guard_ms, accepted) in [
        (0, false),
        (2, false),
        (249, false),
        (250, true),
        (2_500, true),
        (4_000, true),
        (u64::MAX, false),
    ] {
        let options = LeaseOptions { guard_ms: Millis(guard_ms), ..LeaseOptions::default() };

        let (call, checked) = (options.call_timeout(), options.check());

        assert!(call + call <= options.guard_ms, "guard {guard_ms}");
        assert_eq!(checked.is_ok(), accepted, "guard {guard_ms}: {checked:?}");
    }
}

/// Guards against a holder that relies on a renewal that never took effect, or drops a session that is still
/// active. The answer to a renewal is lost and the row is read back. Only the row shows the outcome.
#[test]
fn verify_a_lost_renewal_is_resolved_from_the_row() {
    let options = LeaseOptions::default();
    let (_, first) = opened(&options, Millis::ZERO);
    let renewed = SessionRow { renewal: 2, ..first.clone() };
    let ended = first.end();
    let later = first.session.epoch + 1;
    let other = SessionRow {
        session: anvilhook_core::leases::SessionRef { epoch: later, ..first.session.clone() },
        ..first.clone()
    };
    // The row read back with its version, the session's status, and until when the lease is then valid.
    let cases = [
        (Some((&renewed, 2)), SessionStatus::Active, 3_000 + 9_000),
        (Some((&first, 1)), SessionStatus::Active, 9_000),
        (Some((&ended, 2)), SessionStatus::Ended, 9_000),
        (Some((&other, 2)), SessionStatus::Ended, 9_000),
        (None, SessionStatus::Ended, 9_000),
    ];
    for (stored, expected, valid_until) in cases {
        let (mut own, _) = opened(&options, Millis::ZERO);
        assert!(own.is_due(Millis(3_000), &options));
        own.begin(Millis(3_000));
        // The renewal is resent. The time at which it was first sent counts.
        own.begin(Millis(5_000));

        let status = own.read_back(stored);

        assert_eq!(status, expected, "{stored:?}");
        assert_eq!(own.valid_until(), Some(Millis(valid_until)), "{stored:?}");
        assert!(!own.may_order(Millis(valid_until - options.guard_ms.0), &options));
        assert!(own.may_order(Millis(valid_until - options.guard_ms.0 - 1), &options));
    }
}

#[test]
fn verify_errors_name_the_invalid_option() {
    let good = LeaseOptions::default();
    for (options, field) in [
        (LeaseOptions { length_ms: Millis::ZERO, ..good }, "lease.length_ms"),
        (LeaseOptions { guard_ms: Millis(9_000), ..good }, "lease.guard_ms"),
        (LeaseOptions { renew_every_ms: Millis(7_000), ..good }, "lease.renew_every_ms"),
        (LeaseOptions { clock_rate_bound_ppm: 1_000_000, ..good }, "lease.clock_rate_bound_ppm"),
    ] {
        let err = options.check().unwrap_err();

        assert!(err.to_string().starts_with(field), "{err}");
    }
}

/// Guards against reads by instances without a pool that grow with the size of the fleet.
#[test]
fn verify_the_reads_of_candidates_are_bounded() {
    let options = CandidateOptions::default();
    let pool = PoolName::try_new("verdicts").unwrap();
    for instances in [3, 9, 390] {
        let names: Vec<InstanceName> = (0..instances).map(name).collect();
        let mut ranks: Vec<u32> = names.iter().map(|me| rank(&pool, me, &names)).collect();
        let reads_per_s: f64 =
            ranks.iter().map(|rank| 1.0 / watch_interval(*rank, &options).as_secs_f64()).sum();

        ranks.sort_unstable();
        assert_eq!(ranks, (0..instances as u32).collect::<Vec<_>>());
        let slowest = instances as f64 / options.last_interval_ms.as_secs_f64();
        assert!(reads_per_s < 2.0 + slowest, "{instances}: {reads_per_s}");
    }
}
