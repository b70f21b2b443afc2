//! Decides which pool may give orders to the engine at an address.
//!
//! Each pool has its own lease, which does not cover an engine that an operator moves to another pool:
//! while instances use different configurations, the holders of both pools could give it orders. The
//! engine's own row records which of them may. Each transaction that records an order has this row
//! among its conditions, and the engine is handed over in one transaction.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::rows::PoolRow;
use crate::names::{InstanceName, PoolName, UpstreamName, ZoneName};
use crate::orders::Stamp;
use crate::resources::Fencing;
use crate::units::Revision;

/// `OrderTarget` is where an order is sent. It is stored with the order, because the engine's
/// declaration may change or be removed before the order arrives.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OrderTarget {
    /// The address at which the engine listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is declared to check fencing numbers.
    pub fencing: Fencing,
}

/// `EngineOwner` is the stored record of the pool that may give orders to the engine at an address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOwner {
    /// The pool.
    pub pool: PoolName,
    /// The engine's name in the pool, under which the pool's row lists its open order.
    pub engine: UpstreamName,
    /// The revision of the declaration under which the pool took the engine.
    pub declared_at: Revision,
}

/// `Claim` is the way in which a pool may give orders to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The pool already owns the engine.
    Held,
    /// No pool has given orders to the engine before.
    First,
    /// The former owner is another pool, or another name in this one, and its row shows that it can give
    /// no more orders.
    HandOver,
}

/// `ClaimRefusal` is the reason why a pool may not give orders to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// The owner took the engine under a later declaration; this instance's configuration lags.
    DeclaredLater,
    /// An order of the owner may still be running or arrive.
    OpenOrder(Stamp),
    /// Former holders of the owner may still give an order that the engine would accept.
    Predecessor(BTreeSet<InstanceName>),
}

impl EngineOwner {
    /// Returns how `self` may give orders to the engine. `stored` is the owner as stored, `former` the
    /// row of its pool, and `fencing` the engine's effective fencing.
    ///
    /// # Errors
    ///
    /// `ClaimRefusal` if it may not.
    pub fn claim(
        &self,
        stored: Option<&EngineOwner>,
        former: Option<&PoolRow>,
        fencing: Fencing,
    ) -> Result<Claim, ClaimRefusal> {
        let Some(owner) = stored else { return Ok(Claim::First) };
        if owner.pool == self.pool && owner.engine == self.engine {
            return Ok(Claim::Held);
        }
        // Otherwise an instance whose configuration lags would take the engine back, and the two pools
        // would keep changing its owner.
        if owner.declared_at >= self.declared_at {
            return Err(ClaimRefusal::DeclaredLater);
        }
        let Some(former) = former else { return Ok(Claim::HandOver) };
        if let Some(open) = former.open.get(&owner.engine) {
            return Err(ClaimRefusal::OpenOrder(open.stamp));
        }
        if fencing == Fencing::Ignores && !former.uncleared.is_empty() {
            return Err(ClaimRefusal::Predecessor(former.uncleared.clone()));
        }
        Ok(Claim::HandOver)
    }
}

impl PoolRow {
    /// Returns the row under which the next order to an engine has a higher stamp than all that the
    /// engine has seen. `seen` is the engine's highest stamp, read after the owner's row.
    ///
    /// Each pool counts its terms separately. An engine that has seen an equal term of another pool would
    /// refuse the first orders of this one, which would be recorded and closed without effect again and
    /// again.
    pub fn claim_engine(&self, claim: Claim, former: Option<&PoolRow>, seen: Stamp) -> PoolRow {
        match claim {
            Claim::Held => self.clone(),
            Claim::First if seen == Stamp::default() || seen.term < self.term => self.clone(),
            Claim::First => self.raise(seen.term),
            Claim::HandOver => {
                // An engine that checks is handed over even if former holders are only fenced off.
                // If it loses its fence later, this pool must wait for them too. Because of the new
                // term, an acknowledgement from before the hand-over does not clear them.
                let mut row = self.raise(seen.term);
                row.uncleared.extend(former.into_iter().flat_map(|row| row.uncleared.clone()));
                if let Some(holder) = &self.holder {
                    row.uncleared.remove(&holder.instance);
                }
                row
            }
        }
    }

    /// Returns the row that records an order together with its target, see `record`.
    pub fn record_for(
        &self,
        engine: &UpstreamName,
        order: crate::orders::Order,
        target: OrderTarget,
    ) -> PoolRow {
        let mut row = self.record(engine, order);
        if let Some(open) = row.open.get_mut(engine) {
            open.target = Some(target);
        }
        row
    }
}
