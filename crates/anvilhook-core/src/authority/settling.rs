//! Whether an open order is done, dead, or still to be reckoned with.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::decisions::EngineFacts;
use super::rows::{OpenOrder, PoolRow};
use crate::names::InstanceName;
use crate::orders::Stamp;
use crate::resources::Fencing;
use crate::units::Millis;

/// `SettleOptions` bounds how long an order can be on its way.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SettleOptions {
    /// The longest time after its sender gave up on an order, closing the connection, in which the
    /// engine may still come to read it.
    pub delivery_bound_ms: Millis,
}

impl Default for SettleOptions {
    fn default() -> Self {
        Self { delivery_bound_ms: Millis(2_000) }
    }
}

/// `OrderCall` is what this process knows of its own call that gave an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderCall {
    /// The engine accepted it.
    Accepted,
    /// The engine cannot have taken it: it refused, or no byte of it was sent.
    NotTaken,
    /// The answer was lost, and the connection was closed at this time.
    InDoubt(Millis),
}

/// `GivenOrder` is an order that this process gave, and what came of the call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GivenOrder {
    /// Its stamp.
    pub stamp: Stamp,
    /// What came of the call.
    pub call: OrderCall,
}

/// `OrderStatus` says what is known of an open order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum OrderStatus {
    /// This holder has recorded it and not given it yet.
    NotGiven,
    /// The engine carries it out.
    Running,
    /// It has ended: carried out, refused, lost in a crash, or fenced off.
    Ended,
    /// It may still arrive, until this time on the clock of this process.
    InDoubt(Millis),
    /// A former holder that nothing is known of may still give it, and the engine refuses it only
    /// after a later stamp: the same order must be given anew under this term.
    Unfenced,
    /// Former holders that nothing is known of may still give it, and the engine would take it.
    AwaitingSenders(BTreeSet<InstanceName>),
}

/// Returns what is known of an open order of the pool.
pub fn settle(
    row: &PoolRow,
    open: &OpenOrder,
    facts: &EngineFacts<'_>,
    options: &SettleOptions,
) -> OrderStatus {
    if facts.state.running_order.is_some() {
        return OrderStatus::Running;
    }

    let at_large: BTreeSet<InstanceName> =
        open.senders.intersection(&row.uncleared).cloned().collect();
    let sole_sender = open.senders.len() <= 1;
    if facts.state.last_stamp >= open.stamp {
        // A single copy has arrived, and cannot arrive again. Further copies, of former holders,
        // are fenced off at an engine that checks, and may still arrive at one that does not.
        let fenced_off = facts.fencing == Fencing::Checks;
        if sole_sender || fenced_off {
            return OrderStatus::Ended;
        }
        if at_large.is_empty() {
            return in_doubt(facts.uncleared_since, facts, options);
        }
        return OrderStatus::AwaitingSenders(at_large);
    }

    let given = facts.given.filter(|given| given.stamp == open.stamp);
    if open.stamp.term == row.term && given.is_none() {
        return OrderStatus::NotGiven;
    }
    if !at_large.is_empty() {
        return match facts.fencing {
            Fencing::Checks => OrderStatus::Unfenced,
            Fencing::Ignores => OrderStatus::AwaitingSenders(at_large),
        };
    }

    // All other senders have given up, at the latest when the last of them was cleared.
    let others_gave_up_at = facts.uncleared_since;
    match given.map(|given| given.call) {
        // The engine accepted it and yet shows nothing of it: its process was started anew.
        Some(OrderCall::Accepted | OrderCall::NotTaken) if sole_sender => OrderStatus::Ended,
        Some(OrderCall::InDoubt(gave_up_at)) => {
            in_doubt(gave_up_at.max(others_gave_up_at), facts, options)
        }
        _ => in_doubt(others_gave_up_at, facts, options),
    }
}

fn in_doubt(since: Millis, facts: &EngineFacts<'_>, options: &SettleOptions) -> OrderStatus {
    let until = since + options.delivery_bound_ms;
    // The state must have been read after the last time at which the order could arrive.
    if facts.read_at < until { OrderStatus::InDoubt(until) } else { OrderStatus::Ended }
}
