//! The rows that say which pool may order an engine, as one keeper sees them.

use std::net::SocketAddr;

use anvilhook_core::authority::{Claim, ClaimRefusal, EngineOwner, PoolRow};
use anvilhook_core::names::PoolName;
use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Millis;
use anvilhook_platform::{Condition, Result, RowKey, Table, Write};

use crate::observations::{Finding, list, reasons};
use crate::plans::EnginePlan;
use crate::rows::{self, Stored};

/// `OwnerView` is the owner of the engine at an address as last seen.
#[derive(Clone, Debug)]
pub(crate) struct OwnerView {
    address: SocketAddr,
    owner: Option<Stored<EngineOwner>>,
    /// The row of the owner, if that is another pool.
    former: Option<FormerRow>,
    read_at: Millis,
}

#[derive(Clone, Debug)]
struct FormerRow {
    key: RowKey,
    stored: Option<Stored<PoolRow>>,
}

/// `OwnerChange` is what goes with recording an order: the conditions by which the pool still owns
/// the engine, or the hand-over.
#[derive(Clone, Debug)]
pub(crate) struct OwnerChange {
    conditions: Vec<Condition>,
    write: Option<Write>,
}

impl OwnerView {
    /// Reads who owns the engine at an address, and then the owner's row if that is not `pool`.
    ///
    /// The engine's state must be read after this: an order of the owner could else be recorded,
    /// carried out and closed between the two, and the next order would rest on an old state.
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

    /// Returns whether this is of no use any more: the engine listens elsewhere, or what it waits
    /// for may have come since.
    pub fn is_outdated(
        &self,
        address: SocketAddr,
        is_refused: bool,
        now: Millis,
        awaited: Millis,
    ) -> bool {
        self.address != address || (is_refused && now >= self.read_at + awaited)
    }

    /// Returns how the pool may order its engine.
    pub fn claim(
        &self,
        own: &PoolRow,
        wanted: &EngineOwner,
        fencing: Fencing,
    ) -> std::result::Result<Claim, ClaimRefusal> {
        let standing = self.owner.as_ref().map(|owner| &owner.value);
        wanted.claim(standing, self.former_row(own), fencing)
    }

    /// Returns the row of the owner. That is the pool's own if the engine was given another name.
    pub fn former_row<'a>(&'a self, own: &'a PoolRow) -> Option<&'a PoolRow> {
        match &self.former {
            Some(former) => former.stored.as_ref().map(|stored| &stored.value),
            None => self.owner.is_some().then_some(own),
        }
    }

    /// Returns the pool that is waited for.
    pub fn owner(&self) -> Option<&PoolName> {
        self.owner.as_ref().map(|owner| &owner.value.pool)
    }

    /// Returns what goes with recording an order by a claim.
    pub fn change(&self, claim: Claim, wanted: &EngineOwner) -> Result<OwnerChange> {
        let key = rows::owner_key(self.address);
        let version = self.owner.as_ref().map(|owner| owner.version);
        let mut conditions = vec![rows::stands_at(key.clone(), version)];
        if claim == Claim::Held {
            return Ok(OwnerChange { conditions, write: None });
        }
        if let Some(former) = &self.former {
            // An order that the owner records in this moment makes one of the two fail.
            let version = former.stored.as_ref().map(|stored| stored.version);
            conditions.push(rows::stands_at(former.key.clone(), version));
        }
        Ok(OwnerChange { conditions, write: Some(rows::put(key, wanted)?) })
    }

    /// Returns the finding for an engine that the pool may not order now.
    pub fn finding(&self, refusal: &ClaimRefusal, engine: &EnginePlan) -> Finding {
        let owner = self.owner().map(PoolName::as_str).unwrap_or_default();
        let address = engine.address;
        let waits_for = match refusal {
            ClaimRefusal::DeclaredLater => {
                "which took it by a later declaration than this instance knows of".to_owned()
            }
            ClaimRefusal::OpenOrder(stamp) => {
                format!(
                    "whose order {}.{} is not known to be done or dead",
                    stamp.term.0, stamp.seq
                )
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
