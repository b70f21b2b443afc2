//! A lower quartile of recent samples.

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
