//! Divides a common budget among instances by how many requests each of them gets.
//!
//! Designed for: a load balancer that for seconds gives most requests to one of several hundred instances. Messages between
//! the instances may be lost, and the sum over all must stay within the budget all the same.
//!
//! An instance divides with those whose requests it knows. The others keep equal parts, so that instances which know
//! nothing of each other add up to the budget. Each instance keeps a part of the budget whatever it gets, for the time until
//! the others know of its requests.

/// The part of the budget that is divided equally.
const EQUAL_PART: f64 = 0.25;

/// `Demand` is what an instance knows of the requests that all instances get.
///
/// ```
/// use anvilhook_core::demand_shares::Demand;
///
/// let busy = Demand { own: 90, others: 10, known_others: 4, instances: 5 };
/// assert!((busy.share() - 0.725).abs() < 1e-9);
/// let alone = Demand { known_others: 0, others: 0, ..busy };
/// assert!((alone.share() - 0.2).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// The requests that this instance has got in the window.
    pub own: u64,
    /// The requests that the others have got, as far as they are known.
    pub others: u64,
    /// How many other instances have reported recently what they got.
    pub known_others: usize,
    /// The number of all instances, including this one.
    pub instances: usize,
}

impl Demand {
    /// Returns this instance's share of the budget.
    pub fn share(&self) -> f64 {
        let instances = self.instances.max(1);
        let known = (self.known_others + 1).min(instances) as f64;
        let by_demand = match self.own + self.others {
            0 => 1.0 / known,
            all => self.own as f64 / all as f64,
        };
        self.equal_part() + (1.0 - EQUAL_PART) * known / instances as f64 * by_demand
    }

    /// Returns the part of its share that each instance has whatever it gets.
    pub fn equal_part(&self) -> f64 {
        EQUAL_PART / self.instances.max(1) as f64
    }
}
