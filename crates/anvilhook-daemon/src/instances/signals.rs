//! Receives the signals that stop the process gracefully.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// `StopSignals` waits for a signal to stop.
///
/// The HTTP library always stops its servers on SIGTERM, SIGINT and SIGHUP. An instance without
/// servers must not keep running, so all three signals stop the instance.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    /// Installs the signal handlers; from then on the signals no longer end the process.
    ///
    /// # Errors
    ///
    /// The operating system's error if a handler can't be installed.
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
