//! The row that holds a pool's authority.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::owners::OrderTarget;
use crate::drains::DrainMarks;
use crate::leases::SessionRef;
use crate::names::{InstanceName, UpstreamName};
use crate::orders::{Order, Stamp, StampedOrder, Term};

/// `OpenOrder` is an order that has been recorded and is not known to be done or dead.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OpenOrder {
    /// Its authority and place.
    pub stamp: Stamp,
    /// What is asked.
    pub order: Order,
    /// All instances that may have this order, under this stamp or an earlier one, on its way.
    pub senders: BTreeSet<InstanceName>,
    /// Where it goes, if that was recorded.
    #[serde(default)]
    pub target: Option<OrderTarget>,
}

impl OpenOrder {
    /// Returns the order as it goes to the engine.
    pub fn stamped(&self) -> StampedOrder {
        StampedOrder { stamp: self.stamp, order: self.order.clone() }
    }
}

/// `PoolRow` is the authority over a pool of engines, as it is stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PoolRow {
    /// The fencing number. Each take-over takes the next, and none is used twice.
    pub term: Term,
    /// The session that holds the pool, if any.
    pub holder: Option<SessionRef>,
    /// The former holders that may still give an order, because they neither released the pool nor
    /// acknowledged a later term nor are gone. The set outlives further take-overs: a successor's
    /// end says nothing of its predecessor's.
    pub uncleared: BTreeSet<InstanceName>,
    /// The number of the last order recorded in this term.
    pub last_seq: u64,
    /// The open orders, at most one for each engine.
    pub open: BTreeMap<UpstreamName, OpenOrder>,
    /// The engines that drain.
    pub drains: DrainMarks,
}

/// `SessionView` is what a challenger knows of the session that holds a pool.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SessionView {
    /// Its row says that it ended, or there is no such row.
    Ended,
    /// Its row has not changed for longer than its length, on the challenger's clock.
    Lapsed,
    /// It may go on.
    Running,
}

/// `TakeRefusal` says why a pool cannot be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeRefusal {
    /// The instance holds it already.
    AlreadyHeld,
    /// Another's session may go on.
    HolderRunning,
}

impl PoolRow {
    /// Returns whether a session holds the pool.
    pub fn is_held_by(&self, session: &SessionRef) -> bool {
        self.holder.as_ref() == Some(session)
    }

    /// Returns the row by which `taker` takes the pool. Where the holder's session has lapsed but
    /// not ended, the caller must end it in the same transaction; else the holder could renew it
    /// and go on for the rest of its length.
    ///
    /// # Errors
    ///
    /// Says why the pool cannot be taken.
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
        // The taker knows of itself that it gives orders under no other term.
        row.uncleared.remove(&taker.instance);
        Ok(row)
    }

    /// Returns the row by which the holder gives the pool up. It must have no call to an engine of
    /// the pool under way, and make none afterwards: its successor takes this as evidence.
    pub fn release(&self) -> PoolRow {
        PoolRow { holder: None, ..self.clone() }
    }

    /// Returns the row in which an instance is no longer among the former holders that may still
    /// give an order, or `None` if it is not among them.
    ///
    /// The caller must know that the instance released the pool, has no call under way and goes by
    /// the later term, or is gone for good.
    pub fn clear(&self, instance: &InstanceName) -> Option<PoolRow> {
        let mut row = self.clone();
        row.uncleared.remove(instance).then_some(row)
    }

    /// Returns the row that records an order of the holder before it is given. An open order of the
    /// same engine is replaced, and its senders are kept.
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

    /// Returns the row without an engine's open order, once that is known to be done or dead.
    pub fn close(&self, engine: &UpstreamName) -> PoolRow {
        let mut row = self.clone();
        row.open.remove(engine);
        row
    }
}
