//! Load reports, retained until they are old enough to be returned.

use std::collections::VecDeque;

use anvilhook_core::reports::LoadReport;
use anvilhook_core::units::Millis;

/// `Snapshots` records load reports at an interval and returns them with a lag.
#[derive(Clone, Debug)]
pub(super) struct Snapshots {
    interval: Millis,
    lag: Millis,
    next_at: Millis,
    next_seq: u64,
    retained: VecDeque<(Millis, LoadReport)>,
}

impl Snapshots {
    /// Creates the snapshots with `first` as the report at `now`.
    pub(super) fn new(interval: Millis, lag: Millis, now: Millis, first: LoadReport) -> Self {
        let mut snapshots =
            Self { interval, lag, next_at: now, next_seq: 1, retained: VecDeque::new() };
        snapshots.record_until(now, || first.clone());
        snapshots
    }

    /// Returns when the next report is due.
    pub(super) fn next_at(&self) -> Millis {
        self.next_at
    }

    /// Records the reports due until `now`. The engine's state must have been that of `report` at
    /// all of their times.
    pub(super) fn record_until(&mut self, now: Millis, report: impl Fn() -> LoadReport) {
        if self.next_at > now {
            return;
        }

        // After a long idle time only the reports that can still be returned are recorded.
        let skipped = (now - self.lag - self.next_at).0 / self.interval.0;
        self.next_at += Millis(skipped * self.interval.0);
        self.next_seq += skipped;

        while self.next_at <= now {
            let report = LoadReport { seq: self.next_seq, ..report() };
            self.retained.push_back((self.next_at, report));
            self.next_seq += 1;
            self.next_at += self.interval;
        }
        self.drop_outdated(now);
    }

    /// Returns the report to send at `now`: the latest that is old enough, or else the first.
    pub(super) fn answer(&mut self, now: Millis) -> Option<LoadReport> {
        self.drop_outdated(now);
        let (at, report) = self.retained.front()?;
        Some(LoadReport { age: now - *at, ..report.clone() })
    }

    fn drop_outdated(&mut self, now: Millis) {
        while self.retained.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.retained.pop_front();
        }
    }
}
