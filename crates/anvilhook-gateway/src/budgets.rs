//! The budget for arrivals beyond the first of each request.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use anvilhook_core::units::Millis;
use arc_swap::ArcSwap;

/// `BudgetOptions` bounds extra arrivals in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Extra arrivals for each request in the window.
    pub share: f64,
    /// Extra arrivals in the window beside, of all instances together.
    pub spare: f64,
    /// The window's length.
    pub window: Millis,
}

/// What is used of a bound on extra arrivals. The windows of whoever checks it and of the instances
/// are not the same, so that a window of an instance may hold a third more requests than those that
/// count; and an instance that starts anew has forgotten what it used before.
const USED_SHARE: f64 = 0.62;
const USED_SPARE: f64 = 0.33;

impl BudgetOptions {
    /// Returns the budget that keeps a bound of `share` extra arrivals for each request and `spare`
    /// beside, in any window.
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
/// The bound holds for all instances together. Each one keeps it for its own requests alone, so
/// that the sum keeps it whether or not they hear one another: a share of one's own requests adds up
/// to the share of all, and the spare part is divided by the number of instances that are listed.
#[derive(Debug)]
pub struct Budget {
    options: ArcSwap<BudgetOptions>,
    tallies: Mutex<HashMap<Arc<str>, Tally>>,
}

impl Budget {
    /// Makes a budget with nothing counted.
    pub fn new(options: BudgetOptions) -> Self {
        Self { options: ArcSwap::from_pointee(options), tallies: Mutex::default() }
    }

    /// Puts other bounds in force. What was counted stays.
    pub fn set_options(&self, options: BudgetOptions) {
        self.options.store(Arc::new(options));
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &Arc<str>, now: Millis) {
        self.with(service, now, |tally| tally.requests.push_back(now));
    }

    /// Takes one extra arrival out of the budget of one among so many instances. Returns false if
    /// there is none.
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

    /// Gives the newest extra arrival back: it did not arrive.
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
