//! Describes the prompt of a request: its parts and its length.

/// `Part` is a part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Part {
    /// The part's id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// `Prompt` is the work that a request requires of a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The parts in order. The last one is the request's own.
    pub parts: Vec<Part>,
    /// The prompt's whole length in tokens.
    pub tokens: u32,
    /// The maximum number of tokens to be generated.
    pub max_output: u32,
}

impl Prompt {
    /// Returns the parts that other requests may share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }
}
