//! Collects the prompts that engines have read until they are forwarded between or within
//! availability zones.

use std::collections::{BTreeMap, HashMap};

use anvilhook_core::units::Millis;

use super::digests::CachedPrompt;

/// The time before a published part is published again. Engines retain recently used parts for many
/// times as long, so their order of last use stays nearly right.
const RESEND_AFTER: Millis = Millis(1_000);

/// The time over which the tokens of prompts' own parts are summed. They matter only because they
/// displace other parts.
const OWN_TOKENS_INTERVAL: Millis = Millis(1_000);

/// The maximum sizes in a datagram, in bytes: of an engine with its sum of tokens, of one part, and
/// of all engines with their parts. The last one leaves room for the rest of the digest.
const ENGINE_BYTES: usize = 12;
const PART_BYTES: usize = 15;
const DIGEST_BYTES: usize = 1_100;

/// The maximum number of parts of one engine in a digest.
const MAX_PARTS: usize = (DIGEST_BYTES - ENGINE_BYTES) / PART_BYTES;

/// `CacheUpdates` collects the prompts that engines have read, for one instance to send to many.
///
/// The zone leader sends the prompts read in all other zones to each instance of its own zone. Sent
/// one by one they fill its link and delay the requests that it serves. Nearly all prompts begin
/// with parts that recur many times a second, so each part is sent only periodically, and the
/// remaining tokens as one sum for each engine.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_gateway::peers::{CacheUpdates, CachedPrompt};
///
/// let mut updates = CacheUpdates::default();
/// updates.add(&CachedPrompt { engine: 1, parts: vec![(7, 5_000)], own_tokens: 300 });
/// updates.add(&CachedPrompt { engine: 1, parts: vec![(7, 5_000)], own_tokens: 200 });
/// let sent = updates.take(1, Millis(5_000));
/// assert_eq!(sent, [[CachedPrompt { engine: 1, parts: vec![(7, 5_000)], own_tokens: 500 }]]);
/// ```
#[derive(Debug, Default)]
pub struct CacheUpdates {
    engines: BTreeMap<u32, EngineUpdates>,
    /// When each part of an engine was last sent.
    sent_at: HashMap<(u32, u64), Millis>,
    own_sent_at: Millis,
}

/// `EngineUpdates` collects what one engine has read.
#[derive(Debug, Default)]
struct EngineUpdates {
    /// The lengths of shared parts in tokens, by part id.
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

    /// Takes the updates to send now, as at most `most` digests. The rest stays queued.
    pub fn take(&mut self, most: usize, now: Millis) -> Vec<Vec<CachedPrompt>> {
        self.sent_at.retain(|_, sent_at| *sent_at + RESEND_AFTER > now);
        let mut digests: Vec<Vec<CachedPrompt>> = Vec::new();
        for cached in self.take_due(now) {
            let has_room = digests.last().is_some_and(|digest| fits(&cached, digest));
            if !has_room && digests.len() >= most {
                self.add(&cached);
                continue;
            }
            self.record_sent(&cached, now);
            match digests.last_mut().filter(|_| has_room) {
                Some(digest) => digest.push(cached),
                None => digests.push(vec![cached]),
            }
        }
        digests
    }

    /// Takes the updates that are ready to send, and leaves the sums that are not.
    fn take_due(&mut self, now: Millis) -> Vec<CachedPrompt> {
        let is_own_due = self.own_sent_at + OWN_TOKENS_INTERVAL <= now;
        if is_own_due {
            self.own_sent_at = now;
        }
        let mut due = Vec::new();
        for (engine, updates) in std::mem::take(&mut self.engines) {
            let EngineUpdates { parts, own_tokens } = updates;
            let is_unsent = |(id, _): &(u64, u32)| !self.sent_at.contains_key(&(engine, *id));
            let parts: Vec<_> = parts.into_iter().filter(is_unsent).collect();
            if !parts.is_empty() {
                due.extend(pieces_of_engine(engine, &parts, own_tokens));
            } else if is_own_due && own_tokens > 0 {
                due.push(CachedPrompt { engine, parts, own_tokens });
            } else if own_tokens > 0 {
                self.engines
                    .insert(engine, EngineUpdates { own_tokens, ..EngineUpdates::default() });
            }
        }
        due
    }

    fn record_sent(&mut self, cached: &CachedPrompt, now: Millis) {
        let parts = cached.parts.iter().map(|(id, _)| ((cached.engine, *id), now));
        self.sent_at.extend(parts);
    }
}

/// Splits an engine's parts into pieces that each fit into a digest.
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

/// Returns whether an engine's updates fit into a digest together with others.
fn fits(cached: &CachedPrompt, others: &[CachedPrompt]) -> bool {
    others.iter().map(bytes_of).sum::<usize>() + bytes_of(cached) <= DIGEST_BYTES
}

/// Returns the maximum bytes that an engine's updates take in a datagram.
fn bytes_of(cached: &CachedPrompt) -> usize {
    ENGINE_BYTES + PART_BYTES * cached.parts.len()
}
