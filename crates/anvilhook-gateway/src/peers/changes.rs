//! Which loads a digest names: all of an instance, or those that have changed.

use std::collections::{HashMap, HashSet};

use anvilhook_core::units::Millis;

use super::digests::EngineLoad;

/// How often all loads are told. They are believed for twice as long, so that a lost datagram does no harm.
const WHOLE_EVERY: Millis = Millis(200);

/// `PublishedLoads` is an instance's loads as its availability zone was told them last.
///
/// An instance with work at a dozen engines tells all peers many times a second that one of those loads
/// has changed. To name the others each time is most of what it sends, and fills a narrow link.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_gateway::peers::{EngineLoad, PublishedLoads};
///
/// let load = |engine| EngineLoad { engine, in_flight: 1, reading_ms: 0, fetching_ms: 0 };
/// let mut told = PublishedLoads::default();
/// assert_eq!(told.next(&[load(1)], Millis(1_000)), (vec![load(1)], false));
/// assert_eq!(told.next(&[load(1), load(2)], Millis(1_050)), (vec![load(2)], true));
/// ```
#[derive(Debug, Default)]
pub struct PublishedLoads {
    loads: HashMap<u32, EngineLoad>,
    /// The engines of which only some peers were told since.
    told_to_some: HashSet<u32>,
    whole_at: Option<Millis>,
}

impl PublishedLoads {
    /// Returns which of the loads to tell now, and whether they are only those that have changed. An
    /// engine at which nothing is in flight any more is named with that.
    pub fn next(&mut self, loads: &[EngineLoad], now: Millis) -> (Vec<EngineLoad>, bool) {
        let is_delta = self.whole_at.is_some_and(|at| at + WHOLE_EVERY > now);
        let told = if is_delta { self.changed(loads) } else { loads.to_vec() };
        if !is_delta {
            self.whole_at = Some(now);
        }
        self.loads = loads.iter().map(|load| (load.engine, load.clone())).collect();
        self.told_to_some.clear();
        (told, is_delta)
    }

    /// Notes that some peers were told of all loads. They must hear of the end of each.
    pub fn note_told_to_some(&mut self, loads: &[EngineLoad]) {
        self.told_to_some.extend(loads.iter().map(|load| load.engine));
    }

    fn changed(&self, loads: &[EngineLoad]) -> Vec<EngineLoad> {
        let is_news = |load: &&EngineLoad| {
            self.loads.get(&load.engine).is_none_or(|before| has_changed(before, load))
        };
        let is_there = |engine| loads.iter().any(|load| load.engine == engine);
        let told: HashSet<u32> = self.loads.keys().chain(&self.told_to_some).copied().collect();
        let ended = told.into_iter().filter(|engine| !is_there(*engine));
        loads.iter().filter(is_news).cloned().chain(ended.map(EngineLoad::none_at)).collect()
    }
}

/// Returns whether a load is other than its peers expect: they let work that was told fade by itself.
fn has_changed(before: &EngineLoad, now: &EngineLoad) -> bool {
    now.in_flight != before.in_flight
        || now.reading_ms > before.reading_ms
        || now.fetching_ms > before.fetching_ms
}
