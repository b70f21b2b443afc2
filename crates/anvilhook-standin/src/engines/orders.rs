//! The records of the orders that an engine received, for invariant checks.

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::{OrderReply, StampedOrder};
use anvilhook_core::units::Millis;

/// `OrderEnd` is the outcome of an accepted order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// The order was carried out.
    Done {
        /// When it was completed.
        at: Millis,
    },
    /// The engine crashed while it carried out the order.
    Interrupted {
        /// When the engine crashed.
        at: Millis,
    },
}

/// `OrderRecord` records one received order and its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderRecord {
    /// When the order was received.
    pub at: Millis,
    /// The engine's boot number at that time.
    pub boot: u64,
    /// The order with its stamp.
    pub order: StampedOrder,
    /// The engine's reply.
    pub reply: OrderReply,
    /// The requests that were open when the order was received.
    pub open: Vec<AttemptId>,
    /// The open requests that the order dropped. After a complete drain this is empty.
    pub cut: Vec<AttemptId>,
    /// The outcome; `None` for a refused order and for one that is still being carried out.
    pub end: Option<OrderEnd>,
}
