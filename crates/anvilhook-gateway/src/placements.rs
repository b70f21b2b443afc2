//! Where a prompt is read and where its output is generated.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::units::Millis;

use crate::caches::CacheBeliefs;
use crate::configs::EngineSpec;
use crate::fleets::{FleetView, Upstream};
use crate::prompts::{EngineSpeed, Prompt};

/// What it costs to start a transfer between engines, in milliseconds.
const TRANSFER_SETUP_MS: f64 = 3.0;

/// What a second exchange with an engine costs, in milliseconds.
const HOP_MS: f64 = 2.0;

/// What a body's crossing to another availability zone is worth, in milliseconds a kilobyte.
const CROSSING_MS_PER_KB: f64 = 1.2;

/// What it is worth to read a part that nobody holds where all instances would look for it.
const HOME_MS: f64 = 40.0;

/// What a decode engine's work on a prompt costs beyond that of a prefill engine.
const DECODE_READING_FACTOR: f64 = 2.0;

/// What a request in flight adds to the time of the next one at a decode engine, in milliseconds.
const IN_FLIGHT_MS: f64 = 0.8;

/// What a request beyond an engine's slots adds, in milliseconds.
const QUEUED_MS: f64 = 6.0;

/// `Placer` weighs the engines of a service for one request.
pub struct Placer<'a> {
    /// The upstreams as they are listed now.
    pub view: &'a FleetView,
    /// What the caches hold.
    pub caches: &'a CacheBeliefs,
    /// How fast engines read.
    pub speed: &'a EngineSpeed,
    /// The availability zone of this instance.
    pub zone: &'a str,
    /// The time now.
    pub now: Millis,
}

/// `Request` is what is placed.
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
}

/// `Reader` is the engine that is to read a prompt.
#[derive(Clone, Debug)]
pub struct Reader {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// An engine that holds more of the prompt, from which it should fetch first.
    pub fetch_from: Option<Arc<Upstream>>,
    /// The predicted work, in milliseconds.
    pub reading_ms: f64,
    /// The predicted time until the prompt is read, in milliseconds.
    pub total_ms: f64,
}

/// `Generator` is the engine that is to generate the output.
#[derive(Clone, Debug)]
pub struct Generator {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The predicted time until it gets to the request, in milliseconds.
    pub wait_ms: f64,
    /// The predicted time to the first token if it also reads the prompt, in milliseconds.
    pub direct_ms: f64,
    /// What reading the prompt there would be, in milliseconds of its work.
    pub reading_ms: f64,
}

/// `Plan` says how a request is to be served.
#[derive(Clone, Debug)]
pub enum Plan {
    /// A prefill engine reads the prompt; the decode engine is chosen afterwards.
    Split(Reader),
    /// A decode engine does both.
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
    /// Chooses how to serve a request; `None` if no engine can take it.
    pub fn plan(&self, req: &Request<'_>) -> Option<Plan> {
        let generator = self.generator(req, None);
        let reader = self.reader(req);
        match (reader, generator) {
            (Some(mut reader), Some(generator)) => {
                let transfer = self.transfer_ms(req.engine, req.prompt.tokens, false);
                reader.total_ms += transfer + HOP_MS + generator.wait_ms;
                if reader.total_ms <= generator.direct_ms {
                    Some(Plan::Split(reader))
                } else {
                    Some(Plan::Direct(generator))
                }
            }
            (None, Some(generator)) => Some(Plan::Direct(generator)),
            (_, None) => None,
        }
    }

    /// Chooses the engine that reads the prompt.
    pub fn reader(&self, req: &Request<'_>) -> Option<Reader> {
        let holder = self.holder(req);
        let home = self.home(req);
        let readers = self.candidates(req, Role::Prefill);
        let costs = readers.map(|upstream| {
            let reader = self.reader_at(req, upstream, holder.as_ref());
            let mut cost = reader.total_ms + self.crossing_ms(req, upstream);
            let is_home = home.as_ref().is_none_or(|home| home == &upstream.entry.id);
            if holder.is_none() && !is_home {
                cost += HOME_MS;
            }
            (cost, reader)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, reader)| reader)
    }

    /// Chooses the engine that generates the output, preferring the zone of the one that read.
    pub fn generator(&self, req: &Request<'_>, reader: Option<&Upstream>) -> Option<Generator> {
        let engines = self.candidates(req, Role::Decode);
        let costs = engines.map(|upstream| {
            let generator = self.generator_at(req, upstream);
            let mut cost = generator.wait_ms + self.crossing_ms(req, upstream);
            if let Some(reader) = reader {
                let is_far = reader.entry.zone != upstream.entry.zone;
                cost += self.transfer_ms(req.engine, req.prompt.tokens, is_far);
            }
            (cost, generator)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, generator)| generator)
    }

    fn candidates<'s>(
        &'s self,
        req: &'s Request<'_>,
        role: Role,
    ) -> impl Iterator<Item = &'s Arc<Upstream>> + 's {
        let all = self.view.of_service(req.service);
        let able = move |upstream: &&Arc<Upstream>| {
            let has_role = upstream.entry.role.is_none_or(|has| has == role || has == Role::Mixed);
            let is_avoided = req.avoid.contains(&upstream.entry.id);
            has_role && upstream.takes_work(self.now) && !is_avoided
        };
        // Ejection must not empty a stage: with every engine ejected, all are tried again.
        let well = move |upstream: &&Arc<Upstream>| {
            !upstream.state.ejection().is_ejected(self.now)
        };
        let any_well = all.iter().filter(able).any(|upstream| well(&upstream));
        all.iter().filter(able).filter(move |upstream| !any_well || well(upstream))
    }

    fn reader_at(
        &self,
        req: &Request<'_>,
        upstream: &Arc<Upstream>,
        holder: Option<&(Arc<Upstream>, u32)>,
    ) -> Reader {
        let state = &upstream.state;
        let held = self.caches.held_tokens(&upstream.entry.id, req.prompt);
        let (_, backlog_ms) = state.load(self.now);
        let read_ms = self.speed.read_ms(req.prompt.tokens, held) * state.slowness();

        let fetched = holder.filter(|(other, more)| {
            other.entry.id != upstream.entry.id && *more > held
        });
        if let Some((other, more)) = fetched {
            let is_far = other.entry.zone != upstream.entry.zone;
            let fetch_ms = self.transfer_ms(req.engine, more - held, is_far);
            let rest_ms = self.speed.read_ms(req.prompt.tokens, *more) * state.slowness();
            if fetch_ms + rest_ms < read_ms {
                return Reader {
                    upstream: Arc::clone(upstream),
                    fetch_from: Some(Arc::clone(other)),
                    reading_ms: rest_ms,
                    total_ms: backlog_ms + fetch_ms + rest_ms,
                };
            }
        }
        Reader {
            upstream: Arc::clone(upstream),
            fetch_from: None,
            reading_ms: read_ms,
            total_ms: backlog_ms + read_ms,
        }
    }

    fn generator_at(&self, req: &Request<'_>, upstream: &Arc<Upstream>) -> Generator {
        let held = self.caches.held_tokens(&upstream.entry.id, req.prompt);
        let (in_flight, backlog_ms) = upstream.state.load(self.now);
        let queued = in_flight.saturating_sub(upstream.entry.slots);
        let slowness = upstream.state.slowness();
        let wait_ms = (f64::from(in_flight) * IN_FLIGHT_MS + f64::from(queued) * QUEUED_MS)
            * slowness
            + backlog_ms;
        let reading_ms =
            self.speed.read_ms(req.prompt.tokens, held) * DECODE_READING_FACTOR * slowness;
        Generator {
            upstream: Arc::clone(upstream),
            wait_ms,
            direct_ms: wait_ms + reading_ms,
            reading_ms,
        }
    }

    /// Returns the engine that holds most of the prompt's start, with how many tokens.
    fn holder(&self, req: &Request<'_>) -> Option<(Arc<Upstream>, u32)> {
        let upstreams = self.view.of_service(req.service).iter();
        let alive = upstreams.filter(|upstream| upstream.takes_work(self.now));
        let held = alive.map(|upstream| {
            (Arc::clone(upstream), self.caches.held_tokens(&upstream.entry.id, req.prompt))
        });
        held.filter(|(_, tokens)| *tokens > 0).max_by_key(|(_, tokens)| *tokens)
    }

    /// Returns the engine at which a part that nobody holds is read first.
    fn home(&self, req: &Request<'_>) -> Option<Arc<str>> {
        let first = req.prompt.shared().first()?;
        let readers = self.candidates(req, Role::Prefill);
        readers.map(|upstream| &upstream.entry.id).max_by_key(|id| rank(first.id, id)).cloned()
    }

    fn transfer_ms(&self, engine: &EngineSpec, tokens: u32, is_far: bool) -> f64 {
        let bits = f64::from(tokens) * engine.kv_token_bytes as f64 * 8.0;
        let wire_ms = bits / (engine.link_mbps * 1e3);
        TRANSFER_SETUP_MS + if is_far { 2.0 * wire_ms } else { wire_ms }
    }

    fn crossing_ms(&self, req: &Request<'_>, upstream: &Upstream) -> f64 {
        if &*upstream.entry.zone == self.zone {
            0.0
        } else {
            1.0 + req.body_bytes as f64 / 1e3 * CROSSING_MS_PER_KB
        }
    }
}

/// Returns an engine's rank for a part, by which all instances find the same home for it.
fn rank(part: u64, engine: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (part, engine).hash(&mut hasher);
    hasher.finish()
}
