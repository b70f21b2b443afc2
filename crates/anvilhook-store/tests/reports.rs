//! Tests when instances report their applied revision.

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Millis, Revision};
use anvilhook_store::ReportSchedule;
use anvilhook_store::instances::report_span;

const INTERVAL: Millis = Millis::from_secs(5);
/// How often an instance checks whether a report is due, in milliseconds.
const CHECK_INTERVAL: u64 = 200;
/// The maximum number of rows that a change may cost in any second, for any number of instances.
const MAX_ROWS_PER_S: usize = 100;

fn name(at: usize) -> InstanceName {
    format!("entry-{at}").parse().unwrap()
}

/// Runs all schedules until a time. Returns for each the times and revisions of its writes, and the
/// times of all tries. `applied` returns the revision at a time, and `is_up` whether the table accepts
/// writes.
fn writes(
    instances: usize,
    until: u64,
    applied: impl Fn(u64) -> u64,
    is_up: impl Fn(u64) -> bool,
) -> (Vec<Vec<(u64, u64)>>, Vec<u64>) {
    let mut written = vec![Vec::new(); instances];
    let mut tried = Vec::new();
    for (at, written) in written.iter_mut().enumerate() {
        let mut schedule = ReportSchedule::new(&name(at), INTERVAL);
        // Instances do not check at the same time.
        for now in (at as u64 % CHECK_INTERVAL..until).step_by(CHECK_INTERVAL as usize) {
            let revision = Revision(applied(now));
            if !schedule.is_due(Millis(now), revision, instances) {
                continue;
            }
            tried.push(now);
            if is_up(now) {
                schedule.reported(Millis(now), revision, instances);
                written.push((now, revision.0));
            } else {
                schedule.failed(Millis(now), instances);
            }
        }
    }
    (written, tried)
}

/// Returns the maximum number of these times that fall into any second, from a time on.
fn most_in_a_second(times: &[u64], from: u64) -> usize {
    let mut times: Vec<u64> = times.iter().copied().filter(|at| *at >= from).collect();
    times.sort_unstable();
    let within = |start: &u64| times.partition_point(|at| *at < start + 1_000);
    times.iter().enumerate().map(|(index, start)| within(start) - index).max().unwrap_or(0)
}

/// Guards against renewals of leases that are refused or late right after a change of the
/// configuration. The change is applied on all instances within milliseconds, and each writes a row.
/// Reports must be spread over time, also when the table comes back after an outage.
#[test]
fn verify_reports_are_spread() {
    const CHANGE: u64 = 60_000;
    const END: u64 = 120_000;
    type Applied = fn(u64) -> u64;
    type IsUp = fn(u64) -> bool;
    let one: Applied = |now| 1 + u64::from(now >= CHANGE);
    let many: Applied = |now| if now < CHANGE { 1 } else { 2 + (now - CHANGE) / 700 };
    let up: IsUp = |_| true;
    let outage: IsUp = |now| !(CHANGE - 1_000..CHANGE + 30_000).contains(&now);
    let cases = [("one change", one, up), ("many", many, up), ("outage", one, outage)];
    for instances in [9, 81, 390] {
        for (case, applied, is_up) in cases {
            let case = format!("{instances} instances, {case}");
            let (written, tried) = writes(instances, END, applied, is_up);
            let most = most_in_a_second(&tried, CHANGE);
            println!("{case}: at most {most} rows in a second");
            assert!(most <= MAX_ROWS_PER_S, "{case}: {most} rows in a second");

            // No instance reports later than one span or interval after it can write.
            let longest = report_span(instances).max(INTERVAL).0 + CHECK_INTERVAL;
            for reports in &written {
                let first = reports.iter().find(|(at, _)| *at >= CHANGE);
                let (at, _) = first.unwrap_or_else(|| panic!("{case}: no report"));
                let from = (CHANGE..).step_by(1_000).find(|at| is_up(*at)).unwrap();
                assert!(*at <= from + longest, "{case}: only after {}", at - from);
                let last = reports.last().unwrap();
                assert!(last.1 >= applied(END - 2 * longest), "{case}: {last:?} is old");
            }
        }
    }
}

/// Guards against a record whose `since` is seconds too late. The report of a revision is delayed by
/// the instance's offset in the span, and `since` must be the time at which the revision was applied,
/// not the time of the report.
#[test]
fn verify_the_time_of_a_revision_is_not_that_of_its_report() {
    for at in 0..40 {
        let mut schedule = ReportSchedule::new(&name(at), INTERVAL);
        assert!(schedule.is_due(Millis(0), Revision(1), 390));
        schedule.reported(Millis(0), Revision(1), 390);
        let due = |now: &u64| schedule.is_due(Millis(*now), Revision(2), 390);
        let now = (20_000..40_000).find(due).unwrap();
        assert_eq!(schedule.applied_for(Millis(now)), Millis(now - 20_000));
    }
}
