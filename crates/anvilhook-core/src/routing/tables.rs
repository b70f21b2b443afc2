//! The route table: which upstreams may answer, and which of them should.

use std::ops::Range;
use std::sync::Arc;

use rand::{Rng, RngExt};

use super::costs::{CostOptions, Estimate, Phase, estimate};
use super::lanes::{Lanes, home};
use super::upstreams::{UpstreamState, Work};
use crate::caches::{CacheSlot, Holders, PrefixIndex};
use crate::names::UpstreamName;
use crate::reports::{PREFIX_BLOCK_TOKENS, PrefixHash};
use crate::units::{Millis, Tokens};

/// How many upstreams are looked at for each one that is to be sampled. An upstream that takes no
/// work, or not this phase, uses up a look.
const LOOKS_PER_SAMPLE: usize = 4;

/// The time that one open request takes at an upstream that publishes no load.
const ASSUMED_REQUEST_MS: f64 = 5.0;

/// The block that stands for the prefix which a prompt shares with others. The first ones are often
/// the same for all requests of a service; a prompt that ends before it has little to save.
const HOME_BLOCK: usize = 4;

/// No place in the table.
const NOWHERE: u32 = u32::MAX;

/// `RouteRequest` is what the choice needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// What the request asks of an engine.
    pub work: Work,
    /// The blocks of its prompt, each hash standing for all blocks up to it.
    pub prefix: &'a [PrefixHash],
    /// When its answer must be whole, on the instance's clock.
    pub deadline: Millis,
    /// Its priority; the smaller goes first.
    pub priority: u8,
}

/// `Candidate` is an upstream with what the request is believed to take there.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a Arc<UpstreamState>,
    /// What the request takes there.
    pub estimate: Estimate,
    /// The prompt tokens that have to be read there.
    pub uncached: Tokens,
}

impl Candidate<'_> {
    /// Returns the work to count in at the upstream.
    pub fn work(&self, phase: Phase, work: Work) -> Work {
        match phase {
            Phase::Whole => Work { prompt: self.uncached, ..work },
            Phase::Prefill => Work { prompt: self.uncached, output: Tokens(0), tight: false },
            Phase::Decode => Work { prompt: Tokens(0), ..work },
        }
    }
}

/// `Placement` is where a request should run.
#[derive(Clone, Copy, Debug)]
pub enum Placement<'a> {
    /// All of it on one engine.
    Whole(Candidate<'a>),
    /// The prompt on one engine. The one that generates is chosen when the prompt has been read.
    Split {
        /// The engine that reads the prompt.
        prefill: Candidate<'a>,
        /// What generating is believed to take afterwards.
        decode: Estimate,
    },
}

impl Placement<'_> {
    /// Returns the time to the whole answer.
    pub fn total(&self) -> Millis {
        match self {
            Placement::Whole(whole) => whole.estimate.total(),
            Placement::Split { prefill, decode } => prefill.estimate.total() + decode.total(),
        }
    }
}

/// `RouteTable` is the immutable set of upstreams that can answer a service.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    upstreams: Arc<[Arc<UpstreamState>]>,
    options: CostOptions,
    prefixes: Option<Arc<PrefixIndex>>,
    // The place of each upstream by its slot of the prefix index.
    by_slot: Arc<[u32]>,
    lanes: Arc<Lanes>,
}

impl RouteTable {
    /// Makes a table of the given upstreams.
    pub fn new(upstreams: impl IntoIterator<Item = Arc<UpstreamState>>) -> Self {
        let upstreams = upstreams.into_iter().collect();
        Self { upstreams, ..Self::default() }
    }

    /// Returns the table with other weights of the cost.
    pub fn with_options(mut self, options: CostOptions) -> Self {
        self.options = options;
        self
    }

    /// Returns the table with knowledge of prefixes, for the upstreams that have a cache slot.
    pub fn with_prefixes(mut self, prefixes: Arc<PrefixIndex>) -> Self {
        let slots = || self.upstreams.iter().map(|upstream| upstream.cache_slot());
        let size = slots().flatten().map(|slot| usize::from(slot.0) + 1).max().unwrap_or(0);
        let mut by_slot = vec![NOWHERE; size];
        for (place, slot) in slots().enumerate() {
            if let Some(slot) = slot {
                by_slot[usize::from(slot.0)] = place as u32;
            }
        }
        self.by_slot = by_slot.into();
        self.prefixes = Some(prefixes);
        self
    }

    /// Returns the table with the border between its lanes, which others move.
    pub fn with_lanes(mut self, lanes: Arc<Lanes>) -> Self {
        self.lanes = lanes;
        self
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> &[Arc<UpstreamState>] {
        &self.upstreams
    }

    /// Chooses the upstream for a whole request, leaving out those in `tried`. Returns nothing if
    /// no upstream takes work.
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

    /// Chooses the upstream for one part of a request, leaving out those in `tried`.
    pub fn choose_for(
        &self,
        phase: Phase,
        req: &RouteRequest<'_>,
        tried: &[UpstreamName],
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<Candidate<'_>> {
        let search = Search { table: self, phase, req, tried, now };
        let holders = self.holders(phase, req);
        let best = search.run(&holders, rng);
        if let Some(best) = &best {
            best.upstream.note_chosen(now);
        }
        best
    }

    /// Decides whether the request should run on one engine or be split over two, and on which.
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
        // Two parts on one engine are a whole with a transfer.
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

/// `Search` is one choice under way.
struct Search<'a, 'r> {
    table: &'a RouteTable,
    phase: Phase,
    req: &'r RouteRequest<'r>,
    tried: &'r [UpstreamName],
    now: Millis,
}

/// The cheapest candidate so far, with its cost.
type Best<'a> = Option<(f64, Candidate<'a>)>;

impl<'a> Search<'a, '_> {
    fn run(&self, holders: &Option<Holders>, rng: &mut impl Rng) -> Option<Candidate<'a>> {
        let count = self.table.upstreams.len();
        let lane = match self.phase {
            Phase::Whole => self.table.lanes.range(self.req.work.tight, count),
            Phase::Prefill | Phase::Decode => 0..count,
        };
        let mut best = None;
        let at_home = self.add_homes(&mut best, &lane, holders, rng);
        self.add_holders(&mut best, &lane, holders, rng);
        if !at_home {
            self.add_sample(&mut best, lane, holders, rng);
        }
        // Where hardly any upstream fits, a sample may miss them all; and if all are ejected, one
        // that may fail is better than none.
        best.or_else(|| self.first_that_fits(holders, rng)).map(|(_, candidate)| candidate)
    }

    fn add_sample(
        &self,
        best: &mut Best<'a>,
        lane: Range<usize>,
        holders: &Option<Holders>,
        rng: &mut impl Rng,
    ) {
        let count = lane.len();
        if count == 0 {
            return;
        }
        let sampled = self.table.options.sampled.max(1);
        let mut left = sampled;
        // A run through the lane from a random place, in strides of a random length, looks at
        // different upstreams each time, so that instances with the same reports don't herd.
        let mut place = rng.random_range(0..count);
        let stride = if sampled < count { rng.random_range(1..count) } else { 1 };
        for _ in 0..(sampled * LOOKS_PER_SAMPLE).min(count) {
            if self.try_place(best, lane.start + place, 0.0, holders, rng) {
                left -= 1;
                if left == 0 {
                    return;
                }
            }
            place = (place + stride) % count;
        }
    }

    /// Considers the places at which the prompt's prefix is at home. Returns whether there are any.
    ///
    /// All instances send one prefix to the same few engines, before any of them is known to hold
    /// it. Spread over more, each prefix would push others out of the caches, and every engine
    /// would read all of them again and again.
    fn add_homes(
        &self,
        best: &mut Best<'a>,
        lane: &Range<usize>,
        holders: &Option<Holders>,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(block) = self.req.prefix.get(HOME_BLOCK).filter(|_| holders.is_some()) else {
            return false;
        };
        let mut any = false;
        for turn in 0..self.table.options.homes {
            let place = lane.start + home(*block, turn, lane.len());
            // A further home is for when the first has too much to do.
            let extra = if any { self.table.options.further_home_ms } else { 0.0 };
            any |= self.try_place(best, place, extra, holders, rng);
        }
        any
    }

    fn add_holders(
        &self,
        best: &mut Best<'a>,
        lane: &Range<usize>,
        holders: &Option<Holders>,
        rng: &mut impl Rng,
    ) {
        let Some(known) = holders else { return };
        for holder in known.as_slice() {
            let place = self.table.by_slot.get(usize::from(holder.slot.0));
            let place = place.map(|place| *place as usize);
            if let Some(place) = place.filter(|place| lane.contains(place)) {
                self.try_place(best, place, 0.0, holders, rng);
            }
        }
    }

    /// Considers a place if its upstream fits. Returns whether it does.
    fn try_place(
        &self,
        best: &mut Best<'a>,
        place: usize,
        extra_ms: f64,
        holders: &Option<Holders>,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(upstream) = self.table.upstreams.get(place) else { return false };
        let fits = self.fits(upstream) && self.is_well(upstream, rng);
        if fits {
            self.consider(best, upstream, extra_ms, holders);
        }
        fits
    }

    fn first_that_fits(&self, holders: &Option<Holders>, rng: &mut impl Rng) -> Best<'a> {
        let upstreams = &self.table.upstreams;
        let start = rng.random_range(0..upstreams.len().max(1));
        let (later, earlier) = (upstreams.get(start..)?.iter(), upstreams[..start].iter());
        let upstream = later.chain(earlier).find(|upstream| self.fits(upstream))?;
        let mut best = None;
        self.consider(&mut best, upstream, 0.0, holders);
        best
    }

    fn consider(
        &self,
        best: &mut Best<'a>,
        upstream: &'a Arc<UpstreamState>,
        extra_ms: f64,
        holders: &Option<Holders>,
    ) {
        let slot = upstream.cache_slot();
        let held = |slot: CacheSlot| holders.as_ref().map_or(0, |holders| holders.blocks_of(slot));
        let cached = u64::from(slot.map_or(0, held)) * PREFIX_BLOCK_TOKENS;
        let uncached = self.req.work.prompt - Tokens(cached);
        let load = upstream.load(self.now);
        let options = &self.table.options;
        let mut estimate = estimate(options, &load, self.phase, self.req.work, uncached.0 as f64);
        // Of an upstream that publishes no report only this instance's own requests are known.
        if !upstream.has_report() {
            estimate.wait_ms += upstream.open_requests() as f64 * ASSUMED_REQUEST_MS;
        }
        let cost = estimate.cost(options, self.req.deadline - self.now) + extra_ms;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            *best = Some((cost, Candidate { upstream, estimate, uncached }));
        }
    }

    fn fits(&self, upstream: &UpstreamState) -> bool {
        upstream.takes_work()
            && self.phase.fits(upstream.role())
            && !self.tried.contains(upstream.name())
    }

    fn is_well(&self, upstream: &UpstreamState, rng: &mut impl Rng) -> bool {
        let share = upstream.ejection().share(self.now);
        share >= 1.0 || (share > 0.0 && rng.random_bool(share))
    }
}
