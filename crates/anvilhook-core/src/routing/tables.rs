//! The route table holds the upstreams of a service and decides whether a request runs on one of
//! them or is split over two.

use std::sync::Arc;

use rand::Rng;

use super::costs::{CostOptions, Estimate, Phase};
use super::lanes::Lanes;
use super::searches::Search;
use super::upstreams::{UpstreamState, Work};
use crate::caches::{Holders, PrefixIndex};
use crate::names::UpstreamName;
use crate::reports::PrefixHash;
use crate::units::{Millis, Tokens};

/// Marks a cache slot that has no position in the table.
const NO_POSITION: u32 = u32::MAX;

/// `RouteRequest` holds the properties of a request that its placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The work that the request needs from an engine.
    pub work: Work,
    /// The blocks of its prompt; each hash covers all blocks up to its own.
    pub prefix: &'a [PrefixHash],
    /// When its answer must be complete, on the instance's clock.
    pub deadline: Millis,
    /// Its priority; a lower number goes first.
    pub priority: u8,
}

/// `Candidate` is an upstream with the estimate of the request there.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a Arc<UpstreamState>,
    /// The estimated duration and engine time of the request there.
    pub estimate: Estimate,
    /// The prompt tokens that have to be read there.
    pub uncached: Tokens,
}

impl Candidate<'_> {
    /// Returns the work to record at the upstream for this phase.
    pub fn work(&self, phase: Phase, work: Work) -> Work {
        match phase {
            Phase::Whole => Work { prompt: self.uncached, ..work },
            Phase::Prefill => Work { prompt: self.uncached, output: Tokens(0), tight: false },
            Phase::Decode => Work { prompt: Tokens(0), ..work },
        }
    }
}

/// `Placement` describes where a request should run.
#[derive(Clone, Copy, Debug)]
pub enum Placement<'a> {
    /// The whole request runs on one engine.
    Whole(Candidate<'a>),
    /// One engine reads (prefills) the prompt. The engine that generates is chosen once the prompt is read.
    Split {
        /// The engine that reads the prompt.
        prefill: Candidate<'a>,
        /// The estimate of generating the output afterwards.
        decode: Estimate,
    },
}

impl Placement<'_> {
    /// Returns the estimated time until the answer is complete.
    pub fn total(&self) -> Millis {
        match self {
            Placement::Whole(whole) => whole.estimate.total(),
            Placement::Split { prefill, decode } => prefill.estimate.total() + decode.total(),
        }
    }
}

/// `RouteTable` is the immutable set of upstreams that can answer requests of a service.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    pub(super) upstreams: Arc<[Arc<UpstreamState>]>,
    pub(super) options: CostOptions,
    prefixes: Option<Arc<PrefixIndex>>,
    // The position of each upstream, by its slot in the prefix index.
    pub(super) by_slot: Arc<[u32]>,
    pub(super) lanes: Arc<Lanes>,
}

impl RouteTable {
    /// Creates a table of the given upstreams.
    pub fn new(upstreams: impl IntoIterator<Item = Arc<UpstreamState>>) -> Self {
        let upstreams = upstreams.into_iter().collect();
        Self { upstreams, ..Self::default() }
    }

    /// Returns the table with other cost options.
    pub fn with_options(mut self, options: CostOptions) -> Self {
        self.options = options;
        self
    }

    /// Returns the table with a prefix index, which covers the upstreams that have a cache slot.
    pub fn with_prefixes(mut self, prefixes: Arc<PrefixIndex>) -> Self {
        let slots = || self.upstreams.iter().map(|upstream| upstream.cache_slot());
        let size = slots().flatten().map(|slot| usize::from(slot.0) + 1).max().unwrap_or(0);
        let mut by_slot = vec![NO_POSITION; size];
        for (position, slot) in slots().enumerate() {
            if let Some(slot) = slot {
                by_slot[usize::from(slot.0)] = position as u32;
            }
        }
        self.by_slot = by_slot.into();
        self.prefixes = Some(prefixes);
        self
    }

    /// Returns the table with shared lanes, whose border a `LaneBalancer` moves.
    pub fn with_lanes(mut self, lanes: Arc<Lanes>) -> Self {
        self.lanes = lanes;
        self
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> &[Arc<UpstreamState>] {
        &self.upstreams
    }

    /// Chooses the upstream for a whole request, except those in `tried`. Returns `None` if no
    /// upstream accepts work.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use anvilhook_core::names::{UpstreamName, ZoneName};
    /// use anvilhook_core::routing::{RouteRequest, RouteTable, UpstreamState, Work};
    /// use anvilhook_core::units::{Millis, Tokens};
    /// use rand_chacha::ChaCha8Rng;
    /// use rand_chacha::rand_core::SeedableRng;
    ///
    /// let zone = ZoneName::try_new("piraeus")?;
    /// let engines = ["engine-1", "engine-2"].map(|name| {
    ///     let name = UpstreamName::try_new(name).unwrap();
    ///     Arc::new(UpstreamState::new(name, "127.0.0.1:1".parse().unwrap(), zone.clone()))
    /// });
    /// let table = RouteTable::new(engines.clone());
    /// let work = Work::new(Tokens(300), Tokens(20), Millis(5_000));
    /// let req = RouteRequest { work, prefix: &[], deadline: Millis(5_000), priority: 1 };
    /// let mut rng = ChaCha8Rng::seed_from_u64(7);
    ///
    /// engines[0].begin_at(Work { prompt: Tokens(9_000), ..work }, Millis(0));
    /// let chosen = table.choose(&req, &[], Millis(1), &mut rng).unwrap();
    /// assert_eq!(chosen.name().as_str(), "engine-2");
    /// # Ok::<(), anvilhook_core::Error>(())
    /// ```
    pub fn choose(
        &self,
        req: &RouteRequest<'_>,
        tried: &[UpstreamName],
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<&Arc<UpstreamState>> {
        self.choose_for(Phase::Whole, req, tried, now, rng).map(|candidate| candidate.upstream)
    }

    /// Chooses the upstream for one phase of a request, except those in `tried`.
    pub fn choose_for(
        &self,
        phase: Phase,
        req: &RouteRequest<'_>,
        tried: &[UpstreamName],
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<Candidate<'_>> {
        let holders = self.holders(phase, req);
        let search = Search { table: self, phase, req, tried, now, holders };
        let best = search.run(rng);
        if let Some(best) = &best {
            best.upstream.record_chosen(now);
        }
        best
    }

    /// Decides whether the request should run on one engine or be split over two, and chooses them.
    pub fn place(
        &self,
        req: &RouteRequest<'_>,
        tried: &[UpstreamName],
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<Placement<'_>> {
        let whole = self.choose_for(Phase::Whole, req, tried, now, rng);
        let split = self.split(req, tried, now, rng);
        let Some(whole) = whole else { return split };
        let Some(Placement::Split { prefill, decode }) = split else {
            return Some(Placement::Whole(whole));
        };
        let time_left = req.deadline - now;
        let split_cost = prefill.estimate.then(&decode).cost(&self.options, time_left);
        let whole_cost = whole.estimate.cost(&self.options, time_left);
        if split_cost + self.options.split_gain_ms < whole_cost {
            Some(Placement::Split { prefill, decode })
        } else {
            Some(Placement::Whole(whole))
        }
    }

    fn split(
        &self,
        req: &RouteRequest<'_>,
        tried: &[UpstreamName],
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<Placement<'_>> {
        let prefill = self.choose_for(Phase::Prefill, req, tried, now, rng)?;
        let candidate = self.choose_for(Phase::Decode, req, tried, now, rng)?;
        // Both phases on one engine equal a whole request with a needless transfer.
        if Arc::ptr_eq(prefill.upstream, candidate.upstream) {
            return None;
        }
        let mut decode = candidate.estimate;
        decode.wait_ms += req.work.prompt.0 as f64 * self.options.transfer_ms_per_token;
        Some(Placement::Split { prefill, decode })
    }

    fn holders(&self, phase: Phase, req: &RouteRequest<'_>) -> Option<Holders> {
        let reads = phase != Phase::Decode && !req.prefix.is_empty();
        let prefixes = self.prefixes.as_ref().filter(|_| reads)?;
        Some(prefixes.holders(req.prefix))
    }
}
