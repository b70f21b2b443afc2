//! Admits or closes the connections of callers, by what the instance measures about itself.

use std::fmt;
use std::sync::Mutex;

use anvilhook_core::connection_admission::{
    Admission, ConnectionAdmission, Direction, SAMPLE_INTERVAL,
};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::{Closed, ConnectionCheck, ConnectionLimits};
use tokio::time::Instant;
use volo_http::response::Response;

use super::Gateway;
use super::answers::OwnAnswer;
use super::requests::{NO_MEMORY, NO_MEMORY_PAUSE};
use crate::events::{InstanceEvent, emit};
use crate::metrics::NameLabel;
use crate::wires::Wire;

/// `FrontAdmission` is the state of the decision on new connections.
#[derive(Debug)]
pub(super) struct FrontAdmission(Mutex<State>);

#[derive(Debug)]
struct State {
    admission: ConnectionAdmission,
    last: Admission,
    /// The connections closed since one was last accepted.
    closed: u64,
}

impl FrontAdmission {
    /// Creates the state of an instance whose link has the given bandwidth, if it is known.
    pub fn new(link_mbps: Option<f64>) -> Self {
        let admission = ConnectionAdmission::new(link_mbps);
        Self(Mutex::new(State { admission, last: Admission::Accepted, closed: 0 }))
    }
}

/// `FrontCheck` decides on the connections of a gateway's callers.
pub(crate) struct FrontCheck<W: Wire, C: Clock>(pub Gateway<W, C>);

impl<W: Wire, C: Clock> fmt::Debug for FrontCheck<W, C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FrontCheck")
    }
}

impl<W: Wire, C: Clock> ConnectionCheck for FrontCheck<W, C> {
    fn admits(&self) -> bool {
        self.0.admit_connection() == Admission::Accepted
    }

    fn limits(&self) -> ConnectionLimits {
        self.0.connection_limits()
    }

    fn refusal(&self) -> Response {
        OwnAnswer::refused(NO_MEMORY, NO_MEMORY_PAUSE).into_response()
    }

    fn record_closed(&self, reason: Closed) {
        if reason == Closed::Full {
            return self.0.record_admission(Admission::Full);
        }
        self.0.count_closed(reason.as_str());
    }
}

/// `InstanceCheck` limits what other instances send. Their calls carry callers' heads with fields of their own.
pub(crate) struct InstanceCheck<W: Wire, C: Clock>(pub Gateway<W, C>);

impl<W: Wire, C: Clock> fmt::Debug for InstanceCheck<W, C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("InstanceCheck")
    }
}

impl<W: Wire, C: Clock> ConnectionCheck for InstanceCheck<W, C> {
    fn limits(&self) -> ConnectionLimits {
        let usual = ConnectionLimits::default();
        let callers = self.0.connection_limits();
        ConnectionLimits {
            max_head_bytes: callers.max_head_bytes + usual.max_head_bytes,
            max_body_bytes: callers.max_body_bytes,
            ..usual
        }
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Measures repeatedly how late events are handled. It never returns.
    pub(crate) async fn measure_lag(&self) {
        loop {
            // The timer's own clock: the gateway's may be another one.
            let due_at = Instant::now() + SAMPLE_INTERVAL.as_duration();
            tokio::time::sleep_until(due_at).await;
            let lag = Millis(due_at.elapsed().as_millis() as u64);
            let now = self.now();
            self.with_admission(|state| state.admission.record_lag(lag, now));
        }
    }

    /// Records bytes that this instance has transferred.
    pub(super) fn record_bytes(&self, direction: Direction, bytes: usize) {
        let now = self.now();
        self.with_admission(|state| state.admission.record_bytes(direction, bytes, now));
    }

    /// Returns the limits for callers by the active configuration.
    fn connection_limits(&self) -> ConnectionLimits {
        let config = self.inner.config.load();
        config.as_ref().map_or_else(ConnectionLimits::default, |config| ConnectionLimits {
            max_head_bytes: config.limits.max_header_bytes,
            max_body_bytes: config.limits.max_body_bytes,
            head_timeout: config.limits.header_timeout,
            idle_timeout: config.limits.idle_timeout,
        })
    }

    /// Decides on a new connection.
    fn admit_connection(&self) -> Admission {
        let now = self.now();
        let decision = self.with_admission(|state| state.admission.decide(now));
        self.record_admission(decision);
        decision
    }

    /// Records a decision on a new connection, and logs it if it differs from the one before.
    fn record_admission(&self, decision: Admission) {
        let (before, closed) = self.with_admission(|state| {
            let before = std::mem::replace(&mut state.last, decision);
            let closed = std::mem::take(&mut state.closed);
            state.closed = if decision == Admission::Accepted { 0 } else { closed + 1 };
            (before, closed)
        });
        if decision != Admission::Accepted {
            self.count_closed(decision.as_str());
        }
        if decision != before {
            let (decision, in_flight) = (decision.as_str(), self.in_flight());
            emit(&InstanceEvent::ConnectionsAdmitted { decision, closed, in_flight });
        }
    }

    fn count_closed(&self, reason: &str) {
        let label = NameLabel { name: reason.to_owned() };
        self.metrics().closed_connections.get_or_create(&label).inc();
    }

    fn with_admission<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.inner.admission.0.lock().expect("no panic under this lock"))
    }
}
