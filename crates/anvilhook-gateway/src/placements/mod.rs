//! Chooses the engine that reads (prefills) a prompt and the engine that generates its output.
//!
//! Every candidate engine gets a predicted time or cost in milliseconds, and the cheapest one is chosen. A stream
//! that goes on after a break is placed only at engines of the software that began it.

mod generators;
mod readers;

use std::sync::Arc;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::orders::Role;
use anvilhook_core::reading_lanes::Lane;
use anvilhook_core::speeds::ReadingCost;
use anvilhook_core::stream_origins::Software;
use anvilhook_core::units::Millis;

use crate::caches::CacheIndex;
use crate::configs::EngineSpec;
use crate::fleets::{FleetView, Upstream};
use crate::prompts::Prompt;
use crate::slow_starts::Openings;

pub(crate) use generators::suspect_rank;
pub(crate) use readers::lanes_of;

/// The cost of starting a transfer between engines, in milliseconds.
const TRANSFER_SETUP_MS: f64 = 3.0;

/// The cost of a second exchange with an engine, in milliseconds.
const HOP_MS: f64 = 2.0;

/// The cost of sending a body to another availability zone, in milliseconds per kilobyte.
const CROSSING_MS_PER_KB: f64 = 0.6;

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
    /// Whether engines of different software versions may use each other's KV caches.
    pub caches_across_versions: bool,
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
    /// The only software that may generate the output, if the request continues a stream.
    pub software: Option<Software>,
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
    /// The number of the engine's slots that the request may use.
    pub slots: u32,
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
        let times = self.group_times(req);
        let rest_ms = |reader: &Upstream| {
            let group = self.cache_group(reader);
            times.iter().find(|time| time.group == group).map(|time| time.fetched_ms)
        };
        match self.reader_by(req, rest_ms) {
            Some((mut reader, rest_ms)) => {
                reader.total_ms += HOP_MS + rest_ms;
                if reader.total_ms <= direct.direct_cost_ms {
                    Some(Plan::Split(reader))
                } else {
                    Some(Plan::Direct(direct))
                }
            }
            None => Some(Plan::Direct(direct)),
        }
    }

    /// Returns what engines must have in common to use each other's KV caches. Software of another version may lay
    /// them out differently, and engines don't check that.
    fn cache_group(&self, upstream: &Upstream) -> Software {
        if self.caches_across_versions { Software::default() } else { upstream.software }
    }

    fn is_near(&self, upstream: &Upstream) -> bool {
        &*upstream.entry.zone == self.zone
    }

    /// Returns whether an engine may serve a request in a role, by its software.
    fn fits(&self, req: &Request<'_>, role: Role, upstream: &Upstream) -> bool {
        let is_shared = role == Role::Prefill && self.caches_across_versions;
        is_shared || req.software.is_none_or(|software| software == upstream.software)
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
            let is_avoided = is_avoided || !self.fits(req, role, upstream);
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
