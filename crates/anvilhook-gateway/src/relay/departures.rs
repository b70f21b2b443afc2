//! Logs requests whose callers leave before they are answered.

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};

use super::Gateway;
use super::requests::Exchange;
use crate::events::{RequestEvent, emit};
use crate::wires::Wire;

/// `DepartureWatch` logs a request whose caller leaves before it is answered. The server then drops the
/// request's future, so nothing else would log its outcome.
pub(super) struct DepartureWatch<W: Wire, C: Clock> {
    gateway: Gateway<W, C>,
    request: Arc<str>,
    arrived_at: Millis,
    /// Whether the request has been answered.
    pub is_over: bool,
}

impl<W: Wire, C: Clock> DepartureWatch<W, C> {
    pub fn new(gateway: Gateway<W, C>, exchange: &Exchange) -> Self {
        let (request, arrived_at) = (Arc::clone(&exchange.id), exchange.arrived_at);
        Self { gateway, request, arrived_at, is_over: false }
    }
}

impl<W: Wire, C: Clock> Drop for DepartureWatch<W, C> {
    fn drop(&mut self) {
        if !self.is_over {
            let took_ms = (self.gateway.now() - self.arrived_at).0;
            emit(&RequestEvent::CallerLeft { request: &self.request, took_ms });
        }
    }
}
