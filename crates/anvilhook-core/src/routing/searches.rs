//! Chooses an upstream: selects the positions of the route table to check and compares their costs.

use std::ops::Range;
use std::sync::Arc;

use rand::{Rng, RngExt};

use super::costs::{Phase, estimate};
use super::lanes::preferred_position;
use super::tables::{Candidate, RouteRequest, RouteTable};
use super::upstreams::UpstreamState;
use crate::caches::{CacheSlot, Holders};
use crate::names::UpstreamName;
use crate::reports::PREFIX_BLOCK_TOKENS;
use crate::units::{Millis, Tokens};

/// How many upstreams are checked for each one that is to be sampled. An upstream that accepts no
/// work, or not this phase, uses up a check.
const CHECKS_PER_SAMPLE: usize = 4;

/// The assumed duration of one open request at an upstream that publishes no load.
const ASSUMED_REQUEST_MS: f64 = 5.0;

/// The index of the prompt block whose hash selects the preferred engines. The first blocks are often
/// the same for all requests of a service, and a prompt that ends before this block gains little from
/// a cache.
const AFFINITY_BLOCK: usize = 4;

/// `Search` holds the inputs of one choice.
pub(super) struct Search<'a, 'r> {
    pub table: &'a RouteTable,
    pub phase: Phase,
    pub req: &'r RouteRequest<'r>,
    pub tried: &'r [UpstreamName],
    pub now: Millis,
    /// The engines that are assumed to hold the prompt's prefix, if the phase reads the prompt and
    /// they are known.
    pub holders: Option<Holders>,
}

/// The cheapest candidate so far, with its cost.
type Best<'a> = Option<(f64, Candidate<'a>)>;

impl<'a> Search<'a, '_> {
    /// Returns the upstream with the lowest estimated cost among those that are checked.
    pub fn run(&self, rng: &mut impl Rng) -> Option<Candidate<'a>> {
        let count = self.table.upstreams.len();
        let lane = match self.phase {
            Phase::Whole => self.table.lanes.range(self.req.work.tight, count),
            Phase::Prefill | Phase::Decode => 0..count,
        };
        let mut best = None;
        let has_preferred = self.add_preferred(&mut best, &lane, rng);
        self.add_holders(&mut best, &lane, rng);
        if !has_preferred {
            self.add_sample(&mut best, lane, rng);
        }
        // If very few upstreams fit, a sample may miss them all. If all of them are ejected, one that
        // may fail is better than none.
        best.or_else(|| self.first_that_fits(rng)).map(|(_, candidate)| candidate)
    }

    fn add_sample(&self, best: &mut Best<'a>, lane: Range<usize>, rng: &mut impl Rng) {
        let count = lane.len();
        if count == 0 {
            return;
        }
        let sampled = self.table.options.sampled.max(1);
        let mut left = sampled;
        // Going through the lane from a random position in strides of a random length checks
        // different upstreams each time, so that instances with the same reports don't all choose the
        // same one.
        let mut position = rng.random_range(0..count);
        let stride = if sampled < count { rng.random_range(1..count) } else { 1 };
        for _ in 0..(sampled * CHECKS_PER_SAMPLE).min(count) {
            if self.try_position(best, lane.start + position, 0.0, rng) {
                left -= 1;
                if left == 0 {
                    return;
                }
            }
            position = (position + stride) % count;
        }
    }

    /// Considers the preferred engines of the prompt's prefix. Returns whether any of them fits.
    ///
    /// All instances send a prefix to the same few engines, even before any of these is known to
    /// hold it. If prefixes were spread over more engines, they would evict each other from the
    /// caches, and every engine would read all of them again and again.
    fn add_preferred(&self, best: &mut Best<'a>, lane: &Range<usize>, rng: &mut impl Rng) -> bool {
        let Some(block) = self.req.prefix.get(AFFINITY_BLOCK).filter(|_| self.holders.is_some())
        else {
            return false;
        };
        let mut any = false;
        for rank in 0..self.table.options.preferred_engines {
            let position = lane.start + preferred_position(*block, rank, lane.len());
            // A further preferred engine is only for the time when the first one is overloaded.
            let extra = if any { self.table.options.further_preferred_ms } else { 0.0 };
            any |= self.try_position(best, position, extra, rng);
        }
        any
    }

    fn add_holders(&self, best: &mut Best<'a>, lane: &Range<usize>, rng: &mut impl Rng) {
        let Some(known) = &self.holders else { return };
        for holder in known.as_slice() {
            let position = self.table.by_slot.get(usize::from(holder.slot.0));
            let position = position.map(|position| *position as usize);
            if let Some(position) = position.filter(|position| lane.contains(position)) {
                self.try_position(best, position, 0.0, rng);
            }
        }
    }

    /// Considers the upstream at a position if it fits and is healthy. Returns whether it was
    /// considered.
    fn try_position(
        &self,
        best: &mut Best<'a>,
        position: usize,
        extra_ms: f64,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(upstream) = self.table.upstreams.get(position) else { return false };
        let fits = self.fits(upstream) && self.is_healthy(upstream, rng);
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
        // For an upstream that publishes no report, only this instance's own requests are known.
        if !upstream.has_report() {
            estimate.wait_ms += upstream.open_requests() as f64 * ASSUMED_REQUEST_MS;
        }
        let cost = estimate.cost(options, self.req.deadline - self.now) + extra_ms;
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            *best = Some((cost, Candidate { upstream, estimate, uncached }));
        }
    }

    fn fits(&self, upstream: &UpstreamState) -> bool {
        upstream.takes_work()
            && self.phase.fits(upstream.role())
            && !self.tried.contains(upstream.name())
    }

    fn is_healthy(&self, upstream: &UpstreamState, rng: &mut impl Rng) -> bool {
        let share = upstream.ejection().share(self.now);
        share >= 1.0 || (share > 0.0 && rng.random_bool(share))
    }
}
