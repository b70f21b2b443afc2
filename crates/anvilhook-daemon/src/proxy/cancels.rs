//! Guards that release and cancel an attempt when its request ends, including when the request's
//! task is dropped halfway.

use std::sync::Arc;
use std::sync::atomic::{Ordering, fence};

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::routing::{UpstreamState, Work};
use anvilhook_core::units::Millis;
use anvilhook_engine::Upstreams;

/// `Held` counts a request as in flight at an upstream until it is dropped.
#[derive(Debug)]
pub struct Held {
    upstream: Arc<UpstreamState>,
    work: Work,
}

impl Held {
    /// Counts a request as in flight, or returns `None` if the upstream accepts no work.
    ///
    /// A drain marks the upstream first and then reads the count. If a request checked the mark
    /// before it was counted, the drain could see nothing in flight while the request still went to
    /// an engine that is being changed. So the request is counted first, and the fence prevents the
    /// two steps from being reordered; `in_flight_at` has the fence of the other side.
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
/// If the upstream was marked as leaving before the call, zero means that no further request will
/// begin there: a request that is counted later sees the mark and goes elsewhere.
pub fn in_flight_at(upstream: &UpstreamState) -> u64 {
    fence(Ordering::SeqCst);
    upstream.open_requests()
}

/// `Running` is an attempt that may be running at an upstream. Dropping it cancels the attempt
/// there.
///
/// When a caller disconnects, the task that serves it is dropped at any await. Without the cancel,
/// the engine would go on generating an answer that no caller reads.
#[derive(Debug)]
pub struct Running<U: Upstreams> {
    upstreams: U,
    attempt: AttemptId,
    held: Option<Held>,
    cancels: bool,
}

impl<U: Upstreams> Running<U> {
    /// Creates the guard of an attempt. `cancels` is whether the upstream can cancel attempts.
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

    /// Records that the attempt has ended at the upstream, so that there is nothing to cancel.
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

        // The attempt counts as in flight until the engine has answered the cancel.
        let (upstreams, attempt) = (self.upstreams.clone(), self.attempt);
        runtime.spawn(async move {
            let engine = held.upstream();
            if let Err(err) = upstreams.cancel(engine.address(), attempt).await {
                log::debug!("cancelling attempt {attempt} at {} failed: {err}", engine.name());
            }
        });
    }
}
