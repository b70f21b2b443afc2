//! Decides which start of an upstream is the current one, by the reports of its id.
//!
//! Designed for: upstreams that restart under the same id, on hosts whose clocks may be set back between two
//! starts, and whose reports may be delayed by seconds. The start time alone does not order such reports: it would take
//! all those of the later start for delayed ones, so that the upstream gets work after it has reported to be leaving.

/// The highest number of a report that shows by itself that its start is a new one. Numbers begin again with each start.
const FIRST_REPORTS: u64 = 2;

/// The maximum number of other starts that are retained for one id.
const MAX_OTHERS: usize = 8;

/// `StartReport` is what the order of reports depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartReport {
    /// The time of the start, by the clock of the upstream's host, if the upstream reports it.
    pub born: Option<u64>,
    /// The number of the report, which grows with each report of one start.
    pub sequence: u64,
    /// Whether the upstream is leaving.
    pub draining: bool,
}

/// `OtherStart` is a start that is not the current one.
#[derive(Clone, Copy, Debug)]
struct OtherStart {
    last: StartReport,
    /// Whether its next report shows that it is the current one. A single report may be delayed.
    is_candidate: bool,
}

/// `StartHistory` holds the starts of one id, other than the current one.
///
/// ```
/// use anvilhook_core::start_history::{StartHistory, StartReport};
///
/// let report = |born, sequence| StartReport { born: Some(born), sequence, draining: false };
/// let mut history = StartHistory::default();
/// assert!(history.supersedes(&report(2_000, 1), &report(1_000, 9)));
/// assert!(!history.supersedes(&report(1_000, 10), &report(2_000, 1)), "delayed");
/// assert!(history.supersedes(&report(500, 1), &report(2_000, 1)), "its clock was set back");
/// ```
#[derive(Clone, Debug, Default)]
pub struct StartHistory {
    others: Vec<OtherStart>,
}

impl StartHistory {
    /// Decides whether a report is of a start that replaces the one of the `current` report, which is another one, and
    /// records both.
    pub fn supersedes(&mut self, report: &StartReport, current: &StartReport) -> bool {
        let is_later = report.born > current.born;
        let Some(at) = self.others.iter().position(|other| other.last.born == report.born) else {
            let is_first = report.sequence <= FIRST_REPORTS;
            let supersedes = is_later || (is_first && is_credible(report, current));
            match supersedes {
                // If only the number shows it, a report of the other start shows that this one was delayed.
                true => self.add(current, !is_later),
                false => self.add(report, true),
            }
            return supersedes;
        };
        let other = &mut self.others[at];
        if report.sequence <= other.last.sequence {
            return false;
        }
        let draining = report.draining || other.last.draining;
        other.last = StartReport { draining, ..*report };
        let was_candidate = std::mem::replace(&mut other.is_candidate, true);
        let supersedes = was_candidate && is_credible(&other.last, current);
        if supersedes {
            self.others.remove(at);
            self.add(current, true);
        }
        supersedes
    }

    /// Records a further report of the current start: those of others were delayed.
    pub fn record_current(&mut self) {
        for other in &mut self.others {
            other.is_candidate = false;
        }
    }

    /// Returns whether a start has been seen to be leaving.
    pub fn was_leaving(&self, born: Option<u64>) -> bool {
        self.others.iter().any(|other| other.last.born == born && other.last.draining)
    }

    fn add(&mut self, last: &StartReport, is_candidate: bool) {
        if self.others.len() == MAX_OTHERS {
            self.others.remove(0);
        }
        self.others.push(OtherStart { last: *last, is_candidate });
    }
}

/// Returns whether a report that may be delayed may replace another one. It must not make an upstream that is leaving
/// accept work. One without a start time is older than any with one.
fn is_credible(report: &StartReport, current: &StartReport) -> bool {
    report.born.is_some() && (report.draining || !current.draining)
}
