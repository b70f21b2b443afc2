//! How much longer than the mean the work of one upstream takes.

use super::bounded_slowness;
use crate::units::Millis;

/// How long a speed that an upstream reports is used, with a weight that falls from one to zero. Such a
/// speed may change several times a second.
const REPORT_VALIDITY: Millis = Millis(600);

/// The maximum age of a report that is compared with the time that work took.
const COMPARED_AGE: Millis = Millis(100);

/// The maximum factor between a sample and the learnt slowness. A greater one is limited, since the work
/// may have queued behind other work, or may have been done already.
const MAX_STEP: f64 = 2.5;

/// By how much more, as a logarithm, reports may differ from the times taken than the learnt slowness does
/// before they are ignored, and the weight of each comparison.
const REPORT_MARGIN: f64 = 0.2;
const ERROR_WEIGHT: f64 = 0.1;

/// `Learning` is how quickly [`UpstreamSpeed`] follows its samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Learning {
    /// The weight of a sample that moves the slowness away from the mean.
    growth: f64,
    /// The weight of a sample that moves it back to the mean.
    fall: f64,
    /// The time after the last sample in which the slowness returns to the mean. For the first third of it,
    /// the slowness is kept.
    recovery: Millis,
}

impl Learning {
    /// For readings of model engines. An instance measures each of 90 engines every 10 to 20 s, and the
    /// engines' hosts differ lastingly, so the speed is kept longer than the time between samples.
    pub const ENGINE: Learning = Learning { growth: 0.2, fall: 0.4, recovery: Millis(30_000) };

    /// For requests of plain upstreams. An instance measures each of a few upstreams about once a second,
    /// and an upstream is slow for some seconds.
    pub const PLAIN: Learning = Learning { growth: 0.5, fall: 0.7, recovery: Millis(5_000) };
}

/// `UpstreamSpeed` estimates how many times longer than the mean of its service an upstream's work takes.
///
/// It is learnt from the times that work took, and returns to one while there are none: an upstream that was
/// slow and is therefore not used would otherwise never be used again. The last learnt value is kept for the
/// next sample, so that an upstream that is still slow costs one request to find out.
///
/// A report of the upstream counts while it is fresh. Reports may be relative to the mean or to the
/// upstream's own usual speed, so the factor between them and the times taken is learnt. Reports that predict
/// these times worse than the learnt speed are ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamSpeed {
    /// The learnt slowness and the learnt factor from reports to times taken, as logarithms.
    learnt: f64,
    factor: f64,
    learnt_at: Millis,
    recovery: Millis,
    /// The mean error of the learnt slowness and of the reports, as logarithms.
    learnt_error: f64,
    report_error: f64,
    /// The logarithm of the last report, and its time.
    report: Option<(f64, Millis)>,
    /// The slowness that `learnt` stands for, and that of the report. Placements read them often.
    learnt_slowness: f64,
    report_slowness: f64,
}

impl Default for UpstreamSpeed {
    fn default() -> Self {
        Self {
            learnt: 0.0,
            factor: 0.0,
            learnt_at: Millis::ZERO,
            recovery: Learning::ENGINE.recovery,
            learnt_error: 0.0,
            report_error: 0.0,
            report: None,
            learnt_slowness: 1.0,
            report_slowness: 1.0,
        }
    }
}

impl UpstreamSpeed {
    /// Learns from work that took `slowness` times longer than the mean.
    ///
    /// ```
    /// use anvilhook_core::speeds::{Learning, UpstreamSpeed};
    /// use anvilhook_core::units::Millis;
    ///
    /// let mut speed = UpstreamSpeed::default();
    /// (0..40).for_each(|_| speed.record(0.6, Learning::ENGINE, Millis(1_000)));
    /// assert!((speed.slowness(Millis(1_000)) - 0.6).abs() < 0.01);
    /// assert_eq!(speed.slowness(Millis(60_000)), 1.0);
    /// ```
    pub fn record(&mut self, slowness: f64, learning: Learning, now: Millis) {
        let seen = bounded_slowness(slowness).ln();
        let fresh = self.report.filter(|(_, at)| *at + COMPARED_AGE >= now);
        if let Some((report, _)) = fresh {
            let error = |before: f64, predicted: f64| {
                before + ERROR_WEIGHT * ((seen - predicted).abs() - before)
            };
            self.learnt_error = error(self.learnt_error, self.learnt);
            self.report_error = error(self.report_error, report + self.factor);
            self.factor = moved(self.factor, seen - report, learning);
        }
        self.learnt = moved(self.learnt, seen, learning);
        self.learnt_slowness = bounded_slowness(self.learnt.exp());
        self.update_report();
        (self.learnt_at, self.recovery) = (now, learning.recovery);
    }

    /// Records the time that work currently takes by the upstream's own report, in percent of the usual.
    ///
    /// ```
    /// use anvilhook_core::speeds::UpstreamSpeed;
    /// use anvilhook_core::units::Millis;
    ///
    /// let mut speed = UpstreamSpeed::default();
    /// speed.record_report(250, Millis(1_000));
    /// assert!((speed.slowness(Millis(1_000)) - 2.5).abs() < 1e-9);
    /// assert!((speed.slowness(Millis(1_300)) - 1.75).abs() < 1e-9);
    /// assert_eq!(speed.slowness(Millis(2_000)), 1.0);
    /// ```
    pub fn record_report(&mut self, percent: u32, now: Millis) {
        self.report = Some((bounded_slowness(f64::from(percent) / 100.0).ln(), now));
        self.update_report();
    }

    /// Returns how many times longer than the mean the upstream's work currently takes.
    pub fn slowness(&self, now: Millis) -> f64 {
        let left =
            |at: Millis, validity: Millis| 1.0 - ((now - at).0 as f64 / validity.0 as f64).min(1.0);
        let kept = (left(self.learnt_at, self.recovery) * 1.5).min(1.0);
        let learnt = 1.0 + (self.learnt_slowness - 1.0) * kept;
        match self.report {
            Some((_, at)) if self.report_error <= self.learnt_error + REPORT_MARGIN => {
                learnt + (self.report_slowness - learnt) * left(at, REPORT_VALIDITY)
            }
            _ => learnt,
        }
    }

    fn update_report(&mut self) {
        if let Some((report, _)) = self.report {
            self.report_slowness = bounded_slowness((report + self.factor).exp());
        }
    }
}

/// Returns `before` moved towards `seen`, both logarithms of a slowness.
fn moved(before: f64, seen: f64, learning: Learning) -> f64 {
    let step = (seen - before).clamp(-MAX_STEP.ln(), MAX_STEP.ln());
    let is_back = step * before < 0.0;
    before + step * if is_back { learning.fall } else { learning.growth }
}
