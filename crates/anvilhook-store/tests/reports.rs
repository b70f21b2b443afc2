//! When instances report the revision in force.

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Millis, Revision};
use anvilhook_store::ReportSchedule;
use anvilhook_store::instances::report_span;

const INTERVAL: Millis = Millis::from_secs(5);
/// How often an instance looks whether a report is due.
const LOOK: u64 = 200;
/// The most rows in any second that a change may cost, whatever the number of instances.
const MAX_ROWS_PER_S: usize = 100;

fn name(at: usize) -> InstanceName {
    format!("entry-{at}").parse().unwrap()
}

/// Runs all schedules over a time, and returns when each wrote and which revision. `in_force` gives
/// the revision at a time, `is_up` whether the table takes the write.
fn writes(
    instances: usize,
    until: u64,
    in_force: impl Fn(u64) -> u64,
    is_up: impl Fn(u64) -> bool,
) -> (Vec<Vec<(u64, u64)>>, Vec<u64>) {
    let mut written = vec![Vec::new(); instances];
    let mut tried = Vec::new();
    for (at, written) in written.iter_mut().enumerate() {
        let mut schedule = ReportSchedule::new(&name(at), INTERVAL);
        // Instances do not look at the same moment.
        for now in (at as u64 % LOOK..until).step_by(LOOK as usize) {
            let revision = Revision(in_force(now));
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

/// Returns the most of these times that fall into any second, from a time on.
fn most_in_a_second(times: &[u64], from: u64) -> usize {
    let mut times: Vec<u64> = times.iter().copied().filter(|at| *at >= from).collect();
    times.sort_unstable();
    let within = |start: &u64| times.partition_point(|at| *at < start + 1_000);
    times.iter().enumerate().map(|(index, start)| within(start) - index).max().unwrap_or(0)
}

/// Symptom: right after each change of the configuration renewals of leases are refused or late.
/// Sequence: a change comes into force on all instances within milliseconds, and each writes a row.
/// Cause: reports that are due by the change alone. The same happens when the table comes back.
#[test]
fn verify_reports_are_spread() {
    const CHANGE: u64 = 60_000;
    const END: u64 = 120_000;
    type InForce = fn(u64) -> u64;
    type IsUp = fn(u64) -> bool;
    let one: InForce = |now| 1 + u64::from(now >= CHANGE);
    let many: InForce = |now| if now < CHANGE { 1 } else { 2 + (now - CHANGE) / 700 };
    let up: IsUp = |_| true;
    let outage: IsUp = |now| !(CHANGE - 1_000..CHANGE + 30_000).contains(&now);
    let cases = [("one change", one, up), ("many", many, up), ("outage", one, outage)];
    for instances in [9, 81, 390] {
        for (case, in_force, is_up) in cases {
            let case = format!("{instances} instances, {case}");
            let (written, tried) = writes(instances, END, in_force, is_up);
            let most = most_in_a_second(&tried, CHANGE);
            println!("{case}: {most} rows at most in a second");
            assert!(most <= MAX_ROWS_PER_S, "{case}: {most} rows in a second");

            // Nobody reports later than the span or the interval after it could.
            let longest = report_span(instances).max(INTERVAL).0 + LOOK;
            for reports in &written {
                let first = reports.iter().find(|(at, _)| *at >= CHANGE);
                let (at, _) = first.unwrap_or_else(|| panic!("{case}: no report"));
                let from = (CHANGE..).step_by(1_000).find(|at| is_up(*at)).unwrap();
                assert!(*at <= from + longest, "{case}: only after {}", at - from);
                let last = reports.last().unwrap();
                assert!(last.1 >= in_force(END - 2 * longest), "{case}: {last:?} is old");
            }
        }
    }
}

/// Symptom: the record says that a revision came into force seconds after it did.
/// Sequence: a change comes into force; the report is put off by the instance's place in the span.
/// Cause: the time of the report taken for that of coming into force.
#[test]
fn verify_the_time_in_force_is_not_that_of_the_report() {
    for at in 0..40 {
        let mut schedule = ReportSchedule::new(&name(at), INTERVAL);
        assert!(schedule.is_due(Millis(0), Revision(1), 390));
        schedule.reported(Millis(0), Revision(1), 390);
        let due = |now: &u64| schedule.is_due(Millis(*now), Revision(2), 390);
        let now = (20_000..40_000).find(due).unwrap();
        assert_eq!(schedule.in_force_for(Millis(now)), Millis(now - 20_000));
    }
}
