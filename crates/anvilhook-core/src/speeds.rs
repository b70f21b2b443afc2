//! How fast engines work, learnt from what they did.
//!
//! No deployment tells how fast its engines read, and two that look alike may differ by three times
//! in what attention costs. What is predicted by another deployment's figures misplaces long prompts
//! above all: their wait is taken for several times what it is.

/// What a reading says of the ones before: each weighs less by this for every one after it.
const MEMORY: f64 = 0.995;

/// How many readings the expected speeds are worth at the start.
const PRIOR_WEIGHT: f64 = 8.0;

/// How far from the expected speeds the learnt ones may go, as a factor. What lies beyond was not
/// the engine's speed.
const BOUND: f64 = 8.0;

/// How much longer than predicted a reading may take and still be learnt from. One that took longer
/// waited behind work of which this instance had not heard.
const OUTLIER: f64 = 2.5;

/// `ReadingCost` predicts how long an engine needs to read a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingCost {
    /// The time for a thousand tokens, in milliseconds.
    pub ms_per_thousand: f64,
    /// The time for a million pairs of tokens that attend to each other, in milliseconds.
    pub ms_per_million_pairs: f64,
    /// What each prompt costs beside, in milliseconds.
    pub fixed_ms: f64,
}

impl ReadingCost {
    /// Returns the time in milliseconds to read a prompt of which `cached` tokens are kept.
    ///
    /// Each new token attends to all before it, so the pairs are a trapezium.
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

/// The two sizes of a reading that its time grows with.
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

/// `ReadingSpeed` learns a [`ReadingCost`] by least squares, in which old readings fade.
#[derive(Clone, Debug)]
pub struct ReadingSpeed {
    expected: ReadingCost,
    learnt: ReadingCost,
    /// The sums of the squares and products of both sizes and the time.
    squares: [f64; 3],
    products: [f64; 2],
}

impl ReadingSpeed {
    /// Makes a speed of which only what is expected is known.
    pub fn new(expected: ReadingCost) -> Self {
        // The weight of the expectation, as readings of a thousand tokens and of a million pairs.
        let products =
            [PRIOR_WEIGHT * expected.ms_per_thousand, PRIOR_WEIGHT * expected.ms_per_million_pairs];
        let squares = [PRIOR_WEIGHT, 0.0, PRIOR_WEIGHT];
        Self { expected, learnt: expected, squares, products }
    }

    /// Returns what is predicted by.
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
        if !took_ms.is_finite() || took_ms > predicted_ms * OUTLIER {
            return;
        }
        let work = ReadingWork::new(tokens, cached);
        let (x, y) = (work.thousands, work.million_pairs);
        // Long readings would drown short ones: each is weighed by the inverse of its size.
        let weight = 1.0 / (x + y).max(0.1);
        let rest_ms = took_ms - self.expected.fixed_ms;
        for (sum, new) in self.squares.iter_mut().zip([x * x, x * y, y * y]) {
            *sum = *sum * MEMORY + new * weight;
        }
        for (sum, new) in self.products.iter_mut().zip([x * rest_ms, y * rest_ms]) {
            *sum = *sum * MEMORY + new * weight;
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
        let bounded = |learnt: f64, expected: f64| learnt.clamp(expected / BOUND, expected * BOUND);
        let ms_per_thousand = (xt * yy - yt * xy) / determinant;
        let ms_per_million_pairs = (yt * xx - xt * xy) / determinant;
        self.learnt = ReadingCost {
            ms_per_thousand: bounded(ms_per_thousand, self.expected.ms_per_thousand),
            ms_per_million_pairs: bounded(ms_per_million_pairs, self.expected.ms_per_million_pairs),
            fixed_ms: self.expected.fixed_ms,
        };
    }
}

/// `OutputSpeed` learns how long a token of output takes, and a whole output, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct OutputSpeed {
    token_ms: f64,
    longest_token_ms: f64,
    whole_ms: f64,
    outputs: u32,
}

/// The least tokens over which the time of a token is told. The pauses of a shorter output are mostly
/// single ones, and would make a long output seem to take minutes.
const TELLING_TOKENS: u32 = 50;

/// The least number of outputs from which the longest time of a token is known. Before, it is what was
/// expected of engines that nobody has seen.
const TELLING_OUTPUTS: u32 = 8;

/// What a faster output takes off the longest time of a token, as a share of the difference.
const LONGEST_FADING: f64 = 0.01;

impl OutputSpeed {
    /// Makes a speed of which only what is expected is known, in milliseconds a token and a whole
    /// output.
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
            let telling_ms = took_ms / f64::from(tokens.max(TELLING_TOKENS));
            let faster_ms = (self.longest_token_ms - telling_ms).max(0.0);
            self.longest_token_ms =
                telling_ms.max(self.longest_token_ms - LONGEST_FADING * faster_ms);
        }
    }

    /// Returns how long an output takes in the mean.
    pub fn mean_ms(&self) -> f64 {
        self.whole_ms
    }

    /// Returns how long an output of at most so many tokens may take, by the slowest of late; `None`
    /// if too few have been seen.
    ///
    /// A caller names the most tokens, and most outputs end well before. By the mean over them, the
    /// ones that do go on to the end would be taken for less than half as long as they are.
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
        let is_known = self.outputs >= TELLING_OUTPUTS;
        is_known.then_some(f64::from(tokens) * self.longest_token_ms)
    }

    /// Returns the predicted time of an output.
    pub fn output_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.token_ms
    }
}
