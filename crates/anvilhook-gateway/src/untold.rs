//! What engines have read that the peers have not been told of.

use std::sync::Arc;

use crate::prompts::Part;

/// `Untold` is the prompts that engines have read since the peers were told last.
///
/// Most prompts begin with parts that all instances believe the engine to hold. To tell each of them at
/// once sends a datagram to every peer for nearly every request, which fills narrow links. Such news
/// wait for the next digest that goes to all; only what the engine was not believed to hold is urgent.
#[derive(Debug, Default)]
pub(crate) struct Untold {
    readings: Vec<(Arc<str>, Vec<Part>)>,
    has_news: bool,
}

impl Untold {
    /// Adds a prompt that an engine has read. `is_news` is whether it holds a part of it only since then.
    pub fn push(&mut self, engine: &Arc<str>, parts: &[Part], is_news: bool) {
        self.readings.push((Arc::clone(engine), parts.to_vec()));
        self.has_news |= is_news;
    }

    /// Returns whether an engine has read what it was not believed to hold.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Takes the first `most` prompts.
    pub fn take(&mut self, most: usize) -> Vec<(Arc<str>, Vec<Part>)> {
        let count = most.min(self.readings.len());
        let taken = self.readings.drain(..count).collect();
        self.has_news &= !self.readings.is_empty();
        taken
    }
}
