//! The requests in flight at this instance, and the doors that a graceful stop closes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_http::{Phase, Shutdown};
use tokio::sync::Notify;

/// `NotAdmitted` says why a request is refused before anything is done for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotAdmitted {
    /// The instance is stopping.
    Stopping,
    /// As many requests are open as the settings allow.
    TooManyOpen,
}

/// `InFlight` counts the requests in flight. Clones share the count.
///
/// ```
/// use anvilhook_daemon::in_flight::{InFlight, NotAdmitted};
/// use anvilhook_http::{Phase, Shutdown};
///
/// let shutdown = Shutdown::new();
/// let in_flight = InFlight::new(shutdown.clone(), 1);
/// let first = in_flight.try_enter().unwrap();
/// assert_eq!(in_flight.try_enter().unwrap_err(), NotAdmitted::TooManyOpen);
///
/// drop(first);
/// shutdown.advance(Phase::Draining);
/// assert_eq!(in_flight.try_enter().unwrap_err(), NotAdmitted::Stopping);
/// ```
#[derive(Clone, Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    open: AtomicU64,
    idle: Notify,
    shutdown: Shutdown,
    max_open: u64,
}

impl InFlight {
    /// Counts from zero, up to `max_open` at once, until the phase is past `Serving`.
    pub fn new(shutdown: Shutdown, max_open: u32) -> Self {
        let shared = Shared {
            open: AtomicU64::new(0),
            idle: Notify::new(),
            shutdown,
            max_open: u64::from(max_open),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Counts a request in. It is counted out when the guard is dropped, which must be after the
    /// last byte of its answer has been handed to the connection.
    ///
    /// # Errors
    ///
    /// `NotAdmitted` if the request must be refused as not run.
    pub fn try_enter(&self) -> Result<InFlightGuard, NotAdmitted> {
        let before = self.shared.open.fetch_add(1, Ordering::SeqCst);
        let guard = InFlightGuard { shared: Arc::clone(&self.shared) };

        // The phase is read after the count has risen. Read before, a stop between the two would
        // find nothing in flight, close the connections and cut this request.
        if self.shared.shutdown.phase() != Phase::Serving {
            return Err(NotAdmitted::Stopping);
        }
        if before >= self.shared.max_open {
            return Err(NotAdmitted::TooManyOpen);
        }
        Ok(guard)
    }

    /// Returns how many requests are in flight.
    pub fn open(&self) -> u64 {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        loop {
            let notified = self.shared.idle.notified();
            if self.open() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// `InFlightGuard` counts one request as in flight as long as it lives.
#[derive(Debug)]
pub struct InFlightGuard {
    shared: Arc<Shared>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.shared.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.shared.idle.notify_waiters();
        }
    }
}
