//! One choice of an upstream: which places of the route table are looked at, and what each would cost.

use std::ops::Range;
use std::sync::Arc;

use rand::{Rng, RngExt};

use super::costs::{Phase, estimate};
use super::lanes::home;
use super::tables::{Candidate, RouteRequest, RouteTable};
use super::upstreams::UpstreamState;
use crate::caches::{CacheSlot, Holders};
use crate::names::UpstreamName;
use crate::reports::PREFIX_BLOCK_TOKENS;
use crate::units::{Millis, Tokens};

/// How many upstreams are looked at for each one that is to be sampled. An upstream that takes no
/// work, or not this phase, uses up a look.
const LOOKS_PER_SAMPLE: usize = 4;

/// The time that one open request takes at an upstream that publishes no load.
const ASSUMED_REQUEST_MS: f64 = 5.0;

/// The block that stands for the prefix which a prompt shares with others. The first ones are often
/// the same for all requests of a service; a prompt that ends before it has little to save.
const HOME_BLOCK: usize = 4;

/// `Search` is one choice under way.
pub(super) struct Search<'a, 'r> {
    pub table: &'a RouteTable,
    pub phase: Phase,
    pub req: &'r RouteRequest<'r>,
    pub tried: &'r [UpstreamName],
    pub now: Millis,
    /// Which engines are believed to hold the prompt's prefix, if it is to be read and that is known.
    pub holders: Option<Holders>,
}

/// The cheapest candidate so far, with its cost.
type Best<'a> = Option<(f64, Candidate<'a>)>;

impl<'a> Search<'a, '_> {
    /// Returns the upstream at which the work is believed to cost least, of those that are looked at.
    pub fn run(&self, rng: &mut impl Rng) -> Option<Candidate<'a>> {
        let count = self.table.upstreams.len();
        let lane = match self.phase {
            Phase::Whole => self.table.lanes.range(self.req.work.tight, count),
            Phase::Prefill | Phase::Decode => 0..count,
        };
        let mut best = None;
        let at_home = self.add_homes(&mut best, &lane, rng);
        self.add_holders(&mut best, &lane, rng);
        if !at_home {
            self.add_sample(&mut best, lane, rng);
        }
        // Where hardly any upstream fits, a sample may miss them all; and if all are ejected, one
        // that may fail is better than none.
        best.or_else(|| self.first_that_fits(rng)).map(|(_, candidate)| candidate)
    }

    fn add_sample(&self, best: &mut Best<'a>, lane: Range<usize>, rng: &mut impl Rng) {
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
            if self.try_place(best, lane.start + place, 0.0, rng) {
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
    fn add_homes(&self, best: &mut Best<'a>, lane: &Range<usize>, rng: &mut impl Rng) -> bool {
        let Some(block) = self.req.prefix.get(HOME_BLOCK).filter(|_| self.holders.is_some()) else {
            return false;
        };
        let mut any = false;
        for turn in 0..self.table.options.homes {
            let place = lane.start + home(*block, turn, lane.len());
            // A further home is for when the first has too much to do.
            let extra = if any { self.table.options.further_home_ms } else { 0.0 };
            any |= self.try_place(best, place, extra, rng);
        }
        any
    }

    fn add_holders(&self, best: &mut Best<'a>, lane: &Range<usize>, rng: &mut impl Rng) {
        let Some(known) = &self.holders else { return };
        for holder in known.as_slice() {
            let place = self.table.by_slot.get(usize::from(holder.slot.0));
            let place = place.map(|place| *place as usize);
            if let Some(place) = place.filter(|place| lane.contains(place)) {
                self.try_place(best, place, 0.0, rng);
            }
        }
    }

    /// Considers a place if its upstream fits. Returns whether it does.
    fn try_place(
        &self,
        best: &mut Best<'a>,
        place: usize,
        extra_ms: f64,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(upstream) = self.table.upstreams.get(place) else { return false };
        let fits = self.fits(upstream) && self.is_well(upstream, rng);
        if fits {
            self.consider(best, upstream, extra_ms);
        }
        fits
    }

    fn first_that_fits(&self, rng: &mut impl Rng) -> Best<'a> {
        let upstreams = &self.table.upstreams;
        let start = rng.random_range(0..upstreams.len().max(1));
        let (later, earlier) = (upstreams.get(start..)?.iter(), upstreams[..start].iter());
        let upstream = later.chain(earlier).find(|upstream| self.fits(upstream))?;
        let mut best = None;
        self.consider(&mut best, upstream, 0.0);
        best
    }

    fn consider(&self, best: &mut Best<'a>, upstream: &'a Arc<UpstreamState>, extra_ms: f64) {
        let slot = upstream.cache_slot();
        let held =
            |slot: CacheSlot| self.holders.as_ref().map_or(0, |holders| holders.blocks_of(slot));
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
