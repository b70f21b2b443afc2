//! What an engine is set up for, and the order that is changing it.

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
    /// Its place in the log of orders.
    pub(super) record: usize,
}

/// `Setup` is an engine's role, model and adapters.
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

    /// Returns the model, which is not served while another is being loaded in its place.
    pub(super) fn served_model(&self) -> Option<ModelRef> {
        match self.running.as_ref().map(|running| &running.order.order) {
            Some(Order::LoadModel { .. }) => None,
            _ => self.model.clone(),
        }
    }

    /// Checks that this kind of work can be taken now.
    pub(super) fn check(&self, kind: WorkKind) -> Result<(), Refused> {
        if self.running.as_ref().is_some_and(|running| takes_engine(&running.order.order)) {
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

    /// Says whether an order is taken.
    pub(super) fn reply_to(&self, order: &StampedOrder, checks_fencing: bool) -> OrderReply {
        if checks_fencing && order.stamp <= self.last_stamp {
            return OrderReply::Fenced { last: self.last_stamp };
        }
        if self.running.is_some() {
            return OrderReply::Refused { reason: Refused::Changing.to_string() };
        }
        OrderReply::Accepted
    }

    /// Returns whether everything is already as the order asks.
    pub(super) fn is_as_asked(&self, order: &Order) -> bool {
        match order {
            Order::SetRole { role } => self.role == *role,
            Order::LoadModel { model } => self.model.as_ref() == Some(model),
            Order::LoadAdapter { adapter } => self.adapters.contains(adapter),
        }
    }

    /// Makes everything as the order asks.
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

    /// Forgets what a process only holds in memory.
    pub(super) fn forget(&mut self) {
        self.adapters.clear();
        self.last_stamp = Stamp::default();
    }
}

/// Returns whether the engine serves nothing while it carries the order out.
pub(super) fn takes_engine(order: &Order) -> bool {
    match order {
        Order::SetRole { .. } | Order::LoadModel { .. } => true,
        Order::LoadAdapter { .. } => false,
    }
}

/// Returns how long carrying the order out takes.
pub(super) fn time_of(order: &Order, opts: &EngineOptions) -> Millis {
    match order {
        Order::SetRole { .. } => opts.role_change,
        Order::LoadModel { .. } => opts.model_load,
        Order::LoadAdapter { .. } => opts.adapter_load,
    }
}
