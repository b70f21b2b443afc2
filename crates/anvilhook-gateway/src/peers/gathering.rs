//! What engines have read, gathered until it is told on between or within availability zones.

use std::collections::{BTreeMap, HashMap};

use anvilhook_core::units::Millis;

use super::digests::CachedPrompt;

/// How long a part that was told of is not told of again. Engines keep what was used for many times as
/// long, so that its place among the parts used last is right but for a little.
const RETELL_AFTER: Millis = Millis(1_000);

/// How long the tokens of prompts' own parts are added up. They matter only by what they displace.
const OWN_TOKENS_EVERY: Millis = Millis(1_000);

/// The most bytes that an engine with its sum takes in a datagram, that a part takes, and that all of them
/// may take, so that the rest of the digest has room.
const ENGINE_BYTES: usize = 12;
const PART_BYTES: usize = 15;
const DIGEST_BYTES: usize = 1_100;

/// The most parts of one engine in a digest.
const MAX_PARTS: usize = (DIGEST_BYTES - ENGINE_BYTES) / PART_BYTES;

/// `CacheUpdates` is what engines have read, as it is to be told on by one instance to many.
///
/// Whoever tells for an availability zone sends the readings of all other zones to each instance of its
/// own. Told one by one they fill its link, and the requests that it serves are late. Nearly all of them
/// begin with parts that are told of many times a second, so each part is told once in a while, and the
/// rest of the prompts as a sum for each engine.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_gateway::peers::{CacheUpdates, CachedPrompt};
///
/// let mut news = CacheUpdates::default();
/// news.add(&CachedPrompt { engine: 1, parts: vec![(7, 5_000)], own_tokens: 300 });
/// news.add(&CachedPrompt { engine: 1, parts: vec![(7, 5_000)], own_tokens: 200 });
/// let told = news.take(1, Millis(5_000));
/// assert_eq!(told, [[CachedPrompt { engine: 1, parts: vec![(7, 5_000)], own_tokens: 500 }]]);
/// ```
#[derive(Debug, Default)]
pub struct CacheUpdates {
    engines: BTreeMap<u32, EngineNews>,
    /// When each part of an engine was told of.
    told: HashMap<(u32, u64), Millis>,
    own_told_at: Millis,
}

/// `EngineNews` is what one engine has read.
#[derive(Debug, Default)]
struct EngineNews {
    /// The lengths of shared parts in tokens, by their ids.
    parts: BTreeMap<u64, u32>,
    own_tokens: u32,
}

impl CacheUpdates {
    /// Adds a prompt that an engine has read.
    pub fn add(&mut self, cached: &CachedPrompt) {
        let engine = self.engines.entry(cached.engine).or_default();
        engine.parts.extend(cached.parts.iter().copied());
        engine.own_tokens = engine.own_tokens.saturating_add(cached.own_tokens);
    }

    /// Takes what is to be told now, in as many digests as it needs and `most` at the most. The rest waits.
    pub fn take(&mut self, most: usize, now: Millis) -> Vec<Vec<CachedPrompt>> {
        self.told.retain(|_, told_at| *told_at + RETELL_AFTER > now);
        let mut digests: Vec<Vec<CachedPrompt>> = Vec::new();
        for cached in self.take_due(now) {
            let has_room = digests.last().is_some_and(|digest| fits(&cached, digest));
            if !has_room && digests.len() >= most {
                self.add(&cached);
                continue;
            }
            self.note_told(&cached, now);
            match digests.last_mut().filter(|_| has_room) {
                Some(digest) => digest.push(cached),
                None => digests.push(vec![cached]),
            }
        }
        digests
    }

    /// Takes what is due, and leaves the sums that are not.
    fn take_due(&mut self, now: Millis) -> Vec<CachedPrompt> {
        let is_own_due = self.own_told_at + OWN_TOKENS_EVERY <= now;
        if is_own_due {
            self.own_told_at = now;
        }
        let mut due = Vec::new();
        for (engine, news) in std::mem::take(&mut self.engines) {
            let EngineNews { parts, own_tokens } = news;
            let is_untold = |(id, _): &(u64, u32)| !self.told.contains_key(&(engine, *id));
            let parts: Vec<_> = parts.into_iter().filter(is_untold).collect();
            if !parts.is_empty() {
                due.extend(pieces_of_engine(engine, &parts, own_tokens));
            } else if is_own_due && own_tokens > 0 {
                due.push(CachedPrompt { engine, parts, own_tokens });
            } else if own_tokens > 0 {
                self.engines.insert(engine, EngineNews { own_tokens, ..EngineNews::default() });
            }
        }
        due
    }

    fn note_told(&mut self, cached: &CachedPrompt, now: Millis) {
        let parts = cached.parts.iter().map(|(id, _)| ((cached.engine, *id), now));
        self.told.extend(parts);
    }
}

/// Returns what tells of an engine's parts, each small enough for a digest.
fn pieces_of_engine(
    engine: u32,
    parts: &[(u64, u32)],
    own_tokens: u32,
) -> impl Iterator<Item = CachedPrompt> {
    parts.chunks(MAX_PARTS).enumerate().map(move |(at, parts)| CachedPrompt {
        engine,
        parts: parts.to_vec(),
        own_tokens: if at == 0 { own_tokens } else { 0 },
    })
}

/// Returns whether an engine's news fit into a digest beside others.
fn fits(cached: &CachedPrompt, others: &[CachedPrompt]) -> bool {
    others.iter().map(bytes_of).sum::<usize>() + bytes_of(cached) <= DIGEST_BYTES
}

/// Returns how many bytes an engine's news take in a datagram at the most.
fn bytes_of(cached: &CachedPrompt) -> usize {
    ENGINE_BYTES + PART_BYTES * cached.parts.len()
}
