//! Chooses the engine that reads (prefills) a prompt and the engine that generates its output.
//!
//! Every candidate engine gets a predicted time or cost in milliseconds, and the cheapest one is chosen.

use std::sync::Arc;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::orders::Role;
use anvilhook_core::reading_lanes::{
    Lane, Lanes, PromptSize, far_factor, max_spread_ms, spread_ms,
};
use anvilhook_core::speeds::ReadingCost;
use anvilhook_core::units::Millis;

use crate::caches::CacheIndex;
use crate::configs::EngineSpec;
use crate::fleets::{FleetView, Upstream};
use crate::hashes::hash_of;
use crate::prompts::Prompt;
use crate::slow_starts::Openings;

/// The cost of starting a transfer between engines, in milliseconds.
const TRANSFER_SETUP_MS: f64 = 3.0;

/// The cost of a second exchange with an engine, in milliseconds.
const HOP_MS: f64 = 2.0;

/// The cost of sending a body to another availability zone, in milliseconds per kilobyte.
const CROSSING_MS_PER_KB: f64 = 0.6;

/// The cost of caching another copy of a shared part, in milliseconds: the copy displaces other parts.
const COPY_MS: f64 = 30.0;

/// The cost of reading a part that no engine holds at an engine other than the preferred one, in
/// milliseconds. All instances expect to find the part at the preferred engine.
const NON_PREFERRED_COST_MS: f64 = 40.0;

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

/// The cost of each request that runs at an engine together with a suspect, in milliseconds. If the
/// suspect terminates the engine, these requests are lost too.
const NEIGHBOR_MS: f64 = 1_000.0;

/// The number of ranks over which a suspect spreads the engines. One rank costs as much as one neighbor, so
/// this bounds how many more neighbors a suspect accepts at an engine of a lower rank.
const SUSPECT_RANKS: u64 = 8;

/// Returns an engine's rank for a suspect, in neighbors. Each suspect ranks the engines differently. If all
/// suspects were tried at the least loaded engine, they would meet there, and harmless ones would be lost
/// together with the one that terminates engines.
pub(crate) fn suspect_rank(suspect: Fingerprint, upstream: &Upstream) -> u32 {
    (hash_of(&(suspect, &*upstream.entry.id)) % SUSPECT_RANKS) as u32
}

/// How much each request in flight delays the next one at a decode engine, in milliseconds.
const IN_FLIGHT_MS: f64 = 0.2;

/// `Placer` evaluates the engines of a service for one request.
pub struct Placer<'a> {
    /// The upstreams that are listed now.
    pub view: &'a FleetView,
    /// The estimated contents of the engines' prefix caches.
    pub caches: &'a CacheIndex,
    /// The time that engines of the service need to read prompts.
    pub speed: &'a ReadingCost,
    /// Whether the speed of each upstream and the latency of readings are learnt. Otherwise the latency counts
    /// as work.
    pub learnt_speeds: bool,
    /// The mean time of an output, in milliseconds. A request that finds all slots of an engine taken waits
    /// for a share of it. If that wait were underestimated, near engines would be filled beyond their slots
    /// while far ones are free.
    pub output_ms: f64,
    /// The availability zone of this instance.
    pub zone: &'a str,
    /// The typical age of load updates from other availability zones, in milliseconds.
    pub far_update_delay_ms: f64,
    /// This instance among those to which upstreams are opened; `None` with the policy `slow_start` off.
    pub openings: Option<Openings>,
    /// The share of the reading engines of each zone that is reserved for short prompts, if any.
    pub short_share: Option<f64>,
    /// The tightest objective of the service, by which prompts count as short or long.
    pub tightest: Millis,
    /// The number of this instance, by which instances with the same stale information make different
    /// choices; `None` in a full mesh or with the policy `reading_lanes` off.
    pub instance: Option<u64>,
    /// The current time.
    pub now: Millis,
}

/// `Request` is a request that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// The service's engines.
    pub engine: &'a EngineSpec,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// The size of the body, in bytes.
    pub body_bytes: usize,
    /// Engines that have failed or refused the request.
    pub avoid: &'a [Arc<str>],
    /// The request's fingerprint if it is suspected of terminating engines. A suspect is placed where few
    /// other requests would be lost, and away from other suspects.
    pub suspect: Option<Fingerprint>,
    /// When the wait of its caller began.
    pub waits_since: Millis,
}

/// `Reader` is the engine that is to read a prompt.
#[derive(Clone, Debug)]
pub struct Reader {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The engine's lane, if its zone has lanes.
    pub lane: Option<Lane>,
    /// An engine that holds more of the prompt, from which it should fetch first.
    pub fetch_from: Option<Arc<Upstream>>,
    /// How many tokens of the prompt need not be read, because they are cached or fetched first.
    pub cached: u32,
    /// The predicted reading time of the prompt, in milliseconds of the engine's work.
    pub reading_ms: f64,
    /// The predicted time of the fetch that precedes the reading, in milliseconds of the engine's link.
    pub fetching_ms: f64,
    /// The time that the engine needs to read the prompts queued before this one, in milliseconds.
    pub backlog_ms: f64,
    /// The predicted time until the prompt is read, in milliseconds.
    pub total_ms: f64,
}

/// `Generator` is the engine that is to generate the output.
#[derive(Clone, Debug)]
pub struct Generator {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The predicted time to the first token if the prompt was read elsewhere, in milliseconds.
    pub fetched_ms: f64,
    /// The predicted time to fetch the prompt, in milliseconds of the engine's link.
    pub fetching_ms: f64,
    /// The predicted time to the first token if it also reads the prompt, in milliseconds.
    pub direct_ms: f64,
    /// The cost of reading the prompt there too, in milliseconds, including the delay of the engine's other
    /// streams.
    pub direct_cost_ms: f64,
    /// The predicted time to read the prompt there, in milliseconds of the engine's work.
    pub reading_ms: f64,
}

/// `Plan` specifies how a request is served.
#[derive(Clone, Debug)]
pub enum Plan {
    /// A prefill engine reads the prompt; the decode engine is chosen afterwards.
    Split(Reader),
    /// One engine reads the prompt and generates the output.
    Direct(Generator),
}

impl Plan {
    /// Returns the predicted time to the first token, in milliseconds.
    pub fn first_token_ms(&self) -> f64 {
        match self {
            Plan::Split(reader) => reader.total_ms,
            Plan::Direct(generator) => generator.direct_ms,
        }
    }
}

impl Placer<'_> {
    /// Chooses how to serve a request. Returns `None` if no engine can accept it.
    pub fn plan(&self, req: &Request<'_>) -> Option<Plan> {
        let direct = self.generator_by(req, None, |generator| generator.direct_cost_ms)?;
        let fetched = self.generator_by(req, None, |generator| generator.fetched_ms)?;
        match self.reader(req) {
            Some(mut reader) => {
                reader.total_ms += HOP_MS + fetched.fetched_ms;
                if reader.total_ms <= direct.direct_cost_ms {
                    Some(Plan::Split(reader))
                } else {
                    Some(Plan::Direct(direct))
                }
            }
            None => Some(Plan::Direct(direct)),
        }
    }

    /// Chooses the engine that reads the prompt.
    pub fn reader(&self, req: &Request<'_>) -> Option<Reader> {
        let engines: Vec<&Arc<Upstream>> = self.candidates(req, Role::Prefill).collect();
        let size = PromptSize::of(self.speed.work_ms(req.prompt.tokens, 0), self.tightest);
        let listed = self.view.of_service(req.service);
        let lanes = self.short_share.map(|share| lanes_of(listed, share, self.now));
        let lane_at = |upstream: &Upstream| {
            lanes.as_ref()?.lane(&*upstream.entry.zone, u64::from(upstream.hash))
        };
        let suits = |lane: Option<Lane>| lane.is_none_or(|lane| lane.suits(size));

        let holder = self.holder(req);
        let suitable = engines.iter().copied().filter(|upstream| suits(lane_at(upstream)));
        let preferred = preferred(req, suitable);
        let readers = engines.iter().map(|upstream| Reader {
            lane: lane_at(upstream),
            ..self.reader_at(req, upstream, holder.as_ref())
        });
        let readers: Vec<Reader> = readers.collect();
        let own_lane = readers.iter().filter(|reader| suits(reader.lane));
        let unreported_ms = self.far_update_delay_ms * self.busy_share(own_lane);
        // Prompts that one instance releases at the same moment are spread as well.
        let own_part = req.prompt.parts.last().map(|part| part.id);
        let seed = self.instance.map(|number| hash_of(&(number, own_part)));
        let waited = self.now - req.waits_since;
        let costs = readers.into_iter().map(|reader| {
            let upstream = &reader.upstream;
            let mut cost = reader.total_ms + self.crossing_ms(req, upstream);
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
            if holder.is_none() && !is_preferred {
                cost += NON_PREFERRED_COST_MS;
            }
            if let Some(lane) = reader.lane {
                cost += lane.cost_ms(size, reader.reading_ms, waited, self.tightest);
            }
            (cost, reader)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, reader)| reader)
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

    fn is_near(&self, upstream: &Upstream) -> bool {
        &*upstream.entry.zone == self.zone
    }

    /// Chooses the engine that generates the output of a prompt that `reader` has read.
    pub fn generator(&self, req: &Request<'_>, reader: &Upstream) -> Option<Generator> {
        self.generator_by(req, Some(reader), |generator| generator.fetched_ms)
    }

    fn generator_by(
        &self,
        req: &Request<'_>,
        reader: Option<&Upstream>,
        time_of: impl Fn(&Generator) -> f64,
    ) -> Option<Generator> {
        let engines = self.candidates(req, Role::Decode);
        let costs = engines.map(|upstream| {
            let generator = self.generator_at(req, upstream, reader);
            let risk_ms = req.suspect.map_or(0.0, |suspect| self.risk_ms(suspect, upstream));
            (time_of(&generator) + self.crossing_ms(req, upstream) + risk_ms, generator)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, generator)| generator)
    }

    /// Returns the cost of trying a suspect at an engine, in milliseconds.
    fn risk_ms(&self, suspect: Fingerprint, upstream: &Upstream) -> f64 {
        let neighbors = upstream.state.work(self.now).in_flight;
        f64::from(neighbors + suspect_rank(suspect, upstream)) * NEIGHBOR_MS
    }

    fn candidates<'s>(
        &'s self,
        req: &'s Request<'_>,
        role: Role,
    ) -> impl Iterator<Item = &'s Arc<Upstream>> + 's {
        let all = self.view.of_service(req.service);
        let able = move |upstream: &&Arc<Upstream>| {
            // An engine with the mixed role serves whole requests only and refuses a single stage.
            let has_role = match (role, upstream.role()) {
                (Role::Prefill, has) => has == Some(Role::Prefill),
                // An entry without a role was not written by an engine.
                (_, has) => has.is_some_and(|has| has != Role::Prefill),
            };
            let is_avoided = req.avoid.contains(&upstream.entry.id);
            has_role && upstream.takes_work(self.now) && !is_avoided
        };
        // Ejection must not leave a stage without engines: if all are ejected, all are tried again.
        let healthy = move |upstream: &&Arc<Upstream>| {
            let has_bad_handles = upstream.state.has_bad_handles(self.now);
            upstream.state.is_healthy(self.now) && !has_bad_handles
        };
        let any_healthy = all.iter().filter(able).any(|upstream| healthy(&upstream));
        let usable = move |upstream: &&Arc<Upstream>| !any_healthy || healthy(upstream);
        let openings = self
            .openings
            .filter(|_| Openings::may_pass_over(all.iter().filter(able).filter(usable), self.now));
        let is_open = move |upstream: &&Arc<Upstream>| {
            openings.is_none_or(|openings| openings.is_open(upstream, self.now))
        };
        all.iter().filter(able).filter(usable).filter(is_open)
    }

    fn reader_at(
        &self,
        req: &Request<'_>,
        upstream: &Arc<Upstream>,
        holder: Option<&(Arc<Upstream>, u32)>,
    ) -> Reader {
        let state = &upstream.state;
        let held = self.caches.held_tokens(&upstream.entry.id, req.prompt);
        let work = state.work(self.now);
        let backlog_ms = work.reading_ms;
        let slowness = self.slowness(upstream);
        let latency_ms = self.latency_ms();
        let read_ms = self.work_ms(req.prompt.tokens, held) * slowness;

        let fetched =
            holder.filter(|(other, more)| other.entry.id != upstream.entry.id && *more > held);
        if let Some((other, more)) = fetched {
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

    /// Returns how many times longer than the mean an engine's work takes.
    fn slowness(&self, upstream: &Upstream) -> f64 {
        if self.learnt_speeds {
            upstream.state.slowness_at(self.now)
        } else {
            upstream.state.slowness()
        }
    }

    /// Returns the work of reading a prompt at an engine of mean speed, in milliseconds.
    fn work_ms(&self, tokens: u32, cached: u32) -> f64 {
        if self.learnt_speeds {
            self.speed.work_ms(tokens, cached)
        } else {
            self.speed.read_ms(tokens, cached)
        }
    }

    /// Returns the time of a reading that does not occupy the engine, in milliseconds.
    fn latency_ms(&self) -> f64 {
        if self.learnt_speeds { self.speed.fixed_ms } else { 0.0 }
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
        let queued = (work.in_flight + unreported + 1).saturating_sub(upstream.entry.slots);
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
        }
    }

    /// Returns the engine that caches the longest start of the prompt, and its length in tokens.
    fn holder(&self, req: &Request<'_>) -> Option<(Arc<Upstream>, u32)> {
        let upstreams = self.view.of_service(req.service).iter();
        let alive = upstreams.filter(|upstream| upstream.is_open(self.now));
        let held = alive.map(|upstream| {
            (Arc::clone(upstream), self.caches.held_tokens(&upstream.entry.id, req.prompt))
        });
        held.filter(|(_, tokens)| *tokens > 0).max_by_key(|(_, tokens)| *tokens)
    }

    fn transfer_ms(&self, engine: &EngineSpec, tokens: u32, is_far: bool) -> f64 {
        let bits = f64::from(tokens) * engine.kv_token_bytes as f64 * 8.0;
        let wire_ms = bits / (engine.link_mbps * 1e3);
        TRANSFER_SETUP_MS + if is_far { 2.0 * wire_ms } else { wire_ms }
    }

    fn crossing_ms(&self, req: &Request<'_>, upstream: &Upstream) -> f64 {
        if self.is_near(upstream) {
            0.0
        } else {
            1.0 + req.body_bytes as f64 / 1e3 * CROSSING_MS_PER_KB
        }
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
