//! What a request says of its prompt.

/// `Part` is a part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Part {
    /// The part's id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// `Prompt` is the work that a request asks of a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The parts in order. The last one is the request's own.
    pub parts: Vec<Part>,
    /// The prompt's whole length in tokens.
    pub tokens: u32,
    /// The most tokens to be generated.
    pub max_output: u32,
}

impl Prompt {
    /// Returns the parts that other requests may share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }
}

/// `EngineSpeed` predicts how long a prefill engine needs for a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// The cost of a million pairs of attention, in milliseconds.
    pub ms_per_million_pairs: f64,
    /// What each request costs beside.
    pub fixed_ms: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self { tokens_per_ms: 68.2, ms_per_million_pairs: 0.242, fixed_ms: 1.0 }
    }
}

impl EngineSpeed {
    /// Returns the time in milliseconds to read a prompt of which `cached` tokens are kept.
    ///
    /// Each new token attends to all before it, so the pairs are a trapezium.
    pub fn read_ms(&self, tokens: u32, cached: u32) -> f64 {
        let (all, kept) = (f64::from(tokens), f64::from(cached.min(tokens)));
        let fresh = all - kept;
        let pairs = fresh * (kept + all) / 2.0;
        self.fixed_ms + fresh / self.tokens_per_ms + pairs / 1e6 * self.ms_per_million_pairs
    }
}
