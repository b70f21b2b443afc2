//! The request limit that an upstream names in its answers, and what this instance has sent to it since.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

use anvilhook_core::units::Millis;

/// The time over which the requests to a limited upstream are counted for logs.
const COUNTED_TIME: Millis = Millis(4_000);

/// How long after an answer that named a limit a request must have been sent so that its answer can end the
/// limit. Answers on different connections may overtake each other, and an upstream may leave the limit out of
/// some of them.
const END_DELAY: Millis = Millis(1_000);

/// `LimitUse` is a limit and how much of it this instance has recently used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitUse {
    /// The requests a second that the upstream accepts from all instances together.
    pub per_s: f64,
    /// The requests that this instance has sent there in the last four seconds, since it knows the limit.
    pub sent: usize,
}

/// `LimitChange` is how an answer changed what is known of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The upstream named a new limit, in requests a second.
    Named {
        /// The new limit.
        per_s: f64,
        /// The previous limit, if there was one.
        before: Option<f64>,
    },
    /// The upstream no longer names the limit.
    Ended {
        /// The previous limit.
        before: f64,
    },
}

/// `RequestLimit` is the limit of one start of an upstream.
#[derive(Debug, Default)]
pub struct RequestLimit {
    /// Whether `known` holds a limit, so that upstreams without one are not locked.
    is_limited: AtomicBool,
    known: Mutex<Option<KnownLimit>>,
}

#[derive(Debug)]
struct KnownLimit {
    per_s: f64,
    named_at: Millis,
    sent: VecDeque<Millis>,
}

impl RequestLimit {
    /// Records the limit that an answer names, or that it names none; `sent_at` is when its request was sent.
    /// Returns the change, if any.
    ///
    /// ```
    /// use anvilhook_core::units::Millis;
    /// use anvilhook_gateway::request_limits::{LimitChange, RequestLimit};
    ///
    /// let limit = RequestLimit::default();
    /// let named = limit.record(Some(20.0), Millis(90), Millis(100));
    /// assert_eq!(named, Some(LimitChange::Named { per_s: 20.0, before: None }));
    /// assert_eq!(limit.record(None, Millis(95), Millis(110)), None, "sent before the limit was named");
    /// let ended = limit.record(None, Millis(1_200), Millis(1_210));
    /// assert_eq!(ended, Some(LimitChange::Ended { before: 20.0 }));
    /// ```
    pub fn record(&self, named: Option<f64>, sent_at: Millis, now: Millis) -> Option<LimitChange> {
        match named {
            Some(per_s) => self.record_named(per_s, now),
            None => self.record_unnamed(sent_at),
        }
    }

    fn record_named(&self, per_s: f64, now: Millis) -> Option<LimitChange> {
        let mut known = self.known();
        self.is_limited.store(true, Ordering::Release);
        let before = known.as_ref().map(|known| known.per_s);
        match &mut *known {
            Some(known) => (known.per_s, known.named_at) = (per_s, now),
            None => *known = Some(KnownLimit { per_s, named_at: now, sent: VecDeque::new() }),
        }
        (before != Some(per_s)).then_some(LimitChange::Named { per_s, before })
    }

    fn record_unnamed(&self, sent_at: Millis) -> Option<LimitChange> {
        if !self.is_limited() {
            return None;
        }
        let mut known = self.known();
        let ended = known.take_if(|known| sent_at >= known.named_at + END_DELAY)?;
        self.is_limited.store(false, Ordering::Release);
        Some(LimitChange::Ended { before: ended.per_s })
    }

    /// Returns whether the upstream has named a limit that has not ended.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Acquire)
    }

    /// Counts a request that is sent to the upstream.
    pub fn record_send(&self, now: Millis) {
        if !self.is_limited() {
            return;
        }
        if let Some(known) = &mut *self.known() {
            known.sent.push_back(now);
            known.forget(now);
        }
    }

    /// Returns the limit and its recent use, if the upstream has named one.
    pub fn current_use(&self, now: Millis) -> Option<LimitUse> {
        if !self.is_limited() {
            return None;
        }
        let mut known = self.known();
        let known = known.as_mut()?;
        known.forget(now);
        Some(LimitUse { per_s: known.per_s, sent: known.sent.len() })
    }

    fn known(&self) -> MutexGuard<'_, Option<KnownLimit>> {
        self.known.lock().expect("no panic under this lock")
    }
}

impl KnownLimit {
    fn forget(&mut self, now: Millis) {
        while self.sent.front().is_some_and(|at| *at + COUNTED_TIME <= now) {
            self.sent.pop_front();
        }
    }
}
