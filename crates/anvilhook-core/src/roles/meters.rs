//! Counting the work that was seen.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

use crate::routing::Work;
use crate::units::{Millis, Tokens};

/// `Flow` is work in a second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Flow {
    /// Requests.
    pub requests: f64,
    /// Prompt tokens that had to be read.
    pub prefill: f64,
    /// Prompt tokens, cached or not.
    pub prompt: f64,
    /// Output tokens.
    pub output: f64,
}

impl Flow {
    /// Returns the sum of two flows, as of two instances.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            prefill: self.prefill + other.prefill,
            prompt: self.prompt + other.prompt,
            output: self.output + other.output,
        }
    }

    /// Returns the flow times a factor.
    pub fn times(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            prefill: self.prefill * factor,
            prompt: self.prompt * factor,
            output: self.output * factor,
        }
    }
}

/// `ObservedWork` is the work of a pool over some span, by the slack of its deadlines.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ObservedWork {
    /// Requests that end in time even if prompts are read on their engine all the while.
    pub patient: Flow,
    /// Requests that do not.
    pub tight: Flow,
}

impl ObservedWork {
    /// Returns the sum of what two instances saw.
    pub fn plus(self, other: Self) -> Self {
        Self { patient: self.patient.plus(other.patient), tight: self.tight.plus(other.tight) }
    }

    /// Returns the work times a factor.
    pub fn times(self, factor: f64) -> Self {
        Self { patient: self.patient.times(factor), tight: self.tight.times(factor) }
    }
}

#[derive(Debug, Default)]
struct FlowMeter {
    requests: AtomicU64,
    prefill: AtomicU64,
    prompt: AtomicU64,
    output: AtomicU64,
}

impl FlowMeter {
    fn record(&self, work: Work, uncached: Tokens) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.prefill.fetch_add(uncached.0, Ordering::Relaxed);
        self.prompt.fetch_add(work.prompt.0, Ordering::Relaxed);
        self.output.fetch_add(work.output.0, Ordering::Relaxed);
    }

    fn take(&self, span: Millis) -> Flow {
        let secs = span.as_secs_f64().max(0.001);
        let rate = |cell: &AtomicU64| cell.swap(0, Ordering::Relaxed) as f64 / secs;
        Flow {
            requests: rate(&self.requests),
            prefill: rate(&self.prefill),
            prompt: rate(&self.prompt),
            output: rate(&self.output),
        }
    }
}

/// `WorkMeter` counts, at one instance, the work that was asked of one pool.
///
/// ```
/// use anvilhook_core::roles::WorkMeter;
/// use anvilhook_core::routing::Work;
/// use anvilhook_core::units::{Millis, Tokens};
///
/// let meter = WorkMeter::default();
/// let work = Work::new(Tokens(3_000), Tokens(40), Millis::from_secs(15));
/// meter.record(work, Tokens(1_000));
/// let seen = meter.take(Millis::from_secs(2));
/// assert_eq!(seen.patient.prefill, 500.0);
/// assert_eq!(seen.tight.requests, 0.0);
/// ```
#[derive(Debug, Default)]
pub struct WorkMeter {
    patient: FlowMeter,
    tight: FlowMeter,
}

impl WorkMeter {
    /// Counts a request when it is asked for, whether or not it can be admitted: what is refused
    /// shows what the pool should have been able to do. `uncached` is what had to be read of the
    /// prompt.
    pub fn record(&self, work: Work, uncached: Tokens) {
        let flow = if work.tight { &self.tight } else { &self.patient };
        flow.record(work, uncached);
    }

    /// Returns the work since the last call, `span` ago.
    pub fn take(&self, span: Millis) -> ObservedWork {
        ObservedWork { patient: self.patient.take(span), tight: self.tight.take(span) }
    }
}
