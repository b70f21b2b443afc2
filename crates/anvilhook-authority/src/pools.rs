//! A pool that this instance holds, and the writes to its row.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use anvilhook_core::authority::{OpenOrder, OrderTarget, PoolRow};
use anvilhook_core::drains::{DrainCause, DrainPlanner, EngineView, PlanRefusal};
use anvilhook_core::leases::SessionRef;
use anvilhook_core::names::{InstanceName, PoolName, ResourceName, UpstreamName};
use anvilhook_core::units::{Millis, Revision};
use anvilhook_platform::{Commit, Result, Table, Transaction};

use crate::engines::EngineMemory;
use crate::fleets::Fleet;
use crate::observations::{Finding, Observations, kinds, reasons};
use crate::owners::OwnerChange;
use crate::plans::{DeclaredDrain, EnginePlan, PoolPlan};
use crate::rows::{self, Stored};
use crate::slots::{SlotChange, SlotView};

/// `RowChange` contains the changes of other rows that are written together with a pool's row.
#[derive(Debug, Default)]
pub(crate) struct RowChange {
    pub slot: SlotChange,
    pub owner: Option<OwnerChange>,
}

impl From<SlotChange> for RowChange {
    fn from(slot: SlotChange) -> Self {
        Self { slot, owner: None }
    }
}

/// `HeldPool` is a pool that this instance holds, with the last known version of its row.
#[derive(Debug)]
pub(crate) struct HeldPool {
    pub name: PoolName,
    pub row: PoolRow,
    version: u64,
    holder: SessionRef,
    /// Whether the answer to a write was lost, so that the row must be read before anything else.
    is_stale: bool,
    is_lost: bool,
    read_at: Millis,
    /// Since when this process has seen the row's present set of uncleared former holders.
    pub uncleared_since: Millis,
    pub engines: BTreeMap<UpstreamName, EngineMemory>,
    planners: BTreeMap<ResourceName, DrainPlanner>,
    /// Since when no engine has answered.
    unreached_since: Option<Millis>,
    /// The engines with an open order that are not declared, and since when this has been seen.
    undeclared: BTreeMap<UpstreamName, Millis>,
}

impl HeldPool {
    /// Creates the pool from a row that names `holder`, this instance's session, as its holder.
    pub fn new(name: PoolName, stored: Stored<PoolRow>, holder: SessionRef, now: Millis) -> Self {
        Self {
            name,
            row: stored.value,
            version: stored.version,
            holder,
            is_stale: false,
            is_lost: false,
            read_at: now,
            uncleared_since: now,
            engines: BTreeMap::new(),
            planners: BTreeMap::new(),
            unreached_since: None,
            undeclared: BTreeMap::new(),
        }
    }

    /// Returns the session that holds the pool.
    pub fn holder(&self) -> &SessionRef {
        &self.holder
    }

    /// Returns whether, according to the table, this instance no longer holds the pool.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns whether the row must be read before any decision is based on it.
    pub fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Returns whether the row should be read again.
    pub fn is_due(&self, now: Millis, awaited: Millis, idle: Millis) -> bool {
        let interval = if self.row.uncleared.is_empty() { idle } else { awaited };
        self.is_stale || now >= self.read_at + interval
    }

    /// Rereads the row.
    pub async fn refresh(&mut self, table: &impl Table, now: Millis) -> Result<()> {
        match rows::read::<PoolRow>(table, &rows::pool_key(&self.name)).await? {
            Some(stored) => self.adopt(stored, now),
            None => self.is_lost = true,
        }
        Ok(())
    }

    fn adopt(&mut self, stored: Stored<PoolRow>, now: Millis) {
        if !stored.value.is_held_by(&self.holder) || stored.value.term < self.row.term {
            self.is_lost = true;
            return;
        }
        if stored.value.uncleared != self.row.uncleared {
            self.uncleared_since = now;
        }
        self.row = stored.value;
        self.version = stored.version;
        self.is_stale = false;
        self.read_at = now;
    }

    /// Writes the row by compare-and-set, and returns whether the write is known to have succeeded. If
    /// not, no action that depends on it may be taken.
    pub async fn write(
        &mut self,
        table: &impl Table,
        next: PoolRow,
        slots: &mut SlotView,
        change: impl Into<RowChange>,
        now: Millis,
    ) -> Result<bool> {
        let RowChange { slot: change, owner } = change.into();
        let key = rows::pool_key(&self.name);
        let mut conditions = vec![rows::unchanged_at(key.clone(), Some(self.version))];
        let mut writes = vec![rows::put(key.clone(), &next)?];
        change.add_to(&mut conditions, &mut writes)?;
        if let Some(owner) = owner {
            owner.add_to(&mut conditions, &mut writes);
        }
        match table.commit(&Transaction { conditions, writes }).await {
            Ok(Commit::Done) => {
                slots.applied(change);
                self.adopt(Stored { value: next, version: self.version + 1 }, now);
                Ok(true)
            }
            Ok(Commit::Conflict { standing }) => {
                slots.adopt(&standing)?;
                match rows::find::<PoolRow>(&standing, &key)? {
                    Some(stored) => self.adopt(stored, now),
                    None => self.is_lost = true,
                }
                Ok(false)
            }
            Err(err) => {
                self.is_stale = true;
                Err(err)
            }
        }
    }

    /// Returns the row without the former holders that cannot give an order any more, because the
    /// platform reports that they have terminated or they acknowledged this term over the peer link.
    /// Returns `None` if there are none of these.
    pub fn cleared_row(&self, fleet: &Fleet) -> Option<PoolRow> {
        let is_clear = |name: &&InstanceName| {
            fleet.is_gone(name) || fleet.acknowledges(name, &self.name, self.row.term)
        };
        let clear: Vec<&InstanceName> = self.row.uncleared.iter().filter(is_clear).collect();
        let mut next = None;
        for name in clear {
            next = next.as_ref().unwrap_or(&self.row).clear(name);
        }
        next
    }

    /// Records whether any engine answers, and returns for how long none has.
    pub fn unreached_for(&mut self, plan: &PoolPlan, now: Millis) -> Millis {
        let answers = plan.engines.iter().any(|engine| self.serves(&engine.name));
        if answers || plan.engines.is_empty() {
            self.unreached_since = None;
            return Millis::ZERO;
        }
        now - *self.unreached_since.get_or_insert(now)
    }

    /// Returns whether one more engine may be taken out of service for a change.
    pub fn may_drain(&self, plan: &PoolPlan) -> bool {
        let marks = &self.row.drains;
        let is_marked = |name: &UpstreamName| marks.is_marked(name);
        let changing =
            plan.engines.iter().filter(|e| marks.is_marked_for(&e.name, &DrainCause::Change));
        let serving = plan.engines.iter().filter(|e| !is_marked(&e.name) && self.serves(&e.name));
        changing.count() < plan.max_changing && serving.count() > plan.min_serving as usize
    }

    fn serves(&self, engine: &UpstreamName) -> bool {
        self.engines.get(engine).is_none_or(|memory| memory.answers)
    }

    /// Returns an engine that has an open order and is not declared any more, once the order cannot
    /// arrive any more. No instance routes there, so the outcome of the order does not matter. If the
    /// engine is declared again, its state is read before it is given another order.
    pub fn withdrawn(
        &mut self,
        plan: &PoolPlan,
        delivery_bound: Millis,
        now: Millis,
    ) -> Option<UpstreamName> {
        let open = &self.row.open;
        let is_withdrawn = |name: &UpstreamName| {
            open.get(name).is_some_and(|order| !is_declared(plan, name, order))
        };
        self.undeclared.retain(|name, _| is_withdrawn(name));
        for name in open.keys().filter(|name| is_withdrawn(name)) {
            self.undeclared.entry(name.clone()).or_insert(now);
        }
        let has_expired = |(name, since): &(&UpstreamName, &Millis)| {
            let may_be_sent =
                open[*name].senders.intersection(&self.row.uncleared).next().is_some();
            !may_be_sent && now >= (**since).max(self.uncleared_since) + delivery_bound
        };
        self.undeclared.iter().find(has_expired).map(|(name, _)| name.clone())
    }

    /// Returns the engines that are now declared in another pool and have an open order here that a
    /// former holder may still give. Such orders are fenced off where possible, so that the new pools
    /// can give orders to the engines. An engine that is not declared at all gets no more orders.
    pub fn left_behind(&self, plan: &PoolPlan, declared: &BTreeSet<SocketAddr>) -> Vec<EnginePlan> {
        let open = self.row.open.iter();
        let left = open.filter(|(name, order)| {
            plan.engine(name).is_none() && !order.senders.is_disjoint(&self.row.uncleared)
        });
        let engine = |(name, order): (&UpstreamName, &OpenOrder)| {
            let target = order.target.as_ref().filter(|to| declared.contains(&to.address));
            let OrderTarget { address, zone, fencing } = target.cloned()?;
            let (desired, declared_at) = (Vec::new(), Revision::default());
            Some(EnginePlan { name: name.clone(), address, zone, fencing, desired, declared_at })
        };
        left.filter_map(engine).collect()
    }

    /// Marks the next engines of the drain plans, and removes marks whose cause no longer exists.
    pub async fn follow_plans(
        &mut self,
        table: &impl Table,
        plan: &PoolPlan,
        slots: &mut SlotView,
        observations: &mut Observations,
        now: Millis,
    ) -> Result<()> {
        let mut next = self.row.clone();
        self.unmark_unexplained(&mut next, plan);
        let mut marked = Vec::new();
        for drain in &plan.drains {
            let views = self.views(&next, plan, drain);
            // A new holder does not know when its predecessor began the last drain, so it counts the
            // plan's pace from now.
            let has_begun = views.iter().any(|view| view.planned);
            let planner = self.planners.entry(drain.name.clone());
            let planner = planner.or_insert_with(|| DrainPlanner::new(has_begun.then_some(now)));
            match planner.next(&drain.spec, &views, plan.min_serving, now) {
                Ok(engine) => {
                    next.drains.mark(&engine, DrainCause::Plan(drain.name.clone()));
                    observations.plan(
                        &drain.name,
                        kinds::DRAINED,
                        Finding::new(false, reasons::DRAINING, format!("{engine} is next")),
                    );
                    marked.push(drain.name.clone());
                }
                Err(refusal) => {
                    observations.plan(&drain.name, kinds::DRAINED, plan_finding(&refusal, &views));
                }
            }
        }
        if next == self.row {
            return Ok(());
        }
        if self.write(table, next, slots, SlotChange::default(), now).await? {
            for name in marked {
                self.planners.entry(name).or_default().record_marked(now);
            }
        }
        Ok(())
    }

    /// Removes the marks of plans that are not declared any more, and the change marks of engines that
    /// are not declared any more unless they have an open order, which may still arrive.
    fn unmark_unexplained(&self, next: &mut PoolRow, plan: &PoolPlan) {
        for (engine, mark) in &self.row.drains.engines {
            for cause in &mark.causes {
                let explained = match cause {
                    DrainCause::Change => {
                        plan.engine(engine).is_some() || self.row.open.contains_key(engine)
                    }
                    DrainCause::Plan(name) => plan.drains.iter().any(|drain| drain.name == *name),
                };
                if !explained {
                    next.drains.unmark(engine, cause);
                }
            }
        }
    }

    fn views(&self, row: &PoolRow, plan: &PoolPlan, drain: &DeclaredDrain) -> Vec<EngineView> {
        let cause = DrainCause::Plan(drain.name.clone());
        let view = |engine: &EnginePlan| EngineView {
            name: engine.name.clone(),
            zone: engine.zone.clone(),
            // An engine that does not answer serves no requests, so it counts as marked.
            marked: row.drains.is_marked(&engine.name) || !self.serves(&engine.name),
            planned: row.drains.is_marked_for(&engine.name, &cause),
            drained: self.engines.get(&engine.name).is_some_and(|memory| memory.drained),
        };
        plan.engines.iter().map(view).collect()
    }
}

/// Returns whether an engine is declared at the address to which its open order is sent. If it was
/// moved to another address under the same name, its state there is no evidence of the order at the
/// old address.
pub(crate) fn is_declared(plan: &PoolPlan, name: &UpstreamName, open: &OpenOrder) -> bool {
    let goes_to = |address| open.target.as_ref().is_none_or(|target| target.address == address);
    plan.engine(name).is_some_and(|engine| goes_to(engine.address))
}

fn plan_finding(refusal: &PlanRefusal, views: &[EngineView]) -> Finding {
    let draining = views.iter().filter(|view| view.planned && !view.drained);
    let draining: Vec<&str> = draining.map(|view| view.name.as_str()).collect();
    let names = draining.join(", ");
    match refusal {
        PlanRefusal::AllMarked if draining.is_empty() => {
            Finding::new(true, reasons::DRAINED, "all engines of the plan are drained")
        }
        PlanRefusal::AllMarked | PlanRefusal::MaxAtOnce => {
            Finding::new(false, reasons::DRAINING, format!("draining: {names}"))
        }
        PlanRefusal::ZoneDraining(zone) => {
            Finding::new(false, reasons::DRAINING, format!("zone {zone} is draining: {names}"))
        }
        PlanRefusal::Pace(_) => {
            Finding::new(false, reasons::PACE, "the next engine follows at the plan's pace")
        }
        PlanRefusal::MinServing => Finding::new(
            false,
            reasons::MIN_SERVING,
            "with one engine less, too few of the pool would be serving",
        ),
    }
}
