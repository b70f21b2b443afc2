//! Slow start: an upstream that is new, or whose closed time ends, is opened to a growing share of the
//! instances.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::units::Millis;

/// The expected number of instances that use an upstream from the moment at which it opens. One alone
/// may have no request to send in that time.
const FIRST_INSTANCES: f64 = 2.0;

/// The time over which the share of the instances grows to the whole. With dozens of instances the share doubles in about the age of information
/// from another availability zone.
const GROWTH_TIME: Millis = Millis(800);

/// The maximum age of information from other instances.
const MAX_NEWS_AGE: Millis = Millis(200);

/// How long an upstream is first closed, and at most. An upstream that restarts is listed after about the
/// first time. A greater maximum would keep one that is up again closed for longer than it costs to try it.
const FIRST_CLOSING: Millis = Millis(800);
const MAX_CLOSING: Millis = Millis(1_600);

/// An upstream that refuses a connection within this time after it opened is closed for twice as long as
/// before.
const RELAPSE_TIME: Millis = Millis(2_000);

/// `Closing` describes a closed time that begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closing {
    /// For how long the upstream is closed.
    pub length: Millis,
    /// How many closed times have followed each other, this one included.
    pub count: u32,
    /// The length of the closed time before this one, if they follow each other.
    pub previous: Option<Millis>,
}

/// `SlowStart` tracks when one upstream is closed, and to how many instances it is open afterwards.
///
/// Designed for: an upstream that refuses connections for seconds while dozens of instances see it idle.
/// If they all tried it when its closed time ends, each would lose a request before it learns of the
/// others' failures. The same instances would fill a new upstream beyond its queue before they learn of
/// each other's requests.
///
/// ```
/// use anvilhook_core::slow_starts::SlowStart;
/// use anvilhook_core::units::Millis;
///
/// let upstream = SlowStart::default();
/// let closing = upstream.close(None, Millis(1_000)).expect("it was open");
/// assert_eq!(closing.length, Millis(800));
/// assert_eq!(upstream.share(50, Millis(1_799)), 0.0);
/// assert_eq!(upstream.share(50, Millis(1_800)), 0.04);
/// assert_eq!(upstream.share(50, Millis(2_600)), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct SlowStart {
    // When the upstream was listed as new, or when its last closed time ends; zero if neither.
    opens_at: AtomicU64,
    // When the last closed time began; zero if there was none.
    closed_at: AtomicU64,
    closings: AtomicU32,
}

impl SlowStart {
    /// Creates the tracker of an upstream that is listed as new.
    pub fn listed(now: Millis) -> Self {
        Self { opens_at: AtomicU64::new(now.0.max(1)), ..Self::default() }
    }

    /// Closes the upstream after its own refusal, for a given time or for one that doubles up to a bound.
    /// Returns `None` if it is closed already: attempts that were under way then show nothing new, and only
    /// a given time extends that.
    pub fn close(&self, length: Option<Millis>, now: Millis) -> Option<Closing> {
        let opens_at = self.opens_at.load(Ordering::Acquire);
        if now.0 < opens_at {
            length.map(|length| self.extend(now + length));
            return None;
        }
        let (before, previous) = self.closings_before(opens_at, now);
        let doubled = Millis(FIRST_CLOSING.0 << before.min(8)).min(MAX_CLOSING);
        let length = length.unwrap_or(doubled);
        let is_first = self.begin(opens_at, now + length, before, now);
        is_first.then_some(Closing { length, count: before + 1, previous })
    }

    /// Applies another instance's information that the upstream is closed. Returns whether that closes it or
    /// extends its closed time.
    ///
    /// Information about the closed time that has just ended here may still arrive. It is ignored, since it
    /// would close the upstream for the age of the information and count as one more refusal.
    pub fn close_by_peer(&self, until: Millis, now: Millis) -> bool {
        let opens_at = self.opens_at.load(Ordering::Acquire);
        if now.0 < opens_at {
            return self.extend(until);
        }
        let was_closed = self.closed_at.load(Ordering::Acquire) > 0;
        let is_old = was_closed && until <= Millis(opens_at) + MAX_NEWS_AGE;
        if is_old || until <= now {
            return false;
        }
        let (before, _) = self.closings_before(opens_at, now);
        self.begin(opens_at, until, before, now)
    }

    /// Closes the upstream until a time, unless it is closed for longer. Returns whether that extends it.
    pub fn extend(&self, until: Millis) -> bool {
        self.opens_at.fetch_max(until.0, Ordering::AcqRel) < until.0
    }

    /// Returns until when the upstream is closed, if it is.
    pub fn closed_until(&self, now: Millis) -> Option<Millis> {
        let opens_at = Millis(self.opens_at.load(Ordering::Acquire));
        (now < opens_at).then_some(opens_at)
    }

    /// Returns how many closed times have followed each other.
    pub fn closings(&self) -> u32 {
        self.closings.load(Ordering::Acquire)
    }

    /// Returns whether the upstream is open to some instances and not yet to all.
    pub fn is_starting(&self, now: Millis) -> bool {
        let opens_at = self.opens_at.load(Ordering::Acquire);
        opens_at > 0 && now.0 >= opens_at && now < Millis(opens_at) + GROWTH_TIME
    }

    /// Returns the share of the instances, from 0 to 1, to which the upstream is open.
    pub fn share(&self, instances: usize, now: Millis) -> f64 {
        let opens_at = self.opens_at.load(Ordering::Acquire);
        if now.0 < opens_at {
            return 0.0;
        }
        if !self.is_starting(now) {
            return 1.0;
        }
        let first = (FIRST_INSTANCES / instances.max(1) as f64).min(1.0);
        let grown = (now.0 - opens_at) as f64 / GROWTH_TIME.0 as f64;
        first.powf(1.0 - grown)
    }

    /// Returns whether the upstream is open to one of the instances. `hash` is the hash of the instance,
    /// the upstream and its closed times: other instances are the first each time, so that one that alone
    /// can't reach the upstream doesn't always close it for all.
    pub fn is_open_to(&self, hash: u64, instances: usize, now: Millis) -> bool {
        ((hash >> 11) as f64 / (1u64 << 53) as f64) < self.share(instances, now)
    }

    /// Returns the number of closed times that a closed time from now on follows, and the length of the last.
    fn closings_before(&self, opens_at: u64, now: Millis) -> (u32, Option<Millis>) {
        let closed_at = self.closed_at.load(Ordering::Acquire);
        if closed_at == 0 || now >= Millis(opens_at) + RELAPSE_TIME {
            return (0, None);
        }
        (self.closings(), Some(Millis(opens_at) - Millis(closed_at)))
    }

    /// Begins a closed time. Returns false if another thread has begun one.
    fn begin(&self, opens_at: u64, until: Millis, before: u32, now: Millis) -> bool {
        let (ordering, failed) = (Ordering::AcqRel, Ordering::Acquire);
        if self.opens_at.compare_exchange(opens_at, until.0, ordering, failed).is_err() {
            return false;
        }
        self.closed_at.store(now.0.max(1), Ordering::Release);
        self.closings.store(before + 1, Ordering::Release);
        true
    }
}

/// `Candidates` counts the upstreams that could take a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Candidates {
    /// Those that are new or reopening.
    pub starting: usize,
    /// Those that are open to all instances.
    pub settled: usize,
    /// Those of the settled ones that are not known to be full.
    pub with_room: usize,
}

impl Candidates {
    /// Returns whether some of them may be passed over. At the start of a whole deployment, or if all others
    /// are full, that would withhold the only capacity that there is.
    ///
    /// ```
    /// use anvilhook_core::slow_starts::Candidates;
    ///
    /// assert!(Candidates { starting: 2, settled: 9, with_room: 4 }.may_pass_over());
    /// assert!(!Candidates { starting: 9, settled: 8, with_room: 8 }.may_pass_over());
    /// assert!(!Candidates { starting: 2, settled: 9, with_room: 0 }.may_pass_over());
    /// ```
    pub fn may_pass_over(&self) -> bool {
        self.with_room > 0 && self.settled >= self.starting
    }
}
