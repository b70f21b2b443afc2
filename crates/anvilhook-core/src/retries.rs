//! The retry budget prevents retries from multiplying an overload.

use std::sync::atomic::{AtomicU64, Ordering};

/// One retry in the unit of the budget, thousandths, so that the share that one success earns can be
/// added.
const MILLI_RETRY: u64 = 1_000;

/// `RetryBudgetOptions` bounds the number of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries earned by one success, from 0 to 1.
    pub share: f64,
    /// The maximum number of saved retries, and the number in a new budget. It also bounds the age of
    /// the successes that a retry is paid with.
    pub max_saved: u32,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self { share: 0.1, max_saved: 10 }
    }
}

/// `RetryBudget` allows retries as a share of recent successes.
///
/// Without a budget, an upstream that fails under load would get every failed request again, and
/// therefore more load the more it fails: the number of attempts would grow while the number of answers
/// shrinks. With the budget, retries end when successes end.
///
/// ```
/// use anvilhook_core::retries::{RetryBudget, RetryBudgetOptions};
///
/// let budget = RetryBudget::new(&RetryBudgetOptions { share: 0.5, max_saved: 1 });
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// budget.record_success();
/// budget.record_success();
/// assert!(budget.try_take());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    earned_by_success: u64,
    max_saved: u64,
    saved: AtomicU64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(options: &RetryBudgetOptions) -> Self {
        let max_saved = u64::from(options.max_saved) * MILLI_RETRY;
        let earned_by_success = (options.share.clamp(0.0, 1.0) * MILLI_RETRY as f64) as u64;
        Self { earned_by_success, max_saved, saved: AtomicU64::new(max_saved) }
    }

    /// Records a complete answer.
    pub fn record_success(&self) {
        let earn = |saved: u64| Some((saved + self.earned_by_success).min(self.max_saved));
        let _ = self.saved.fetch_update(Ordering::AcqRel, Ordering::Acquire, earn);
    }

    /// Takes one retry out of the budget. Returns false if there is none; the caller must then return
    /// the failure with its verdict.
    pub fn try_take(&self) -> bool {
        let take = |saved: u64| saved.checked_sub(MILLI_RETRY);
        self.saved.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }

    /// Returns the number of retries that are available now.
    pub fn saved(&self) -> u64 {
        self.saved.load(Ordering::Acquire) / MILLI_RETRY
    }
}
