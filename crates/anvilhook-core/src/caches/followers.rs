//! Follows the cache events of one engine.

use super::indices::{CacheSlot, PrefixIndex};
use crate::reports::{CacheChange, CacheEventPage};

/// The maximum number of consecutive missed events that leaves the engine's entries in the index valid.
///
/// Any missed event may have been an eviction. But a wrong entry costs only one full prefill of a prompt
/// and is corrected by the next event about its block. Invalidating would lose all other entries, and
/// prompts that are cached at the engine would be prefilled again elsewhere.
const MAX_MISSED_EVENTS: u64 = 256;

/// `CacheFollower` applies the pages of one engine's cache events to a prefix index.
///
/// ```
/// use anvilhook_core::caches::{CacheFollower, CacheSlot, PrefixIndex};
/// use anvilhook_core::reports::{CacheChange, CacheEvent, CacheEventPage, PrefixHash};
///
/// let index = PrefixIndex::new(1, 64);
/// let mut follower = CacheFollower::new(CacheSlot(0));
/// let event = CacheEvent { seq: 1, change: CacheChange::Stored, block: PrefixHash(5) };
/// follower.apply(&CacheEventPage { boot: 1, events: vec![event] }, &index);
/// assert_eq!(follower.next_after(), 1);
/// assert_eq!(index.holders(&[PrefixHash(5)]).blocks_of(CacheSlot(0)), 1);
/// ```
#[derive(Clone, Debug)]
pub struct CacheFollower {
    slot: CacheSlot,
    boot: Option<u64>,
    last_seq: u64,
    gaps: u64,
}

impl CacheFollower {
    /// Creates a follower for the engine of a slot, before any of its events are known.
    pub fn new(slot: CacheSlot) -> Self {
        Self { slot, boot: None, last_seq: 0, gaps: 0 }
    }

    /// Returns the sequence number after which the next page must begin.
    pub fn next_after(&self) -> u64 {
        self.last_seq
    }

    /// Returns how many gaps in the events were found.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Applies a page of events to the index.
    pub fn apply(&mut self, page: &CacheEventPage, index: &PrefixIndex) {
        if self.boot != Some(page.boot) {
            // The process was restarted with an empty cache. A page that was requested with an event
            // number of the old process is useless; the next request begins at the start.
            let is_first = self.boot.is_none();
            index.void(self.slot);
            self.boot = Some(page.boot);
            self.last_seq = 0;
            if !is_first {
                return;
            }
        }
        for event in &page.events {
            if event.seq <= self.last_seq {
                continue;
            }
            let missed = event.seq - self.last_seq - 1;
            self.gaps += u64::from(missed > 0);
            if missed > MAX_MISSED_EVENTS {
                index.void(self.slot);
            }
            self.last_seq = event.seq;
            match event.change {
                CacheChange::Stored => index.store(self.slot, event.block),
                CacheChange::Evicted => index.evict(self.slot, event.block),
            }
        }
    }
}
