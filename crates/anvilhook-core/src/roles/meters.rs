//! Counts the work that callers request.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

use crate::routing::Work;
use crate::units::{Millis, Tokens};

/// `Flow` is an amount of work per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Flow {
    /// The number of requests.
    pub requests: f64,
    /// Prompt tokens that had to be read.
    pub prefill: f64,
    /// Prompt tokens, cached or not.
    pub prompt: f64,
    /// Output tokens.
    pub output: f64,
}

impl Flow {
    /// Returns the sum of two flows, such as those of two instances.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            prefill: self.prefill + other.prefill,
            prompt: self.prompt + other.prompt,
            output: self.output + other.output,
        }
    }

    /// Returns the flow multiplied by a factor.
    pub fn times(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            prefill: self.prefill * factor,
            prompt: self.prompt * factor,
            output: self.output * factor,
        }
    }
}

/// `ObservedWork` is the work of a pool over a time span, divided by how tight its deadlines are.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ObservedWork {
    /// Requests that complete in time even if their engine reads prompts all the time.
    pub patient: Flow,
    /// Requests that would not complete in time then.
    pub tight: Flow,
}

impl ObservedWork {
    /// Returns the sum of the work that two instances observed.
    pub fn plus(self, other: Self) -> Self {
        Self { patient: self.patient.plus(other.patient), tight: self.tight.plus(other.tight) }
    }

    /// Returns the work multiplied by a factor.
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

/// `WorkMeter` counts the work that callers of one instance request from one pool.
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
    /// Counts a request on arrival, whether or not it is admitted, because refused requests show the
    /// capacity that the pool is missing. `uncached` is the number of prompt tokens that had to be read.
    pub fn record(&self, work: Work, uncached: Tokens) {
        let flow = if work.tight { &self.tight } else { &self.patient };
        flow.record(work, uncached);
    }

    /// Returns the work since the last call, which was `span` ago, and resets the counts.
    pub fn take(&self, span: Millis) -> ObservedWork {
        ObservedWork { patient: self.patient.take(span), tight: self.tight.take(span) }
    }
}
