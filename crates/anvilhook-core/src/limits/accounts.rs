//! Applies one account's limits at one instance.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use super::LimitOptions;
use super::shares::{AccountDemand, AccountShare};
use crate::resources::AccountSpec;
use crate::units::Millis;

/// Factors for the limiter's resolution, which is one microsecond.
const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SEC: f64 = 1_000_000.0;

/// `LimitedBy` is the limit by which a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitedBy {
    /// Requests per second.
    Rate,
    /// Open requests.
    Open,
}

/// `LimitRefusal` is the refusal of a request, which has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitRefusal {
    /// The limit that was reached.
    pub limited_by: LimitedBy,
    /// The time after which to retry.
    pub retry_after: Millis,
}

/// `AccountLimiter` admits an account's requests within this instance's share of its limits.
///
/// The rate is limited by the generic cell rate algorithm: one atomic holds the time at which the next
/// request would arrive if all requests were evenly spaced.
///
/// ```
/// use anvilhook_core::limits::{AccountLimiter, LimitOptions};
/// use anvilhook_core::resources::AccountSpec;
/// use anvilhook_core::units::Millis;
///
/// let spec = AccountSpec { token_sha256: vec![], requests_per_s: 1, open_requests: 5 };
/// let options = LimitOptions { burst: Millis(1_000), ..Default::default() };
/// let limiter = AccountLimiter::new(&spec, 1, &options);
/// assert!(limiter.try_admit(Millis(0)).is_ok());
/// let refusal = limiter.try_admit(Millis(0)).unwrap_err();
/// assert_eq!(refusal.retry_after, Millis(1_000));
/// ```
#[derive(Debug)]
pub struct AccountLimiter {
    options: LimitOptions,
    // This instance's share while peers are unreachable: bits of the rate, and open requests.
    equal_rate_bits: AtomicU64,
    equal_open: AtomicU64,
    // The current share: bits of the rate as `f64`, open requests, and when it was set.
    rate_bits: AtomicU64,
    max_open: AtomicU64,
    set_at: AtomicU64,
    // Whether the share has ever been set; if not, it is the equal one.
    is_set: AtomicBool,
    // The next evenly spaced arrival, in microseconds.
    next_arrival: AtomicU64,
    open: AtomicU64,
    requested: AtomicU64,
}

impl AccountLimiter {
    /// Creates a limiter that holds an equal share of the limits, as one of `instances`.
    pub fn new(spec: &AccountSpec, instances: usize, options: &LimitOptions) -> Self {
        let equal = AccountShare::equal(spec, instances);
        Self {
            options: *options,
            equal_rate_bits: AtomicU64::new(equal.requests_per_s.to_bits()),
            equal_open: AtomicU64::new(equal.open_requests),
            rate_bits: AtomicU64::new(equal.requests_per_s.to_bits()),
            max_open: AtomicU64::new(equal.open_requests),
            set_at: AtomicU64::new(0),
            is_set: AtomicBool::new(false),
            next_arrival: AtomicU64::new(0),
            open: AtomicU64::new(0),
            requested: AtomicU64::new(0),
        }
    }

    /// Admits a request. The caller must call `release` when the request ends.
    ///
    /// # Errors
    ///
    /// `LimitRefusal` if the share is used up. The request has not run.
    pub fn try_admit(&self, now: Millis) -> Result<(), LimitRefusal> {
        self.requested.fetch_add(1, Ordering::AcqRel);
        let share = self.share(now);
        let admit = |open: u64| (open < share.open_requests).then_some(open + 1);
        if self.open.fetch_update(Ordering::AcqRel, Ordering::Acquire, admit).is_err() {
            let retry_after = Millis(1_000);
            return Err(LimitRefusal { limited_by: LimitedBy::Open, retry_after });
        }
        let consumed = self.consume_rate(share.requests_per_s, now);
        if consumed.is_err() {
            self.release();
        }
        consumed
    }

    /// Records that an admitted request has ended.
    pub fn release(&self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the current share. It is at most an equal one if it has not been renewed in time.
    ///
    /// A process that was paused or partitioned would otherwise continue with a large share that the
    /// others have meanwhile taken back, and the account would exceed its limit.
    pub fn share(&self, now: Millis) -> AccountShare {
        let share = AccountShare {
            requests_per_s: f64::from_bits(self.rate_bits.load(Ordering::Acquire)),
            open_requests: self.max_open.load(Ordering::Acquire),
        };
        let set_at = Millis(self.set_at.load(Ordering::Acquire));
        if now - set_at > self.options.stale_after { share.min(self.equal()) } else { share }
    }

    /// Sets the number of instances, by which the limits are divided equally while peers are
    /// unreachable.
    pub fn set_instances(&self, spec: &AccountSpec, instances: usize) {
        let equal = AccountShare::equal(spec, instances);
        self.equal_rate_bits.store(equal.requests_per_s.to_bits(), Ordering::Release);
        self.equal_open.store(equal.open_requests, Ordering::Release);
        // Until a share by demand has been set, the equal share follows the number of instances.
        if !self.is_set.load(Ordering::Acquire) {
            self.store_share(equal);
        }
    }

    /// Sets the share that `ShareAllocator` has computed.
    pub fn set_share(&self, share: AccountShare, now: Millis) {
        self.is_set.store(true, Ordering::Release);
        self.store_share(share);
        self.set_at.store(now.0, Ordering::Release);
    }

    /// Returns the demand since the last call, `span` ago, for the digest.
    pub fn take_demand(&self, span: Millis) -> AccountDemand {
        let requested = self.requested.swap(0, Ordering::AcqRel);
        let requests_per_s = requested as f64 / span.as_secs_f64().max(0.001);
        AccountDemand { requests_per_s, open_requests: self.open.load(Ordering::Acquire) }
    }

    fn equal(&self) -> AccountShare {
        AccountShare {
            requests_per_s: f64::from_bits(self.equal_rate_bits.load(Ordering::Acquire)),
            open_requests: self.equal_open.load(Ordering::Acquire),
        }
    }

    fn store_share(&self, share: AccountShare) {
        self.rate_bits.store(share.requests_per_s.to_bits(), Ordering::Release);
        self.max_open.store(share.open_requests, Ordering::Release);
    }

    fn consume_rate(&self, requests_per_s: f64, now: Millis) -> Result<(), LimitRefusal> {
        let limited_by = LimitedBy::Rate;
        if requests_per_s <= 0.0 {
            return Err(LimitRefusal { limited_by, retry_after: self.options.settle });
        }
        let gap = (MICROS_PER_SEC / requests_per_s) as u64;
        let now_us = now.0 * MICROS_PER_MILLI;
        // At least one request is admitted at once, however low the rate.
        let burst = (self.options.burst.0 * MICROS_PER_MILLI).max(gap);
        let advance = |next: u64| {
            let next = next.max(now_us) + gap;
            (next <= now_us + burst).then_some(next)
        };
        match self.next_arrival.fetch_update(Ordering::AcqRel, Ordering::Acquire, advance) {
            Ok(_) => Ok(()),
            Err(next) => {
                let wait_us = (next.max(now_us) + gap).saturating_sub(now_us + burst);
                let retry_after = Millis(wait_us.div_ceil(MICROS_PER_MILLI));
                Err(LimitRefusal { limited_by, retry_after })
            }
        }
    }
}
