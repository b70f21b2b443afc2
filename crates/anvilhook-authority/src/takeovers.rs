//! Takes pools that have no holder, and records up to which term this instance's authority has ended.

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

/// `Candidate` is the state of this instance as a candidate for taking pools.
#[derive(Debug)]
pub(crate) struct Candidate {
    me: InstanceName,
    watches: BTreeMap<InstanceName, Watch>,
    next_check: BTreeMap<PoolName, Millis>,
    /// The lowest term under which this instance may hold a pool. Below it, the instance has
    /// acknowledged that it gives no order, or its authority has ended.
    lowest: BTreeMap<PoolName, Term>,
}

/// `HolderSession` is the session of a pool's holder, and whether it prevents taking the pool.
struct HolderSession {
    view: SessionView,
    stored: Option<Stored<SessionRow>>,
}

impl Candidate {
    pub fn new(me: InstanceName) -> Self {
        let (watches, next_check) = (BTreeMap::new(), BTreeMap::new());
        Self { me, watches, next_check, lowest: BTreeMap::new() }
    }

    /// Abandons authority below a term for good.
    pub fn raise_lowest_term(&mut self, pool: &PoolName, term: Term) {
        let lowest = self.lowest.entry(pool.clone()).or_default();
        *lowest = term.max(*lowest);
        // The next check clears this instance from the row, for which its successor may be waiting.
        self.next_check.insert(pool.clone(), Millis::ZERO);
    }

    /// Leaves a pool to the other candidates until the given time.
    pub fn skip_until(&mut self, pool: &PoolName, until: Millis) {
        self.next_check.insert(pool.clone(), until);
    }

    /// Returns the terms below which this instance gives no order.
    pub fn lowest_terms(&self) -> &BTreeMap<PoolName, Term> {
        &self.lowest
    }

    /// Checks a pool that this instance does not hold, if that is due, and takes it if possible.
    pub async fn check<T: Table, E, L: InstanceList, C: Clock>(
        &mut self,
        pool: &PoolName,
        services: &Services<T, E, L, C>,
        options: &ControllerOptions,
        session: &mut SessionHolder,
        fleet: &Fleet,
    ) -> Result<Option<HeldPool>> {
        let now = services.clock.now();
        let interval = watch_interval(rank(pool, &self.me, fleet.present()), &options.candidates);
        // The first candidate checks immediately, and the others later by their rank, so that pools
        // are spread over the instances if all start at the same time.
        let first_check = now + interval - options.candidates.first_interval_ms;
        if now < *self.next_check.entry(pool.clone()).or_insert(first_check) {
            return Ok(None);
        }
        self.next_check.insert(pool.clone(), now + interval);

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
        // This instance makes its calls sequentially, so none of its earlier calls is in progress here.
        if let Some(cleared) = row.clear(&self.me) {
            self.raise_lowest_term(pool, row.term);
            write(&services.table, pool, version, &cleared).await?;
            return Ok(None);
        }

        let holder = self.holder_session(&row, services, options).await?;
        if row.holder.is_some() && holder.view == SessionView::Running {
            return Ok(None);
        }
        session.open_or_renew(&services.table, &services.clock, &options.lease).await?;
        let Some(own) = session.session().cloned() else { return Ok(None) };
        if !session.may_order(&own, services.clock.now(), &options.lease) {
            return Ok(None);
        }
        let Ok(mut taken) = row.take(&own, holder.view) else { return Ok(None) };
        taken.term = taken.term.max(lowest);
        self.take(pool, version, taken, holder, own, services).await
    }

    /// Resumes a pool that this instance holds according to the table, because the answer to the write
    /// that took it was lost. If the instance has abandoned the row's term, it releases the pool.
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
        // The time is taken after the answer was received, see `Watch::observe`.
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
        let mut conditions = vec![rows::unchanged_at(key.clone(), version)];
        let mut writes = vec![rows::put(key, &taken)?];
        if let Some(stored) = &holder.stored {
            let key = rows::session_key(&stored.value.session.instance);
            conditions.push(rows::unchanged_at(key.clone(), Some(stored.version)));
            writes.push(rows::put(key, &stored.value.end())?);
        }
        // If the answer is lost, the next check determines whether the pool is held.
        self.next_check.insert(pool.clone(), Millis::ZERO);
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
    let conditions = vec![rows::unchanged_at(key.clone(), version)];
    let writes = vec![rows::put(key, row)?];
    table.commit(&Transaction { conditions, writes }).await
}
