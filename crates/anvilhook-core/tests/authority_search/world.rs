//! Simulates two or three instances, the table, engines, and messages that can be late or lost.
//!
//! The core makes every decision; the world only executes it, one step at a time. An instance that does
//! not take a step is paused, so a pause is possible between any two steps.

use std::collections::BTreeSet;
use std::rc::Rc;

use anvilhook_core::authority::{GivenOrder, OrderCall, PoolRow, SessionView};
use anvilhook_core::leases::{LeaseOptions, OwnSession, SessionRow, Watch};
use anvilhook_core::names::{InstanceName, UpstreamName};
use anvilhook_core::orders::{EngineState, Order, Role, Stamp, StampedOrder, Term};
use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Millis;

/// `Case` bounds which faults and renewals may happen in a search, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    pub engines: &'static [Fencing],
    /// The length of each instance's session. The first instance holds the pool at the start.
    pub lengths: &'static [u64],
    /// The time at which the search ends.
    pub end: Millis,
    pub renewals: u8,
    pub lost_answers: u8,
    pub kills: u8,
    pub crashes: u8,
    pub terms: u64,
    /// Whether the first instance may release the pool.
    pub releases: bool,
}

/// `Defect` selects the rule that the harness disables in a search.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Defect {
    None,
    NoEvidence,
    NoLeaseCheck,
    NoReadBeforeOrder,
    NoRecordBeforeOrder,
    UnmarkedTooEarly,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Engine {
    pub fencing: ChecksFencing,
    pub role: Role,
    pub last_stamp: Stamp,
    pub running: Option<(Stamp, Order)>,
    /// The highest term whose order took effect. It survives restarts of the engine.
    pub applied_term: Term,
}

/// `ChecksFencing` indicates whether an engine checks fencing numbers. It is true for `Fencing::Checks`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ChecksFencing(pub bool);

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Message {
    pub sender: usize,
    pub engine: usize,
    pub stamp: Stamp,
    pub order: Order,
    /// Set once the sender has closed the connection. The engine cannot read the message from this time on.
    pub expires_at: Option<Millis>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Held {
    pub row: Rc<PoolRow>,
    pub version: u64,
    pub uncleared_since: Millis,
}

/// `Next` is the step that an instance has chosen. The instance may be paused before it executes the step.
///
/// An order becomes a message as soon as it is decided. While the message is in transit, a sender that
/// is paused before sending can't be distinguished from one that has sent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Next {
    Choose,
    Renew(SessionRow),
    ReadBackSession,
    ReadBackPool,
    Write(Rc<PoolRow>, u64),
    Take(Rc<PoolRow>, u64, Option<(SessionRow, u64)>),
    AwaitAnswer(usize, Stamp),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Instance {
    pub alive: bool,
    pub own: OwnSession,
    pub watches: [Watch; 3],
    pub held: Option<Held>,
    pub next: Next,
    pub given: [Option<GivenOrder>; 2],
    pub renewals: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub now: Millis,
    pub pool: (Rc<PoolRow>, u64),
    pub sessions: Vec<(Rc<SessionRow>, u64)>,
    pub instances: Vec<Instance>,
    pub engines: Vec<Engine>,
    pub messages: Vec<Message>,
    pub lost_answers: u8,
    pub kills: u8,
    pub crashes: u8,
}

/// The time by which the clock advances in one step.
pub const TICK: Millis = Millis(10);

/// `Violation` describes the rule that was violated.
pub type Violation = &'static str;

/// The role that each instance orders for all engines.
pub const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

pub fn lease_options() -> LeaseOptions {
    LeaseOptions {
        length_ms: Millis(28),
        renew_every_ms: TICK,
        guard_ms: TICK,
        clock_rate_bound_ppm: 0,
        margin_ms: Millis(0),
    }
}

pub fn instance_name(index: usize) -> InstanceName {
    InstanceName::try_new(["entry-1", "entry-2", "entry-3"][index]).unwrap()
}

pub fn instance_index(name: &InstanceName) -> usize {
    (0..ROLES.len()).find(|index| instance_name(*index) == *name).unwrap()
}

pub fn engine_name(index: usize) -> UpstreamName {
    UpstreamName::try_new(["checks", "ignores"][index]).unwrap()
}

impl World {
    /// Returns the initial world: all instances have opened their sessions, and the first holds the pool.
    pub fn new(case: &Case) -> World {
        let mut sessions: Vec<(Rc<SessionRow>, u64)> = Vec::new();
        let mut instances: Vec<Instance> = Vec::new();
        for (index, length) in case.lengths.iter().enumerate() {
            let mut own = OwnSession::new(instance_name(index), Millis(*length), None);
            let row = own.begin(Millis::ZERO);
            own.confirm();
            sessions.push((Rc::new(row), 1));
            instances.push(Instance {
                alive: true,
                own,
                watches: Default::default(),
                held: None,
                next: Next::Choose,
                given: [None; 2],
                renewals: case.renewals,
            });
        }
        // Every instance has read all sessions once, so that the waits for their ends have begun.
        for instance in &mut instances {
            for (watch, (row, version)) in instance.watches.iter_mut().zip(&sessions) {
                watch.observe(row, *version, Millis::ZERO, &lease_options());
            }
        }
        let first = instances[0].own.session().clone();
        let row = Rc::new(PoolRow::default().take(&first, SessionView::Ended).unwrap());
        instances[0].held =
            Some(Held { row: row.clone(), version: 1, uncleared_since: Millis::ZERO });
        let engine = |fencing: &Fencing| Engine {
            fencing: ChecksFencing(*fencing == Fencing::Checks),
            role: Role::Mixed,
            last_stamp: Stamp::default(),
            running: None,
            applied_term: Term(0),
        };
        World {
            now: Millis::ZERO,
            pool: (row, 1),
            sessions,
            instances,
            engines: case.engines.iter().map(engine).collect(),
            messages: Vec::new(),
            lost_answers: case.lost_answers,
            kills: case.kills,
            crashes: case.crashes,
        }
    }

    pub fn state(&self, engine: usize) -> EngineState {
        let engine = &self.engines[engine];
        let running = engine.running.clone();
        EngineState {
            checks_fencing: engine.fencing.0,
            boot: 1,
            role: engine.role,
            model: None,
            adapters: Vec::new(),
            last_stamp: engine.last_stamp,
            running_order: running.map(|(stamp, order)| StampedOrder { stamp, order }),
            open_requests: 0,
        }
    }

    /// Delivers a message to its engine. Returns whether the engine accepted the order.
    pub fn deliver(&mut self, message: &Message) -> Result<bool, Violation> {
        let marked = self.pool.0.drains.is_marked(&engine_name(message.engine));
        let engine = &mut self.engines[message.engine];
        if engine.fencing.0 && message.stamp <= engine.last_stamp {
            return Ok(false);
        }
        if message.stamp.term < engine.applied_term {
            return Err("an order of an earlier term took effect after one of a later term");
        }
        if let Some((_, running)) = &engine.running {
            let same = *running == message.order;
            return if same {
                Ok(false)
            } else {
                Err("an order arrived while a different one was running")
            };
        }
        if !marked {
            return Err("an order took effect while the engine was serving");
        }
        engine.applied_term = message.stamp.term;
        engine.last_stamp = engine.last_stamp.max(message.stamp);
        engine.running = Some((message.stamp, message.order.clone()));
        Ok(true)
    }

    /// Completes the running order of an engine.
    pub fn finish(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];
        if let Some((_, Order::SetRole { role })) = engine.running.take() {
            engine.role = role;
        }
    }

    /// Restarts an engine's process in the role that it had before its running order.
    pub fn crash(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];
        engine.running = None;
        if !engine.fencing.0 {
            engine.last_stamp = Stamp::default();
        }
    }

    /// Returns the world without details that can't affect later steps, so that equivalent worlds count
    /// as one state. These are the exact age of times older than any bound, versions that are no longer
    /// current, calls whose order is closed, and the state of dead instances.
    ///
    /// If `drops_lapsed` is set, the pool that a replaced holder still has in memory is removed too, once its
    /// lease has lapsed and cannot be renewed: such a holder gives no more orders, and its writes fail.
    pub fn normalized(mut self, delivery_bound: Millis, drops_lapsed: bool) -> World {
        let current = self.pool.1;
        let oldest = self.now - delivery_bound;
        let stored = self.pool.0.clone();
        for instance in &mut self.instances {
            if !instance.alive {
                instance.held = None;
                instance.next = Next::Choose;
                instance.watches = Default::default();
                instance.given.fill(None);
                continue;
            }
            let replaced = |held: &Held| held.row.term < stored.term;
            let lapsed = drops_lapsed
                && instance.renewals == 0
                && !instance.own.may_order(self.now, &lease_options());
            if lapsed && instance.held.as_ref().is_some_and(replaced) {
                instance.held = None;
                if matches!(instance.next, Next::Write(..)) {
                    instance.next = Next::Choose;
                }
            }
            let renumber = |version: u64| u64::from(version == current);
            if let Some(held) = &mut instance.held {
                held.version = renumber(held.version);
                held.uncleared_since = held.uncleared_since.max(oldest);
            }
            match &mut instance.next {
                Next::Write(_, version) | Next::Take(_, version, _) => {
                    *version = renumber(*version)
                }
                _ => {}
            }
            for (index, given) in instance.given.iter_mut().enumerate() {
                let held = instance.held.as_ref().map(|held| &held.row.open);
                let rows = [Some(&stored.open), held];
                let name = engine_name(index);
                let is_open = |stamp| {
                    let mut orders = rows.iter().flatten().filter_map(|row| row.get(&name));
                    orders.any(|order| order.stamp == stamp)
                };
                *given = given.filter(|given| is_open(given.stamp));
                if let Some(GivenOrder { call: OrderCall::InDoubt(at), .. }) = given {
                    *at = (*at).max(oldest);
                }
            }
        }
        self.pool.1 = 1;
        self
    }

    /// Returns the instances whose process has terminated.
    pub fn dead_instances(&self) -> BTreeSet<InstanceName> {
        let dead = (0..self.instances.len()).filter(|index| !self.instances[*index].alive);
        dead.map(instance_name).collect()
    }
}
