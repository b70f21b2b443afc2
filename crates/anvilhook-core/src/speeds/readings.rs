//! The time that engines need to read prompts (prefill).

use super::LowQuantile;
use super::bounded_slowness;

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
