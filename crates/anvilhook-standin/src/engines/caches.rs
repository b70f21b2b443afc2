//! The prefix cache of an engine, and the log of its changes, which is published late and with
//! gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};

use anvilhook_core::reports::{CacheChange, CacheEvent, PrefixHash};
use anvilhook_core::units::Millis;
use rand::{Rng, RngExt};

/// The maximum number of events retained for readers; older events are dropped and leave a gap.
const MAX_RETAINED_EVENTS: usize = 20_000;

/// The maximum number of events in one page.
const MAX_PAGE: usize = 1_000;

/// `PrefixCache` holds the most recently used blocks.
#[derive(Clone, Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    used_at: HashMap<PrefixHash, u64>,
    by_use: BTreeMap<u64, PrefixHash>,
    next_use: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(super) fn new(capacity: usize) -> Self {
        let used_at = HashMap::with_capacity(capacity);
        Self { capacity, used_at, by_use: BTreeMap::new(), next_use: 0 }
    }

    /// Returns how many blocks from the first on are held without a gap, and marks them as used.
    pub(super) fn take(&mut self, blocks: &[PrefixHash]) -> usize {
        let held = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        // The last block is touched first, so that a prefix is evicted after the blocks that
        // continue it.
        for block in blocks[..held].iter().rev() {
            self.touch(*block);
        }
        held
    }

    /// Stores the blocks and calls `changed` for each block stored or evicted.
    pub(super) fn store(
        &mut self,
        blocks: &[PrefixHash],
        mut changed: impl FnMut(CacheChange, PrefixHash),
    ) {
        let retained = &blocks[..blocks.len().min(self.capacity)];
        for block in retained {
            if !self.used_at.contains_key(block) {
                changed(CacheChange::Stored, *block);
            }
        }
        for block in retained.iter().rev() {
            self.touch(*block);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            self.used_at.remove(&oldest);
            changed(CacheChange::Evicted, oldest);
        }
    }

    fn touch(&mut self, block: PrefixHash) {
        self.next_use += 1;
        if let Some(before) = self.used_at.insert(block, self.next_use) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.next_use, block);
    }
}

/// `CacheLog` publishes the cache's changes with a lag and loses a share of them.
#[derive(Clone, Debug)]
pub(super) struct CacheLog {
    lag: Millis,
    loss: f64,
    next_seq: u64,
    events: VecDeque<(Millis, CacheEvent)>,
}

impl CacheLog {
    /// Creates an empty log.
    pub(super) fn new(lag: Millis, loss: f64) -> Self {
        Self { lag, loss, next_seq: 1, events: VecDeque::new() }
    }

    /// Records a change.
    pub(super) fn push(
        &mut self,
        now: Millis,
        change: CacheChange,
        block: PrefixHash,
        rng: &mut impl Rng,
    ) {
        let event = CacheEvent { seq: self.next_seq, change, block };
        self.next_seq += 1;
        if self.loss > 0.0 && rng.random_bool(self.loss.min(1.0)) {
            return;
        }
        self.events.push_back((now + self.lag, event));
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after number `seq` that are published at `now`, at most one page.
    pub(super) fn after(&self, seq: u64, now: Millis) -> Vec<CacheEvent> {
        let start = self.events.partition_point(|(_, event)| event.seq <= seq);
        let later = self.events.range(start..);
        let published = later.take_while(|(at, _)| *at <= now);
        published.take(MAX_PAGE).map(|(_, event)| *event).collect()
    }
}
