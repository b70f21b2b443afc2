//! Carries out duties at the platform's API: usage reports and orders of engines.
//!
//! One instance at a time does so, under a lease.

mod records;
mod reports;
mod sizes;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::fleet_size::{FleetPlanner, SizeOptions};
use anvilhook_core::units::{Clock, Millis, WallTime};

use crate::clouds::{Authority, Cloud, CloudAnswer, UsageReport};
use crate::events::{DutyEvent, emit};
use crate::leases::{Lease, LeaseManager};
use crate::relay::Gateway;
use crate::tables::Table;
use crate::wires::Wire;

use reports::{ReportStatus, ReportStore};
use sizes::UsualSizes;

/// The row of the lease.
const LEASE_ROW: &str = "duties";

/// The pause between two checks for pending work.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long after a window's end its counts are complete. By then the counts of all requests that began in
/// it have been received, and have been resent to instances that missed them.
const SETTLE_TIME: Millis = Millis(2_400);

/// How much longer an instance waits than the one ranked before it, before it does pending work that the
/// others have not done.
const RANK_DELAY: Millis = Millis(1_600);

/// The maximum time of a call. When a call is sent, the lease must be valid for at least this long.
pub const CALL_TIME: Millis = Millis(1_000);

/// `DutyOptions` configures which duties are carried out, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyOptions {
    /// How long a lease is valid.
    pub lease: Millis,
    /// How long after a window's end its usage must be reported; `None` if usage is not reported.
    pub usage_due: Option<Millis>,
    /// The limits of the fleet sizes that are ordered; `None` if no engines are ordered.
    pub sizes: Option<SizeOptions>,
    /// How long after the end of its lease a call of an earlier holder may still be carried out, by systems
    /// that don't check its fencing token.
    pub late_calls: Millis,
}

/// `DutyRunner` does the pending work if this instance is responsible for it.
///
/// The first instance in rank acts. If it is partitioned or gone, the next in rank does the pending work
/// after a delay. The lease and the fencing token prevent both from acting at the same time.
pub struct DutyRunner<W: Wire, T: Table, C: Clock, P: Cloud> {
    gateway: Gateway<W, C>,
    clock: C,
    cloud: P,
    options: DutyOptions,
    lease: LeaseManager<T, C>,
    reports: ReportStore<T>,
    planners: HashMap<Arc<str>, FleetPlanner>,
    usual_sizes: UsualSizes<T>,
    /// When the number of upstreams was logged last.
    logged_at: Option<Millis>,
}

/// `Step` is the outcome of one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The step is done, and the next one may follow.
    Done,
    /// The step must be tried again later.
    Later,
}

impl<W: Wire, T: Table, C: Clock, P: Cloud> DutyRunner<W, T, C, P> {
    /// Creates a runner that holds no lease.
    pub fn new(
        gateway: Gateway<W, C>,
        table: T,
        clock: C,
        cloud: P,
        holder: String,
        options: DutyOptions,
    ) -> Self {
        let (length, peers) = (options.lease, Arc::clone(gateway.peers()));
        let lease =
            LeaseManager::new(table.clone(), clock.clone(), LEASE_ROW, holder, length, peers)
                .with_late_calls(options.late_calls);
        Self {
            gateway,
            clock,
            cloud,
            options,
            lease,
            reports: ReportStore::new(table.clone()),
            planners: HashMap::new(),
            usual_sizes: UsualSizes::new(table),
            logged_at: None,
        }
    }

    /// Does the pending work for as long as the process runs.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.gateway.is_ready() {
                self.run_once().await;
            }
        }
    }

    /// Does the work that is pending now if this instance is responsible for it.
    pub async fn run_once(&mut self) {
        let Some(rank) = self.gateway.peers().duty_rank(self.clock.now()) else { return };
        if let Some(due) = self.options.usage_due {
            self.report_ended_windows(rank, due).await;
        }
        if let Some(sizes) = self.options.sizes {
            self.size_fleets(rank, sizes).await;
        }
    }

    /// Reports the usage of each window that has ended and is not reported yet.
    async fn report_ended_windows(&mut self, rank: usize, due: Millis) {
        let Some(windows) = self.gateway.usage().windows() else { return };
        loop {
            let time = self.gateway.usage().time(self.clock.now());
            let settled = time.0.saturating_sub((SETTLE_TIME + RANK_DELAY * rank as u64).0);
            let last = windows.at(WallTime(settled)).saturating_sub(1);
            let reported = self.gateway.usage().reported();
            if last <= reported {
                return;
            }
            let first = if reported == 0 { last } else { reported + 1 };
            let is_late = windows.end(first).0 + due.0 < time.0;
            if is_late {
                emit(&DutyEvent::UsageMissed { window: first });
                self.gateway.usage().record_reported(first);
                continue;
            }
            if self.report(first).await == Step::Later {
                return;
            }
        }
    }

    /// Reports the usage of a window: the stored report, or the current counts if none is stored.
    async fn report(&mut self, window: u64) -> Step {
        if self.hold().await.is_none() {
            return Step::Later;
        }
        let counted = UsageReport { window, counts: self.gateway.usage().totals(window) };
        let report = match self.reports.write(self.lease.epoch(), &counted).await {
            Ok(ReportStatus::Written(report)) => report,
            Ok(ReportStatus::TooOld) => {
                self.gateway.usage().record_reported(window);
                return Step::Done;
            }
            Err(err) => {
                emit(&DutyEvent::DutyDelayed { duty: "usage", cause: err.to_string() });
                return Step::Later;
            }
        };
        // Writing may have taken long, or this instance may have been suspended meanwhile.
        let Some(lease) = self.hold().await else { return Step::Later };
        let authority = Authority { holder: self.lease.holder(), token: lease.token };
        let answer = self.cloud.report_usage(authority, &report).await;
        emit(&DutyEvent::UsageReported {
            window,
            accounts: report.counts.len(),
            requests: report.counts.iter().map(|(_, count)| u64::from(*count)).sum(),
            token: lease.token,
            outcome: answer.as_str(),
        });
        match answer {
            CloudAnswer::Accepted | CloudAnswer::Wrong => {
                self.gateway.usage().record_reported(window);
                Step::Done
            }
            CloudAnswer::Conflict => {
                self.lease.yield_to_newer();
                Step::Later
            }
            CloudAnswer::Busy | CloudAnswer::NoAnswer => Step::Later,
        }
    }

    /// Returns the lease if it is valid for at least as long as a call takes, or can be acquired.
    async fn hold(&mut self) -> Option<Lease> {
        let lease = self.lease.hold_for(CALL_TIME).await?;
        self.gateway.metrics().record_lease(lease.token);
        Some(lease)
    }
}
