//! The retry budget: limits extra arrivals, which are the arrivals of a request at upstreams beyond its first
//! one.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use anvilhook_core::demand_shares::Demand;
use anvilhook_core::units::Millis;
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::hashes::hash_of;

/// The span of which an instance reports its requests, and how long a report is used. Of its own requests an instance
/// counts those of the span before: requests that come to all instances at the same moment would otherwise seem to each
/// of them to be all there are.
const REPORT_SPAN: Millis = Millis(2_000);

/// How many times the spare part may be taken within a window while shares change.
const TRANSITION_FACTOR: f64 = 1.5;

/// The maximum number of instances whose reports are stored.
const MAX_REPORTERS: usize = 1_024;

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

impl Tally {
    /// Returns how many requests have arrived since a time.
    fn requests_since(&self, from: Millis) -> usize {
        self.requests.len() - self.requests.partition_point(|at| *at < from)
    }

    /// Returns how many extra arrivals in the window its requests have not earned.
    fn spare_taken(&self, options: &BudgetOptions) -> f64 {
        (self.extras.len() as f64 - self.requests.len() as f64 * options.share).max(0.0)
    }
}

/// `Budget` counts, for each service, the requests and the extra arrivals of a sliding window.
///
/// The bound applies to all instances together. Each one enforces it for its own requests alone, so that the
/// sum stays within the bound even if instances receive nothing from each other. The shares of the
/// instances' own requests add up to the share of all requests, and the spare part is divided among the listed
/// instances by the requests that they report to each other.
///
/// If most requests come to one instance after the other, each would take most of the spare part in its turn. So an
/// instance also leaves alone what others have taken: all of them together take at most [`TRANSITION_FACTOR`] times the
/// spare part in a window, and their equal parts. What is not used of the bound, see [`USED_SPARE`], leaves room for that.
#[derive(Debug)]
pub struct Budget {
    options: ArcSwap<BudgetOptions>,
    tallies: Mutex<HashMap<Arc<str>, Tally>>,
    /// The requests of other instances, by the numbers of their processes.
    reports: Mutex<HashMap<u64, DemandReport>>,
}

/// `ServiceDemand` is what an instance reports of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// 16 bits of the hash of the service's name. With two services of the same bits, shares are less exact.
    pub service: u16,
    /// The requests that the instance got in the last [`REPORT_SPAN`].
    pub requests: u32,
    /// The part of the spare arrivals that it has taken in the window.
    pub spare_taken: u32,
}

fn service_bits(service: &str) -> u16 {
    hash_of(service) as u16
}

#[derive(Debug)]
struct DemandReport {
    received_at: Millis,
    services: Vec<ServiceDemand>,
}

impl DemandReport {
    fn of(&self, service: u16) -> Option<&ServiceDemand> {
        self.services.iter().find(|one| one.service == service)
    }
}

impl Budget {
    /// Creates a budget with nothing counted.
    pub fn new(options: BudgetOptions) -> Self {
        let options = ArcSwap::from_pointee(options);
        Self { options, tallies: Mutex::default(), reports: Mutex::default() }
    }

    /// Replaces the bounds and retains the counts.
    pub fn set_options(&self, options: BudgetOptions) {
        self.options.store(Arc::new(options));
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &Arc<str>, now: Millis) {
        self.with(service, now, |tally| tally.requests.push_back(now));
    }

    /// Returns how many requests this instance has got for each service, for the other instances.
    pub(crate) fn own_demand(&self, now: Millis) -> Vec<ServiceDemand> {
        let options = self.options.load();
        let tallies = self.tallies.lock().expect("no panic under this lock");
        let demand = tallies.iter().map(|(service, tally)| ServiceDemand {
            service: service_bits(service),
            requests: tally.requests_since(now - REPORT_SPAN) as u32,
            spare_taken: tally.spare_taken(&options).ceil() as u32,
        });
        demand.filter(|one| one.requests > 0 || one.spare_taken > 0).collect()
    }

    /// Records what another instance reports of its requests.
    pub(crate) fn record_report(&self, from: u64, services: Vec<ServiceDemand>, now: Millis) {
        let window = self.options.load().window;
        let mut reports = self.reports.lock().expect("no panic under this lock");
        reports.retain(|_, report| report.received_at + window > now);
        if reports.len() < MAX_REPORTERS || reports.contains_key(&from) {
            reports.insert(from, DemandReport { received_at: now, services });
        }
    }

    /// Returns how much of the spare part this instance may use for a service.
    fn spare(&self, service: &Arc<str>, tally: &Tally, instances: usize, now: Millis) -> f64 {
        let options = self.options.load();
        let since = |spans: u64| tally.requests_since(now - REPORT_SPAN * spans);
        let own = since(2) - since(1);
        let mut demand = Demand { own: own as u64, others: 0, known_others: 0, instances };
        let (service, mut taken_by_others) = (service_bits(service), 0.0);
        let reports = self.reports.lock().expect("no panic under this lock");
        for report in reports.values().filter(|one| one.received_at + options.window > now) {
            let of_service = report.of(service);
            taken_by_others += of_service.map_or(0.0, |one| f64::from(one.spare_taken));
            if report.received_at + REPORT_SPAN > now {
                demand.others += of_service.map_or(0, |one| u64::from(one.requests));
                demand.known_others += 1;
            }
        }
        let left = (options.spare * TRANSITION_FACTOR - taken_by_others).max(0.0);
        let least = options.spare * demand.equal_part();
        (options.spare * demand.share()).min(left).max(least)
    }

    /// Takes one extra arrival from this instance's part of the budget, which depends on the number of
    /// instances and on the requests that they get. Returns false if none is left.
    pub fn try_take(&self, service: &Arc<str>, instances: usize, now: Millis) -> bool {
        self.with(service, now, |tally| {
            let earned = self.earned(service, tally, instances, now);
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
        self.with(service, now, |tally| {
            self.earned(service, tally, instances, now) - tally.extras.len() as f64
        })
    }

    fn earned(&self, service: &Arc<str>, tally: &Tally, instances: usize, now: Millis) -> f64 {
        let spare = self.spare(service, tally, instances, now);
        tally.requests.len() as f64 * self.options.load().share + spare
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
