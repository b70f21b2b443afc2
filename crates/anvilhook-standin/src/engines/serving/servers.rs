//! `EngineServer`: starts an engine's HTTP server and controls it and its faults.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::{Clock, Millis, SystemClock};
use anvilhook_engine::wire::RESUME_WINDOW;
use tokio::sync::watch;

use super::handlers::router;
use super::hubs::Hub;
use super::ledgers::{AttemptEnd, AttemptRecord};
use super::pulls::KvPuller;
use crate::engines::{EngineModel, EngineOptions, OrderRecord};
use crate::faults::{Front, FrontOptions, Switches};

/// `OrderFault` is a fault in the delivery of one order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFault {
    /// The order reaches the engine only at `EngineServer::release_orders`, even if its sender has
    /// timed out by then.
    HeldBack,
    /// The order takes effect, and its answer is sent after this delay.
    AnsweredLate(Millis),
    /// The order takes effect, and the connection is closed without an answer.
    AnswerLost,
}

/// `EngineServerOptions` configures an engine and its HTTP server.
#[derive(Clone, Debug)]
pub struct EngineServerOptions {
    /// The options of the listener.
    pub front: FrontOptions,
    /// The options of the engine.
    pub engine: EngineOptions,
    /// The clock of the engine's logs. Logs of stand-ins that share a clock are comparable.
    pub clock: SystemClock,
    /// The time for which a stream without a reader is retained.
    pub resume_window: Millis,
}

impl Default for EngineServerOptions {
    fn default() -> Self {
        Self {
            front: FrontOptions::default(),
            engine: EngineOptions::default(),
            clock: SystemClock::new(),
            resume_window: RESUME_WINDOW,
        }
    }
}

/// `Engine` is the state shared by the handlers of the server's calls.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) hub: Arc<Hub>,
    pub(super) front: Front,
    pub(super) resumes: Switches,
    pub(super) pulls: Switches,
    pub(super) puller: KvPuller,
    loses_kv: AtomicBool,
    pull_count: AtomicU64,
    order_faults: Mutex<VecDeque<OrderFault>>,
    /// Signals that orders that are held back are released.
    releases: watch::Sender<()>,
}

/// `EngineServer` is a handle on a running engine. Clones control the same engine.
#[derive(Clone, Debug)]
pub struct EngineServer {
    engine: Arc<Engine>,
}

impl EngineServer {
    /// Starts an engine on tasks of the current runtime.
    ///
    /// # Errors
    ///
    /// The socket's error if the address cannot be bound.
    pub async fn start(opts: EngineServerOptions) -> io::Result<Self> {
        let binding = Front::bind(&opts.front).await?;
        let front = binding.front().clone();
        // A streamed answer needs an event for each token.
        let options = EngineOptions { token_events: true, ..opts.engine };
        let model = EngineModel::new(options, opts.clock.now());
        let engine = Arc::new(Engine {
            hub: Arc::new(Hub::new(model, opts.clock, opts.resume_window)),
            front: front.clone(),
            resumes: Switches::default(),
            pulls: Switches::default(),
            loses_kv: AtomicBool::new(false),
            pull_count: AtomicU64::new(0),
            puller: KvPuller::try_new().map_err(io::Error::other)?,
            order_faults: Mutex::default(),
            releases: watch::Sender::new(()),
        });
        binding.serve(router(&engine));

        let hub = engine.hub.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = hub.drive() => {}
                () = front.stopped() => {}
            }
        });
        Ok(Self { engine })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.engine.front.address()
    }

    /// Returns the handle on the server's port, its connections and the faults of completions.
    pub fn front(&self) -> &Front {
        &self.engine.front
    }

    /// Returns the fault switches of resumed streams.
    pub fn resumes(&self) -> &Switches {
        &self.engine.resumes
    }

    /// Returns the fault switches of the calls that make this engine fetch a KV cache.
    pub fn pulls(&self) -> &Switches {
        &self.engine.pulls
    }

    /// Returns how many calls to fetch a KV cache from another engine have reached this engine.
    pub fn pull_count(&self) -> u64 {
        self.engine.pull_count.load(Ordering::Acquire)
    }

    /// Sets whether the engine answers every KV export as not found, as if the cache were lost.
    pub fn set_loses_kv(&self, loses: bool) {
        self.engine.loses_kv.store(loses, Ordering::Release);
    }

    /// Plans the fault for the next order that has no planned fault yet.
    pub fn next_order(&self, fault: OrderFault) {
        let mut faults = self.engine.order_faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.push_back(fault);
    }

    /// Releases all orders that are held back.
    pub fn release_orders(&self) {
        self.engine.releases.send_replace(());
    }

    /// Terminates the engine's process: connections are reset, new ones are refused, and the state
    /// in memory is lost.
    pub async fn crash(&self) {
        self.engine.crash().await;
    }

    /// Starts the process again after a crash.
    pub async fn restart(&self) {
        self.engine.hub.with_model(|model, now| model.restart(now));
        self.engine.front.refuse_connections(false).await;
    }

    /// Sets whether the engine reports that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.engine.hub.with_model(|model, now| model.set_leaving(now, leaving));
    }

    /// Returns all attempts that reached the engine since its first start, in order.
    pub fn attempts(&self) -> Vec<AttemptRecord> {
        self.engine.hub.state().ledger.clone()
    }

    /// Waits until an attempt has reached the engine and has ended, and returns how it ended.
    pub async fn ended(&self, attempt: AttemptId) -> AttemptEnd {
        self.engine.hub.ended(attempt).await
    }

    /// Returns the open attempts, sorted.
    pub fn open_attempts(&self) -> Vec<AttemptId> {
        self.engine.hub.state().model.open_attempts()
    }

    /// Returns all orders that reached the engine since its first start, in order.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.engine.hub.state().model.orders().to_vec()
    }

    /// Stops the server, closes its connections and frees its port.
    pub async fn stop(&self) {
        self.engine.front.stop().await;
    }
}

impl Engine {
    pub(super) async fn crash(&self) {
        self.hub.crash();
        self.front.crash().await;
    }

    /// Waits until orders that are held back are released.
    pub(super) async fn wait_for_release(&self) {
        // The sender lives in `self`, so the channel cannot close during the wait.
        let _ = self.releases.subscribe().changed().await;
    }

    pub(super) fn count_pull(&self) {
        self.pull_count.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn loses_kv(&self) -> bool {
        self.loses_kv.load(Ordering::Acquire)
    }

    pub(super) fn take_order_fault(&self) -> Option<OrderFault> {
        self.order_faults.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }
}
