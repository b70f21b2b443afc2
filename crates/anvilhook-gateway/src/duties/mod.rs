//! Duties that one instance at a time has at the platform's API, under a lease.

mod records;
mod reports;
mod sizes;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::fleet_size::{FleetPlanner, SizeOptions};
use anvilhook_core::units::{Clock, Millis, WallTime};

use crate::clouds::{Authority, Cloud, CloudAnswer, UsageReport};
use crate::events::{Event, emit};
use crate::leases::{Lease, LeaseManager};
use crate::relay::Gateway;
use crate::tables::Table;
use crate::wires::Wire;

use reports::{ReportBook, Standing};
use sizes::UsualSizes;

/// The row of the lease.
const LEASE_ROW: &str = "duties";

/// The pause between two looks at what is due.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// How long after a window's end its counts are complete: what began in it was heard of, and was told
/// again to those who missed it.
const SETTLING: Millis = Millis(2_400);

/// How much later the next in rank does what the first has not done.
const RANK_DELAY: Millis = Millis(1_600);

/// How long a call takes at most. The lease must be good for as much longer as a call is sent.
pub const CALL_TIME: Millis = Millis(1_000);

/// `DutyOptions` says which duties there are, and by which figures.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyOptions {
    /// How long a lease is good for.
    pub lease: Millis,
    /// How long after a window's end its usage is to be reported; `None` if it is not to be.
    pub usage_due: Option<Millis>,
    /// How much room upstreams are to have whose number is ordered; `None` if it is not.
    pub sizes: Option<SizeOptions>,
    /// How long an earlier holder's call may be carried out late where nobody checks its fencing token.
    pub late_calls: Millis,
}

/// `DutyRunner` does what is due, if this instance is the one to do so.
///
/// The first in rank acts. If it is cut off or gone, what is due stays undone, and the next in rank does
/// it a while later; the lease and the fencing token keep the two apart.
pub struct DutyRunner<W: Wire, T: Table, C: Clock, P: Cloud> {
    gateway: Gateway<W, C>,
    clock: C,
    cloud: P,
    options: DutyOptions,
    lease: LeaseManager<T, C>,
    reports: ReportBook<T>,
    planners: HashMap<Arc<str>, FleetPlanner>,
    usual_sizes: UsualSizes<T>,
    /// When the number of upstreams was logged last.
    logged_at: Option<Millis>,
}

/// `Step` is what came of one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// It is done, and the next one may follow.
    Done,
    /// It is to be tried again later.
    Later,
}

impl<W: Wire, T: Table, C: Clock, P: Cloud> DutyRunner<W, T, C, P> {
    /// Makes a keeper that holds no lease.
    pub fn new(
        gateway: Gateway<W, C>,
        table: T,
        clock: C,
        cloud: P,
        holder: String,
        options: DutyOptions,
    ) -> Self {
        let lease =
            LeaseManager::new(table.clone(), clock.clone(), LEASE_ROW, holder, options.lease)
                .with_late_calls(options.late_calls);
        Self {
            gateway,
            clock,
            cloud,
            options,
            lease,
            reports: ReportBook::new(table.clone()),
            planners: HashMap::new(),
            usual_sizes: UsualSizes::new(table),
            logged_at: None,
        }
    }

    /// Does what is due for as long as the process runs.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            if self.gateway.is_ready() {
                self.run_once().await;
            }
        }
    }

    /// Does what is due now, if this instance is the one to do so.
    pub async fn run_once(&mut self) {
        let Some(rank) = self.gateway.peers().duty_rank(self.clock.now()) else { return };
        if let Some(due) = self.options.usage_due {
            self.report_due(rank, due).await;
        }
        if let Some(sizes) = self.options.sizes {
            self.size_fleets(rank, sizes).await;
        }
    }

    /// Reports the usage of each window that has ended and is not reported yet.
    async fn report_due(&mut self, rank: usize, due: Millis) {
        let Some(windows) = self.gateway.usage().windows() else { return };
        loop {
            let time = self.gateway.usage().time(self.clock.now());
            let settled = time.0.saturating_sub((SETTLING + RANK_DELAY * rank as u64).0);
            let last = windows.at(WallTime(settled)).saturating_sub(1);
            let reported = self.gateway.usage().reported();
            if last <= reported {
                return;
            }
            let first = if reported == 0 { last } else { reported + 1 };
            let is_late = windows.end(first).0 + due.0 < time.0;
            if is_late {
                emit(&Event::UsageMissed { window: first });
                self.gateway.usage().record_reported(first);
                continue;
            }
            if self.report(first).await == Step::Later {
                return;
            }
        }
    }

    /// Reports the usage of a window: what was written of it, or else what is counted now.
    async fn report(&mut self, window: u64) -> Step {
        if self.hold().await.is_none() {
            return Step::Later;
        }
        let counted = UsageReport { window, counts: self.gateway.usage().totals(window) };
        let report = match self.reports.write(&counted).await {
            Ok(Standing::Written(report)) => report,
            Ok(Standing::TooOld) => {
                self.gateway.usage().record_reported(window);
                return Step::Done;
            }
            Err(err) => {
                emit(&Event::DutyDelayed { duty: "usage", cause: err.to_string() });
                return Step::Later;
            }
        };
        // The writing may have taken long, or this instance was suspended in it.
        let Some(lease) = self.hold().await else { return Step::Later };
        let authority = Authority { holder: self.lease.holder(), token: lease.token };
        let answer = self.cloud.report_usage(authority, &report).await;
        emit(&Event::UsageReported {
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

    /// Returns the lease, if it is held for as long as a call takes.
    async fn hold(&mut self) -> Option<Lease> {
        let lease = self.lease.hold_for(CALL_TIME).await?;
        self.gateway.metrics().record_lease(lease.token);
        Some(lease)
    }
}
