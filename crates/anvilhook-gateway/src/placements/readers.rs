//! Chooses the engine that reads (prefills) a prompt.

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::reading_lanes::{
    Lane, Lanes, PromptSize, far_factor, max_spread_ms, spread_ms,
};
use anvilhook_core::units::Millis;

use super::{Placer, Reader, Request};
use crate::fleets::Upstream;
use crate::hashes::hash_of;

/// The cost of caching another copy of a shared part, in milliseconds: the copy displaces other parts.
const COPY_MS: f64 = 30.0;

/// The cost of reading a part that no engine holds at an engine other than the preferred one, in
/// milliseconds. All instances expect to find the part at the preferred engine.
const NON_PREFERRED_COST_MS: f64 = 40.0;

/// `Holder` is an engine that caches the start of a prompt.
struct Holder {
    upstream: Arc<Upstream>,
    /// The length of that start, in tokens.
    tokens: u32,
}

impl Placer<'_> {
    /// Chooses the engine that reads the prompt.
    pub fn reader(&self, req: &Request<'_>) -> Option<Reader> {
        self.reader_by(req, |_| Some(0.0)).map(|(reader, _)| reader)
    }

    /// Chooses the engine that reads the prompt. `rest_ms` returns the time from then to the first token for an engine
    /// that has read it, in milliseconds, or `None` if no other engine could use its KV cache. Returns that time too.
    pub(super) fn reader_by(
        &self,
        req: &Request<'_>,
        rest_ms: impl Fn(&Upstream) -> Option<f64>,
    ) -> Option<(Reader, f64)> {
        let engines: Vec<&Arc<Upstream>> = self.candidates(req, Role::Prefill).collect();
        let size = PromptSize::of(self.speed.work_ms(req.prompt.tokens, 0), self.tightest);
        let listed = self.view.of_service(req.service);
        let lanes = self.short_share.map(|share| lanes_of(listed, share, self.now));
        let lane_at = |upstream: &Upstream| {
            lanes.as_ref()?.lane(&*upstream.entry.zone, u64::from(upstream.hash))
        };
        let suits = |lane: Option<Lane>| lane.is_none_or(|lane| lane.suits(size));

        let holders = self.holders(req);
        let holder_for = |upstream: &Upstream| {
            let group = self.cache_group(upstream);
            holders.iter().find(|holder| self.cache_group(&holder.upstream) == group)
        };
        let suitable = engines.iter().copied().filter(|upstream| suits(lane_at(upstream)));
        let preferred = preferred(req, suitable);
        let readers = engines.iter().map(|upstream| Reader {
            lane: lane_at(upstream),
            ..self.reader_at(req, upstream, holder_for(upstream))
        });
        let readers: Vec<Reader> = readers.collect();
        let own_lane = readers.iter().filter(|reader| suits(reader.lane));
        let unreported_ms = self.far_update_delay_ms * self.busy_share(own_lane);
        // Prompts that one instance releases at the same moment are spread as well.
        let own_part = req.prompt.parts.last().map(|part| part.id);
        let seed = self.instance.map(|number| hash_of(&(number, own_part)));
        let waited = self.now - req.waits_since;
        let costs = readers.into_iter().filter_map(|reader| {
            let upstream = &reader.upstream;
            let rest_ms = rest_ms(upstream)?;
            let mut cost = reader.total_ms + rest_ms + self.crossing_ms(req, upstream);
            let is_preferred = preferred.is_none_or(|preferred| preferred == &upstream.entry.id);
            if reader.fetch_from.is_some() {
                cost += COPY_MS;
            }
            if self.is_near(upstream) {
                let engine = u64::from(upstream.hash);
                cost += seed.map_or(0.0, |seed| spread_ms(seed, engine, reader.reading_ms));
            } else {
                cost += self.far_cost_ms(unreported_ms, &reader);
            }
            if holder_for(upstream).is_none() && !is_preferred {
                cost += NON_PREFERRED_COST_MS;
            }
            if let Some(lane) = reader.lane {
                cost += lane.cost_ms(size, reader.reading_ms, waited, self.tightest);
            }
            Some((cost, (reader, rest_ms)))
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, chosen)| chosen)
    }

    /// Returns the share of the readers in this availability zone that have prompts to read. `readers` are
    /// those of the prompt's own lane.
    ///
    /// It estimates how likely an engine of another zone that was last reported idle has become busy since.
    /// Without it, instances of all zones that saw the engine idle would send their prompts there.
    fn busy_share<'r>(&self, readers: impl Iterator<Item = &'r Reader>) -> f64 {
        let near = readers.filter(|reader| self.is_near(&reader.upstream));
        let (count, busy) = near.fold((0, 0), |(count, busy), reader| {
            (count + 1, busy + u32::from(reader.backlog_ms > 0.0))
        });
        if count == 0 { 1.0 } else { f64::from(busy) / f64::from(count) }
    }

    /// Returns the cost of what may be unreported at a reader in another zone. `unreported_ms` is the
    /// expectation.
    fn far_cost_ms(&self, unreported_ms: f64, reader: &Reader) -> f64 {
        self.instance.map_or(unreported_ms, |instance| {
            let zone = hash_of(&*reader.upstream.entry.zone);
            unreported_ms * far_factor(instance, zone) + max_spread_ms(reader.reading_ms)
        })
    }

    fn reader_at(
        &self,
        req: &Request<'_>,
        upstream: &Arc<Upstream>,
        holder: Option<&Holder>,
    ) -> Reader {
        let state = &upstream.state;
        let held = self.caches.held_tokens(&upstream.entry.id, req.prompt);
        let work = state.work(self.now);
        let backlog_ms = work.reading_ms;
        let slowness = self.slowness(upstream);
        let latency_ms = self.latency_ms();
        let read_ms = self.work_ms(req.prompt.tokens, held) * slowness;

        let fetched = holder
            .filter(|other| other.upstream.entry.id != upstream.entry.id && other.tokens > held);
        if let Some(Holder { upstream: other, tokens: more }) = fetched {
            let is_far = other.entry.zone != upstream.entry.zone;
            let fetch_ms = self.transfer_ms(req.engine, more - held, is_far);
            let rest_ms = self.work_ms(req.prompt.tokens, *more) * slowness;
            if fetch_ms + rest_ms < read_ms {
                return Reader {
                    upstream: Arc::clone(upstream),
                    lane: None,
                    fetch_from: Some(Arc::clone(other)),
                    cached: *more,
                    reading_ms: rest_ms,
                    fetching_ms: fetch_ms,
                    backlog_ms,
                    total_ms: backlog_ms.max(work.fetching_ms + fetch_ms) + rest_ms + latency_ms,
                };
            }
        }
        Reader {
            upstream: Arc::clone(upstream),
            lane: None,
            fetch_from: None,
            cached: held,
            reading_ms: read_ms,
            fetching_ms: 0.0,
            backlog_ms,
            total_ms: backlog_ms + read_ms + latency_ms,
        }
    }

    /// Returns the engine that caches the longest start of the prompt, and its length in tokens, for each group of
    /// engines that can use each other's KV caches.
    fn holders(&self, req: &Request<'_>) -> Vec<Holder> {
        let mut holders: Vec<Holder> = Vec::new();
        let upstreams = self.view.of_service(req.service).iter();
        for upstream in upstreams.filter(|upstream| upstream.is_open(self.now)) {
            let tokens = self.caches.held_tokens(&upstream.entry.id, req.prompt);
            let group = self.cache_group(upstream);
            let holder = || Holder { upstream: Arc::clone(upstream), tokens };
            match holders.iter_mut().find(|one| self.cache_group(&one.upstream) == group) {
                _ if tokens == 0 => {}
                None => holders.push(holder()),
                Some(known) if tokens >= known.tokens => *known = holder(),
                Some(_) => {}
            }
        }
        holders
    }
}

/// Assigns the reading engines among a service's upstreams to lanes by the share that is reserved for short
/// prompts.
///
/// Only what all instances know of an engine counts, not whether this instance or this request may use it.
/// Instances would otherwise assign engines to different lanes.
pub(crate) fn lanes_of(upstreams: &[Arc<Upstream>], short_share: f64, now: Millis) -> Lanes<&str> {
    let readers = upstreams.iter().filter(|one| {
        one.role() == Some(Role::Prefill) && one.is_open(now) && one.state.is_healthy(now)
    });
    Lanes::new(readers.map(|one| (&*one.entry.zone, u64::from(one.hash))), short_share)
}

/// Returns the preferred engine among `readers`, which reads a shared part that no engine holds yet.
/// Rendezvous hashing lets all instances choose the same one.
fn preferred<'u>(
    req: &Request<'_>,
    readers: impl Iterator<Item = &'u Arc<Upstream>>,
) -> Option<&'u Arc<str>> {
    let first = req.prompt.shared().first()?;
    let ids = readers.map(|upstream| &upstream.entry.id);
    ids.max_by_key(|id| hash_of(&(first.id, &***id)))
}
