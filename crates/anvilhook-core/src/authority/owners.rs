//! Which pool may order the engine at an address.
//!
//! Authority is a lease for each pool, so it says nothing of an engine that an operator moves to
//! another pool: for as long as instances go by different configurations, the holders of both pools
//! could order it. The engine's own row says which of them may. It stands among the conditions of
//! each transaction that records an order, and changes hands in one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::rows::PoolRow;
use crate::names::{InstanceName, PoolName, UpstreamName, ZoneName};
use crate::orders::Stamp;
use crate::resources::Fencing;
use crate::units::Revision;

/// `OrderTarget` is where an order goes. It is kept with the order, because the engine's
/// declaration may change or go while the order is on its way.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OrderTarget {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is declared to check fencing numbers.
    pub fencing: Fencing,
}

/// `EngineOwner` is the pool that may order the engine at an address, as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOwner {
    /// The pool.
    pub pool: PoolName,
    /// The engine's name in it, under which its open order is found in the pool's row.
    pub engine: UpstreamName,
    /// The revision of the declaration by which the pool took the engine.
    pub declared_at: Revision,
}

/// `Claim` says how a pool may order an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// It owns the engine already.
    Held,
    /// No pool has ordered the engine before.
    First,
    /// Another pool, or another name in this one, can give no more orders by what its row says.
    HandOver,
}

/// `ClaimRefusal` says why a pool may not order an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// The owner took the engine by a later declaration; this instance's configuration lags.
    DeclaredLater,
    /// An order of the owner is not known to be done or dead.
    OpenOrder(Stamp),
    /// Former holders of the owner may still give an order that the engine would take.
    Predecessor(BTreeSet<InstanceName>),
}

impl EngineOwner {
    /// Returns how `self` may order the engine. `standing` is the owner as stored, `former` the row
    /// of its pool, and `fencing` the engine's effective kind.
    ///
    /// # Errors
    ///
    /// Says why it may not.
    pub fn claim(
        &self,
        standing: Option<&EngineOwner>,
        former: Option<&PoolRow>,
        fencing: Fencing,
    ) -> Result<Claim, ClaimRefusal> {
        let Some(owner) = standing else { return Ok(Claim::First) };
        if owner.pool == self.pool && owner.engine == self.engine {
            return Ok(Claim::Held);
        }
        // Without this an instance whose configuration lags would take the engine back, and the two
        // pools would change it to and fro.
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
    /// Returns the row in which the next order to an engine follows all that it has seen. `seen` is
    /// the engine's highest stamp, read after the owner's row was.
    ///
    /// The terms of two pools are counted apart. An engine that has seen an equal term of another
    /// pool would refuse the first orders of this one, and one would see them recorded and closed
    /// without an effect again and again.
    pub fn claim_engine(&self, claim: Claim, former: Option<&PoolRow>, seen: Stamp) -> PoolRow {
        match claim {
            Claim::Held => self.clone(),
            Claim::First if seen == Stamp::default() || seen.term < self.term => self.clone(),
            Claim::First => self.raise(seen.term),
            Claim::HandOver => {
                // An engine that checks is handed over while former holders are fenced off only. If
                // it forgets its fence later, they must be waited for here. The new term keeps an
                // acknowledgement from before the hand-over from clearing them.
                let mut row = self.raise(seen.term);
                row.uncleared.extend(former.into_iter().flat_map(|row| row.uncleared.clone()));
                if let Some(holder) = &self.holder {
                    row.uncleared.remove(&holder.instance);
                }
                row
            }
        }
    }

    /// Returns the row that records an order with where it goes, see `record`.
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
