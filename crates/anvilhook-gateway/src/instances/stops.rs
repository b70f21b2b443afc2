//! Stops an instance: completes its requests within the time that is left.

use anvilhook_core::stops::{NOTICE_TIME, Stop, StopEnd};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::{Phase, Shutdown};
use tokio::time::sleep;

use crate::relay::Gateway;
use crate::wires::Wire;

/// How long a stopping instance must have nothing in flight before it ends.
const QUIET_TIME: Millis = Millis(150);

/// The interval between two checks of what is in flight.
const CHECK_INTERVAL: Millis = Millis(20);

/// The time to send the last bytes of answers.
pub(super) const FLUSH_TIME: Millis = Millis(300);

/// Completes all requests within the time available.
///
/// New connections are accepted until no more arrive. Then the listener is closed, and requests on
/// open connections are still served if they are certain to complete in time. At last, further
/// requests are refused as not run: a request that began in the last moment of the process would be
/// truncated. A request without an answer at the end gets one; answers have a moment more to leave the
/// process.
pub async fn stop<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    shutdown: &Shutdown,
    clock: &C,
    schedule: Stop,
) {
    let now = clock.now();
    // Load balancers notice the stop from now on, also if the signal was sent long ago.
    let noticed_at = now + NOTICE_TIME;
    let accepts_until = schedule.accepts_until();
    gateway.begin_stop(schedule);
    let mut waiting = Waiting { gateway, clock, checked_at: None };
    waiting.quiet(noticed_at, accepts_until).await;
    shutdown.advance(Phase::Closed);
    waiting.quiet(Millis::ZERO, accepts_until).await;
    gateway.refuse_new();
    waiting.ended(schedule).await;
    gateway.end();
    let flushed_at = clock.now() + FLUSH_TIME;
    waiting.quiet(Millis::ZERO, flushed_at).await;
}

/// `Waiting` checks repeatedly what is in flight.
struct Waiting<'a, W: Wire, C: Clock> {
    gateway: &'a Gateway<W, C>,
    clock: &'a C,
    /// When it checked last.
    checked_at: Option<Millis>,
}

impl<W: Wire, C: Clock> Waiting<'_, W, C> {
    /// Waits until nothing has been in flight for [`QUIET_TIME`], not before `earliest` and at most until `latest`.
    async fn quiet(&mut self, earliest: Millis, latest: Millis) {
        let mut quiet_since = None;
        loop {
            let now = self.clock.now();
            if now >= latest || (self.is_quiet(&mut quiet_since, now) && now >= earliest) {
                return;
            }
            self.checked_at = Some(now);
            sleep(CHECK_INTERVAL.as_duration()).await;
        }
    }

    /// Waits until nothing has been in flight for [`QUIET_TIME`], at most until the end of the instance's work.
    async fn ended(&mut self, schedule: Stop) {
        let mut quiet_since = None;
        loop {
            let now = self.clock.now();
            match schedule.end(self.checked_at, now) {
                StopEnd::Later if self.is_quiet(&mut quiet_since, now) => return,
                StopEnd::Later => {}
                StopEnd::After(time) => return sleep(time.as_duration()).await,
                StopEnd::Now => return,
            }
            self.checked_at = Some(now);
            sleep(CHECK_INTERVAL.as_duration()).await;
        }
    }

    /// Returns whether nothing has been in flight for [`QUIET_TIME`] at `now`.
    fn is_quiet(&self, quiet_since: &mut Option<Millis>, now: Millis) -> bool {
        // Requests that arrived during a suspension have not been read yet.
        let was_suspended = self.checked_at.is_some_and(|at| now - at >= QUIET_TIME);
        if was_suspended || self.gateway.in_flight() > 0 {
            *quiet_since = None;
        }
        now - *quiet_since.get_or_insert(now) >= QUIET_TIME
    }
}
