//! The request limit that an upstream names in its answers, and this instance's use of its share.
//!
//! [`anvilhook_core::rate_shares`] decides the share. It depends on the instances that this one knows of, and
//! on the time by which all of them count.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

use anvilhook_core::rate_shares::{QuotaMeter, RateShare};
use anvilhook_core::units::{Millis, WallTime};

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

/// `ShareBasis` is what an instance's share of a limit depends on at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ShareBasis {
    /// The position of this instance among all.
    pub share: RateShare,
    /// The moment, by this instance's own clock.
    pub now: Millis,
    /// The same moment, by the time that all instances estimate alike.
    pub time: WallTime,
}

impl ShareBasis {
    /// Returns the shared time at a later moment.
    fn time_at(&self, now: Millis) -> WallTime {
        WallTime(self.time.0 + (now - self.now).0)
    }
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
    basis: ShareBasis,
    meter: QuotaMeter,
    sent: VecDeque<Millis>,
}

impl RequestLimit {
    /// Records that an answer names a limit, in requests a second. Returns the change, if any.
    ///
    /// ```
    /// use anvilhook_core::rate_shares::RateShare;
    /// use anvilhook_core::units::{Millis, WallTime};
    /// use anvilhook_gateway::request_limits::{LimitChange, RequestLimit, ShareBasis};
    ///
    /// let share = RateShare::new(0, 1);
    /// let basis = |now: u64| ShareBasis { share, now: Millis(now), time: WallTime(now) };
    /// let limit = RequestLimit::default();
    /// let named = limit.record_named(1.0, basis(100));
    /// assert_eq!(named, Some(LimitChange::Named { per_s: 1.0, before: None }));
    /// assert!(limit.try_take(basis(110)) && !limit.try_take(basis(120)));
    /// assert_eq!(limit.record_unnamed(Millis(95)), None, "sent before the limit was named");
    /// let ended = limit.record_unnamed(Millis(1_200));
    /// assert_eq!(ended, Some(LimitChange::Ended { before: 1.0 }));
    /// assert!(limit.try_take(basis(130)));
    /// ```
    pub fn record_named(&self, per_s: f64, basis: ShareBasis) -> Option<LimitChange> {
        let mut known = self.known();
        self.is_limited.store(true, Ordering::Release);
        let before = known.as_ref().map(|known| known.per_s);
        match &mut *known {
            Some(known) => (known.per_s, known.named_at, known.basis) = (per_s, basis.now, basis),
            None => *known = Some(KnownLimit::new(per_s, basis)),
        }
        (before != Some(per_s)).then_some(LimitChange::Named { per_s, before })
    }

    /// Records that the answer to a request which was sent at `sent_at` names no limit. Returns the change, if
    /// any.
    pub fn record_unnamed(&self, sent_at: Millis) -> Option<LimitChange> {
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

    /// Takes one request from this instance's share. Returns false if none may be sent now.
    pub fn try_take(&self, basis: ShareBasis) -> bool {
        if !self.is_limited() {
            return true;
        }
        let mut known = self.known();
        known.as_mut().is_none_or(|known| known.try_take(basis))
    }

    /// Returns whether this instance may send a request now.
    pub fn has_share(&self, now: Millis) -> bool {
        self.left(now).is_none_or(|left| left > 0)
    }

    /// Returns how many requests this instance may send in the current turn; `None` without a limit.
    pub fn left(&self, now: Millis) -> Option<u32> {
        if !self.is_limited() {
            return None;
        }
        self.known().as_ref().map(|known| known.left(now))
    }

    /// Returns when this instance may send the next request, `now` if it may at once.
    pub fn next_at(&self, now: Millis) -> Millis {
        if !self.is_limited() {
            return now;
        }
        self.known().as_ref().map_or(now, |known| known.next_at(now))
    }

    /// Returns this instance's share in requests a second, if the upstream has named a limit.
    pub fn own_per_s(&self) -> Option<f64> {
        if !self.is_limited() {
            return None;
        }
        let known = self.known();
        known.as_ref().map(|known| known.per_s / known.basis.share.instances() as f64)
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
    fn new(per_s: f64, basis: ShareBasis) -> Self {
        let (meter, sent) = (QuotaMeter::default(), VecDeque::new());
        Self { per_s, named_at: basis.now, basis, meter, sent }
    }

    fn try_take(&mut self, basis: ShareBasis) -> bool {
        self.basis = basis;
        let is_taken = self.meter.try_take(basis.share, self.per_s, basis.time);
        if is_taken {
            self.sent.push_back(basis.now);
            self.forget(basis.now);
        }
        is_taken
    }

    fn left(&self, now: Millis) -> u32 {
        self.meter.left(self.basis.share, self.per_s, self.basis.time_at(now))
    }

    fn next_at(&self, now: Millis) -> Millis {
        let time = self.basis.time_at(now);
        let next = self.meter.next_at(self.basis.share, self.per_s, time);
        now + Millis(next.0 - time.0)
    }

    fn forget(&mut self, now: Millis) {
        while self.sent.front().is_some_and(|at| *at + COUNTED_TIME <= now) {
            self.sent.pop_front();
        }
    }
}
