//! A fixed-size table of assumed prefix holders, read and written without locks.

use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};

use crate::reports::PrefixHash;

/// The number of entries in a bucket, which fills one cache line of the processor.
const WAYS: usize = 8;

/// The maximum number of engines for which `PrefixIndex::holders` follows the prefix.
const MAX_HOLDERS: usize = 16;

/// The maximum number of a prompt's blocks that one lookup visits. Longer prompts are visited in strides.
const MAX_VISITS: usize = 64;

/// The maximum number of consecutive blocks that may be missing from the index although the engine
/// holds them, because their bucket was full.
const MAX_MISSED_BLOCKS: u32 = 1;

/// `CacheSlot` is an engine's number in a prefix index.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CacheSlot(pub u16);

/// `Holder` is an engine that is assumed to hold the beginning of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The engine.
    pub slot: CacheSlot,
    /// The number of the prompt's blocks that it holds, from the first.
    pub blocks: u32,
}

/// `Holders` is the result of a lookup, a short list that needs no allocation.
#[derive(Clone, Copy, Debug)]
pub struct Holders {
    list: [Holder; MAX_HOLDERS],
    len: usize,
}

impl Holders {
    const NONE: Holders =
        Holders { list: [Holder { slot: CacheSlot(0), blocks: 0 }; MAX_HOLDERS], len: 0 };

    /// Returns the holders.
    pub fn as_slice(&self) -> &[Holder] {
        &self.list[..self.len]
    }

    /// Returns the number of blocks that an engine holds.
    pub fn blocks_of(&self, slot: CacheSlot) -> u32 {
        self.as_slice().iter().find(|holder| holder.slot == slot).map_or(0, |holder| holder.blocks)
    }
}

/// `PrefixIndex` holds (block, engine) pairs in buckets of eight. If a bucket is full, a new pair
/// replaces another one. A lost pair costs time and nothing else.
///
/// ```
/// use anvilhook_core::caches::{CacheSlot, PrefixIndex};
/// use anvilhook_core::reports::PrefixHash;
///
/// let index = PrefixIndex::new(2, 1_024);
/// let prompt = [PrefixHash(7), PrefixHash(8), PrefixHash(9)];
/// index.store(CacheSlot(1), prompt[0]);
/// index.store(CacheSlot(1), prompt[1]);
/// assert_eq!(index.holders(&prompt).blocks_of(CacheSlot(1)), 2);
///
/// index.void(CacheSlot(1));
/// assert_eq!(index.holders(&prompt).blocks_of(CacheSlot(1)), 0);
/// ```
#[derive(Debug)]
pub struct PrefixIndex {
    // Each entry: 32 bits of the block's hash, 16 of the engine's generation, 16 of its slot plus
    // one, so that zero is an empty entry.
    entries: Box<[AtomicU64]>,
    // An entry of an earlier generation of its engine is void.
    generations: Box<[AtomicU16]>,
}

impl PrefixIndex {
    /// Creates an empty index for a number of engines, with room for about `capacity` pairs.
    pub fn new(engines: usize, capacity: usize) -> Self {
        let buckets = capacity.div_ceil(WAYS).next_power_of_two();
        Self {
            entries: (0..buckets * WAYS).map(|_| AtomicU64::new(0)).collect(),
            generations: (0..engines).map(|_| AtomicU16::new(0)).collect(),
        }
    }

    /// Records that the engine holds the block.
    pub fn store(&self, slot: CacheSlot, block: PrefixHash) {
        let Some(entry) = self.entry(slot, block) else { return };
        let bucket = self.bucket(block);
        let free = bucket.iter().find(|cell| {
            let held = cell.load(Ordering::Acquire);
            held == entry || self.is_void(held)
        });
        // Any other cell will do; choosing it by the block's hash distributes the losses.
        let cell = free.unwrap_or(&bucket[(mix(block) >> 29) as usize % WAYS]);
        cell.store(entry, Ordering::Release);
    }

    /// Records that the engine no longer holds the block.
    pub fn evict(&self, slot: CacheSlot, block: PrefixHash) {
        let Some(entry) = self.entry(slot, block) else { return };
        for cell in self.bucket(block) {
            let _ = cell.compare_exchange(entry, 0, Ordering::AcqRel, Ordering::Relaxed);
        }
    }

    /// Invalidates all entries of an engine.
    pub fn void(&self, slot: CacheSlot) {
        if let Some(generation) = self.generations.get(usize::from(slot.0)) {
            generation.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Returns which engines are assumed to hold the prompt's beginning, and how much of it.
    pub fn holders(&self, blocks: &[PrefixHash]) -> Holders {
        let mut holders = Holders::NONE;
        let mut missed = 0;
        let stride = blocks.len().div_ceil(MAX_VISITS).max(1);
        for (visit, block) in blocks.iter().enumerate().step_by(stride) {
            let mut reached = false;
            for cell in self.bucket(*block) {
                let entry = cell.load(Ordering::Acquire);
                if entry >> 32 == tag(*block) && !self.is_void(entry) {
                    reached |= holders.extend(slot_of(entry), visit as u32, stride as u32);
                }
            }
            // If this block is really missing at the engine, later blocks are of no use.
            missed = if reached { 0 } else { missed + 1 };
            if missed > MAX_MISSED_BLOCKS {
                break;
            }
        }
        for holder in &mut holders.list[..holders.len] {
            holder.blocks = holder.blocks.min(blocks.len() as u32);
        }
        holders
    }

    fn bucket(&self, block: PrefixHash) -> &[AtomicU64] {
        let buckets = self.entries.len() / WAYS;
        let first = (mix(block) as usize % buckets) * WAYS;
        &self.entries[first..first + WAYS]
    }

    fn entry(&self, slot: CacheSlot, block: PrefixHash) -> Option<u64> {
        let generation = self.generations.get(usize::from(slot.0))?.load(Ordering::Acquire);
        Some((tag(block) << 32) | (u64::from(generation) << 16) | (u64::from(slot.0) + 1))
    }

    fn is_void(&self, entry: u64) -> bool {
        if entry as u16 == 0 {
            return true;
        }
        let generation = (entry >> 16) as u16;
        let current = self.generations.get(usize::from(slot_of(entry).0));
        current.is_none_or(|current| current.load(Ordering::Acquire) != generation)
    }
}

impl Holders {
    /// Counts the block at `visit` for an engine that holds all blocks visited before it. Returns
    /// whether the engine does hold them.
    fn extend(&mut self, slot: CacheSlot, visit: u32, stride: u32) -> bool {
        let known = self.list[..self.len].iter_mut().find(|holder| holder.slot == slot);
        match known {
            Some(holder) if holder.blocks + MAX_MISSED_BLOCKS * stride >= visit => {
                holder.blocks = visit + stride;
                true
            }
            Some(_) => false,
            None if visit == 0 && self.len < MAX_HOLDERS => {
                self.list[self.len] = Holder { slot, blocks: stride };
                self.len += 1;
                true
            }
            None => false,
        }
    }
}

fn slot_of(entry: u64) -> CacheSlot {
    CacheSlot((entry as u16).wrapping_sub(1))
}

fn tag(block: PrefixHash) -> u64 {
    mix(block) >> 32
}

// Distributes hashes that an engine draws from a small range, by Fibonacci hashing.
fn mix(block: PrefixHash) -> u64 {
    let mixed = block.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
