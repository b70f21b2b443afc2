//! Waits for the signals of an instance: SIGHUP rereads its settings, and SIGTERM stops it.

use std::io;

use anvilhook_core::stops::{SIGNAL_CHECK_INTERVAL, SignalWatch, Stop};
use anvilhook_core::units::{Clock, Millis};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

use crate::events::{InstanceEvent, emit};
use crate::relay::Gateway;
use crate::reloads::{OptionSource, Reloader};
use crate::wires::Wire;

/// The interval at which the settings are checked for changes without a signal.
const RELOAD_INTERVAL: Millis = Millis(1_000);

/// `InstanceSignals` waits for the signals of an instance.
#[derive(Debug)]
pub(super) struct InstanceSignals {
    terminate: Signal,
    hangup: Signal,
    watch: SignalWatch,
}

impl InstanceSignals {
    /// Installs the signal handlers; from then on neither signal ends the process.
    ///
    /// # Errors
    ///
    /// The operating system's error if a handler can't be installed.
    pub fn try_new(now: Millis) -> io::Result<Self> {
        let (terminate, hangup) = (SignalKind::terminate(), SignalKind::hangup());
        let watch = SignalWatch::new(now);
        Ok(Self { terminate: signal(terminate)?, hangup: signal(hangup)?, watch })
    }

    /// Waits for SIGTERM, and applies changed settings until then. Returns the schedule of the stop.
    ///
    /// The grace period counts from when the signal was sent. An instance that was suspended meanwhile is killed at
    /// the end of that period all the same, and would truncate what it accepts after that.
    pub async fn planned_stop<W: Wire, C: Clock, S: OptionSource>(
        mut self,
        clock: &C,
        gateway: &Gateway<W, C>,
        reloader: &mut Reloader<S, W, C>,
    ) -> Stop {
        let mut reloads = interval(RELOAD_INTERVAL.as_duration());
        let mut checks = interval(SIGNAL_CHECK_INTERVAL.as_duration());
        // Checks that were missed in a suspension are not made up for: several at once would exclude nothing.
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // In this order, a check that is due together with a signal does not take its place.
            tokio::select! {
                biased;
                _ = self.terminate.recv() => break,
                _ = self.hangup.recv() => {
                    self.log("SIGHUP", clock.now(), gateway);
                    reloader.check(true);
                }
                _ = checks.tick() => self.watch.record_check(clock.now()),
                _ = reloads.tick() => reloader.check(false),
            }
        }
        let now = clock.now();
        self.log("SIGTERM", now, gateway);
        // The grace period may have been shortened since the last check, with or without a signal that is still
        // pending.
        reloader.check(false);
        Stop::plan(self.watch.sent_at(now), reloader.tunables().grace)
    }

    fn log<W: Wire, C: Clock>(&self, signal: &str, now: Millis, gateway: &Gateway<W, C>) {
        let (in_flight, unchecked_ms) = (gateway.in_flight(), self.watch.unchecked(now).0);
        emit(&InstanceEvent::Signalled { signal, in_flight, unchecked_ms });
    }
}
