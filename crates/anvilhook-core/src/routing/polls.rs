//! Which engines' load reports an instance reads by itself, and when.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::UpstreamName;
use crate::units::Millis;

/// `PollOptions` bounds what an instance reads by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollOptions {
    /// How long after the last digest of an engine it counts as missed.
    pub missed_after: Millis,
    /// The least time between two readings of an engine that others should read.
    pub missed_every: Millis,
    /// The most readings a second of engines that others should read.
    pub missed_per_s: u64,
    /// The most readings under way.
    pub at_once: usize,
}

impl Default for PollOptions {
    fn default() -> Self {
        Self {
            missed_after: Millis(4_000),
            missed_every: Millis(1_000),
            missed_per_s: 32,
            at_once: 128,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    is_own: bool,
    is_under_way: bool,
    told_at: Option<Millis>,
    tried_at: Option<Millis>,
}

/// `PollSchedule` says which engines are due to be read. Those that this instance reads for all
/// are due each turn. The others are due only while no digest of them arrives, and at a bounded rate:
/// an instance whose links are lost would otherwise read the whole fleet as often as its readers do.
///
/// ```
/// use std::collections::BTreeSet;
///
/// use anvilhook_core::names::UpstreamName;
/// use anvilhook_core::routing::{PollOptions, PollSchedule};
/// use anvilhook_core::units::Millis;
///
/// let engine = UpstreamName::try_new("engine-1")?;
/// let mut schedule = PollSchedule::new(PollOptions::default());
/// schedule.set_engines([&engine], &BTreeSet::new());
/// schedule.record_digest(&engine, Millis(1_000));
/// assert_eq!(schedule.due(Millis(2_000)), []);
/// assert_eq!(schedule.due(Millis(6_000)), [engine]);
/// # Ok::<(), anvilhook_core::Error>(())
/// ```
#[derive(Debug)]
pub struct PollSchedule {
    options: PollOptions,
    entries: BTreeMap<UpstreamName, Entry>,
    // Thousandths of readings of missed engines that are left.
    credit: u64,
    credited_at: Millis,
}

impl PollSchedule {
    /// Begins without engines.
    pub fn new(options: PollOptions) -> Self {
        let credit = options.missed_per_s * 1_000;
        Self { options, entries: BTreeMap::new(), credit, credited_at: Millis::ZERO }
    }

    /// Sets the engines, and those among them that this instance reads for all.
    pub fn set_engines<'a>(
        &mut self,
        engines: impl IntoIterator<Item = &'a UpstreamName>,
        own: &BTreeSet<UpstreamName>,
    ) {
        let before = std::mem::take(&mut self.entries);
        for engine in engines {
            let mut entry = before.get(engine).copied().unwrap_or_default();
            entry.is_own = own.contains(engine);
            self.entries.insert(engine.clone(), entry);
        }
    }

    /// Notes that a newer digest of an engine was written at `at`.
    pub fn record_digest(&mut self, engine: &UpstreamName, at: Millis) {
        if let Some(entry) = self.entries.get_mut(engine) {
            entry.told_at = entry.told_at.max(Some(at));
        }
    }

    /// Returns whether this instance reads the engine for all.
    pub fn is_own(&self, engine: &UpstreamName) -> bool {
        self.entries.get(engine).is_some_and(|entry| entry.is_own)
    }

    /// Returns the engines to read now, those tried longest ago first. Each counts as being read
    /// until `ended`.
    pub fn due(&mut self, now: Millis) -> Vec<UpstreamName> {
        self.earn(now);
        let options = self.options;
        let under_way = self.entries.values().filter(|entry| entry.is_under_way).count();
        let is_due = |entry: &Entry| {
            let is_late = |at: Option<Millis>, span| at.is_none_or(|at| now - at > span);
            let is_missed = is_late(entry.told_at, options.missed_after)
                && is_late(entry.tried_at, options.missed_every);
            !entry.is_under_way && (entry.is_own || is_missed)
        };
        let mut due: Vec<_> = self.entries.iter_mut().filter(|(_, entry)| is_due(entry)).collect();
        // Own ones come first: others wait for them.
        due.sort_by_key(|(_, entry)| (!entry.is_own, entry.tried_at));

        let mut chosen = Vec::new();
        for (name, entry) in due {
            if under_way + chosen.len() >= options.at_once {
                break;
            }
            if !entry.is_own {
                let Some(left) = self.credit.checked_sub(1_000) else { break };
                self.credit = left;
            }
            entry.is_under_way = true;
            entry.tried_at = Some(now);
            chosen.push(name.clone());
        }
        chosen
    }

    /// Notes that a reading has ended, one way or the other.
    pub fn ended(&mut self, engine: &UpstreamName) {
        if let Some(entry) = self.entries.get_mut(engine) {
            entry.is_under_way = false;
        }
    }

    fn earn(&mut self, now: Millis) {
        let earned = (now - self.credited_at).0.saturating_mul(self.options.missed_per_s);
        self.credit = self.credit.saturating_add(earned).min(self.options.missed_per_s * 1_000);
        self.credited_at = now;
    }
}
