//! Following one engine's cache events.

use super::indices::{CacheSlot, PrefixIndex};
use crate::reports::{CacheChange, CacheEventPage};

/// The events that may be missed at once without voiding what is believed of the engine.
///
/// Any missed event may have been an eviction. But a wrong belief costs one prompt read in full, and
/// is put right by the next event about its block, while voiding costs the belief in all others, and
/// prompts that are cached there would be read again elsewhere.
const MOST_MISSED: u64 = 256;

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
    /// Follows the engine of a slot, of which nothing is known yet.
    pub fn new(slot: CacheSlot) -> Self {
        Self { slot, boot: None, last_seq: 0, gaps: 0 }
    }

    /// Returns the number after which the next page should be asked for.
    pub fn next_after(&self) -> u64 {
        self.last_seq
    }

    /// Returns how many gaps there were.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Applies a page.
    pub fn apply(&mut self, page: &CacheEventPage, index: &PrefixIndex) {
        if self.boot != Some(page.boot) {
            // The process has started anew with an empty cache. A page that was asked for with
            // the old process's number is of no use; the next one begins at the start.
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
            if missed > MOST_MISSED {
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
