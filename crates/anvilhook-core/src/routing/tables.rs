//! The route table: which upstreams may answer, and which of them should.

use std::sync::Arc;

use rand::{Rng, RngExt};

use super::upstreams::{UpstreamState, Work};
use crate::names::UpstreamName;
use crate::reports::PrefixHash;
use crate::units::Millis;

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

/// `RouteTable` is the immutable set of upstreams that can answer a service.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    upstreams: Arc<[Arc<UpstreamState>]>,
}

impl RouteTable {
    /// Makes a table of the given upstreams.
    pub fn new(upstreams: impl IntoIterator<Item = Arc<UpstreamState>>) -> Self {
        Self { upstreams: upstreams.into_iter().collect() }
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> &[Arc<UpstreamState>] {
        &self.upstreams
    }

    /// Chooses the upstream for a request, leaving out those in `tried`. Returns nothing if no
    /// upstream takes work.
    pub fn choose(
        &self,
        _req: &RouteRequest<'_>,
        tried: &[UpstreamName],
        _now: Millis,
        rng: &mut impl Rng,
    ) -> Option<&Arc<UpstreamState>> {
        let fits = |upstream: &&Arc<UpstreamState>| {
            upstream.takes_work() && !tried.contains(upstream.name())
        };
        let open = self.upstreams.iter().filter(fits);
        open.min_by_key(|upstream| (upstream.open_requests(), rng.random::<u32>()))
    }
}
