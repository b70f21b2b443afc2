//! `PlainServer`: starts an upstream of a plain service and controls it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use anvilhook_core::units::{Millis, SystemClock};

use super::handlers::router;
use super::ledgers::RunLedger;
use crate::faults::{Front, FrontOptions};

/// `PlainServerOptions` configures one upstream of a plain service.
#[derive(Clone, Debug)]
pub struct PlainServerOptions {
    /// The options of the listener.
    pub front: FrontOptions,
    /// The ledger of runs, which the service's upstreams can share.
    pub ledger: RunLedger,
    /// The clock of the ledger.
    pub clock: SystemClock,
    /// The duration of a call.
    pub run_time: Millis,
    /// The maximum number of calls that run at the same time; further calls are refused.
    pub max_open: u32,
}

impl Default for PlainServerOptions {
    fn default() -> Self {
        Self {
            front: FrontOptions::default(),
            ledger: RunLedger::default(),
            clock: SystemClock::new(),
            run_time: Millis::ZERO,
            max_open: 1_024,
        }
    }
}

/// `Plain` is the state shared by the handlers of the server's calls.
#[derive(Debug)]
pub(super) struct Plain {
    pub(super) front: Front,
    pub(super) ledger: RunLedger,
    pub(super) clock: SystemClock,
    pub(super) run_time: Millis,
    pub(super) max_open: u32,
    pub(super) open: AtomicU32,
    pub(super) reports: AtomicU64,
    pub(super) leaving: AtomicBool,
}

/// `PlainServer` is a handle on a running upstream of a plain service. Clones control the same
/// upstream.
#[derive(Clone, Debug)]
pub struct PlainServer {
    plain: Arc<Plain>,
}

impl PlainServer {
    /// Starts an upstream on tasks of the current runtime.
    ///
    /// # Errors
    ///
    /// The socket's error if the address cannot be bound.
    pub async fn start(opts: PlainServerOptions) -> io::Result<Self> {
        let binding = Front::bind(&opts.front).await?;
        let plain = Arc::new(Plain {
            front: binding.front().clone(),
            ledger: opts.ledger,
            clock: opts.clock,
            run_time: opts.run_time,
            max_open: opts.max_open,
            open: AtomicU32::new(0),
            reports: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        });
        binding.serve(router(&plain));
        Ok(Self { plain })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.plain.front.address()
    }

    /// Returns the handle on the server's port, its connections and the faults of calls.
    pub fn front(&self) -> &Front {
        &self.plain.front
    }

    /// Returns the ledger of runs.
    pub fn ledger(&self) -> &RunLedger {
        &self.plain.ledger
    }

    /// Sets whether the upstream reports that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.plain.leaving.store(leaving, Ordering::Release);
    }

    /// Imitates a crash of the process: resets the open connections and refuses new ones.
    pub async fn crash(&self) {
        self.plain.front.crash().await;
    }

    /// Starts the process again after a crash.
    pub async fn restart(&self) {
        self.plain.front.refuse_connections(false).await;
    }

    /// Stops the server, closes its connections and frees its port.
    pub async fn stop(&self) {
        self.plain.front.stop().await;
    }
}
