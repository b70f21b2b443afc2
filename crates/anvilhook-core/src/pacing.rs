//! Decides when work that waits at an instance is sent to an engine.
//!
//! An engine prefills prompts in the order in which they arrive and runs as many streams at a time as it
//! has slots. Work that has been sent to it can't be reordered any more. So work waits at the instance
//! until an engine is nearly free for it. The instances reach a common order without coordination: each
//! piece of work has its own bound on how busy an engine may be, and the work that is best served first
//! has the widest bound.
//!
//! Designed for: prompts with heavy tails that arrive in clumps, where one prompt that takes a second to
//! prefill would make a dozen short ones late; and bursts of long outputs that need more slots than there
//! are, where serving in the order of arrival would make all of them late.

use crate::units::Millis;

/// The backlog that a prompt may find at its prefill engine, as a share of the tightest objective, if its
/// own prefill takes the same share. A prompt with twice the work may find half the backlog.
///
/// With a lower value, prefill engines are idle between prompts; with a higher one, short prompts wait
/// behind others that they could have passed.
const READING_SHARE: f64 = 0.4;

/// A prompt whose prefill takes less than this share of the tightest objective is sent at once.
/// Delaying it so that others can pass it would gain nothing.
const SHORT_SHARE: f64 = 0.2;

/// How many streams beyond its slots an engine may be sent if they end within their own objective, as a
/// share of the slots. Such streams are so short that a slot is soon free.
const BRIEF_EXTRA: f64 = 0.1;

/// The share of its slots that an engine reserves for streams that can still be on time. Streams that are
/// already late lose nothing more by waiting, as long as their callers wait too.
const LATE_RESERVE: f64 = 0.2;

/// The share of the caller's wait limit after which work is no longer delayed. The rest is for the work.
const WAITING_SHARE: f64 = 0.9;

/// The minimum time from the end of prefill to the first event, in milliseconds.
pub(crate) const FIRST_EVENT_MS: f64 = 60.0;

/// `Waiting` is a request that waits at an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// The time since it arrived.
    pub age: Millis,
    /// The time within which its answer should begin.
    pub objective: Millis,
    /// How long its caller waits for the beginning of an answer, from the request's arrival.
    pub wait_limit: Millis,
}

impl Waiting {
    /// Returns whether its caller must have left by now. Work that is sent for it would be wasted, even if
    /// the notice that the caller left is delayed on a congested link.
    ///
    /// ```
    /// use anvilhook_core::pacing::Waiting;
    /// use anvilhook_core::units::Millis;
    ///
    /// let waiting =
    ///     Waiting { age: Millis(2_400), objective: Millis(600), wait_limit: Millis(2_400) };
    /// assert!(waiting.has_lost_its_caller());
    /// assert!(!Waiting { age: Millis(2_399), ..waiting }.has_lost_its_caller());
    /// ```
    pub fn has_lost_its_caller(&self) -> bool {
        self.age >= self.wait_limit
    }

    /// Returns whether it has been delayed for as long as is useful.
    ///
    /// Without this limit, work that shorter work always passes would be abandoned by its caller without
    /// having been served.
    fn is_due(&self) -> bool {
        self.age.0 as f64 >= self.wait_limit.0 as f64 * WAITING_SHARE
    }
}

/// `Pace` is the decision whether work is sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pace {
    /// It is sent because an engine is free enough for it.
    Free,
    /// It is sent because it has been delayed for as long as is useful.
    Due,
    /// It is delayed.
    Hold,
    /// It can no longer be answered before its caller leaves.
    Hopeless,
}

impl Pace {
    /// Returns the text used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Pace::Free => "free",
            Pace::Due => "due",
            Pace::Hold => "hold",
            Pace::Hopeless => "hopeless",
        }
    }
}

/// Returns whether a prompt whose prefill takes `work_ms` is short by the tightest objective of the
/// service.
///
/// ```
/// use anvilhook_core::pacing::is_short;
/// use anvilhook_core::units::Millis;
///
/// assert!(is_short(50.0, Millis(250)));
/// assert!(!is_short(51.0, Millis(250)));
/// ```
pub fn is_short(work_ms: f64, tightest: Millis) -> bool {
    work_ms <= tightest.0 as f64 * SHORT_SHARE
}

/// Decides whether a prompt is sent to the prefill engine that was chosen for it.
///
/// `work_ms` is the time that its prefill takes there, `backlog_ms` the time that the prompts before it
/// take, and `tightest` the tightest objective of the service. Short prompts are sent at once. A long one
/// waits until the backlog is small, so that short ones that arrive meanwhile go first. Among long prompts
/// the shorter goes first, even if they wait at different instances.
///
/// ```
/// use anvilhook_core::pacing::{Pace, Waiting, pace_reading};
/// use anvilhook_core::units::Millis;
///
/// let waiting =
///     Waiting { age: Millis(0), objective: Millis(600), wait_limit: Millis(2_400) };
/// let tightest = Millis(250);
/// assert_eq!(pace_reading(&waiting, 12.0, 300.0, tightest), Pace::Free);
/// assert_eq!(pace_reading(&waiting, 400.0, 300.0, tightest), Pace::Hold);
/// assert_eq!(pace_reading(&waiting, 400.0, 20.0, tightest), Pace::Free);
/// ```
pub fn pace_reading(waiting: &Waiting, work_ms: f64, backlog_ms: f64, tightest: Millis) -> Pace {
    if waiting.has_lost_its_caller() {
        return Pace::Hopeless;
    }
    let bound_ms = tightest.0 as f64 * READING_SHARE;
    if is_short(work_ms, tightest) || work_ms * backlog_ms <= bound_ms * bound_ms {
        Pace::Free
    } else if waiting.age.0 as f64 + work_ms + FIRST_EVENT_MS > waiting.wait_limit.0 as f64 {
        Pace::Hopeless
    } else if waiting.is_due() {
        Pace::Due
    } else {
        Pace::Hold
    }
}

/// `Slots` is the estimated use of the slots of the chosen decode engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slots {
    /// The number of streams that it runs at once.
    pub slots: u32,
    /// The number of streams that it has in flight.
    pub in_flight: u32,
}

/// Decides whether a prompt whose prefill is done is sent to its decode engine.
///
/// `first_event_ms` is the predicted time to the first event, `output_ms` the duration of the whole
/// output. Streams that end within their own objective go first, then those that can still be on time,
/// then the rest.
///
/// ```
/// use anvilhook_core::pacing::{Pace, Slots, Waiting, pace_generating};
/// use anvilhook_core::units::Millis;
///
/// let early = Waiting { age: Millis(50), objective: Millis(250), wait_limit: Millis(2_000) };
/// let late = Waiting { age: Millis(300), ..early };
/// let slots = Slots { slots: 64, in_flight: 62 };
/// assert_eq!(pace_generating(&early, 40.0, 1_500.0, slots), Pace::Free);
/// assert_eq!(pace_generating(&late, 40.0, 1_500.0, slots), Pace::Hold);
/// let due = Waiting { age: Millis(1_800), ..early };
/// assert_eq!(pace_generating(&due, 40.0, 1_500.0, slots), Pace::Due);
/// let full = Slots { in_flight: 64, ..slots };
/// assert_eq!(pace_generating(&due, 40.0, 1_500.0, full), Pace::Hopeless);
/// ```
pub fn pace_generating(
    waiting: &Waiting,
    first_event_ms: f64,
    output_ms: f64,
    slots: Slots,
) -> Pace {
    if waiting.has_lost_its_caller() {
        return Pace::Hopeless;
    }
    let capacity = f64::from(slots.slots);
    let is_brief = output_ms <= waiting.objective.0 as f64;
    let is_late = waiting.age.0 as f64 + first_event_ms > waiting.objective.0 as f64;
    let extra = if is_brief { capacity * BRIEF_EXTRA } else { 0.0 };
    let reserved = if is_late { capacity * LATE_RESERVE } else { 0.0 };
    // An engine that has only one or two slots must not reserve all of them.
    let open = (capacity + extra - reserved).max(1.0);
    if f64::from(slots.in_flight) < open {
        Pace::Free
    } else if !waiting.is_due() {
        Pace::Hold
    } else if slots.in_flight < slots.slots {
        Pace::Due
    } else {
        // The caller would leave before a full engine produces the first event, and would not retry. A
        // refusal lets it retry while it still waits for the answer as a whole.
        Pace::Hopeless
    }
}
