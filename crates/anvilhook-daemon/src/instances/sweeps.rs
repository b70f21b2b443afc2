//! Deletes old claims from the table.

use anvilhook_core::units::Clock;
use anvilhook_platform::{InstanceList, Table};
use anvilhook_store::claims::{Claims, SweepReport, Sweeper};
use tokio::sync::watch;

use super::tasks::sleep_for;

/// Sweeps old claims until it is dropped. The work is shared with the other instances, and the
/// pauses limit the rate of the whole fleet.
pub(super) async fn sweep_claims<T: Table, C: Clock, L: InstanceList>(
    claims: Claims<T, C>,
    list: L,
    instances: watch::Receiver<usize>,
) {
    let mut sweeper = Sweeper::default();
    let round_done = SweepReport { round_done: true, ..SweepReport::default() };
    let mut report = round_done;
    loop {
        let count = *instances.borrow();
        sleep_for(claims.options().pause_after(&report, count)).await;
        report = match claims.sweep_listed(&mut sweeper, &list).await {
            Ok(report) => report,
            Err(err) => {
                // Old claims only take up space; the next sweep may succeed.
                log::warn!("failed to sweep claims: {err}");
                round_done
            }
        };
        if report.deleted > 0 || report.kept_in_flight > 0 {
            let SweepReport { deleted, kept_in_flight, .. } = report;
            log::info!(
                "deleted {deleted} old claims, retained {kept_in_flight} that have no outcome yet"
            );
        }
    }
}
