//! Taking pools that have no holder, and giving up those that are lost.

use std::collections::BTreeMap;

use anvilhook_core::authority::{PoolRow, SessionView};
use anvilhook_core::leases::{SessionRef, SessionRow, Watch};
use anvilhook_core::membership::{rank, watch_interval};
use anvilhook_core::names::{InstanceName, PoolName};
use anvilhook_core::orders::Term;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_platform::{Commit, InstanceList, Result, Table, Transaction};

use crate::controllers::Services;
use crate::fleets::Fleet;
use crate::options::ControllerOptions;
use crate::pools::HeldPool;
use crate::rows::{self, Stored};
use crate::sessions::SessionHolder;

/// `Candidate` is this instance as one that takes pools.
#[derive(Debug)]
pub(crate) struct Candidate {
    me: InstanceName,
    watches: BTreeMap<InstanceName, Watch>,
    next_look: BTreeMap<PoolName, Millis>,
    /// The lowest term by which this instance may hold a pool: below it, it has said that it gives
    /// no order, or has seen its authority end.
    lowest: BTreeMap<PoolName, Term>,
}

/// The session that stands in the way of taking a pool, and how it stands.
struct HolderSession {
    view: SessionView,
    stored: Option<Stored<SessionRow>>,
}

impl Candidate {
    pub fn new(me: InstanceName) -> Self {
        let (watches, next_look) = (BTreeMap::new(), BTreeMap::new());
        Self { me, watches, next_look, lowest: BTreeMap::new() }
    }

    /// Gives up authority below a term for good.
    pub fn bar_below(&mut self, pool: &PoolName, term: Term) {
        let lowest = self.lowest.entry(pool.clone()).or_default();
        *lowest = term.max(*lowest);
        // Its successor may be waiting for what this instance writes next.
        self.next_look.insert(pool.clone(), Millis::ZERO);
    }

    /// Leaves a pool to the other candidates until a time.
    pub fn leave_until(&mut self, pool: &PoolName, until: Millis) {
        self.next_look.insert(pool.clone(), until);
    }

    /// Returns the terms below which this instance gives no order.
    pub fn lowest_terms(&self) -> &BTreeMap<PoolName, Term> {
        &self.lowest
    }

    /// Looks at a pool that this instance does not hold, if that is due, and takes it if it can.
    pub async fn look<T: Table, E, L: InstanceList, C: Clock>(
        &mut self,
        pool: &PoolName,
        services: &Services<T, E, L, C>,
        options: &ControllerOptions,
        session: &mut SessionHolder,
        fleet: &Fleet,
    ) -> Result<Option<HeldPool>> {
        let now = services.clock.now();
        let interval = watch_interval(rank(pool, &self.me, fleet.present()), &options.candidates);
        // The first candidate looks at once, and the others so much later that pools are spread
        // over the instances when all start together.
        let first_look = now + interval - options.candidates.first_interval_ms;
        if now < *self.next_look.entry(pool.clone()).or_insert(first_look) {
            return Ok(None);
        }
        self.next_look.insert(pool.clone(), now + interval);

        let key = rows::pool_key(pool);
        let stored = rows::read::<PoolRow>(&services.table, &key).await?;
        let (row, version) = match stored {
            Some(stored) => (stored.value, Some(stored.version)),
            None => (PoolRow::default(), None),
        };
        let lowest = self.lowest.get(pool).copied().unwrap_or_default();
        if session.session().is_some_and(|own| row.is_held_by(own)) {
            return self.resume(pool, row, version, lowest, services, session).await;
        }
        // All calls of this instance have ended, since it makes them one after another and is here.
        if let Some(cleared) = row.clear(&self.me) {
            self.bar_below(pool, row.term);
            write(&services.table, pool, version, &cleared).await?;
            return Ok(None);
        }

        let holder = self.holder_session(&row, services, options).await?;
        if row.holder.is_some() && holder.view == SessionView::Running {
            return Ok(None);
        }
        session.keep(&services.table, &services.clock, &options.lease).await?;
        let Some(own) = session.session().cloned() else { return Ok(None) };
        if !session.may_order(&own, services.clock.now(), &options.lease) {
            return Ok(None);
        }
        let Ok(mut taken) = row.take(&own, holder.view) else { return Ok(None) };
        taken.term = taken.term.max(lowest);
        self.take(pool, version, taken, holder, own, services).await
    }

    /// Goes on with a pool that the table says this instance holds: the answer to the write that
    /// took it was lost. A pool in which it has given up its term is released.
    async fn resume<T: Table, E, L, C: Clock>(
        &mut self,
        pool: &PoolName,
        row: PoolRow,
        version: Option<u64>,
        lowest: Term,
        services: &Services<T, E, L, C>,
        session: &SessionHolder,
    ) -> Result<Option<HeldPool>> {
        if row.term < lowest {
            write(&services.table, pool, version, &row.release()).await?;
            return Ok(None);
        }
        let Some(own) = session.session().cloned() else { return Ok(None) };
        let stored = Stored { value: row, version: version.unwrap_or(0) };
        Ok(Some(HeldPool::new(pool.clone(), stored, own, services.clock.now())))
    }

    async fn holder_session<T: Table, E, L, C: Clock>(
        &mut self,
        row: &PoolRow,
        services: &Services<T, E, L, C>,
        options: &ControllerOptions,
    ) -> Result<HolderSession> {
        let ended = HolderSession { view: SessionView::Ended, stored: None };
        let Some(holder) = &row.holder else { return Ok(ended) };
        let key = rows::session_key(&holder.instance);
        let Some(stored) = rows::read::<SessionRow>(&services.table, &key).await? else {
            return Ok(ended);
        };
        if !stored.value.is_active_for(holder) {
            return Ok(ended);
        }
        // The time after the answer came, see `Watch::observe`.
        let read_at = services.clock.now();
        let watch = self.watches.entry(holder.instance.clone()).or_default();
        let lapsed = watch.observe(&stored.value, stored.version, read_at, &options.lease);
        let view = if lapsed { SessionView::Lapsed } else { SessionView::Running };
        Ok(HolderSession { view, stored: Some(stored) })
    }

    /// Takes a pool, and ends the session of its former holder in the same transaction.
    async fn take<T: Table, E, L, C: Clock>(
        &mut self,
        pool: &PoolName,
        version: Option<u64>,
        taken: PoolRow,
        holder: HolderSession,
        own: SessionRef,
        services: &Services<T, E, L, C>,
    ) -> Result<Option<HeldPool>> {
        let key = rows::pool_key(pool);
        let mut conditions = vec![rows::stands_at(key.clone(), version)];
        let mut writes = vec![rows::put(key, &taken)?];
        if let Some(stored) = &holder.stored {
            let key = rows::session_key(&stored.value.session.instance);
            conditions.push(rows::stands_at(key.clone(), Some(stored.version)));
            writes.push(rows::put(key, &stored.value.end())?);
        }
        // After a lost answer the next look finds out whether the pool is held.
        self.next_look.insert(pool.clone(), Millis::ZERO);
        match services.table.commit(&Transaction { conditions, writes }).await? {
            Commit::Done => {
                log::info!("pool {pool}: taken at {}", taken.term);
                let stored = Stored { value: taken, version: version.unwrap_or(0) + 1 };
                Ok(Some(HeldPool::new(pool.clone(), stored, own, services.clock.now())))
            }
            Commit::Conflict { .. } => Ok(None),
        }
    }
}

async fn write(
    table: &impl Table,
    pool: &PoolName,
    version: Option<u64>,
    row: &PoolRow,
) -> Result<Commit> {
    let key = rows::pool_key(pool);
    let conditions = vec![rows::stands_at(key.clone(), version)];
    let writes = vec![rows::put(key, row)?];
    table.commit(&Transaction { conditions, writes }).await
}
