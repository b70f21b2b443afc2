//! Selects the loads that a digest carries: all loads of an instance, or only the changed ones.

use std::collections::{HashMap, HashSet};

use anvilhook_core::units::Millis;

use super::digests::EngineLoad;

/// The interval between digests with all loads. Loads stay valid for twice as long, so a lost
/// datagram does no harm.
const FULL_INTERVAL: Millis = Millis(200);

/// `PublishedLoads` stores the loads of an instance as last published to its availability zone.
///
/// An instance with work at a dozen engines publishes a change of one of these loads many times a
/// second. Repeating the unchanged loads each time would make up most of what it sends and fill a
/// narrow link.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_gateway::peers::{EngineLoad, PublishedLoads};
///
/// let load = |engine| EngineLoad { engine, in_flight: 1, reading_ms: 0, fetching_ms: 0 };
/// let mut published = PublishedLoads::default();
/// assert_eq!(published.next(&[load(1)], Millis(1_000)), (vec![load(1)], false));
/// assert_eq!(published.next(&[load(1), load(2)], Millis(1_050)), (vec![load(2)], true));
/// ```
#[derive(Debug, Default)]
pub struct PublishedLoads {
    loads: HashMap<u32, EngineLoad>,
    /// The engines whose loads have since been sent to only some of the peers.
    partially_published: HashSet<u32>,
    whole_at: Option<Millis>,
}

impl PublishedLoads {
    /// Returns the loads to publish now, and whether they are only the changed ones. An engine that
    /// no longer has anything in flight is included with a load of zero.
    pub fn next(&mut self, loads: &[EngineLoad], now: Millis) -> (Vec<EngineLoad>, bool) {
        let is_delta = self.whole_at.is_some_and(|at| at + FULL_INTERVAL > now);
        let published = if is_delta { self.changed(loads) } else { loads.to_vec() };
        if !is_delta {
            self.whole_at = Some(now);
        }
        self.loads = loads.iter().map(|load| (load.engine, load.clone())).collect();
        self.partially_published.clear();
        (published, is_delta)
    }

    /// Records that all loads were sent to only some peers. These peers must also learn when the
    /// work at each of the engines ends.
    pub fn record_partial_publication(&mut self, loads: &[EngineLoad]) {
        self.partially_published.extend(loads.iter().map(|load| load.engine));
    }

    fn changed(&self, loads: &[EngineLoad]) -> Vec<EngineLoad> {
        let is_changed = |load: &&EngineLoad| {
            self.loads.get(&load.engine).is_none_or(|before| has_changed(before, load))
        };
        let is_listed = |engine| loads.iter().any(|load| load.engine == engine);
        let published: HashSet<u32> =
            self.loads.keys().chain(&self.partially_published).copied().collect();
        let ended = published.into_iter().filter(|engine| !is_listed(*engine));
        loads.iter().filter(is_changed).cloned().chain(ended.map(EngineLoad::none_at)).collect()
    }
}

/// Returns whether a load differs from what peers expect. A decrease of the work is not published:
/// peers reduce published reading work themselves as time passes.
fn has_changed(before: &EngineLoad, now: &EngineLoad) -> bool {
    now.in_flight != before.in_flight
        || now.reading_ms > before.reading_ms
        || now.fetching_ms > before.fetching_ms
}
