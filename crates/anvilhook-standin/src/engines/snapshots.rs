//! Load reports kept for as long as they lag.

use std::collections::VecDeque;

use anvilhook_core::reports::LoadReport;
use anvilhook_core::units::Millis;

/// `Snapshots` holds the reports that are still to be answered.
#[derive(Clone, Debug)]
pub(super) struct Snapshots {
    interval: Millis,
    lag: Millis,
    next_at: Millis,
    next_seq: u64,
    kept: VecDeque<(Millis, LoadReport)>,
}

impl Snapshots {
    /// Starts with a report of the start.
    pub(super) fn new(interval: Millis, lag: Millis, now: Millis, first: LoadReport) -> Self {
        let mut snapshots =
            Self { interval, lag, next_at: now, next_seq: 1, kept: VecDeque::new() };
        snapshots.record_until(now, || first.clone());
        snapshots
    }

    /// Returns when the next report is due.
    pub(super) fn next_at(&self) -> Millis {
        self.next_at
    }

    /// Records the reports due until `now`, in all of which the engine was as `report` says.
    pub(super) fn record_until(&mut self, now: Millis, report: impl Fn() -> LoadReport) {
        if self.next_at > now {
            return;
        }

        // After a long rest only the reports that can still be answered are made up.
        let skipped = (now - self.lag - self.next_at).0 / self.interval.0;
        self.next_at += Millis(skipped * self.interval.0);
        self.next_seq += skipped;

        while self.next_at <= now {
            let report = LoadReport { seq: self.next_seq, ..report() };
            self.kept.push_back((self.next_at, report));
            self.next_seq += 1;
            self.next_at += self.interval;
        }
        self.forget(now);
    }

    /// Returns the report that is answered at `now`: the latest that is old enough.
    pub(super) fn answer(&mut self, now: Millis) -> Option<LoadReport> {
        self.forget(now);
        let (at, report) = self.kept.front()?;
        Some(LoadReport { age: now - *at, ..report.clone() })
    }

    fn forget(&mut self, now: Millis) {
        while self.kept.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.kept.pop_front();
        }
    }
}
