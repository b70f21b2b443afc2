//! This instance's paths to an upstream: its own network path, and the one through other instances.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use anvilhook_core::paths::{Path, relapses_after};
use anvilhook_core::units::Millis;
use tokio::sync::watch;

/// The minimum time between two checks of one path. Each failed request asks for one.
const MIN_CHECK_INTERVAL: Millis = Millis(250);

/// `UpstreamPath` is what this instance knows about how it reaches an upstream.
#[derive(Debug, Default)]
pub struct UpstreamPath {
    /// When the upstream last answered over this instance's own path. Zero if it has not.
    contact_at: AtomicU64,
    path: watch::Sender<Path>,
    /// When the path was last restored. Zero if it never was.
    restored_at: AtomicU64,
    /// How many times in a row the path has broken again soon after that.
    relapses: AtomicU32,
    is_checked: AtomicBool,
    /// When the last check of the path ended. Zero if there was none.
    checked_at: AtomicU64,
}

impl UpstreamPath {
    /// Records that the upstream has answered over this instance's own path.
    pub fn record_contact(&self, now: Millis) {
        self.contact_at.fetch_max(now.0.max(1), Ordering::AcqRel);
    }

    /// Returns the time since the upstream last answered over this instance's own path, `None` if it has not.
    pub fn contact_age(&self, now: Millis) -> Option<Millis> {
        let at = self.contact_at.load(Ordering::Acquire);
        (at > 0).then(|| now - Millis(at))
    }

    /// Returns whether the upstream has answered over this instance's own path within a time.
    pub(crate) fn has_contact_within(&self, time: Millis, now: Millis) -> bool {
        self.contact_age(now).is_some_and(|age| age < time)
    }

    /// Returns how this instance reaches the upstream.
    pub fn current(&self) -> Path {
        *self.path.borrow()
    }

    /// Records how this instance reaches the upstream. Returns the path before, if that is a change.
    pub fn replace(&self, path: Path, now: Millis) -> Option<Path> {
        let mut before = None;
        self.path.send_if_modified(|known| {
            before = (*known != path).then(|| std::mem::replace(known, path));
            before.is_some()
        });
        if before.is_some() && path == Path::Direct {
            self.restored_at.store(now.0.max(1), Ordering::Release);
        } else if before == Some(Path::Direct) {
            let restored_at = self.restored_at.load(Ordering::Acquire);
            let restored_at = (restored_at > 0).then_some(Millis(restored_at));
            let relapses = relapses_after(self.relapses(), restored_at, now);
            self.relapses.store(relapses, Ordering::Release);
        }
        before
    }

    /// Returns how many times in a row the path has broken again soon after it was restored.
    pub fn relapses(&self) -> u32 {
        self.relapses.load(Ordering::Acquire)
    }

    /// Records that a check of this path begins. Returns false if one is in progress or has just ended.
    pub(crate) fn begin_check(&self, now: Millis) -> bool {
        let checked_at = self.checked_at.load(Ordering::Acquire);
        let is_due = checked_at == 0 || now >= Millis(checked_at) + MIN_CHECK_INTERVAL;
        is_due && !self.is_checked.swap(true, Ordering::AcqRel)
    }

    /// Records that the check of this path has ended.
    pub(crate) fn end_check(&self, now: Millis) {
        self.checked_at.store(now.0.max(1), Ordering::Release);
        self.is_checked.store(false, Ordering::Release);
    }

    /// Waits until this instance's open connections to the upstream transfer nothing any more, while other
    /// instances reach it.
    pub(crate) async fn is_silent(&self) {
        let mut path = self.path.subscribe();
        // The sender is a part of `self`, so it exists as long as this call.
        let _ = path.wait_for(|path| *path == Path::IndirectOnly).await;
    }
}
