//! The controller's observations, which are reported to operators as conditions.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use anvilhook_core::authority::Wait;
use anvilhook_core::names::{PoolName, ResourceName, UpstreamName};
use anvilhook_core::resources::{Condition, ConditionState, Kind, ResourceKey};
use anvilhook_core::units::{Millis, WallTime};

/// The reasons of the conditions that controllers report. docs/CONDITIONS.md describes what to do
/// about each.
pub mod reasons {
    /// The engine is in the desired state.
    pub const AS_DESIRED: &str = "AsDesired";
    /// The engine is carrying out an order.
    pub const ORDER_RUNNING: &str = "OrderRunning";
    /// An order whose answer was lost may still arrive.
    pub const ORDER_IN_DOUBT: &str = "OrderInDoubt";
    /// A former holder may still give orders that the engine would accept.
    pub const AWAITING_PREDECESSOR: &str = "AwaitingPredecessor";
    /// The engine's former pool may still give it an order.
    pub const AWAITING_FORMER_POOL: &str = "AwaitingFormerPool";
    /// Instances have not acknowledged the drain.
    pub const AWAITING_INSTANCES: &str = "AwaitingInstances";
    /// The engine still has open requests.
    pub const REQUESTS_OPEN: &str = "RequestsOpen";
    /// The lease ends too soon to give an order.
    pub const LEASE_ENDING: &str = "LeaseEnding";
    /// Too many engines of the pool are out of service.
    pub const POOL_BUSY: &str = "PoolBusy";
    /// The weight store serves its maximum number of loads.
    pub const WEIGHT_STORE_BUSY: &str = "WeightStoreBusy";
    /// The engine refused the order.
    pub const ORDER_REFUSED: &str = "OrderRefused";
    /// The engine does not answer.
    pub const ENGINE_UNREACHABLE: &str = "EngineUnreachable";
    /// The table does not answer.
    pub const TABLE_UNAVAILABLE: &str = "TableUnavailable";
    /// A drain mark or an order of the engine is being written to the table, or another write changed
    /// the row first.
    pub const CHANGING: &str = "Changing";
    /// The engine reports the same fencing as is declared.
    pub const FENCING_AGREES: &str = "Agrees";
    /// The engine is declared to check fencing numbers, but reports that it does not.
    pub const DECLARED_CHECKS: &str = "DeclaredChecksButIgnores";
    /// The engine is declared to ignore fencing numbers, but reports that it checks them.
    pub const DECLARED_IGNORES: &str = "DeclaredIgnoresButChecks";
    /// The engine lost the highest stamp in a restart.
    pub const FENCE_LOST: &str = "FenceLost";
    /// The pool has a holder.
    pub const HELD: &str = "Held";
    /// Requests may be routed to the engine.
    pub const SERVING: &str = "Serving";
    /// The engine, or all engines of a drain plan, are drained.
    pub const DRAINED: &str = "Drained";
    /// The engine, or engines of a drain plan, are draining.
    pub const DRAINING: &str = "Draining";
    /// The pace of a drain plan does not allow the next engine yet.
    pub const PACE: &str = "Pace";
    /// With one engine less, too few of the pool would be serving.
    pub const MIN_SERVING: &str = "MinServing";
}

/// `Observation` is a condition of one resource.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The resource.
    pub key: ResourceKey,
    /// The observed condition.
    pub condition: Condition,
}

/// The minimum time between two reports of a condition of which only the message has changed. During
/// a drain the message changes with every acknowledgement, and each report is a write.
const MESSAGE_INTERVAL: Millis = Millis::from_secs(2);

/// `Observations` stores the newest observations and tracks which of them have changed.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    entries: BTreeMap<(ResourceKey, &'static str), Entry>,
    wall: WallTime,
    now: Millis,
}

#[derive(Debug)]
struct Entry {
    condition: Condition,
    reported: Option<(Condition, Millis)>,
}

impl Entry {
    /// Returns whether the condition should be reported now.
    fn is_due(&self, now: Millis) -> bool {
        let Some((reported, at)) = &self.reported else { return true };
        let same =
            reported.state == self.condition.state && reported.reason == self.condition.reason;
        *reported != self.condition && (!same || now >= *at + MESSAGE_INTERVAL)
    }
}

/// `Finding` is the state that was found for one aspect of a resource.
pub(crate) struct Finding {
    pub state: ConditionState,
    pub reason: &'static str,
    pub message: String,
}

impl Finding {
    pub fn new(holds: bool, reason: &'static str, message: impl Into<String>) -> Self {
        let state = if holds { ConditionState::True } else { ConditionState::False };
        Self { state, reason, message: message.into() }
    }

    /// Returns the finding for an engine whose change waits.
    pub fn of_wait(wait: &Wait) -> Self {
        let (reason, message) = match wait {
            Wait::OrderRunning => (reasons::ORDER_RUNNING, "an order is being carried out".into()),
            Wait::OrderInDoubt(_) => (
                reasons::ORDER_IN_DOUBT,
                "the answer to an order was lost, and it may still arrive".into(),
            ),
            Wait::Predecessor(names) => (
                reasons::AWAITING_PREDECESSOR,
                format!(
                    "{} held the pool before and may still give an order; waiting for a release, an \
                     acknowledgement, or the platform's report that it has terminated",
                    list(names)
                ),
            ),
            Wait::Instances(names) => {
                (reasons::AWAITING_INSTANCES, format!("not yet acknowledged by {}", list(names)))
            }
            Wait::OpenRequests(count) => {
                (reasons::REQUESTS_OPEN, format!("{count} requests are open at the engine"))
            }
            Wait::LeaseEnding => (
                reasons::LEASE_ENDING,
                "the lease ends too soon to give an order, unless it is renewed".into(),
            ),
            Wait::Pool => (
                reasons::POOL_BUSY,
                "no more engines of the pool may be out of service at once".into(),
            ),
            Wait::WeightStore => {
                (reasons::WEIGHT_STORE_BUSY, "the weight store serves its maximum of loads".into())
            }
            Wait::Refusal => {
                (reasons::ORDER_REFUSED, "the engine refused the order, to be given again".into())
            }
        };
        Self { state: ConditionState::False, reason, message }
    }
}

/// Returns the names as one comma-separated line.
pub(crate) fn list(names: &BTreeSet<impl Display>) -> String {
    names.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

/// The types of conditions.
pub(crate) mod kinds {
    pub const SETTLED: &str = "Settled";
    pub const FENCING: &str = "FencingAgrees";
    pub const AUTHORITY: &str = "Authority";
    pub const DRAINED: &str = "Drained";
    pub const SERVING: &str = "Serving";
}

impl Observations {
    /// Begins a step: `wall` dates new observations, and `now` determines when they are reported.
    pub fn begin_step(&mut self, wall: WallTime, now: Millis) {
        self.wall = wall;
        self.now = now;
    }

    pub fn engine(&mut self, name: &UpstreamName, kind: &'static str, finding: Finding) {
        self.record(Kind::Engine, name.as_str(), kind, finding);
    }

    pub fn pool(&mut self, name: &PoolName, kind: &'static str, finding: Finding) {
        self.record(Kind::EnginePool, name.as_str(), kind, finding);
    }

    pub fn plan(&mut self, name: &ResourceName, kind: &'static str, finding: Finding) {
        self.record(Kind::DrainPlan, name.as_str(), kind, finding);
    }

    fn record(&mut self, kind: Kind, name: &str, aspect: &'static str, finding: Finding) {
        let Ok(name) = ResourceName::try_new(name) else { return };
        let key = (ResourceKey { kind, name }, aspect);
        let Finding { state, reason, message } = finding;
        let before = self.entries.remove(&key);
        // If the state is unchanged, the condition keeps the time since which it has applied.
        let same = before.as_ref().filter(|old| old.condition.state == state);
        let since = same.map_or(self.wall, |old| old.condition.since);
        let reason = reason.to_owned();
        let condition = Condition { kind: aspect.to_owned(), state, reason, message, since };
        let reported = before.and_then(|old| old.reported);
        self.entries.insert(key, Entry { condition, reported });
    }

    /// Returns all observations.
    pub fn all(&self) -> Vec<Observation> {
        let entries = self.entries.iter();
        entries
            .map(|((key, _), entry)| Observation {
                key: key.clone(),
                condition: entry.condition.clone(),
            })
            .collect()
    }

    /// Returns the observations that have changed since this last returned them.
    pub fn take_changes(&mut self) -> Vec<Observation> {
        let now = self.now;
        let due = self.entries.iter_mut().filter(|(_, entry)| entry.is_due(now));
        due.map(|((key, _), entry)| {
            entry.reported = Some((entry.condition.clone(), now));
            Observation { key: key.clone(), condition: entry.condition.clone() }
        })
        .collect()
    }

    /// Removes the observations of a pool and its engines.
    pub fn forget<'a>(&mut self, pool: &PoolName, engines: impl Iterator<Item = &'a str>) {
        let engines: BTreeSet<&str> = engines.collect();
        let keeps = |key: &ResourceKey| match key.kind {
            Kind::EnginePool => key.name.as_str() != pool.as_str(),
            Kind::Engine => !engines.contains(key.name.as_str()),
            _ => true,
        };
        self.entries.retain(|(key, _), _| keeps(key));
    }
}
