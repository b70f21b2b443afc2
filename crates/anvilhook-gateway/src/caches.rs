//! What the engines' prefix caches are believed to hold.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use crate::prompts::{Part, Prompt};

/// The share of an engine's cache that is counted on. The rest serves requests that run.
const USABLE_SHARE: f64 = 0.8;

/// A part that an engine should hold.
#[derive(Clone, Copy, Debug)]
struct Held {
    use_number: u64,
    tokens: u32,
    /// Whether no other request is expected to share it.
    is_own: bool,
}

#[derive(Debug, Default)]
struct Memory {
    held: HashMap<u64, Held>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl Memory {
    fn touch(&mut self, part: Part, is_own: bool, capacity: u64) {
        // It would never be displaced, and a caller may name any number of them.
        if part.tokens == 0 {
            return;
        }
        self.uses += 1;
        let held = Held { use_number: self.uses, tokens: part.tokens, is_own };
        if let Some(before) = self.held.insert(part.id, held) {
            self.by_use.remove(&before.use_number);
            self.tokens -= u64::from(before.tokens);
        }
        self.by_use.insert(self.uses, part.id);
        self.tokens += u64::from(part.tokens);
        while self.tokens > capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            if let Some(dropped) = self.held.remove(&oldest) {
                self.tokens -= u64::from(dropped.tokens);
            }
        }
    }
}

/// `CacheIndex` follows, from the prompts that were sent, what each engine's cache should hold.
///
/// The engines drop the parts that were used longest ago, and so does this. A wrong belief costs
/// time, never a wrong answer: an engine reads what it does not hold.
#[derive(Debug, Default)]
pub struct CacheIndex {
    engines: Mutex<HashMap<Arc<str>, Memory>>,
}

impl CacheIndex {
    /// Makes beliefs of empty caches.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an engine has read a prompt's parts. `capacity` is its cache in tokens.
    pub fn record(&self, engine: &Arc<str>, parts: &[Part], capacity: u64) {
        let usable = (capacity as f64 * USABLE_SHARE) as u64;
        let mut engines = self.engines.lock().expect("no panic under this lock");
        let memory = engines.entry(Arc::clone(engine)).or_default();
        for (at, part) in parts.iter().enumerate() {
            let is_own = parts.len() > 1 && at + 1 == parts.len();
            memory.touch(*part, is_own, usable);
        }
    }

    /// Notes the same of a prompt of which another instance tells: the parts that others may share, and
    /// how many tokens it has beside. Those displace others and are not asked for again.
    pub fn record_reported(
        &self,
        engine: &Arc<str>,
        shared: &[Part],
        own_tokens: u32,
        capacity: u64,
    ) {
        let usable = (capacity as f64 * USABLE_SHARE) as u64;
        let mut engines = self.engines.lock().expect("no panic under this lock");
        let memory = engines.entry(Arc::clone(engine)).or_default();
        for part in shared {
            memory.touch(*part, false, usable);
        }
        if own_tokens > 0 {
            // No prompt names a part by a number that only counts uses, but by chance.
            let unnamed = Part { id: u64::MAX - memory.uses, tokens: own_tokens };
            memory.touch(unnamed, true, usable);
        }
    }

    /// Returns how many tokens from the prompt's start an engine should hold.
    pub fn held_tokens(&self, engine: &str, prompt: &Prompt) -> u32 {
        let engines = self.engines.lock().expect("no panic under this lock");
        let Some(memory) = engines.get(engine) else { return 0 };
        let is_held = |part: &&Part| part.tokens == 0 || memory.held.contains_key(&part.id);
        let held = prompt.parts.iter().take_while(is_held);
        // The lengths are the caller's word, and may be any.
        held.map(|part| part.tokens).fold(0, u32::saturating_add)
    }

    /// Returns the parts of at least `min_tokens` that requests share, by engine, each engine's in
    /// order of use.
    pub fn shared_parts(&self, min_tokens: u32) -> Vec<(Arc<str>, Vec<Part>)> {
        let engines = self.engines.lock().expect("no panic under this lock");
        let parts_of = |memory: &Memory| {
            let in_order = memory.by_use.values().filter_map(|id| {
                let held = memory.held.get(id)?;
                let is_told = !held.is_own && held.tokens >= min_tokens;
                is_told.then_some(Part { id: *id, tokens: held.tokens })
            });
            in_order.collect()
        };
        engines.iter().map(|(engine, memory)| (Arc::clone(engine), parts_of(memory))).collect()
    }

    /// Forgets all engines for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut engines = self.engines.lock().expect("no panic under this lock");
        engines.retain(|engine, _| keep(engine));
    }
}
