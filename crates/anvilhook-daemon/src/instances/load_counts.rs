//! Counts the engines' load reports by their source.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::names::UpstreamName;

/// `LoadSources` counts the load reports of one engine, or of all, by their source.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSources {
    /// Reports that this instance read for all instances.
    pub read: u64,
    /// Reports that this instance read because no digest arrived.
    pub read_missed: u64,
    /// Digests of newer reports received from peers.
    pub digests: u64,
}

/// `LoadCounts` counts each engine's load reports by source. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadCounts {
    by_engine: Arc<Mutex<BTreeMap<UpstreamName, LoadSources>>>,
}

impl LoadCounts {
    /// Counts a report read from the engine. `is_own` is whether this instance reads it for all.
    pub fn record_read(&self, engine: &UpstreamName, is_own: bool) {
        let mut by_engine = self.lock();
        let sources = by_engine.entry(engine.clone()).or_default();
        if is_own {
            sources.read += 1;
        } else {
            sources.read_missed += 1;
        }
    }

    /// Counts a digest received from a peer.
    pub fn record_digest(&self, engine: &UpstreamName) {
        self.lock().entry(engine.clone()).or_default().digests += 1;
    }

    /// Returns the counts of each engine.
    pub fn by_engine(&self) -> BTreeMap<UpstreamName, LoadSources> {
        self.lock().clone()
    }

    /// Returns the sums over all engines, including those that are no longer declared.
    pub fn sums(&self) -> LoadSources {
        self.lock().values().fold(LoadSources::default(), |sums, sources| LoadSources {
            read: sums.read + sources.read,
            read_missed: sums.read_missed + sources.read_missed,
            digests: sums.digests + sources.digests,
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, LoadSources>> {
        self.by_engine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
