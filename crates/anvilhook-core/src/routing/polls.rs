//! Decides which engines an instance polls for load reports itself, and when.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::UpstreamName;
use crate::units::Millis;

/// `PollOptions` bounds the polling of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollOptions {
    /// The time after the last digest of an engine from which the engine counts as missed.
    pub missed_after: Millis,
    /// The minimum time between two polls of an engine that other instances should poll.
    pub missed_every: Millis,
    /// The maximum number of polls per second of engines that other instances should poll.
    pub missed_per_s: u64,
    /// The maximum number of polls in progress.
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
    is_polling: bool,
    digest_at: Option<Millis>,
    polled_at: Option<Millis>,
}

/// `PollSchedule` decides which engines are due to be polled. Engines that this instance polls for
/// all instances are due on each call. Other engines are due only while no digest about them
/// arrives, and at a bounded rate: otherwise an instance that has lost its links would poll the whole
/// fleet as often as the instances that are responsible for it.
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
    // The remaining polls of missed engines, in thousandths.
    credit: u64,
    credited_at: Millis,
}

impl PollSchedule {
    /// Creates a schedule without engines.
    pub fn new(options: PollOptions) -> Self {
        let credit = options.missed_per_s * 1_000;
        Self { options, entries: BTreeMap::new(), credit, credited_at: Millis::ZERO }
    }

    /// Sets the engines, and in `own` those that this instance polls for all instances.
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

    /// Records that a newer digest about an engine was written at `at`.
    pub fn record_digest(&mut self, engine: &UpstreamName, at: Millis) {
        if let Some(entry) = self.entries.get_mut(engine) {
            entry.digest_at = entry.digest_at.max(Some(at));
        }
    }

    /// Returns whether this instance polls the engine for all instances.
    pub fn is_own(&self, engine: &UpstreamName) -> bool {
        self.entries.get(engine).is_some_and(|entry| entry.is_own)
    }

    /// Returns the engines to poll now: this instance's own ones first, then by the time of their
    /// last poll, oldest first. A poll counts as in progress until `ended` is called for its engine.
    pub fn due(&mut self, now: Millis) -> Vec<UpstreamName> {
        self.earn(now);
        let options = self.options;
        let polling = self.entries.values().filter(|entry| entry.is_polling).count();
        let is_due = |entry: &Entry| {
            let is_late = |at: Option<Millis>, span| at.is_none_or(|at| now - at > span);
            let is_missed = is_late(entry.digest_at, options.missed_after)
                && is_late(entry.polled_at, options.missed_every);
            !entry.is_polling && (entry.is_own || is_missed)
        };
        let mut due: Vec<_> = self.entries.iter_mut().filter(|(_, entry)| is_due(entry)).collect();
        // Own engines come first, because other instances wait for their reports.
        due.sort_by_key(|(_, entry)| (!entry.is_own, entry.polled_at));

        let mut chosen = Vec::new();
        for (name, entry) in due {
            if polling + chosen.len() >= options.at_once {
                break;
            }
            if !entry.is_own {
                let Some(left) = self.credit.checked_sub(1_000) else { break };
                self.credit = left;
            }
            entry.is_polling = true;
            entry.polled_at = Some(now);
            chosen.push(name.clone());
        }
        chosen
    }

    /// Records that the poll of an engine has ended, successfully or not.
    pub fn ended(&mut self, engine: &UpstreamName) {
        if let Some(entry) = self.entries.get_mut(engine) {
            entry.is_polling = false;
        }
    }

    fn earn(&mut self, now: Millis) {
        let earned = (now - self.credited_at).0.saturating_mul(self.options.missed_per_s);
        self.credit = self.credit.saturating_add(earned).min(self.options.missed_per_s * 1_000);
        self.credited_at = now;
    }
}
