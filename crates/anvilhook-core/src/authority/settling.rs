//! Determines whether an open order has ended or may still take effect.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::decisions::EngineFacts;
use super::rows::{OpenOrder, PoolRow};
use crate::names::InstanceName;
use crate::orders::Stamp;
use crate::resources::Fencing;
use crate::units::Millis;

/// `SettleOptions` bounds how long an order can take to arrive.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SettleOptions {
    /// The longest time in which an engine may still read an order after its sender has stopped waiting
    /// for the answer and closed the connection.
    pub delivery_bound_ms: Millis,
}

impl Default for SettleOptions {
    fn default() -> Self {
        Self { delivery_bound_ms: Millis(2_000) }
    }
}

/// `OrderCall` is the outcome of this process's own call that gave an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderCall {
    /// The engine accepted it.
    Accepted,
    /// The engine cannot have accepted it: it refused, or no byte of the order was sent.
    NotTaken,
    /// The answer was lost, and the connection was closed at this time.
    InDoubt(Millis),
}

/// `GivenOrder` is an order that this process gave, and the outcome of the call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GivenOrder {
    /// Its stamp.
    pub stamp: Stamp,
    /// The outcome of the call.
    pub call: OrderCall,
}

/// `OrderStatus` is the status of an open order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum OrderStatus {
    /// This holder has recorded it but not given it yet.
    NotGiven,
    /// The engine is carrying it out.
    Running,
    /// It has ended: carried out, refused, lost in a crash, or fenced off.
    Ended,
    /// It may still arrive until this time on the clock of this process.
    InDoubt(Millis),
    /// An uncleared former holder may still give it, and the engine refuses that only after a later
    /// stamp: the same order must be given again under this term.
    Unfenced,
    /// These uncleared former holders may still give it, and the engine would accept it.
    AwaitingSenders(BTreeSet<InstanceName>),
}

/// Returns the status of an open order of the pool.
pub fn settle(
    row: &PoolRow,
    open: &OpenOrder,
    facts: &EngineFacts<'_>,
    options: &SettleOptions,
) -> OrderStatus {
    if facts.state.running_order.is_some() {
        return OrderStatus::Running;
    }

    let uncleared_senders: BTreeSet<InstanceName> =
        open.senders.intersection(&row.uncleared).cloned().collect();
    let sole_sender = open.senders.len() <= 1;
    if facts.state.last_stamp >= open.stamp {
        // A single copy has arrived and cannot arrive again. Further copies from former holders are
        // fenced off at an engine that checks, and may still arrive at one that does not.
        let fenced_off = facts.fencing == Fencing::Checks;
        if sole_sender || fenced_off {
            return OrderStatus::Ended;
        }
        if uncleared_senders.is_empty() {
            return in_doubt(facts.uncleared_since, facts, options);
        }
        return OrderStatus::AwaitingSenders(uncleared_senders);
    }

    let given = facts.given.filter(|given| given.stamp == open.stamp);
    if open.stamp.term == row.term && given.is_none() {
        return OrderStatus::NotGiven;
    }
    if !uncleared_senders.is_empty() {
        return match facts.fencing {
            Fencing::Checks => OrderStatus::Unfenced,
            Fencing::Ignores => OrderStatus::AwaitingSenders(uncleared_senders),
        };
    }

    // All other senders stopped waiting at the latest when the last of them was cleared.
    let others_closed_at = facts.uncleared_since;
    match given.map(|given| given.call) {
        // The engine accepted the order but shows no trace of it, so its process was restarted.
        Some(OrderCall::Accepted | OrderCall::NotTaken) if sole_sender => OrderStatus::Ended,
        Some(OrderCall::InDoubt(closed_at)) => {
            in_doubt(closed_at.max(others_closed_at), facts, options)
        }
        _ => in_doubt(others_closed_at, facts, options),
    }
}

fn in_doubt(since: Millis, facts: &EngineFacts<'_>, options: &SettleOptions) -> OrderStatus {
    let until = since + options.delivery_bound_ms;
    // The state must have been read after the last time at which the order could arrive.
    if facts.read_at < until { OrderStatus::InDoubt(until) } else { OrderStatus::Ended }
}
