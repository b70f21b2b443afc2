//! A controller's view of the rows that record which pool may give orders to an engine.

use std::net::SocketAddr;

use anvilhook_core::authority::{Claim, ClaimRefusal, EngineOwner, PoolRow};
use anvilhook_core::names::PoolName;
use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Millis;
use anvilhook_platform::{Condition, Result, RowKey, Table, Write};

use crate::observations::{Finding, list, reasons};
use crate::plans::EnginePlan;
use crate::rows::{self, Stored};

/// `OwnerView` is the owner of the engine at an address, as last read.
#[derive(Clone, Debug)]
pub(crate) struct OwnerView {
    address: SocketAddr,
    owner: Option<Stored<EngineOwner>>,
    /// The row of the owning pool, if that is another pool.
    former: Option<FormerRow>,
    read_at: Millis,
}

#[derive(Clone, Debug)]
struct FormerRow {
    key: RowKey,
    stored: Option<Stored<PoolRow>>,
}

/// `OwnerChange` is the part that concerns the engine's owner in the transaction that records an order:
/// the condition that the pool still owns the engine, or the hand-over.
#[derive(Clone, Debug)]
pub(crate) struct OwnerChange {
    conditions: Vec<Condition>,
    write: Option<Write>,
}

impl OwnerView {
    /// Reads the owner of the engine at an address, and then the row of the owning pool if that is not
    /// `pool`.
    ///
    /// The engine's state must be read after this. Otherwise an order of the owner could be recorded,
    /// carried out and closed between the two reads, and the next order would be based on an old
    /// state.
    pub async fn read(
        table: &impl Table,
        address: SocketAddr,
        pool: &PoolName,
        now: Millis,
    ) -> Result<OwnerView> {
        let owner = rows::read::<EngineOwner>(table, &rows::owner_key(address)).await?;
        let other = owner.as_ref().map(|owner| &owner.value.pool).filter(|owner| *owner != pool);
        let former = match other {
            Some(other) => {
                let key = rows::pool_key(other);
                let stored = rows::read::<PoolRow>(table, &key).await?;
                Some(FormerRow { key, stored })
            }
            None => None,
        };
        Ok(OwnerView { address, owner, former, read_at: now })
    }

    /// Returns whether the owner must be read again: the engine's address has changed, or the claim
    /// was refused and the reason may have ended since.
    pub fn is_outdated(
        &self,
        address: SocketAddr,
        is_refused: bool,
        now: Millis,
        awaited: Millis,
    ) -> bool {
        self.address != address || (is_refused && now >= self.read_at + awaited)
    }

    /// Returns how the pool may give orders to its engine.
    pub fn claim(
        &self,
        own: &PoolRow,
        wanted: &EngineOwner,
        fencing: Fencing,
    ) -> std::result::Result<Claim, ClaimRefusal> {
        let stored = self.owner.as_ref().map(|owner| &owner.value);
        wanted.claim(stored, self.former_row(own), fencing)
    }

    /// Returns the row of the owning pool. It is the pool's own row if the engine was only renamed.
    pub fn former_row<'a>(&'a self, own: &'a PoolRow) -> Option<&'a PoolRow> {
        match &self.former {
            Some(former) => former.stored.as_ref().map(|stored| &stored.value),
            None => self.owner.is_some().then_some(own),
        }
    }

    /// Returns the owning pool, for which a refused claim waits.
    pub fn owner(&self) -> Option<&PoolName> {
        self.owner.as_ref().map(|owner| &owner.value.pool)
    }

    /// Returns the owner's part of the transaction that records an order by a claim.
    pub fn change(&self, claim: Claim, wanted: &EngineOwner) -> Result<OwnerChange> {
        let key = rows::owner_key(self.address);
        let version = self.owner.as_ref().map(|owner| owner.version);
        let mut conditions = vec![rows::unchanged_at(key.clone(), version)];
        if claim == Claim::Held {
            return Ok(OwnerChange { conditions, write: None });
        }
        if let Some(former) = &self.former {
            // If the owner records an order at the same time, one of the two transactions fails.
            let version = former.stored.as_ref().map(|stored| stored.version);
            conditions.push(rows::unchanged_at(former.key.clone(), version));
        }
        Ok(OwnerChange { conditions, write: Some(rows::put(key, wanted)?) })
    }

    /// Returns the finding for an engine to which the pool may not give orders now.
    pub fn finding(&self, refusal: &ClaimRefusal, engine: &EnginePlan) -> Finding {
        let owner = self.owner().map(PoolName::as_str).unwrap_or_default();
        let address = engine.address;
        let waits_for = match refusal {
            ClaimRefusal::DeclaredLater => {
                "which took it by a declaration that this instance does not have yet".to_owned()
            }
            ClaimRefusal::OpenOrder(stamp) => {
                format!("whose order {}.{} may still run or arrive", stamp.term.0, stamp.seq)
            }
            ClaimRefusal::Predecessor(names) => {
                format!("whose former holders may still give an order: {}", list(names))
            }
        };
        let message = format!("the engine at {address} belongs to pool {owner}, {waits_for}");
        Finding::new(false, reasons::AWAITING_FORMER_POOL, message)
    }
}

impl OwnerChange {
    /// Adds the change to a transaction.
    pub fn add_to(self, conditions: &mut Vec<Condition>, writes: &mut Vec<Write>) {
        conditions.extend(self.conditions);
        writes.extend(self.write);
    }
}
