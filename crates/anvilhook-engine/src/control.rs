//! Control interface of a model engine: reads its state, load and cache events, and sends it orders.

use std::future::Future;
use std::net::SocketAddr;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::{EngineState, OrderReply, StampedOrder};
use anvilhook_core::reports::{CacheEventPage, LoadReport};

use crate::errors::Result;

/// `EngineControl` reads the state of engines and gives them orders.
pub trait EngineControl: Clone + Send + Sync + 'static {
    /// Reads the engine's actual state, without lag.
    fn state(&self, engine: SocketAddr) -> impl Future<Output = Result<EngineState>> + Send;

    /// Reads the engine's load report, which lags behind its actual load.
    fn report(&self, engine: SocketAddr) -> impl Future<Output = Result<LoadReport>> + Send;

    /// Reads the cache events with numbers above `after`.
    fn cache_events(
        &self,
        engine: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<CacheEventPage>> + Send;

    /// Gives an order. After an error whose verdict is not `NotRun` the order is in doubt, and the
    /// engine's state must be read before the next one.
    fn order(
        &self,
        engine: SocketAddr,
        order: &StampedOrder,
    ) -> impl Future<Output = Result<OrderReply>> + Send;

    /// Cancels an attempt's work. Cancelling an attempt that has ended has no effect.
    fn cancel(
        &self,
        engine: SocketAddr,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<()>> + Send;
}
