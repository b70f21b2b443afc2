//! Counts requests as in flight at an upstream.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::fleets::Upstream;
use crate::relay::FreedSignal;

/// `Held` counts a request as in flight at an upstream until it is dropped.
#[derive(Debug)]
pub struct Held {
    upstream: Arc<Upstream>,
    reading_us: u64,
    fetching_us: u64,
    freed: Option<FreedSignal>,
}

impl Held {
    /// Counts a request that needs a slot but neither reading nor fetching.
    pub fn new(upstream: Arc<Upstream>) -> Self {
        Self::with_work(upstream, 0.0, 0.0)
    }

    /// Counts a request with the time to read and to fetch its prompt, in milliseconds.
    pub fn with_work(upstream: Arc<Upstream>, reading_ms: f64, fetching_ms: f64) -> Self {
        let (reading_us, fetching_us) = ((reading_ms * 1e3) as u64, (fetching_ms * 1e3) as u64);
        upstream.state.in_flight.fetch_add(1, Ordering::AcqRel);
        upstream.state.reading_us.fetch_add(reading_us, Ordering::AcqRel);
        upstream.state.fetching_us.fetch_add(fetching_us, Ordering::AcqRel);
        Self { upstream, reading_us, fetching_us, freed: None }
    }

    /// Wakes waiting requests by `freed` once this request no longer counts as in flight.
    pub(crate) fn waking(mut self, freed: FreedSignal) -> Self {
        self.freed = Some(freed);
        self
    }

    /// Returns the upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Records that the prompt has been read and fetched.
    pub fn reading_done(&mut self) {
        let reading_us = std::mem::take(&mut self.reading_us);
        let fetching_us = std::mem::take(&mut self.fetching_us);
        self.upstream.state.reading_us.fetch_sub(reading_us, Ordering::AcqRel);
        self.upstream.state.fetching_us.fetch_sub(fetching_us, Ordering::AcqRel);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.reading_done();
        self.upstream.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
