//! What the engines' prefix caches are believed to hold.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use crate::prompts::{Part, Prompt};

/// The share of an engine's cache that is counted on. The rest serves requests that run.
const USABLE_SHARE: f64 = 0.8;

#[derive(Debug, Default)]
struct Memory {
    used_at: HashMap<u64, (u64, u32)>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl Memory {
    fn touch(&mut self, part: Part, capacity: u64) {
        self.uses += 1;
        if let Some((use_before, tokens)) = self.used_at.insert(part.id, (self.uses, part.tokens)) {
            self.by_use.remove(&use_before);
            self.tokens -= u64::from(tokens);
        }
        self.by_use.insert(self.uses, part.id);
        self.tokens += u64::from(part.tokens);
        while self.tokens > capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            if let Some((_, tokens)) = self.used_at.remove(&oldest) {
                self.tokens -= u64::from(tokens);
            }
        }
    }
}

/// `CacheBeliefs` follows, from the prompts that were sent, what each engine's cache should hold.
///
/// The engines drop the parts that were used longest ago, and so does this. A wrong belief costs
/// time, never a wrong answer: an engine reads what it does not hold.
#[derive(Debug, Default)]
pub struct CacheBeliefs {
    engines: Mutex<HashMap<Arc<str>, Memory>>,
}

impl CacheBeliefs {
    /// Makes beliefs of empty caches.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an engine has read a prompt's parts. `capacity` is its cache in tokens.
    pub fn record(&self, engine: &Arc<str>, parts: &[Part], capacity: u64) {
        let usable = (capacity as f64 * USABLE_SHARE) as u64;
        let mut engines = self.engines.lock().expect("no panic under this lock");
        let memory = engines.entry(Arc::clone(engine)).or_default();
        for part in parts {
            memory.touch(*part, usable);
        }
    }

    /// Returns how many tokens from the prompt's start an engine should hold.
    pub fn held_tokens(&self, engine: &str, prompt: &Prompt) -> u32 {
        let engines = self.engines.lock().expect("no panic under this lock");
        let Some(memory) = engines.get(engine) else { return 0 };
        let held = prompt.parts.iter().take_while(|part| memory.used_at.contains_key(&part.id));
        held.map(|part| part.tokens).sum()
    }

    /// Forgets what an engine held.
    pub fn forget(&self, engine: &str) {
        self.engines.lock().expect("no panic under this lock").remove(engine);
    }

    /// Forgets all engines for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut engines = self.engines.lock().expect("no panic under this lock");
        engines.retain(|engine, _| keep(engine));
    }
}
