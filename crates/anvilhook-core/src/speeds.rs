//! Learns how fast engines work from the requests that they completed.
//!
//! No deployment reports how fast its engines read (prefill) prompts, and two deployments that look
//! alike may differ by a factor of three in the cost of attention. Predictions based on another
//! deployment's figures place long prompts in particular on the wrong engines, because they
//! overestimate the wait for them several times over.

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

/// `ReadingCost` predicts how long an engine needs to read a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingCost {
    /// The time for a thousand tokens, in milliseconds.
    pub ms_per_thousand: f64,
    /// The time for a million pairs of tokens that attend to each other, in milliseconds.
    pub ms_per_million_pairs: f64,
    /// The fixed time for each prompt, in milliseconds.
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
        let work = ReadingWork::new(tokens, cached);
        self.fixed_ms
            + work.thousands * self.ms_per_thousand
            + work.million_pairs * self.ms_per_million_pairs
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
}

impl ReadingSpeed {
    /// Creates a speed that starts from the expected cost.
    pub fn new(expected: ReadingCost) -> Self {
        // The expectation counts as readings of a thousand tokens and of a million pairs each.
        let products =
            [PRIOR_WEIGHT * expected.ms_per_thousand, PRIOR_WEIGHT * expected.ms_per_million_pairs];
        let squares = [PRIOR_WEIGHT, 0.0, PRIOR_WEIGHT];
        Self { expected, learnt: expected, squares, products }
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
        let work = ReadingWork::new(tokens, cached);
        let (x, y) = (work.thousands, work.million_pairs);
        // Weighted by the inverse of its size, or long readings would outweigh short ones.
        let weight = 1.0 / (x + y).max(0.1);
        let variable_ms = took_ms - self.expected.fixed_ms;
        for (sum, new) in self.squares.iter_mut().zip([x * x, x * y, y * y]) {
            *sum = *sum * DECAY + new * weight;
        }
        for (sum, new) in self.products.iter_mut().zip([x * variable_ms, y * variable_ms]) {
            *sum = *sum * DECAY + new * weight;
        }
        self.solve();
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
            fixed_ms: self.expected.fixed_ms,
        };
    }
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
