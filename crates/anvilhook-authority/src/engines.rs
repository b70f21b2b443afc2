//! Reconciles the engines of a held pool: reads their states, decides the next steps and gives orders.

mod claims;
mod findings;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use anvilhook_core::Verdict;
use anvilhook_core::authority::{
    Claim, Decision, EngineFacts, GivenOrder, LoadSlot, OrderCall, PoolRow, Wait, decide,
    effective_fencing, is_met,
};
use anvilhook_core::drains::{DrainCause, DrainProgress};
use anvilhook_core::names::PoolName;
use anvilhook_core::orders::{EngineState, OrderReply, Stamp, StampedOrder};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::EngineControl;
use anvilhook_platform::{InstanceList, Table};

use self::claims::Claimed;
use self::findings::{
    changing_finding, fencing_finding, finding_of, lagging_finding, memory_is_unreachable,
    serving_finding, unreachable_finding,
};
use crate::controllers::Services;
use crate::fleets::Fleet;
use crate::observations::{Finding, Observations, kinds, reasons};
use crate::options::ControllerOptions;
use crate::owners::OwnerView;
use crate::plans::{EnginePlan, PoolPlan};
use crate::pools::{HeldPool, RowChange};
use crate::sessions::SessionHolder;
use crate::slots::SlotView;

/// The maximum number of decisions on one engine in one step: read its owner, close an order, record
/// the next one, give it, and one in reserve.
const MAX_DECISIONS: usize = 5;

/// `EngineMemory` contains the state that this holder retains for an engine between steps.
#[derive(Debug, Default)]
pub(crate) struct EngineMemory {
    /// Whether the last read of its state succeeded.
    pub answers: bool,
    /// Whether its drain is marked, acknowledged by all instances, and it reports no open request.
    pub drained: bool,
    given: Option<GivenOrder>,
    read: Option<StateRead>,
    highest: Stamp,
    lost_fence: bool,
    refused_until: Option<Millis>,
    /// Which pool may give it orders, until there is evidence that this has changed.
    owner: Option<OwnerView>,
}

/// `StateRead` is the state of an engine, and when the request that read it was sent.
#[derive(Clone, Debug)]
struct StateRead {
    state: EngineState,
    sent_at: Millis,
}

impl EngineMemory {
    /// Returns whether the state should be read: the engine is changing or not in its desired state,
    /// or the interval has passed.
    fn is_due(&self, row: &PoolRow, plan: &EnginePlan, now: Millis, idle: Millis) -> bool {
        let Some(read) = &self.read else { return true };
        let busy = row.open.contains_key(&plan.name)
            || row.drains.is_marked(&plan.name)
            || read.state.running_order.is_some();
        let unmet = plan.desired.iter().any(|order| !is_met(order, &read.state));
        busy || unmet || now >= read.sent_at + idle
    }

    fn record(&mut self, state: EngineState, sent_at: Millis) {
        // A lower highest stamp means that the process was restarted and has lost its fence.
        self.lost_fence = state.last_stamp < self.highest;
        self.highest = self.highest.max(state.last_stamp);
        self.answers = true;
        self.read = Some(StateRead { state, sent_at });
    }
}

/// `Reconciler` brings the engines of a pool closer to their declared state, in one step.
pub(crate) struct Reconciler<'a, T, E, L, C> {
    pub services: &'a Services<T, E, L, C>,
    pub options: &'a ControllerOptions,
    pub session: &'a mut SessionHolder,
    pub fleet: &'a Fleet,
    pub slots: &'a mut SlotView,
    pub observations: &'a mut Observations,
    /// The addresses of all declared engines.
    pub declared: &'a BTreeSet<SocketAddr>,
    /// The former pools for which engines of this pool wait.
    pub awaited: &'a mut BTreeSet<PoolName>,
}

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> Reconciler<'_, T, E, L, C> {
    /// Advances all engines of a pool as far as possible now.
    pub async fn reconcile(&mut self, pool: &mut HeldPool, plan: &PoolPlan) {
        if !self.slots.has_room(self.options.max_loads) {
            // If this fails, the old view is safe: a load is recorded only if the row is unchanged.
            if let Err(err) = self.slots.refresh(&self.services.table).await {
                log::warn!("the load slots cannot be read: {err}");
            }
        }
        let left = pool.left_behind(plan, self.declared);
        self.read_states(pool, plan.engines.iter().chain(&left)).await;
        for engine in plan.engines.iter().chain(&left) {
            // Renew before each engine, so that a few slow engines do not let the session lapse, which
            // covers all pools.
            self.renew_session().await;
            let found = self.reconcile_engine(pool, plan, engine).await;
            if plan.engine(&engine.name).is_some() {
                if let Some(found) = found {
                    self.observations.engine(&engine.name, kinds::SETTLED, found);
                }
                self.observations.engine(
                    &engine.name,
                    kinds::SERVING,
                    serving_finding(pool, engine),
                );
            }
            if pool.is_lost() || pool.is_stale() {
                return;
            }
        }
    }

    async fn renew_session(&mut self) {
        let Services { table, clock, .. } = self.services;
        self.session.renew(table, clock, &self.options.lease).await;
    }

    /// Reads the states that are due, all concurrently.
    async fn read_states<'p>(
        &mut self,
        pool: &mut HeldPool,
        engines: impl Iterator<Item = &'p EnginePlan>,
    ) {
        let now = self.services.clock.now();
        let idle = self.options.idle_read_ms;
        let is_due = |engine: &&EnginePlan| {
            let memory = pool.engines.get(&engine.name);
            memory.is_none_or(|memory| memory.is_due(&pool.row, engine, now, idle))
        };
        let due: Vec<&EnginePlan> = engines.filter(is_due).collect();
        let reads = due.iter().map(|engine| self.services.engines.state(engine.address));
        let states = futures_util::future::join_all(reads).await;
        for (engine, state) in due.into_iter().zip(states) {
            let memory = pool.engines.entry(engine.name.clone()).or_default();
            match state {
                Ok(state) => memory.record(state, now),
                Err(err) => {
                    log::debug!("engine {} cannot be read: {err}", engine.name);
                    memory.answers = false;
                    memory.read = None;
                }
            }
        }
    }

    /// Advances one engine as far as possible now, and returns the finding on what it waits for, or
    /// `None` if the previous finding still applies.
    async fn reconcile_engine(
        &mut self,
        pool: &mut HeldPool,
        plan: &PoolPlan,
        engine: &EnginePlan,
    ) -> Option<Finding> {
        for _ in 0..MAX_DECISIONS {
            let memory = pool.engines.entry(engine.name.clone()).or_default();
            let Some(read) = memory.read.clone() else {
                let unreachable = memory_is_unreachable(memory);
                return unreachable.then(|| unreachable_finding(engine));
            };
            // This also records the progress of the drain, so it runs even if the pool may not give
            // orders to the engine.
            let decision = self.decide(pool, plan, engine, &read);
            log::debug!("engine {}: {decision:?}", engine.name);
            let claim = match self.claim(pool, plan, engine, &read).await {
                Ok(Claimed::OwnerRead) => {
                    self.read_again(pool, engine).await?;
                    continue;
                }
                Ok(Claimed::NotNeeded) => None,
                Ok(Claimed::Granted(claim)) => Some(claim),
                Ok(Claimed::Refused(finding)) => {
                    // The engine may serve while the pool waits.
                    self.unmark(pool, engine).await;
                    return Some(finding);
                }
                Err(err) => {
                    let message = format!("the engine's owner cannot be read: {err}");
                    return Some(Finding::new(false, reasons::TABLE_UNAVAILABLE, message));
                }
            };
            let (next, change) = match decision {
                Decision::Idle => {
                    return Some(Finding::new(true, reasons::AS_DESIRED, "as desired"));
                }
                Decision::Wait(wait) => return finding_of(&wait, pool, engine),
                Decision::Give(order) => {
                    self.give(pool, engine, &order).await;
                    self.read_again(pool, engine).await?;
                    continue;
                }
                Decision::RaiseTerm(seen) => (pool.row.raise(seen), RowChange::default()),
                Decision::Mark => {
                    let mut row = pool.row.clone();
                    row.drains.mark(&engine.name, DrainCause::Change);
                    (row, RowChange::default())
                }
                Decision::Unmark => {
                    let mut row = pool.row.clone();
                    row.drains.unmark(&engine.name, &DrainCause::Change);
                    (row, RowChange::default())
                }
                Decision::Record(order) => {
                    if claim == Some(Claim::HandOver) && is_drained_for_change(pool, engine) {
                        // An instance with an older configuration may route to the engine under its
                        // former name, for which no drain is marked; the order would abort its
                        // requests.
                        let lagging = self.fleet.lagging(engine.declared_at)?;
                        if !lagging.is_empty() {
                            return Some(lagging_finding(engine, &lagging));
                        }
                    }
                    let slot = load_slot(pool, engine);
                    let Some(change) = self.slots.take(&order, slot, self.options.max_loads) else {
                        return Some(Finding::of_wait(&Wait::WeightStore));
                    };
                    let recorded = self.record(pool, engine, &read, claim, order);
                    let Some((row, owner)) = recorded else {
                        return Some(changing_finding("the engine's owner must be read"));
                    };
                    (row, RowChange { slot: change, owner: Some(owner) })
                }
                Decision::Close => {
                    let slot = load_slot(pool, engine);
                    (pool.row.close(&engine.name), self.slots.free(&slot).into())
                }
            };
            let changes_owner = change.owner.is_some();
            let is_mark = next.drains.generation > pool.row.drains.generation;
            let now = self.services.clock.now();
            let written = pool.write(&self.services.table, next, self.slots, change, now).await;
            if changes_owner && (claim != Some(Claim::Held) || !matches!(written, Ok(true))) {
                // The owner has changed or is unknown.
                pool.engines.entry(engine.name.clone()).or_default().owner = None;
            }
            match written {
                Ok(true) => {}
                Ok(false) => return Some(changing_finding("another write changed the row first")),
                Err(err) => {
                    let message = format!("the pool's row cannot be written: {err}");
                    return Some(Finding::new(false, reasons::TABLE_UNAVAILABLE, message));
                }
            }
            if is_mark {
                // The instances must be read after the mark was written, which the next step does.
                return Some(changing_finding("the drain has been marked or lifted"));
            }
            self.read_again(pool, engine).await?;
        }
        Some(changing_finding("to be continued in the next step"))
    }

    /// Reads an engine's state again after a write or an order, because the next decision must see
    /// its effect. Returns `None` if the engine does not answer; the next step reports that.
    async fn read_again(&mut self, pool: &mut HeldPool, engine: &EnginePlan) -> Option<()> {
        let sent_at = self.services.clock.now();
        let state = self.services.engines.state(engine.address).await;
        let memory = pool.engines.get_mut(&engine.name)?;
        match state {
            Ok(state) => {
                memory.record(state, sent_at);
                Some(())
            }
            Err(_) => {
                memory.answers = false;
                memory.read = None;
                None
            }
        }
    }

    fn decide(
        &mut self,
        pool: &mut HeldPool,
        plan: &PoolPlan,
        engine: &EnginePlan,
        read: &StateRead,
    ) -> Decision {
        let now = self.services.clock.now();
        let mark = pool.row.drains.engines.get(&engine.name);
        // If the instances were not read in this step, the progress is unknown, which an empty set of
        // awaited instances represents.
        let unknown = DrainProgress::AwaitingInstances(Default::default());
        let progress = self.fleet.progress(&pool.name, &engine.name, mark);
        let is_marked = mark.is_some();
        let may_drain = pool.may_drain(plan);
        let may_order = self.session.may_order(pool.holder(), now, &self.options.lease);
        let memory = pool.engines.entry(engine.name.clone()).or_default();
        // Between two reads of the instances a complete drain stays complete, since a new instance
        // reads the mark before it routes. Otherwise the conditions would change back and forth.
        let is_acknowledged = progress
            .as_ref()
            .map_or(memory.drained, |progress| *progress == DrainProgress::Acknowledged);
        memory.drained = is_marked && is_acknowledged && read.state.open_requests == 0;
        let drain = progress.unwrap_or(unknown);
        let facts = EngineFacts {
            engine: &engine.name,
            fencing: effective_fencing(engine.fencing, &read.state, memory.lost_fence),
            state: &read.state,
            read_at: read.sent_at,
            uncleared_since: pool.uncleared_since,
            given: memory.given,
            desired: &engine.desired,
            drain,
            may_order,
            may_drain,
            may_load: self.slots.has_room(self.options.max_loads),
            recently_refused: memory.refused_until.is_some_and(|until| now < until),
        };
        let decision = decide(&pool.row, &facts, &self.options.settle);
        if plan.engine(&engine.name).is_some() {
            let fencing = fencing_finding(engine.fencing, &read.state, memory.lost_fence);
            self.observations.engine(&engine.name, kinds::FENCING, fencing);
        }
        decision
    }

    /// Gives a recorded order if enough of the lease is left, and records the outcome of the call.
    async fn give(&mut self, pool: &mut HeldPool, engine: &EnginePlan, order: &StampedOrder) {
        // Time has passed since the decision, and the order may have been recorded in between.
        let now = self.services.clock.now();
        if !self.session.may_order(pool.holder(), now, &self.options.lease) {
            return;
        }
        log::info!("engine {}: order {:?} at {:?}", engine.name, order.order, order.stamp);
        let reply = self.services.engines.order(engine.address, order).await;
        let now = self.services.clock.now();
        let Some(memory) = pool.engines.get_mut(&engine.name) else { return };
        let call = match reply {
            Ok(OrderReply::Accepted) => OrderCall::Accepted,
            Ok(OrderReply::Fenced { last }) => {
                log::warn!("engine {} has already accepted {last:?}", engine.name);
                OrderCall::NotTaken
            }
            Ok(OrderReply::Refused { reason }) => {
                log::warn!("engine {} refused {:?}: {reason}", engine.name, order.order);
                memory.refused_until = Some(now + self.options.refusal_pause_ms);
                OrderCall::NotTaken
            }
            Err(err) if err.verdict() == Verdict::NotRun => OrderCall::NotTaken,
            Err(err) => {
                log::warn!("engine {}: the answer to an order was lost: {err}", engine.name);
                OrderCall::InDoubt(now)
            }
        };
        memory.given = Some(GivenOrder { stamp: order.stamp, call });
    }
}

fn is_drained_for_change(pool: &HeldPool, engine: &EnginePlan) -> bool {
    pool.row.drains.is_marked_for(&engine.name, &DrainCause::Change)
}

fn load_slot(pool: &HeldPool, engine: &EnginePlan) -> LoadSlot {
    LoadSlot { pool: pool.name.clone(), engine: engine.name.clone() }
}
