//! The shares of client accounts in the capacity of a service.

use anvilhook_core::units::Clock;

use crate::relay::{Exchange, Gateway};
use crate::wires::Wire;

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Returns what a request's client account had above its share, as a factor; 0 within its share.
    pub(crate) fn account_excess(&self, _exchange: &Exchange) -> f64 {
        0.0
    }
}
