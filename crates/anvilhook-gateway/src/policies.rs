//! Switches for the rules that apply under overload: waiting, rejection, placement and role changes.

use serde::Deserialize;

/// `Policy` selects the rules that are active. With a rule switched off, requests are served as if it did
/// not exist, so that an operator can rule it out as a cause.
///
/// ```
/// use anvilhook_gateway::policies::Policy;
///
/// let policy = Policy { slow_start: false, ..Policy::default() };
/// assert!(policy.reading_lanes && !policy.slow_start);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default = "Policy::deployed", deny_unknown_fields)]
pub struct Policy {
    /// The number of instances from which slow start, the waiting queue and changes of surplus engines apply.
    /// Among fewer, each instance learns of the others' requests at once, and these rules gain nothing.
    pub min_instances: usize,
    /// Whether the fixed latency of readings and the speed of each upstream are learnt.
    pub learnt_speeds: bool,
    /// Whether part of the reading engines is reserved for short prompts.
    pub reading_lanes: bool,
    /// Whether a new or reopened upstream is open to a growing share of the instances.
    pub slow_start: bool,
    /// Whether all engines that are not needed in their role may change it at once.
    pub surplus_role_changes: bool,
    /// Whether client accounts share a service fairly while it has too little capacity.
    pub fair_shares: bool,
    /// Whether waiting requests are queued in one order, and rejected by the predicted wait.
    pub waiting_queue: bool,
    /// Whether engines of different software versions may use each other's KV caches.
    pub caches_across_versions: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            min_instances: 0,
            learnt_speeds: true,
            reading_lanes: true,
            slow_start: true,
            surplus_role_changes: true,
            fair_shares: true,
            waiting_queue: true,
            caches_across_versions: false,
        }
    }
}

impl Policy {
    /// Returns the policy of a deployment whose settings select nothing. The rules that did not serve callers
    /// better on every deployment measured are off.
    pub fn deployed() -> Self {
        Self {
            min_instances: 14,
            surplus_role_changes: false,
            waiting_queue: false,
            ..Self::default()
        }
    }

    /// Returns the policy that is in force among `instances` instances.
    ///
    /// ```
    /// use anvilhook_gateway::policies::Policy;
    ///
    /// assert!(!Policy::deployed().among(9).slow_start);
    /// assert!(Policy::deployed().among(63).slow_start);
    /// ```
    pub fn among(self, instances: usize) -> Self {
        if instances >= self.min_instances {
            return self;
        }
        Self { slow_start: false, waiting_queue: false, surplus_role_changes: false, ..self }
    }
}
