//! The role, model and adapters of an engine, and the order that is changing them.

use anvilhook_core::names::ModelName;
use anvilhook_core::orders::{ModelRef, Order, OrderReply, Role, Stamp, StampedOrder};
use anvilhook_core::units::Millis;

use super::events::{Refused, WorkKind};
use super::options::EngineOptions;

/// `RunningOrder` is an order that is being carried out.
#[derive(Clone, Debug)]
pub(super) struct RunningOrder {
    pub(super) order: StampedOrder,
    pub(super) done_at: Millis,
    /// The index of its record in the order log.
    pub(super) record: usize,
}

/// `Setup` holds an engine's role, model and adapters, its last accepted stamp and the running
/// order.
#[derive(Clone, Debug)]
pub(super) struct Setup {
    pub(super) role: Role,
    model: Option<ModelRef>,
    pub(super) adapters: Vec<ModelName>,
    pub(super) last_stamp: Stamp,
    pub(super) running: Option<RunningOrder>,
}

impl Setup {
    pub(super) fn new(opts: &EngineOptions) -> Self {
        Self {
            role: opts.role,
            model: opts.model.clone(),
            adapters: Vec::new(),
            last_stamp: Stamp::default(),
            running: None,
        }
    }

    /// Returns the model that is served, or `None` while another model is being loaded.
    pub(super) fn served_model(&self) -> Option<ModelRef> {
        match self.running.as_ref().map(|running| &running.order.order) {
            Some(Order::LoadModel { .. }) => None,
            _ => self.model.clone(),
        }
    }

    /// Checks that the engine can accept this kind of work now.
    pub(super) fn check(&self, kind: WorkKind) -> Result<(), Refused> {
        if self.running.as_ref().is_some_and(|running| suspends_serving(&running.order.order)) {
            return Err(Refused::Changing);
        }
        if self.model.is_none() {
            return Err(Refused::NoModel);
        }
        match (self.role, kind) {
            (Role::Mixed, _)
            | (Role::Prefill, WorkKind::Prefill)
            | (Role::Decode, WorkKind::Decode) => Ok(()),
            _ => Err(Refused::WrongRole),
        }
    }

    /// Returns the reply to an order: accepted, fenced or refused.
    pub(super) fn reply_to(&self, order: &StampedOrder, checks_fencing: bool) -> OrderReply {
        if checks_fencing && order.stamp <= self.last_stamp {
            return OrderReply::Fenced { last: self.last_stamp };
        }
        if self.running.is_some() {
            return OrderReply::Refused { reason: Refused::Changing.to_string() };
        }
        OrderReply::Accepted
    }

    /// Returns whether the order's desired state is already reached.
    pub(super) fn is_satisfied(&self, order: &Order) -> bool {
        match order {
            Order::SetRole { role } => self.role == *role,
            Order::LoadModel { model } => self.model.as_ref() == Some(model),
            Order::LoadAdapter { adapter } => self.adapters.contains(adapter),
        }
    }

    /// Applies the order's desired state.
    pub(super) fn apply(&mut self, order: &Order) {
        match order {
            Order::SetRole { role } => self.role = *role,
            Order::LoadModel { model } => {
                self.model = Some(model.clone());
                self.adapters.clear();
            }
            Order::LoadAdapter { adapter } => self.adapters.push(adapter.clone()),
        }
    }

    /// Clears the state that a process holds only in memory.
    pub(super) fn clear_volatile(&mut self) {
        self.adapters.clear();
        self.last_stamp = Stamp::default();
    }
}

/// Returns whether the engine stops serving requests while it carries out the order.
pub(super) fn suspends_serving(order: &Order) -> bool {
    match order {
        Order::SetRole { .. } | Order::LoadModel { .. } => true,
        Order::LoadAdapter { .. } => false,
    }
}

/// Returns the time that the engine needs to carry out the order.
pub(super) fn duration_of(order: &Order, opts: &EngineOptions) -> Millis {
    match order {
        Order::SetRole { .. } => opts.role_change,
        Order::LoadModel { .. } => opts.model_load,
        Order::LoadAdapter { .. } => opts.adapter_load,
    }
}
