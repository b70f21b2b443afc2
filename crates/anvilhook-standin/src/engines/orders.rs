//! The log of orders that an engine received, which invariant checks read.

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::{OrderReply, StampedOrder};
use anvilhook_core::units::Millis;

/// `OrderEnd` says what became of an accepted order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// It was carried out.
    Done {
        /// When.
        at: Millis,
    },
    /// The engine crashed amid it.
    Interrupted {
        /// When.
        at: Millis,
    },
}

/// `OrderRecord` is one order as an engine received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderRecord {
    /// When it was received.
    pub at: Millis,
    /// The engine's boot number then.
    pub boot: u64,
    /// The order with its stamp.
    pub order: StampedOrder,
    /// What the engine replied.
    pub reply: OrderReply,
    /// The requests that were open then.
    pub open: Vec<AttemptId>,
    /// Those of them that the order cut. A drain exists to keep this empty.
    pub cut: Vec<AttemptId>,
    /// What became of it; none for a refused order and one that is still being carried out.
    pub end: Option<OrderEnd>,
}
