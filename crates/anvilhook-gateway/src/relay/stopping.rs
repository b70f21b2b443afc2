//! The end of an instance, and what it still takes on before.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use anvilhook_core::stops::{Acceptance, Stop};
use anvilhook_core::units::{Clock, Millis};
use tokio::sync::watch;

use super::Gateway;
use super::requests::Exchange;
use crate::configs::Repeats;
use crate::events::{Event, emit};
use crate::wires::Wire;

/// The reason of refusals by an instance that stops.
pub(super) const STOPPING: &str = "stopping";

/// How many times its objective a plain request is expected to take. One that takes longer gets a whole
/// answer at the end, unlike a stream.
const PLAIN_FACTOR: u64 = 2;

/// `Stopping` is how far an instance has come in its stop.
pub(super) struct Stopping {
    stop: OnceLock<Stop>,
    takes_none: AtomicBool,
    end: watch::Sender<bool>,
}

impl Stopping {
    /// Makes the state of an instance that runs.
    pub fn new() -> Self {
        let (stop, takes_none) = (OnceLock::new(), AtomicBool::new(false));
        Self { stop, takes_none, end: watch::Sender::new(false) }
    }
}

/// `Weighed` is a request that was weighed against the end of its instance.
struct Weighed {
    left: Millis,
    limit: Millis,
    expected_ms: Option<f64>,
    taking: Acceptance,
}

impl Weighed {
    fn log(&self, exchange: &Exchange, taking: &str) {
        emit(&Event::StopWeighed {
            request: &exchange.id,
            left_ms: self.left.0,
            limit_ms: self.limit.0,
            expected_ms: self.expected_ms.map(|ms| ms as u64),
            taking,
        });
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Notes that the instance stops. Requests are still served, but for those that its end could cut.
    pub fn begin_stop(&self, stop: Stop) {
        // Who begins it again doesn't put the end off.
        self.inner.stopping.stop.get_or_init(|| stop);
    }

    /// Has every request that comes from now on refused.
    pub fn refuse_new(&self) {
        self.inner.stopping.takes_none.store(true, Ordering::Release);
    }

    /// Ends the instance's work: whoever has no answer yet is told at once whether the request may have
    /// run. Otherwise callers would have to find out by a closed connection, which promises nothing.
    pub fn end(&self) {
        self.refuse_new();
        self.inner.stopping.end.send_replace(true);
    }

    pub(super) fn takes_none(&self) -> bool {
        self.inner.stopping.takes_none.load(Ordering::Acquire)
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.inner.stopping.stop.get().is_some()
    }

    pub(super) fn has_ended(&self) -> bool {
        *self.inner.stopping.end.borrow()
    }

    /// Waits until the instance's work ends.
    pub(super) async fn ended(&self) {
        let mut rx = self.inner.stopping.end.subscribe();
        // The sender lives in the gateway, so the channel can't close during the wait.
        let _ = rx.wait_for(|has_ended| *has_ended).await;
    }

    /// Returns whether the instance's end could cut a request that is sent now, which is then refused. To
    /// be asked right before each send: the signal to stop may have come while the request waited, or its
    /// prompt was read.
    pub(super) fn may_be_cut(&self, exchange: &Exchange) -> bool {
        let weighed = self.weigh(exchange);
        let refused = weighed.filter(|weighed| weighed.taking == Acceptance::Refused);
        refused.inspect(|weighed| weighed.log(exchange, weighed.taking.as_str())).is_some()
    }

    /// Logs why a request is sent, if the instance stops.
    pub(super) fn log_taken(&self, exchange: &Exchange) {
        let Some(weighed) = self.weigh(exchange) else { return };
        let taking = match weighed.taking {
            // Only a stream that goes on after a break is sent all the same.
            Acceptance::Refused => "resumed",
            taking => taking.as_str(),
        };
        weighed.log(exchange, taking);
    }

    /// Weighs a request against the end of the instance, `None` if it doesn't stop.
    fn weigh(&self, exchange: &Exchange) -> Option<Weighed> {
        let stop = self.inner.stopping.stop.get()?;
        let now = self.now();
        let expected_ms = self.expected_ms(exchange);
        Some(Weighed {
            left: stop.time_left(now),
            limit: exchange.time_left(now),
            expected_ms,
            taking: stop.decide(now, exchange.give_up_at, expected_ms),
        })
    }

    /// Returns how long a request is expected to take, in milliseconds: an output by the slowest seen of
    /// late, anything else by its objective. `None` if nothing is known.
    fn expected_ms(&self, exchange: &Exchange) -> Option<f64> {
        match exchange.route.repeats {
            Repeats::Stream { .. } => {
                let prompt = exchange.prompt.as_ref()?;
                self.inner.speeds.longest_output_ms(&exchange.service, prompt.max_output)
            }
            Repeats::Idempotent | Repeats::AtMostOnce => {
                Some((exchange.route.objective * PLAIN_FACTOR).0 as f64)
            }
        }
    }
}
