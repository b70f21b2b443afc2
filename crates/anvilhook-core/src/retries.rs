//! The retry budget, which keeps retries from multiplying an overload.

use std::sync::atomic::{AtomicU64, Ordering};

/// The budget counts in thousandths of a retry, so that a share of one success can be added.
const MILLI_RETRY: u64 = 1_000;

/// `RetryBudgetOptions` says how many retries may be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries earned by one success, from 0 to 1.
    pub share: f64,
    /// The most retries that can be saved up. It also bounds how old the successes are that a
    /// retry is paid with. A new budget starts with this many.
    pub max_saved: u32,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self { share: 0.1, max_saved: 10 }
    }
}

/// `RetryBudget` allows retries as a share of recent successes.
///
/// Without it an upstream that fails under load would get each failed request again, and so more
/// load the more it fails. One would notice attempts growing while answers shrink. Here retries end
/// when successes do.
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
    /// Makes a full budget.
    pub fn new(options: &RetryBudgetOptions) -> Self {
        let max_saved = u64::from(options.max_saved) * MILLI_RETRY;
        let earned_by_success = (options.share.clamp(0.0, 1.0) * MILLI_RETRY as f64) as u64;
        Self { earned_by_success, max_saved, saved: AtomicU64::new(max_saved) }
    }

    /// Counts a whole answer.
    pub fn record_success(&self) {
        let earn = |saved: u64| Some((saved + self.earned_by_success).min(self.max_saved));
        let _ = self.saved.fetch_update(Ordering::AcqRel, Ordering::Acquire, earn);
    }

    /// Takes one retry out of the budget. Returns false if there is none, and then the failure has
    /// to be passed on with its verdict.
    pub fn try_take(&self) -> bool {
        let take = |saved: u64| saved.checked_sub(MILLI_RETRY);
        self.saved.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }

    /// Returns how many retries could be made now.
    pub fn saved(&self) -> u64 {
        self.saved.load(Ordering::Acquire) / MILLI_RETRY
    }
}
