//! What the clients of each listener make an instance hold.

use anvilhook_core::client_bounds::ClientBounds;
use anvilhook_http::{ClientBudget, ClientHold};
use http::Extensions;

/// `ClientBudgets` holds the budget of each listener, so that clients of one can't take what those of another need.
#[derive(Clone, Debug)]
pub(crate) struct ClientBudgets {
    /// The budget of callers.
    pub callers: ClientBudget,
    /// The budget of other instances.
    pub instances: ClientBudget,
    /// The budget of readiness checks.
    pub readiness: ClientBudget,
    /// The budget of operators.
    pub control: ClientBudget,
}

impl ClientBudgets {
    /// Creates the budgets of an instance whose clients hold nothing yet.
    pub fn new(bounds: &ClientBounds) -> Self {
        Self {
            callers: ClientBudget::new(bounds.callers),
            instances: ClientBudget::new(bounds.instances),
            readiness: ClientBudget::new(bounds.operators),
            control: ClientBudget::new(bounds.operators),
        }
    }

    /// Returns the bytes of all bodies of requests.
    pub fn body_bytes(&self) -> usize {
        self.callers.body_bytes() + self.instances.body_bytes()
    }

    /// Returns what the client of a request holds. A request that did not come through a listener counts as a caller's.
    pub fn hold_of(&self, extensions: &Extensions) -> ClientHold {
        let hold = extensions.get::<ClientHold>().cloned();
        hold.unwrap_or_else(|| ClientHold::detached(&self.callers))
    }
}
