//! Chooses the engine that generates the output of a prompt.

use std::sync::Arc;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::orders::Role;
use anvilhook_core::stream_origins::Software;

use super::{Generator, Placer, Request};
use crate::fleets::Upstream;
use crate::hashes::hash_of;

/// How many times longer a decode engine takes to read a prompt.
const DECODE_READING_FACTOR: f64 = 2.0;

/// The cost of reading a prompt at a decode engine in addition to its time, as a factor and in
/// milliseconds. All streams of the engine pause while it reads, so frequent reading delays many of them.
const DIRECT_FACTOR: f64 = 3.0;
const DIRECT_MS: f64 = 600.0;

/// The share of an engine's slots that instances of other availability zones are assumed to have taken
/// since its load was last reported here. Without it, the last free slots of far engines would attract
/// the streams of all zones.
const UNREPORTED_SLOT_SHARE: f64 = 0.15;

/// The share of an engine's slots that is reserved for streams that go on, while several software versions serve.
const CONTINUATION_SLOT_SHARE: f64 = 0.04;

/// The cost of each request that runs at an engine together with a suspect, in milliseconds. If the
/// suspect terminates the engine, these requests are lost too.
const NEIGHBOR_MS: f64 = 1_000.0;

/// The number of ranks over which a suspect spreads the engines. One rank costs as much as one neighbor, so
/// this bounds how many more neighbors a suspect accepts at an engine of a lower rank.
const SUSPECT_RANKS: u64 = 8;

/// How much each request in flight delays the next one at a decode engine, in milliseconds.
const IN_FLIGHT_MS: f64 = 0.2;

/// Returns an engine's rank for a suspect, in neighbors. Each suspect ranks the engines differently. If all
/// suspects were tried at the least loaded engine, they would meet there, and harmless ones would be lost
/// together with the one that terminates engines.
pub(crate) fn suspect_rank(suspect: Fingerprint, upstream: &Upstream) -> u32 {
    (hash_of(&(suspect, &*upstream.entry.id)) % SUSPECT_RANKS) as u32
}

/// `GroupTime` is the predicted time of the best generator in a group of engines that can use each other's KV caches.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupTime {
    pub group: Software,
    /// The time from a prompt being read to the first token, in milliseconds.
    pub fetched_ms: f64,
    /// That time with the other costs of the engine, in milliseconds.
    cost_ms: f64,
}

impl Placer<'_> {
    /// Chooses the engine that generates the output of a prompt that `reader` has read.
    pub fn generator(&self, req: &Request<'_>, reader: &Upstream) -> Option<Generator> {
        self.generator_by(req, Some(reader), |generator| generator.fetched_ms)
    }

    pub(super) fn generator_by(
        &self,
        req: &Request<'_>,
        reader: Option<&Upstream>,
        time_of: impl Fn(&Generator) -> f64,
    ) -> Option<Generator> {
        let group = reader.map(|reader| self.cache_group(reader));
        let is_usable =
            |one: &&Arc<Upstream>| group.is_none_or(|group| group == self.cache_group(one));
        let engines = self.candidates(req, Role::Decode).filter(is_usable);
        let costs = engines.map(|upstream| {
            let generator = self.generator_at(req, upstream, reader);
            (time_of(&generator) + self.other_cost_ms(req, upstream), generator)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, generator)| generator)
    }

    /// Returns the predicted time for each group of engines that can use each other's KV caches.
    pub(super) fn group_times(&self, req: &Request<'_>) -> Vec<GroupTime> {
        let mut best: Vec<GroupTime> = Vec::new();
        for upstream in self.candidates(req, Role::Decode) {
            let group = self.cache_group(upstream);
            let fetched_ms = self.generator_at(req, upstream, None).fetched_ms;
            let cost_ms = fetched_ms + self.other_cost_ms(req, upstream);
            let time = GroupTime { group, fetched_ms, cost_ms };
            match best.iter_mut().find(|one| one.group == group) {
                None => best.push(time),
                Some(known) if cost_ms < known.cost_ms => *known = time,
                Some(_) => {}
            }
        }
        best
    }

    /// Returns the cost of an engine for a request beyond its time, in milliseconds.
    fn other_cost_ms(&self, req: &Request<'_>, upstream: &Upstream) -> f64 {
        let risk_ms = req.suspect.map_or(0.0, |suspect| self.risk_ms(suspect, upstream));
        self.crossing_ms(req, upstream) + risk_ms
    }

    /// Returns the cost of trying a suspect at an engine, in milliseconds.
    fn risk_ms(&self, suspect: Fingerprint, upstream: &Upstream) -> f64 {
        let neighbors = upstream.state.work(self.now).in_flight;
        f64::from(neighbors + suspect_rank(suspect, upstream)) * NEIGHBOR_MS
    }

    fn generator_at(
        &self,
        req: &Request<'_>,
        upstream: &Arc<Upstream>,
        reader: Option<&Upstream>,
    ) -> Generator {
        let held = self.caches.held_tokens(&upstream.entry.id, req.prompt);
        let work = upstream.state.work(self.now);
        // Adds this request to those in flight and to those that other zones have not reported yet.
        let unreported = if self.is_near(upstream) || self.far_update_delay_ms == 0.0 {
            0
        } else {
            (f64::from(upstream.entry.slots) * UNREPORTED_SLOT_SHARE).ceil() as u32
        };
        let slots = self.slots_for(req, upstream);
        let queued = (work.in_flight + unreported + 1).saturating_sub(slots);
        let slowness = self.slowness(upstream);
        let queued_ms = self.output_ms / f64::from(upstream.entry.slots.max(1));
        let wait_ms = f64::from(work.in_flight) * IN_FLIGHT_MS + f64::from(queued) * queued_ms;
        let wait_ms = wait_ms * slowness;
        let is_generator = upstream.role() == Some(Role::Decode);
        let factor = if is_generator { DECODE_READING_FACTOR } else { 1.0 };
        let reading_ms = self.work_ms(req.prompt.tokens, held) * factor * slowness;
        let is_far = reader.is_some_and(|reader| reader.entry.zone != upstream.entry.zone);
        let fetching_ms =
            self.transfer_ms(req.engine, req.prompt.tokens - held.min(req.prompt.tokens), is_far);
        let direct_ms = wait_ms + work.reading_ms + reading_ms + self.latency_ms();
        Generator {
            upstream: Arc::clone(upstream),
            fetched_ms: wait_ms + work.fetching_ms + fetching_ms,
            fetching_ms,
            direct_ms,
            direct_cost_ms: if is_generator {
                direct_ms * DIRECT_FACTOR + DIRECT_MS
            } else {
                direct_ms
            },
            reading_ms,
            slots,
        }
    }

    /// Returns the number of an engine's slots that a request may use. While several software versions serve, new
    /// streams leave some free: a stream that goes on has no other engines to go to.
    fn slots_for(&self, req: &Request<'_>, upstream: &Upstream) -> u32 {
        let slots = upstream.entry.slots;
        if req.software.is_some() || !self.view.has_versions(req.service) {
            return slots;
        }
        let reserved = (f64::from(slots) * CONTINUATION_SLOT_SHARE).ceil() as u32;
        slots.saturating_sub(reserved).max(1)
    }
}
