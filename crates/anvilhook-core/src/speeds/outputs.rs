//! The time that engines need to write outputs.

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
