//! The table row that stores the authority over a pool.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::owners::OrderTarget;
use crate::drains::DrainMarks;
use crate::leases::SessionRef;
use crate::names::{InstanceName, UpstreamName};
use crate::orders::{Order, Stamp, StampedOrder, Term};

/// `OpenOrder` is a recorded order that may still run or arrive.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OpenOrder {
    /// The order's stamp: its term and its number within the term.
    pub stamp: Stamp,
    /// The order itself.
    pub order: Order,
    /// All instances that may have sent this order, under this stamp or an earlier one.
    pub senders: BTreeSet<InstanceName>,
    /// Where the order is sent, if that was recorded.
    #[serde(default)]
    pub target: Option<OrderTarget>,
}

impl OpenOrder {
    /// Returns the order as it is sent to the engine.
    pub fn stamped(&self) -> StampedOrder {
        StampedOrder { stamp: self.stamp, order: self.order.clone() }
    }
}

/// `PoolRow` is the stored authority over a pool of engines.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PoolRow {
    /// The fencing number. Each take-over increments it, and none is used twice.
    pub term: Term,
    /// The session that holds the pool, if any.
    pub holder: Option<SessionRef>,
    /// The former holders that may still give an order: they have not released the pool or
    /// acknowledged a later term, and are not known to have terminated. They stay in the set over
    /// further take-overs, since the end of a successor is no evidence of its predecessor's.
    pub uncleared: BTreeSet<InstanceName>,
    /// The number of the last order recorded in this term.
    pub last_seq: u64,
    /// The open orders, at most one per engine.
    pub open: BTreeMap<UpstreamName, OpenOrder>,
    /// The engines that are draining.
    pub drains: DrainMarks,
}

/// `SessionView` is what a challenger knows of the session that holds a pool.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SessionView {
    /// Its row records that it ended, or there is no such row.
    Ended,
    /// Its row has not changed for longer than its length, on the challenger's clock.
    Lapsed,
    /// It may still be active.
    Running,
}

/// `TakeRefusal` is the reason why a pool cannot be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeRefusal {
    /// The instance holds it already.
    AlreadyHeld,
    /// The session of another holder may still be active.
    HolderRunning,
}

impl PoolRow {
    /// Returns whether a session holds the pool.
    pub fn is_held_by(&self, session: &SessionRef) -> bool {
        self.holder.as_ref() == Some(session)
    }

    /// Returns the row by which `taker` takes the pool. If the holder's session has lapsed but not
    /// ended, the caller must end it in the same transaction; otherwise the holder could renew it and
    /// act for the rest of its length.
    ///
    /// # Errors
    ///
    /// `TakeRefusal` if the pool cannot be taken.
    pub fn take(&self, taker: &SessionRef, holder: SessionView) -> Result<PoolRow, TakeRefusal> {
        if self.is_held_by(taker) {
            return Err(TakeRefusal::AlreadyHeld);
        }
        if self.holder.is_some() && holder == SessionView::Running {
            return Err(TakeRefusal::HolderRunning);
        }

        let mut row = self.clone();
        row.term = Term(self.term.0 + 1);
        row.last_seq = 0;
        let before = row.holder.replace(taker.clone());
        row.uncleared.extend(before.map(|session| session.instance));
        // The taker itself knows that it gives orders under no other term.
        row.uncleared.remove(&taker.instance);
        Ok(row)
    }

    /// Returns the row by which the holder releases the pool. The holder must have no call to an engine
    /// of the pool in progress, and make none afterwards: its successor relies on this.
    pub fn release(&self) -> PoolRow {
        PoolRow { holder: None, ..self.clone() }
    }

    /// Returns the row in which an instance is no longer among the former holders that may still
    /// give an order, or `None` if it is not among them.
    ///
    /// The caller must know that the instance released the pool, has no call in progress and uses the
    /// later term, or that it has terminated for good.
    pub fn clear(&self, instance: &InstanceName) -> Option<PoolRow> {
        let mut row = self.clone();
        row.uncleared.remove(instance).then_some(row)
    }

    /// Returns the row that records an order of the holder before it is given. It replaces an open
    /// order of the same engine and retains that order's senders.
    pub fn record(&self, engine: &UpstreamName, order: Order) -> PoolRow {
        let mut row = self.clone();
        row.last_seq += 1;
        let stamp = Stamp { term: row.term, seq: row.last_seq };
        let before = row.open.remove(engine).map(|open| open.senders);
        let mut senders = before.unwrap_or_default();
        senders.extend(row.holder.iter().map(|session| session.instance.clone()));
        row.open.insert(engine.clone(), OpenOrder { stamp, order, senders, target: None });
        row
    }

    /// Returns the row with a term above one that an engine has seen.
    pub fn raise(&self, seen: Term) -> PoolRow {
        PoolRow { term: Term(self.term.0.max(seen.0) + 1), last_seq: 0, ..self.clone() }
    }

    /// Returns the row without an engine's open order, once that is known to have ended.
    pub fn close(&self, engine: &UpstreamName) -> PoolRow {
        let mut row = self.clone();
        row.open.remove(engine);
        row
    }
}
