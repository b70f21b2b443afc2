//! The retry budget: limits extra arrivals, which are the arrivals of a request at upstreams beyond its first
//! one.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use anvilhook_core::units::Millis;
use arc_swap::ArcSwap;

/// `BudgetOptions` bounds extra arrivals in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// The extra arrivals allowed for each request in the window.
    pub share: f64,
    /// The extra arrivals allowed in the window in addition, for all instances together.
    pub spare: f64,
    /// The window's length.
    pub window: Millis,
}

/// The parts of a bound on extra arrivals that are used. The bound is checked over windows that differ from
/// those of the instances, so an instance's window may hold a third more requests than the checked one.
/// Also, an instance that restarts no longer knows how much it used before.
const USED_SHARE: f64 = 0.62;
const USED_SPARE: f64 = 0.33;

impl BudgetOptions {
    /// Returns the budget that stays within a bound of `share` extra arrivals for each request and `spare`
    /// in addition, in any window.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_gateway::budgets::BudgetOptions;
    ///
    /// let budget = BudgetOptions::within(0.2, 60.0, Millis(10_000));
    /// assert!(budget.share < 0.2 && budget.spare < 60.0);
    /// ```
    pub fn within(share: f64, spare: f64, window: Millis) -> Self {
        Self { share: share * USED_SHARE, spare: spare * USED_SPARE, window }
    }
}

#[derive(Debug, Default)]
struct Tally {
    requests: VecDeque<Millis>,
    extras: VecDeque<Millis>,
}

/// `Budget` counts, for each service, the requests and the extra arrivals of a sliding window.
///
/// The bound applies to all instances together. Each one enforces it for its own requests alone, so that the
/// sum stays within the bound even if instances receive nothing from each other. The shares of the
/// instances' own requests add up to the share of all requests, and the spare part is divided by the number
/// of listed instances.
#[derive(Debug)]
pub struct Budget {
    options: ArcSwap<BudgetOptions>,
    tallies: Mutex<HashMap<Arc<str>, Tally>>,
}

impl Budget {
    /// Creates a budget with nothing counted.
    pub fn new(options: BudgetOptions) -> Self {
        Self { options: ArcSwap::from_pointee(options), tallies: Mutex::default() }
    }

    /// Replaces the bounds and retains the counts.
    pub fn set_options(&self, options: BudgetOptions) {
        self.options.store(Arc::new(options));
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &Arc<str>, now: Millis) {
        self.with(service, now, |tally| tally.requests.push_back(now));
    }

    /// Takes one extra arrival from this instance's part of the budget, which depends on the number of
    /// instances. Returns false if none is left.
    pub fn try_take(&self, service: &Arc<str>, instances: usize, now: Millis) -> bool {
        self.with(service, now, |tally| {
            let earned = self.earned(tally, instances);
            let fits = (tally.extras.len() + 1) as f64 <= earned;
            if fits {
                tally.extras.push_back(now);
            }
            fits
        })
    }

    /// Refunds the newest extra arrival, because it reached no upstream.
    pub fn give_back(&self, service: &Arc<str>, now: Millis) {
        self.with(service, now, |tally| tally.extras.pop_back());
    }

    /// Returns how many extra arrivals are left now.
    pub fn left(&self, service: &Arc<str>, instances: usize, now: Millis) -> f64 {
        self.with(service, now, |tally| self.earned(tally, instances) - tally.extras.len() as f64)
    }

    fn earned(&self, tally: &Tally, instances: usize) -> f64 {
        let options = self.options.load();
        let spare = options.spare / instances.max(1) as f64;
        tally.requests.len() as f64 * options.share + spare
    }

    fn with<T>(&self, service: &Arc<str>, now: Millis, f: impl FnOnce(&mut Tally) -> T) -> T {
        let mut tallies = self.tallies.lock().expect("no panic under this lock");
        let tally = tallies.entry(Arc::clone(service)).or_default();
        let from = now - self.options.load().window;
        for times in [&mut tally.requests, &mut tally.extras] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
        f(tally)
    }
}
