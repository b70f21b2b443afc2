//! The sweep of old claims from the table.

use anvilhook_core::units::Clock;
use anvilhook_platform::{InstanceList, Table};
use anvilhook_store::claims::{Claims, SweepReport, Sweeper};
use tokio::sync::watch;

use super::tasks::rest;

/// Sweeps old claims again and again, together with the other instances and no faster than all of
/// them may.
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
        rest(claims.options().pause_after(&report, count)).await;
        report = match claims.sweep_listed(&mut sweeper, &list).await {
            Ok(report) => report,
            Err(err) => {
                // Old claims take up room and do no harm; the next sweep may succeed.
                log::warn!("claims cannot be swept: {err}");
                round_done
            }
        };
        if report.deleted > 0 || report.kept_in_flight > 0 {
            let SweepReport { deleted, kept_in_flight, .. } = report;
            log::info!("swept {deleted} claims, kept {kept_in_flight} old ones without outcome");
        }
    }
}
