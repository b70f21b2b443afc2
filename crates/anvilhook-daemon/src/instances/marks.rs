//! Records which upstreams must not get new work, and from which source this is known.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::names::UpstreamName;
use anvilhook_core::routing::UpstreamState;
use anvilhook_core::units::Millis;
use anvilhook_store::instances::poll_interval;

/// How many times per second the whole fleet reads the marks of drains, and the bounds of one
/// instance's pause.
const FLEET_READS_PER_S: u64 = 200;
const MARK_PAUSES: RangeInclusive<Millis> = Millis(500)..=Millis(5_000);

/// Returns the pause between two reads of the marks of drains when `announced` instances share the
/// fleet's reads.
pub fn mark_pause(announced: usize) -> Millis {
    poll_interval(announced, FLEET_READS_PER_S, MARK_PAUSES)
}

/// `MarkSource` is the source of a mark that an upstream must not get new work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MarkSource {
    /// The platform's list.
    Listed,
    /// The upstream's own load report.
    Reported,
    /// A drain of this system.
    Drained,
}

type Names = BTreeSet<UpstreamName>;

/// `Marks` records by source which upstreams must not get new work. Clones share it.
///
/// An upstream gets work again only when no source marks it. If the sources were not kept apart,
/// the platform's list could clear the mark of a drain, and the next request would go to an engine
/// that is being changed.
///
/// ```
/// use std::collections::BTreeSet;
///
/// use anvilhook_core::names::UpstreamName;
/// use anvilhook_daemon::instances::{MarkSource, Marks};
///
/// let marks = Marks::default();
/// let engine = UpstreamName::try_new("engine-1").unwrap();
/// marks.set(MarkSource::Drained, &engine, true);
/// marks.replace(MarkSource::Listed, BTreeSet::new());
/// assert!(marks.is_marked(&engine));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Marks {
    by_source: Arc<Mutex<BTreeMap<MarkSource, Names>>>,
}

impl Marks {
    /// Replaces all marks of one source.
    pub fn replace(&self, source: MarkSource, names: Names) {
        self.lock().insert(source, names);
    }

    /// Sets or clears one mark of one source.
    pub fn set(&self, source: MarkSource, name: &UpstreamName, marked: bool) {
        let mut by_source = self.lock();
        let names = by_source.entry(source).or_default();
        if marked {
            names.insert(name.clone());
        } else {
            names.remove(name);
        }
    }

    /// Returns whether any source marks the upstream.
    pub fn is_marked(&self, name: &UpstreamName) -> bool {
        self.lock().values().any(|names| names.contains(name))
    }

    /// Applies the marks to the upstream states that routing reads.
    pub fn apply_to(&self, upstreams: &BTreeMap<UpstreamName, Arc<UpstreamState>>) {
        // The lock is held, so that older marks can't be applied after newer ones.
        let by_source = self.lock();
        for (name, upstream) in upstreams {
            let marked = by_source.values().any(|names| names.contains(name));
            upstream.set_leaving(marked);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<MarkSource, Names>> {
        self.by_source.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
