//! Where an instance's knowledge of the engines' load comes from, counted.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::names::UpstreamName;

/// `LoadSources` counts where the knowledge of one engine's load, or of all, has come from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSources {
    /// Reports that this instance read for all.
    pub read: u64,
    /// Reports that it read because no digest arrived.
    pub read_missed: u64,
    /// Digests of newer reports that peers told.
    pub told: u64,
}

/// `LoadCounts` counts for each engine. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadCounts {
    by_engine: Arc<Mutex<BTreeMap<UpstreamName, LoadSources>>>,
}

impl LoadCounts {
    /// Counts a reading.
    pub fn read(&self, engine: &UpstreamName, is_own: bool) {
        let mut by_engine = self.lock();
        let sources = by_engine.entry(engine.clone()).or_default();
        if is_own {
            sources.read += 1;
        } else {
            sources.read_missed += 1;
        }
    }

    /// Counts a digest.
    pub fn told(&self, engine: &UpstreamName) {
        self.lock().entry(engine.clone()).or_default().told += 1;
    }

    /// Returns the counts of each engine.
    pub fn by_engine(&self) -> BTreeMap<UpstreamName, LoadSources> {
        self.lock().clone()
    }

    /// Returns the sums over all engines, also of those that are no longer declared.
    pub fn sums(&self) -> LoadSources {
        self.lock().values().fold(LoadSources::default(), |sums, sources| LoadSources {
            read: sums.read + sources.read,
            read_missed: sums.read_missed + sources.read_missed,
            told: sums.told + sources.told,
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, LoadSources>> {
        self.by_engine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
