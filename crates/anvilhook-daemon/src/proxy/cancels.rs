//! What must happen when a request ends, also when its task is dropped half-way.

use std::sync::Arc;
use std::sync::atomic::{Ordering, fence};

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::routing::{UpstreamState, Work};
use anvilhook_core::units::Millis;
use anvilhook_engine::Upstreams;

/// `Held` counts a request in at an upstream until it is dropped.
#[derive(Debug)]
pub struct Held {
    upstream: Arc<UpstreamState>,
    work: Work,
}

impl Held {
    /// Counts a request in, unless the upstream takes no work.
    ///
    /// A drain marks the upstream first and then reads the count. If a request looked for the mark
    /// before it was counted, both could miss each other: the drain would see nothing in flight and
    /// the request would go to an engine that is being changed. So the count comes first here, and
    /// the fence keeps the two from being reordered; `in_flight_at` has the other one.
    pub fn try_new(upstream: &Arc<UpstreamState>, work: Work, now: Millis) -> Option<Self> {
        upstream.begin_at(work, now);
        let held = Self { upstream: Arc::clone(upstream), work };
        fence(Ordering::SeqCst);
        held.upstream.takes_work().then_some(held)
    }

    /// Returns the upstream.
    pub fn upstream(&self) -> &Arc<UpstreamState> {
        &self.upstream
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.upstream.end(self.work);
    }
}

/// Returns how many requests of this instance are in flight at an upstream.
///
/// Asked after the upstream was marked as leaving, zero means that none will begin: a request that
/// is counted in later sees the mark and goes elsewhere.
pub fn in_flight_at(upstream: &UpstreamState) -> u64 {
    fence(Ordering::SeqCst);
    upstream.open_requests()
}

/// `Running` is an attempt that may be running at an engine. Dropping it cancels the attempt there.
///
/// A caller that goes away drops the task that serves it, at any await. Without the cancel the
/// engine would generate an answer that nobody reads.
#[derive(Debug)]
pub struct Running<U: Upstreams> {
    upstreams: U,
    attempt: AttemptId,
    held: Option<Held>,
    cancels: bool,
}

impl<U: Upstreams> Running<U> {
    /// Starts an attempt. Only `cancels` those that an engine can cancel.
    pub fn new(upstreams: U, attempt: AttemptId, held: Held, cancels: bool) -> Self {
        Self { upstreams, attempt, held: Some(held), cancels }
    }

    /// Returns the attempt's id.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Returns the upstream at which the attempt runs.
    pub fn upstream(&self) -> &Arc<UpstreamState> {
        let held = self.held.as_ref().expect("an attempt is held until it is dropped");
        held.upstream()
    }

    /// Says that the attempt has ended at the upstream, so that nothing is left to cancel.
    pub fn ended(&mut self) {
        self.cancels = false;
    }
}

impl<U: Upstreams> Drop for Running<U> {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else { return };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        if !self.cancels {
            return;
        }

        // The attempt stays counted in until the engine has heard of the cancel.
        let (upstreams, attempt) = (self.upstreams.clone(), self.attempt);
        runtime.spawn(async move {
            let engine = held.upstream();
            if let Err(err) = upstreams.cancel(engine.address(), attempt).await {
                log::debug!("attempt {attempt} not cancelled at {}: {err}", engine.name());
            }
        });
    }
}
