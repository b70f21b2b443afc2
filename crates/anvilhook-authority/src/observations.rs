//! What a keeper observes, as conditions for people to read.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use anvilhook_core::authority::Wait;
use anvilhook_core::names::{PoolName, ResourceName, UpstreamName};
use anvilhook_core::resources::{Condition, ConditionState, Kind, ResourceKey};
use anvilhook_core::units::{Millis, WallTime};

/// The reasons of the conditions that keepers report. docs/CONDITIONS.md says what to do about each.
pub mod reasons {
    /// The engine is as it should be.
    pub const AS_DESIRED: &str = "AsDesired";
    /// The engine carries an order out.
    pub const ORDER_RUNNING: &str = "OrderRunning";
    /// An order whose answer was lost may still arrive.
    pub const ORDER_IN_DOUBT: &str = "OrderInDoubt";
    /// A former holder may still give orders that the engine would take.
    pub const AWAITING_PREDECESSOR: &str = "AwaitingPredecessor";
    /// The pool that ordered the engine before may still give it an order.
    pub const AWAITING_FORMER_POOL: &str = "AwaitingFormerPool";
    /// Instances have not acknowledged the drain.
    pub const AWAITING_INSTANCES: &str = "AwaitingInstances";
    /// The engine still has requests.
    pub const REQUESTS_OPEN: &str = "RequestsOpen";
    /// The lease ends too soon to give an order.
    pub const LEASE_ENDING: &str = "LeaseEnding";
    /// Too many engines of the pool are out of service.
    pub const POOL_BUSY: &str = "PoolBusy";
    /// The weight store serves as many loads as it may.
    pub const WEIGHT_STORE_BUSY: &str = "WeightStoreBusy";
    /// The engine refused the order.
    pub const ORDER_REFUSED: &str = "OrderRefused";
    /// The engine does not answer.
    pub const ENGINE_UNREACHABLE: &str = "EngineUnreachable";
    /// The table does not answer, or another write came between.
    pub const TABLE_UNAVAILABLE: &str = "TableUnavailable";
    /// The engine is being marked, recorded or closed in the table.
    pub const CHANGING: &str = "Changing";
    /// What the engine says of fencing is what is declared.
    pub const FENCING_AGREES: &str = "Agrees";
    /// The engine is declared to check fencing numbers, and says that it does not.
    pub const DECLARED_CHECKS: &str = "DeclaredChecksButIgnores";
    /// The engine is declared to ignore fencing numbers, and says that it checks them.
    pub const DECLARED_IGNORES: &str = "DeclaredIgnoresButChecks";
    /// The engine forgot the highest stamp when it restarted.
    pub const FENCE_LOST: &str = "FenceLost";
    /// The pool has a holder.
    pub const HELD: &str = "Held";
    /// Requests may go to the engine.
    pub const SERVING: &str = "Serving";
    /// The engine, or all engines of a drain plan, are drained.
    pub const DRAINED: &str = "Drained";
    /// The engine, or engines of a drain plan, are draining.
    pub const DRAINING: &str = "Draining";
    /// The pace of a drain plan does not allow the next engine yet.
    pub const PACE: &str = "Pace";
    /// One engine less would leave too few serving.
    pub const MIN_SERVING: &str = "MinServing";
}

/// `Observation` is a condition of one resource.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The resource.
    pub key: ResourceKey,
    /// What is observed of it.
    pub condition: Condition,
}

/// The least time between two reports of a condition of which only the message has changed. While
/// a drain goes on, its message changes with every acknowledgement, and each report is a write.
const MESSAGE_INTERVAL: Millis = Millis::from_secs(2);

/// `Observations` keeps the newest observations, and which of them have changed.
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

/// What is found of one aspect.
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
                     acknowledgement, or the platform's word that it is gone",
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
                "as many engines of the pool are out of service as may be".into(),
            ),
            Wait::WeightStore => {
                (reasons::WEIGHT_STORE_BUSY, "as many models load as the weight store bears".into())
            }
            Wait::Refusal => {
                (reasons::ORDER_REFUSED, "the engine refused the order; it is asked again".into())
            }
        };
        Self { state: ConditionState::False, reason, message }
    }
}

/// Returns names in one line.
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
    /// Begins a step: `wall` dates new observations, and `now` paces the reports of them.
    pub fn begin_step(&mut self, wall: WallTime, now: Millis) {
        self.wall = wall;
        self.now = now;
    }

    pub fn engine(&mut self, name: &UpstreamName, kind: &'static str, finding: Finding) {
        self.note(Kind::Engine, name.as_str(), kind, finding);
    }

    pub fn pool(&mut self, name: &PoolName, kind: &'static str, finding: Finding) {
        self.note(Kind::EnginePool, name.as_str(), kind, finding);
    }

    pub fn plan(&mut self, name: &ResourceName, kind: &'static str, finding: Finding) {
        self.note(Kind::DrainPlan, name.as_str(), kind, finding);
    }

    fn note(&mut self, kind: Kind, name: &str, aspect: &'static str, finding: Finding) {
        let Ok(name) = ResourceName::try_new(name) else { return };
        let key = (ResourceKey { kind, name }, aspect);
        let Finding { state, reason, message } = finding;
        let before = self.entries.remove(&key);
        // A condition whose state is the same has been so since then.
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

    /// Returns the observations that have changed since they were returned here last.
    pub fn take_changes(&mut self) -> Vec<Observation> {
        let now = self.now;
        let due = self.entries.iter_mut().filter(|(_, entry)| entry.is_due(now));
        due.map(|((key, _), entry)| {
            entry.reported = Some((entry.condition.clone(), now));
            Observation { key: key.clone(), condition: entry.condition.clone() }
        })
        .collect()
    }

    /// Forgets what was observed of a pool and its engines.
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
