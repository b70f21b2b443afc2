//! The budget for arrivals beyond the first of each request.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use anvilhook_core::units::Millis;

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
    options: BudgetOptions,
    tallies: Mutex<HashMap<Arc<str>, Tally>>,
}

impl Budget {
    /// Makes a budget with nothing counted.
    pub fn new(options: BudgetOptions) -> Self {
        Self { options, tallies: Mutex::default() }
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

    /// Returns how many extra arrivals are left now.
    pub fn left(&self, service: &Arc<str>, instances: usize, now: Millis) -> f64 {
        self.with(service, now, |tally| self.earned(tally, instances) - tally.extras.len() as f64)
    }

    fn earned(&self, tally: &Tally, instances: usize) -> f64 {
        let spare = self.options.spare / instances.max(1) as f64;
        tally.requests.len() as f64 * self.options.share + spare
    }

    fn with<T>(&self, service: &Arc<str>, now: Millis, f: impl FnOnce(&mut Tally) -> T) -> T {
        let mut tallies = self.tallies.lock().expect("no panic under this lock");
        let tally = tallies.entry(Arc::clone(service)).or_default();
        let from = now - self.options.window;
        for times in [&mut tally.requests, &mut tally.extras] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
        f(tally)
    }
}
