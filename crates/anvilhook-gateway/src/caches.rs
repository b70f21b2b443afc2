//! Estimates the contents of the engines' prefix caches.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use crate::prompts::{Part, Prompt};

/// The share of an engine's cache that is assumed to retain prompts. The rest serves running requests.
const USABLE_SHARE: f64 = 0.8;

/// `Held` is a part that an engine is assumed to hold.
#[derive(Clone, Copy, Debug)]
struct Held {
    use_number: u64,
    tokens: u32,
    /// Whether no other request is expected to share the part.
    is_own: bool,
}

#[derive(Debug, Default)]
struct EngineCache {
    held: HashMap<u64, Held>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl EngineCache {
    fn touch(&mut self, part: Part, is_own: bool, capacity: u64) {
        // An empty part would never be displaced, and a caller may name any number of them.
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

/// `CacheIndex` estimates what each engine's cache holds, from the prompts that were sent there.
///
/// Like the engines, it drops the least recently used parts. A wrong estimate costs time but never leads to
/// a wrong answer, because an engine reads the parts that it does not hold.
#[derive(Debug, Default)]
pub struct CacheIndex {
    engines: Mutex<HashMap<Arc<str>, EngineCache>>,
}

impl CacheIndex {
    /// Creates an index of empty caches.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an engine has read a prompt's parts. `capacity` is the size of its cache in tokens.
    pub fn record(&self, engine: &Arc<str>, parts: &[Part], capacity: u64) {
        let usable = (capacity as f64 * USABLE_SHARE) as u64;
        let mut engines = self.engines.lock().expect("no panic under this lock");
        let cache = engines.entry(Arc::clone(engine)).or_default();
        for (at, part) in parts.iter().enumerate() {
            let is_own = parts.len() > 1 && at + 1 == parts.len();
            cache.touch(*part, is_own, usable);
        }
    }

    /// Records that an engine has read a prompt that another instance published: the parts that other
    /// requests may share, and the number of the prompt's own tokens. Own tokens displace other parts and are
    /// not used again.
    pub fn record_reported(
        &self,
        engine: &Arc<str>,
        shared: &[Part],
        own_tokens: u32,
        capacity: u64,
    ) {
        let usable = (capacity as f64 * USABLE_SHARE) as u64;
        let mut engines = self.engines.lock().expect("no panic under this lock");
        let cache = engines.entry(Arc::clone(engine)).or_default();
        for part in shared {
            cache.touch(*part, false, usable);
        }
        if own_tokens > 0 {
            // Such ids count down from the maximum, so one equals the id of a prompt's part only by chance.
            let unnamed = Part { id: u64::MAX - cache.uses, tokens: own_tokens };
            cache.touch(unnamed, true, usable);
        }
    }

    /// Returns how many tokens from the prompt's start an engine is assumed to hold.
    pub fn held_tokens(&self, engine: &str, prompt: &Prompt) -> u32 {
        let engines = self.engines.lock().expect("no panic under this lock");
        let Some(cache) = engines.get(engine) else { return 0 };
        let is_held = |part: &&Part| part.tokens == 0 || cache.held.contains_key(&part.id);
        let held = prompt.parts.iter().take_while(is_held);
        // The caller states the lengths, so their sum may overflow.
        held.map(|part| part.tokens).fold(0, u32::saturating_add)
    }

    /// Returns the parts of at least `min_tokens` that requests share, by engine, in order of last use.
    pub fn shared_parts(&self, min_tokens: u32) -> Vec<(Arc<str>, Vec<Part>)> {
        let engines = self.engines.lock().expect("no panic under this lock");
        let parts_of = |cache: &EngineCache| {
            let in_order = cache.by_use.values().filter_map(|id| {
                let held = cache.held.get(id)?;
                let is_included = !held.is_own && held.tokens >= min_tokens;
                is_included.then_some(Part { id: *id, tokens: held.tokens })
            });
            in_order.collect()
        };
        engines.iter().map(|(engine, cache)| (Arc::clone(engine), parts_of(cache))).collect()
    }

    /// Removes all engines for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut engines = self.engines.lock().expect("no panic under this lock");
        engines.retain(|engine, _| keep(engine));
    }
}
