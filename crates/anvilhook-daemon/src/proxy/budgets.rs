//! The retry budget: retries are a share of recent successes.

use std::sync::atomic::{AtomicU64, Ordering};

/// One retry, in the units that the budget counts.
const RETRY: u64 = 1_000;

/// What a success adds: one retry for five successes.
const PER_SUCCESS: u64 = RETRY / 5;

/// The most retries that are saved up, so that a long quiet time can't pay for a storm of them.
const MAX_SAVED: u64 = 20 * RETRY;

/// `RetryBudget` bounds the retries of one service.
///
/// When all upstreams of a service fail, each request would be sent as often as it may be retried,
/// and the load on what is left would multiply. The budget lets retries pass only as long as most
/// requests succeed.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicU64,
}

impl RetryBudget {
    /// Starts with all that can be saved.
    pub fn new() -> Self {
        Self { saved: AtomicU64::new(MAX_SAVED) }
    }

    /// Counts a success.
    pub fn succeeded(&self) {
        // A full budget is the common case and needs no write.
        if self.saved.load(Ordering::Relaxed) >= MAX_SAVED {
            return;
        }
        let add = |saved: u64| Some((saved + PER_SUCCESS).min(MAX_SAVED));
        let _ = self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry, or says that there is none.
    ///
    /// ```
    /// use anvilhook_daemon::proxy::RetryBudget;
    ///
    /// let budget = RetryBudget::new();
    /// while budget.try_take() {}
    /// (0..5).for_each(|_| budget.succeeded());
    /// assert!(budget.try_take());
    /// assert!(!budget.try_take());
    /// ```
    pub fn try_take(&self) -> bool {
        let take = |saved: u64| saved.checked_sub(RETRY);
        self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
