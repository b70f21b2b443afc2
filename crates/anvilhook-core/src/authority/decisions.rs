//! Decides the next step for one engine of a pool.

use std::collections::BTreeSet;

use super::rows::PoolRow;
use super::settling::{GivenOrder, OrderStatus, SettleOptions, settle};
use crate::drains::{DrainCause, DrainProgress};
use crate::names::{InstanceName, UpstreamName};
use crate::orders::{EngineState, Order, StampedOrder, Term};
use crate::resources::Fencing;
use crate::units::Millis;

/// `EngineFacts` is what the holder of a pool knows of one engine when it decides.
#[derive(Clone, Debug)]
pub struct EngineFacts<'a> {
    /// The engine.
    pub engine: &'a UpstreamName,
    /// Its effective fencing, see `effective_fencing`.
    pub fencing: Fencing,
    /// Its state, read after the pool's row and after the acknowledgements in `drain`.
    pub state: &'a EngineState,
    /// When the request that read the state was sent.
    pub read_at: Millis,
    /// When this process first saw the row with its current set of uncleared former holders.
    pub uncleared_since: Millis,
    /// The last order that this process gave to the engine.
    pub given: Option<GivenOrder>,
    /// The desired state of the engine, as orders. Orders that its state already meets are skipped.
    pub desired: &'a [Order],
    /// The progress of its drain.
    pub drain: DrainProgress,
    /// Whether enough of the lease is left to give an order now.
    pub may_order: bool,
    /// Whether one more engine of the pool may be taken out of service.
    pub may_drain: bool,
    /// Whether the weight store has room for one more load.
    pub may_load: bool,
    /// Whether the engine refused an order recently, so that the next one must wait.
    pub recently_refused: bool,
}

/// `Wait` is what an engine's change waits for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Wait {
    /// The engine is carrying out an order.
    OrderRunning,
    /// An order whose answer was lost may still arrive until this time.
    OrderInDoubt(Millis),
    /// Former holders may still give an order that the engine would accept.
    Predecessor(BTreeSet<InstanceName>),
    /// These instances have not acknowledged the drain.
    Instances(BTreeSet<InstanceName>),
    /// The engine still reports this many requests.
    OpenRequests(u64),
    /// The lease ends too soon for an order and must be renewed first.
    LeaseEnding,
    /// Too many engines of the pool are out of service.
    Pool,
    /// The weight store serves its maximum number of loads.
    WeightStore,
    /// The engine refused the order, which is given again later.
    Refusal,
}

/// `Decision` is the next step for one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The engine is in the desired state.
    Idle,
    /// Nothing can be done now.
    Wait(Wait),
    /// Raise the pool's term above the one that the engine has seen.
    RaiseTerm(Term),
    /// Mark the engine as draining for a change.
    Mark,
    /// Let the engine serve again.
    Unmark,
    /// Record the order in the table. It is given only after the record is confirmed.
    Record(Order),
    /// Give the recorded order.
    Give(StampedOrder),
    /// Remove the ended order from the table.
    Close,
}

/// Returns whether an engine's state meets what an order asks for.
pub fn is_met(order: &Order, state: &EngineState) -> bool {
    match order {
        Order::SetRole { role } => state.role == *role,
        Order::LoadModel { model } => state.model.as_ref() == Some(model),
        Order::LoadAdapter { adapter } => state.adapters.contains(adapter),
    }
}

/// Returns whether an order takes the engine out of service while it runs.
fn needs_drain(order: &Order) -> bool {
    match order {
        Order::SetRole { .. } | Order::LoadModel { .. } => true,
        Order::LoadAdapter { .. } => false,
    }
}

/// Returns the next step for an engine of a pool that the caller holds. `row` is the row of that pool.
pub fn decide(row: &PoolRow, facts: &EngineFacts<'_>, options: &SettleOptions) -> Decision {
    // If a table loses its rows, terms start again, and the engine has seen later ones. If instead a
    // successor has taken the pool, the row has changed and the write of the raised term fails.
    let seen = facts.state.last_stamp.term;
    if seen > row.term {
        return Decision::RaiseTerm(seen);
    }

    match row.open.get(facts.engine) {
        Some(open) => match settle(row, open, facts, options) {
            OrderStatus::Running => Decision::Wait(Wait::OrderRunning),
            OrderStatus::InDoubt(until) => Decision::Wait(Wait::OrderInDoubt(until)),
            OrderStatus::AwaitingSenders(names) => Decision::Wait(Wait::Predecessor(names)),
            OrderStatus::Ended => Decision::Close,
            _ if !facts.may_order => Decision::Wait(Wait::LeaseEnding),
            OrderStatus::Unfenced => Decision::Record(open.order.clone()),
            OrderStatus::NotGiven => Decision::Give(open.stamped()),
        },
        None => decide_next(row, facts),
    }
}

/// Returns the next step for an engine that has no open order.
fn decide_next(row: &PoolRow, facts: &EngineFacts<'_>) -> Decision {
    if facts.state.running_order.is_some() {
        return Decision::Wait(Wait::OrderRunning);
    }
    let marked = row.drains.is_marked_for(facts.engine, &DrainCause::Change);
    let wanted = facts.desired.iter().find(|order| !is_met(order, facts.state));
    let Some(wanted) = wanted else {
        return if marked { Decision::Unmark } else { Decision::Idle };
    };

    // While no order is open, the engine may serve until its change can proceed, since the wait may be
    // long.
    let unmark_or = |wait| if marked { Decision::Unmark } else { Decision::Wait(wait) };
    if facts.fencing == Fencing::Ignores && !row.uncleared.is_empty() {
        return unmark_or(Wait::Predecessor(row.uncleared.clone()));
    }
    if facts.recently_refused {
        return unmark_or(Wait::Refusal);
    }
    if matches!(wanted, Order::LoadModel { .. }) && !facts.may_load {
        return unmark_or(Wait::WeightStore);
    }

    if needs_drain(wanted) {
        if !marked {
            return if facts.may_drain { Decision::Mark } else { Decision::Wait(Wait::Pool) };
        }
        match &facts.drain {
            DrainProgress::NotMarked => return Decision::Mark,
            DrainProgress::AwaitingInstances(names) => {
                return Decision::Wait(Wait::Instances(names.clone()));
            }
            DrainProgress::Acknowledged => {}
        }
        if facts.state.open_requests > 0 {
            return Decision::Wait(Wait::OpenRequests(facts.state.open_requests));
        }
    }
    if facts.may_order {
        Decision::Record(wanted.clone())
    } else {
        Decision::Wait(Wait::LeaseEnding)
    }
}
