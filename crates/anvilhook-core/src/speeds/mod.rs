//! Learns how fast engines work from the requests that they completed.
//!
//! No deployment reports how fast its engines read (prefill) prompts, and two deployments that look
//! alike may differ by a factor of three in the cost of attention. Predictions based on another
//! deployment's figures place long prompts in particular on the wrong engines, because they
//! overestimate the wait for them several times over.
//!
//! The time of a reading is *work*, which occupies the engine, and *latency*, which does not and is the
//! same for prompts of all sizes. [`ReadingSpeed::observe`] separates both, and [`UpstreamSpeed`] learns how
//! the work of one upstream compares with the mean of its service.
//!
//! Designed for: engines whose speeds differ by a factor of 2.7 and which for some hundreds of milliseconds
//! take 2.5 times as long; a latency of 90 ms; and readings that queue behind work of other instances.

use crate::units::Millis;

/// The factor by which each new reading reduces the weight of all earlier ones.
const DECAY: f64 = 0.995;

/// The initial weight of the expected speeds, as a number of readings.
const PRIOR_WEIGHT: f64 = 8.0;

/// The maximum factor between learnt and expected speeds. A greater difference was not caused by the
/// engine's speed.
const MAX_DEVIATION: f64 = 8.0;

/// The maximum factor between the measured and the predicted time of a reading that is learnt from. A
/// slower reading waited behind work that this instance did not know of.
const OUTLIER_FACTOR: f64 = 2.5;

/// The maximum backlog, in milliseconds and as a share of the reading's own work, at which the time taken
/// shows the speed of an engine. A longer backlog is known too inexactly to be subtracted.
const IDLE_BACKLOG_MS: f64 = 5.0;
const BACKLOG_SHARE: f64 = 0.1;

/// The maximum work of a reading from which the latency is learnt, in milliseconds. The work of a larger
/// reading is not known exactly enough to be subtracted.
const SMALL_WORK_MS: f64 = 40.0;

/// The minimum work whose duration shows the speed of an engine, in milliseconds. The duration of less work
/// is mostly latency.
const MIN_MEASURED_MS: f64 = 20.0;

/// The maximum learnt latency, in milliseconds. A longer one is a queue.
const MAX_LATENCY_MS: f64 = 250.0;

/// The share of the difference by which a small reading increases the learnt latency. In a burst, all
/// readings of some seconds queue behind unknown work.
const LATENCY_GROWTH: f64 = 0.02;

/// The weight in the cost of work of a reading that took longer than predicted. It may have queued behind
/// work that this instance does not know of.
const ABOVE_WEIGHT: f64 = 0.3;

/// The weight of a reading in the mean slowness of the engines that have read.
const MEAN_WEIGHT: f64 = 0.02;

/// The bounds of how many times longer than the mean the work of an upstream takes.
const MIN_SLOWNESS: f64 = 0.25;
const MAX_SLOWNESS: f64 = 6.0;

fn bounded_slowness(slowness: f64) -> f64 {
    if slowness.is_nan() { 1.0 } else { slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS) }
}

/// `ReadingCost` predicts how long an engine needs to read a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingCost {
    /// The time for a thousand tokens, in milliseconds.
    pub ms_per_thousand: f64,
    /// The time for a million pairs of tokens that attend to each other, in milliseconds.
    pub ms_per_million_pairs: f64,
    /// The latency: the fixed time for each prompt, in milliseconds. It does not occupy the engine.
    pub fixed_ms: f64,
}

impl ReadingCost {
    /// Returns the time in milliseconds to read a prompt of which `cached` tokens are in the cache.
    ///
    /// Each new token attends to all tokens before it, so the number of pairs is the area of a
    /// trapezium.
    ///
    /// ```
    /// use anvilhook_core::speeds::ReadingCost;
    ///
    /// let cost = ReadingCost { ms_per_thousand: 10.0, ms_per_million_pairs: 0.5, fixed_ms: 1.0 };
    /// assert_eq!(cost.read_ms(2_000, 0), 1.0 + 20.0 + 1.0);
    /// assert_eq!(cost.read_ms(2_000, 2_000), 1.0);
    /// ```
    pub fn read_ms(&self, tokens: u32, cached: u32) -> f64 {
        self.fixed_ms + self.work_ms(tokens, cached)
    }

    /// Returns the part of that time, in milliseconds, which occupies the engine and delays the prompts that
    /// are queued behind this one.
    ///
    /// ```
    /// use anvilhook_core::speeds::ReadingCost;
    ///
    /// let cost = ReadingCost { ms_per_thousand: 10.0, ms_per_million_pairs: 0.5, fixed_ms: 90.0 };
    /// assert_eq!(cost.work_ms(2_000, 0), 20.0 + 1.0);
    /// ```
    pub fn work_ms(&self, tokens: u32, cached: u32) -> f64 {
        let work = ReadingWork::new(tokens, cached);
        work.thousands * self.ms_per_thousand + work.million_pairs * self.ms_per_million_pairs
    }
}

/// The two quantities that determine the time of a reading.
#[derive(Clone, Copy, Debug)]
struct ReadingWork {
    thousands: f64,
    million_pairs: f64,
}

impl ReadingWork {
    fn new(tokens: u32, cached: u32) -> Self {
        let (all, kept) = (f64::from(tokens), f64::from(cached.min(tokens)));
        let fresh = all - kept;
        Self { thousands: fresh / 1e3, million_pairs: fresh * (kept + all) / 2.0 / 1e6 }
    }
}

/// `ReadingSpeed` learns a [`ReadingCost`] by least squares with decaying weights.
#[derive(Clone, Debug)]
pub struct ReadingSpeed {
    expected: ReadingCost,
    learnt: ReadingCost,
    /// The weighted sums of the squares and the product of both quantities, and of their products with
    /// the time.
    squares: [f64; 3],
    products: [f64; 2],
    latency: LowQuantile,
    /// The decaying mean of the logarithms of the slowness of the engines that have read.
    mean_log_slowness: f64,
}

/// `Reading` is a prompt that an engine has read.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// The tokens of the prompt.
    pub tokens: u32,
    /// The tokens that the engine did not have to read.
    pub cached: u32,
    /// The time that the reading took, in milliseconds.
    pub took_ms: f64,
    /// The time of the prompts known to be queued before this one, in milliseconds.
    pub backlog_ms: f64,
    /// How many times longer than the mean the engine's work currently takes, as far as it is known.
    pub slowness: f64,
}

impl ReadingSpeed {
    /// Creates a speed that starts from the expected cost.
    pub fn new(expected: ReadingCost) -> Self {
        // The expectation counts as readings of a thousand tokens and of a million pairs each.
        let products =
            [PRIOR_WEIGHT * expected.ms_per_thousand, PRIOR_WEIGHT * expected.ms_per_million_pairs];
        let squares = [PRIOR_WEIGHT, 0.0, PRIOR_WEIGHT];
        let latency = LowQuantile::default();
        Self { expected, learnt: expected, squares, products, latency, mean_log_slowness: 0.0 }
    }

    /// Returns the cost that predictions currently use.
    pub fn cost(&self) -> ReadingCost {
        self.learnt
    }

    /// Learns from a prompt that an idle engine took `took_ms` to read.
    ///
    /// ```
    /// use anvilhook_core::speeds::{ReadingCost, ReadingSpeed};
    ///
    /// let cost = |ms_per_thousand, ms_per_million_pairs| {
    ///     ReadingCost { ms_per_thousand, ms_per_million_pairs, fixed_ms: 1.0 }
    /// };
    /// let mut speed = ReadingSpeed::new(cost(16.0, 0.65));
    /// for tokens in (1..400).map(|n| n * 100) {
    ///     speed.record(tokens, 0, cost(14.7, 0.24).read_ms(tokens, 0));
    /// }
    /// assert!((speed.cost().ms_per_million_pairs - 0.24).abs() < 0.03);
    /// ```
    pub fn record(&mut self, tokens: u32, cached: u32, took_ms: f64) {
        let predicted_ms = self.learnt.read_ms(tokens, cached);
        if !took_ms.is_finite() || took_ms > predicted_ms * OUTLIER_FACTOR {
            return;
        }
        self.add(&ReadingWork::new(tokens, cached), took_ms - self.expected.fixed_ms, 1.0);
    }

    /// Learns the latency and the cost of work from a reading at an engine of any speed. Returns how many
    /// times longer than the mean its work took, or `None` if the reading doesn't show it.
    ///
    /// The latency is learnt from small readings that found no backlog. Its lower quartile counts, since a
    /// reading may have queued behind work that this instance does not know of. The work is divided by the
    /// engine's slowness relative to the other engines. Without that, a mean over engines that differ by a
    /// factor of 2.7 would depend on which of them read last.
    ///
    /// ```
    /// use anvilhook_core::speeds::{Reading, ReadingCost, ReadingSpeed};
    ///
    /// let cost =
    ///     |fixed_ms| ReadingCost { ms_per_thousand: 16.0, ms_per_million_pairs: 0.65, fixed_ms };
    /// let mut speed = ReadingSpeed::new(cost(1.0));
    /// let mut observe = |tokens| {
    ///     let took_ms = cost(90.0).read_ms(tokens, 0);
    ///     let reading = Reading { tokens, cached: 0, took_ms, backlog_ms: 0.0, slowness: 1.0 };
    ///     speed.observe(&reading)
    /// };
    /// assert!((0..20).all(|_| observe(400).is_none()), "too small");
    /// assert!(observe(4_000).is_some_and(|slowness| (slowness - 1.0).abs() < 0.1));
    /// assert!((speed.cost().fixed_ms - 90.0).abs() < 1.0);
    /// ```
    pub fn observe(&mut self, reading: &Reading) -> Option<f64> {
        let Reading { tokens, cached, took_ms, backlog_ms, slowness } = *reading;
        let slowness = bounded_slowness(slowness);
        // By the expected cost, so that a wrong learnt one can't exclude the readings that would correct it.
        let expected_ms = self.expected.work_ms(tokens, cached);
        let mean_ms = self.learnt.work_ms(tokens, cached);
        if !took_ms.is_finite() || backlog_ms > (expected_ms * BACKLOG_SHARE).max(IDLE_BACKLOG_MS) {
            return None;
        }
        if expected_ms <= SMALL_WORK_MS && backlog_ms <= IDLE_BACKLOG_MS {
            let latency_ms = (took_ms - mean_ms * slowness).clamp(0.0, MAX_LATENCY_MS);
            let learnt_ms = self.learnt.fixed_ms;
            self.learnt.fixed_ms = self.latency.record(latency_ms).map_or(learnt_ms, |low_ms| {
                let weight =
                    if self.latency.is_new() || low_ms < learnt_ms { 1.0 } else { LATENCY_GROWTH };
                learnt_ms + (low_ms - learnt_ms) * weight
            });
        }
        if expected_ms < MIN_MEASURED_MS {
            return None;
        }
        let work_ms = (took_ms - self.learnt.fixed_ms - backlog_ms).max(0.0);
        let relative = slowness / self.mean_log_slowness.exp();
        self.mean_log_slowness += MEAN_WEIGHT * (slowness.ln() - self.mean_log_slowness);
        // Not by the relative slowness: if the mean cost is far too low, all engines are learnt to be slow, and
        // only that distinguishes their readings from those that have queued.
        if work_ms <= mean_ms * slowness.max(relative) * OUTLIER_FACTOR {
            let weight = if work_ms > mean_ms * relative { ABOVE_WEIGHT } else { 1.0 };
            self.renew_expectation(mean_ms / expected_ms);
            self.add(&ReadingWork::new(tokens, cached), work_ms / relative, weight);
        }
        Some(bounded_slowness(work_ms / mean_ms.max(1.0)))
    }

    fn add(&mut self, work: &ReadingWork, variable_ms: f64, weight: f64) {
        let (x, y) = (work.thousands, work.million_pairs);
        // Weighted by the inverse of its size, or long readings would outweigh short ones.
        let weight = weight / (x + y).max(0.1);
        for (sum, new) in self.squares.iter_mut().zip([x * x, x * y, y * y]) {
            *sum = *sum * DECAY + new * weight;
        }
        for (sum, new) in self.products.iter_mut().zip([x * variable_ms, y * variable_ms]) {
            *sum = *sum * DECAY + new * weight;
        }
        self.solve();
    }

    /// Restores the weight that the expectation loses by the next reading. The expected costs are multiplied by
    /// `factor`, so that they determine only the proportion of both.
    ///
    /// The two quantities are nearly proportional if all prompts share a part. The sum of their costs is then
    /// learnt, but not each of them, and a prompt without that part would be predicted by chance.
    fn renew_expectation(&mut self, factor: f64) {
        let weight = PRIOR_WEIGHT * (1.0 - DECAY);
        self.squares[0] += weight;
        self.squares[2] += weight;
        self.products[0] += weight * self.expected.ms_per_thousand * factor;
        self.products[1] += weight * self.expected.ms_per_million_pairs * factor;
    }

    fn solve(&mut self) {
        let [xx, xy, yy] = self.squares;
        let [xt, yt] = self.products;
        let determinant = xx * yy - xy * xy;
        if determinant <= f64::EPSILON * xx * yy {
            return;
        }
        let bounded = |learnt: f64, expected: f64| {
            learnt.clamp(expected / MAX_DEVIATION, expected * MAX_DEVIATION)
        };
        let ms_per_thousand = (xt * yy - yt * xy) / determinant;
        let ms_per_million_pairs = (yt * xx - xt * xy) / determinant;
        self.learnt = ReadingCost {
            ms_per_thousand: bounded(ms_per_thousand, self.expected.ms_per_thousand),
            ms_per_million_pairs: bounded(ms_per_million_pairs, self.expected.ms_per_million_pairs),
            fixed_ms: self.learnt.fixed_ms,
        };
    }
}

/// The number of samples of which [`LowQuantile`] takes the lower quartile, and the minimum number.
const SAMPLES: usize = 32;
const MIN_SAMPLES: usize = 8;

/// `LowQuantile` is the lower quartile of the last samples.
#[derive(Clone, Debug, Default)]
pub(crate) struct LowQuantile {
    samples: [f64; SAMPLES],
    count: usize,
}

impl LowQuantile {
    /// Adds a sample and returns the lower quartile, or `None` if there are too few samples.
    pub(crate) fn record(&mut self, sample: f64) -> Option<f64> {
        self.samples[self.count % SAMPLES] = sample;
        self.count += 1;
        let known = self.count.min(SAMPLES);
        if known < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.samples;
        sorted[..known].sort_unstable_by(f64::total_cmp);
        Some(sorted[known / 4])
    }

    /// Returns whether the minimum number of samples has just been reached.
    pub(crate) fn is_new(&self) -> bool {
        self.count == MIN_SAMPLES
    }
}

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
    /// engines' machines differ lastingly, so the speed is kept longer than the time between samples.
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

/// `OutputSpeed` learns the time of an output token and of a whole output, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct OutputSpeed {
    token_ms: f64,
    longest_token_ms: f64,
    whole_ms: f64,
    outputs: u32,
}

/// The minimum number of tokens over which the longest time of a token is calculated. The pauses of a
/// shorter output are mostly single ones, and would predict minutes for a long output.
const MIN_SAMPLE_TOKENS: u32 = 50;

/// The minimum number of outputs after which the longest time of a token is valid. Before that, it is
/// only the expectation for engines that were never observed.
const MIN_SAMPLE_OUTPUTS: u32 = 8;

/// The share of the difference by which a faster output reduces the longest time of a token.
const LONGEST_DECAY: f64 = 0.01;

impl OutputSpeed {
    /// Creates a speed that starts from the expected times of a token and of a whole output, in
    /// milliseconds.
    pub fn new(token_ms: f64, whole_ms: f64) -> Self {
        Self { token_ms, longest_token_ms: token_ms, whole_ms, outputs: 0 }
    }

    /// Learns from a whole output.
    ///
    /// ```
    /// use anvilhook_core::speeds::OutputSpeed;
    ///
    /// let mut speed = OutputSpeed::new(5.0, 500.0);
    /// (0..200).for_each(|_| speed.record(100, 900.0));
    /// assert!((speed.output_ms(10) - 90.0).abs() < 1.0);
    /// assert!((speed.mean_ms() - 900.0).abs() < 10.0);
    /// ```
    pub fn record(&mut self, tokens: u32, took_ms: f64) {
        const WEIGHT: f64 = 0.05;
        if tokens > 0 && took_ms.is_finite() {
            self.outputs = self.outputs.saturating_add(1);
            self.token_ms += WEIGHT * (took_ms / f64::from(tokens) - self.token_ms);
            self.whole_ms += WEIGHT * (took_ms - self.whole_ms);
            let sample_ms = took_ms / f64::from(tokens.max(MIN_SAMPLE_TOKENS));
            let faster_ms = (self.longest_token_ms - sample_ms).max(0.0);
            self.longest_token_ms =
                sample_ms.max(self.longest_token_ms - LONGEST_DECAY * faster_ms);
        }
    }

    /// Returns the mean time of an output, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.whole_ms
    }

    /// Returns how long an output of at most `tokens` tokens may take, in milliseconds, by the slowest
    /// recent outputs; `None` if too few have been observed.
    ///
    /// A caller sets the maximum number of tokens, and most outputs end well before it. By the mean
    /// over all outputs, those that reach the maximum would be predicted to take less than half of
    /// their time.
    ///
    /// ```
    /// use anvilhook_core::speeds::OutputSpeed;
    ///
    /// let mut speed = OutputSpeed::new(5.0, 500.0);
    /// assert_eq!(speed.longest_ms(200), None);
    /// (0..50).for_each(|at| speed.record(200, if at % 10 == 0 { 4_000.0 } else { 1_000.0 }));
    /// assert!(speed.output_ms(200) < 2_000.0);
    /// assert!(speed.longest_ms(200).is_some_and(|ms| ms > 3_500.0));
    /// ```
    pub fn longest_ms(&self, tokens: u32) -> Option<f64> {
        let is_known = self.outputs >= MIN_SAMPLE_OUTPUTS;
        is_known.then_some(f64::from(tokens) * self.longest_token_ms)
    }

    /// Returns the predicted time of an output, in milliseconds.
    pub fn output_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.token_ms
    }
}
