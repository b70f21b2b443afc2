//! Replays prompts from many instances at few engines in virtual time, with and without the estimate of a
//! common backlog.

use anvilhook_core::reading_backlogs::ReadingBacklog;
use anvilhook_core::units::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A report of an instance: its time and the work that it states, in milliseconds.
type Report = (u64, f64);

/// Returns the backlog of `reports` by their common queue, and with each reduced by its own age.
fn backlogs(reports: &[Report], now: u64) -> (f64, f64) {
    let mut backlog = ReadingBacklog::default();
    reports.iter().for_each(|(at, work_ms)| backlog.add_report(*work_ms, Millis(*at)));
    let separate = reports.iter().map(|(at, work_ms)| (work_ms - (now - at) as f64).max(0.0));
    (backlog.left_ms(Millis(now)), separate.sum())
}

/// Guards against an engine that seems idle although prompts of five instances are queued there: the time
/// since the reports was deducted once for each of them.
#[test]
fn verify_an_engine_with_prompts_of_five_instances_is_not_drained_five_times_as_fast() {
    let reports: Vec<Report> = (0..5).map(|at| (at, 120.0)).collect();

    let (joint_ms, separate_ms) = backlogs(&reports, 130);

    assert_eq!((joint_ms, separate_ms), (470.0, 0.0));
}

/// Guards against a backlog beyond what is reported, below what one engine could have done, or below the
/// estimate that it replaces. Seed 41.
#[test]
fn verify_a_backlog_is_within_its_bounds() {
    let mut rng = ChaCha8Rng::seed_from_u64(41);
    for case in 0..2_000 {
        let count = rng.random_range(0..12);
        let mut reports: Vec<Report> = (0..count)
            .map(|_| (rng.random_range(1_000..1_400), rng.random_range(0.0..600.0)))
            .collect();
        reports.sort_by_key(|(at, _)| *at);
        let now = rng.random_range(1_400..1_800);

        let (joint_ms, separate_ms) = backlogs(&reports, now);

        let sum_ms: f64 = reports.iter().map(|(_, work_ms)| work_ms).sum();
        let first = reports.first().map_or(now, |(at, _)| *at);
        let least_ms = (sum_ms - (now - first) as f64).max(separate_ms);
        assert!(joint_ms <= sum_ms + 1e-6, "case {case}: {joint_ms} of {sum_ms}");
        assert!(joint_ms >= least_ms - 1e-6, "case {case}: {joint_ms}, at least {least_ms}");
    }
}
