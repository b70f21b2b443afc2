//! The signals that stop the process gracefully.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// `StopSignals` waits for a signal to stop.
///
/// The HTTP library takes SIGTERM, SIGINT and SIGHUP for an order to stop, and offers no choice. An
/// instance whose servers stop must not go on as if nothing had happened, so all three stop it.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    /// Begins to catch the signals, which end the process no longer.
    ///
    /// # Errors
    ///
    /// The system's error if a signal cannot be caught.
    pub fn try_new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the first of the signals and returns its name.
    pub async fn received(mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
            _ = self.hangup.recv() => "SIGHUP",
        }
    }
}
