//! The graceful stop of an instance, and which requests it still accepts until its end.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use anvilhook_core::stops::{Acceptance, Stop};
use anvilhook_core::units::{Clock, Millis};
use tokio::sync::watch;

use super::Gateway;
use super::requests::Exchange;
use crate::configs::Repeats;
use crate::events::{RequestEvent, emit};
use crate::wires::Wire;

/// The reason that a stopping instance sends with refusals.
pub(super) const STOPPING: &str = "stopping";

/// The expected duration of a plain request, as a multiple of its objective. A plain request that takes
/// longer still gets a complete answer at the instance's end, unlike a stream.
const PLAIN_FACTOR: u64 = 2;

/// `Stopping` is the progress of an instance's stop.
pub(super) struct Stopping {
    stop: OnceLock<Stop>,
    is_refusing: AtomicBool,
    end: watch::Sender<bool>,
}

impl Stopping {
    /// Creates the state of an instance that is not stopping.
    pub fn new() -> Self {
        let (stop, is_refusing) = (OnceLock::new(), AtomicBool::new(false));
        Self { stop, is_refusing, end: watch::Sender::new(false) }
    }
}

/// `StopDecision` is the decision whether a stopping instance still accepts a request.
struct StopDecision {
    left: Millis,
    limit: Millis,
    expected_ms: Option<f64>,
    acceptance: Acceptance,
}

impl StopDecision {
    fn log(&self, exchange: &Exchange, taking: &str) {
        emit(&RequestEvent::StopWeighed {
            request: &exchange.id,
            left_ms: self.left.0,
            limit_ms: self.limit.0,
            expected_ms: self.expected_ms.map(|ms| ms as u64),
            taking,
        });
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Records that the instance stops. Requests are still served, except those that its end could interrupt.
    pub fn begin_stop(&self, stop: Stop) {
        // A second call does not postpone the end.
        self.inner.stopping.stop.get_or_init(|| stop);
    }

    /// Refuses every request that arrives from now on.
    pub fn refuse_new(&self) {
        self.inner.stopping.is_refusing.store(true, Ordering::Release);
    }

    /// Ends the instance's work: every caller without an answer is informed at once whether its request may
    /// have run. Otherwise callers would only see a closed connection, which gives no such guarantee.
    pub fn end(&self) {
        self.refuse_new();
        self.inner.stopping.end.send_replace(true);
    }

    pub(super) fn is_refusing(&self) -> bool {
        self.inner.stopping.is_refusing.load(Ordering::Acquire)
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

    /// Returns whether the instance's end could interrupt a request that is sent now; the request must then
    /// be refused. Call it right before each send: the signal to stop may have arrived while the request
    /// waited or while its prompt was read.
    pub(super) fn may_be_interrupted(&self, exchange: &Exchange) -> bool {
        let decision = self.decide_on(exchange);
        let refused = decision.filter(|decision| decision.acceptance == Acceptance::Refused);
        refused.inspect(|decision| decision.log(exchange, decision.acceptance.as_str())).is_some()
    }

    /// Logs why a request is still sent, if the instance stops.
    pub(super) fn log_acceptance(&self, exchange: &Exchange) {
        let Some(decision) = self.decide_on(exchange) else { return };
        let taking = match decision.acceptance {
            // Only the resumption of a broken stream is sent in spite of a refusal.
            Acceptance::Refused => "resumed",
            acceptance => acceptance.as_str(),
        };
        decision.log(exchange, taking);
    }

    /// Decides whether a request is still accepted. Returns `None` if the instance does not stop.
    fn decide_on(&self, exchange: &Exchange) -> Option<StopDecision> {
        let stop = self.inner.stopping.stop.get()?;
        let now = self.now();
        let expected_ms = self.expected_ms(exchange);
        Some(StopDecision {
            left: stop.time_left(now),
            limit: exchange.time_left(now),
            expected_ms,
            acceptance: stop.decide(now, exchange.give_up_at, expected_ms),
        })
    }

    /// Returns how long a request is expected to take, in milliseconds: a stream by the slowest output seen
    /// recently, any other request by its objective. Returns `None` if there is no estimate.
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
