//! When work that waits at an instance is sent to an engine.
//!
//! An engine reads prompts in the order in which they come, and runs as many streams at a time as it
//! has places. What has been sent to it can't be put in another order any more. So work waits here
//! until an engine is nearly free for it, and the order among all instances comes about without any
//! message between them: each piece of work has a bound of its own on how busy an engine may be,
//! and what is best served first has the widest bound.
//!
//! The loads that this answers: prompts with heavy tails that come in clumps, where one prompt of a
//! second of reading would make a dozen short ones late; and bursts of long outputs that ask for
//! more places than there are, where waiting in the order of arrival would make all of them late.

use crate::units::Millis;

/// The backlog that a prompt may find at its reader, as a share of the tightest objective, if its own
/// reading takes the same share. Twice the work may find half the backlog.
///
/// With less, readers stand idle between prompts; with more, short prompts wait behind others that they
/// could have passed.
const READING_SHARE: f64 = 0.4;

/// A prompt that takes less than this share of the tightest objective goes to its reader at once.
/// Held back, it would gain nothing by what it lets pass.
const SHORT_SHARE: f64 = 0.2;

/// How many more streams than its places an engine may be sent for those that end within their own
/// objective, as a share of the places. They hold a place for so short that one is soon free.
const BRIEF_EXTRA: f64 = 0.1;

/// How many of its places an engine keeps for streams that can still be on time, as a share. Streams
/// that are late already lose nothing more by waiting, as long as their callers do.
const LATE_RESERVE: f64 = 0.2;

/// The part of its caller's patience after which work waits no more. The rest is for the work itself.
const WAITING_SHARE: f64 = 0.9;

/// What it takes at least from a prompt's reading to the first event, in milliseconds.
const FIRST_EVENT_MS: f64 = 60.0;

/// `Waiting` is a request that waits at an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// How long ago it arrived.
    pub age: Millis,
    /// The time within which its answer is to begin.
    pub objective: Millis,
    /// How long its caller waits for the beginning of an answer, from its arrival.
    pub patience: Millis,
}

impl Waiting {
    /// Returns whether its caller must have left. What is sent for it now runs for nobody, also
    /// where the word of its leaving is late on a full link.
    ///
    /// ```
    /// use anvilhook_core::pacing::Waiting;
    /// use anvilhook_core::units::Millis;
    ///
    /// let waiting =
    ///     Waiting { age: Millis(2_400), objective: Millis(600), patience: Millis(2_400) };
    /// assert!(waiting.has_lost_its_caller());
    /// assert!(!Waiting { age: Millis(2_399), ..waiting }.has_lost_its_caller());
    /// ```
    pub fn has_lost_its_caller(&self) -> bool {
        self.age >= self.patience
    }

    /// Returns whether it has waited for as long as is of use.
    ///
    /// Without an end to the waiting, what always finds something shorter before it would be given
    /// up by its caller unserved.
    fn is_due(&self) -> bool {
        self.age.0 as f64 >= self.patience.0 as f64 * WAITING_SHARE
    }
}

/// `Pace` is the decision whether work is sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pace {
    /// It is sent, because an engine is free enough for it.
    Free,
    /// It is sent, because it has waited for as long as is of use.
    Due,
    /// It waits.
    Hold,
    /// It can't be answered any more before its caller leaves.
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

/// Decides whether a prompt is sent to the reader that was chosen for it.
///
/// `work_ms` is what reading it takes there, `backlog_ms` what is read there before it, and
/// `tightest` the tightest objective of the service. Short prompts go at once; a long one waits
/// until nearly nothing is before it, so that short ones that come meanwhile go first. Among long
/// ones the shorter goes first, at whichever instances they wait.
///
/// ```
/// use anvilhook_core::pacing::{Pace, Waiting, pace_reading};
/// use anvilhook_core::units::Millis;
///
/// let waiting =
///     Waiting { age: Millis(0), objective: Millis(600), patience: Millis(2_400) };
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
    let is_short = work_ms <= tightest.0 as f64 * SHORT_SHARE;
    if is_short || work_ms * backlog_ms <= bound_ms * bound_ms {
        Pace::Free
    } else if waiting.age.0 as f64 + work_ms + FIRST_EVENT_MS > waiting.patience.0 as f64 {
        Pace::Hopeless
    } else if waiting.is_due() {
        Pace::Due
    } else {
        Pace::Hold
    }
}

/// `Slots` is what is believed of the places of the generator that was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slots {
    /// How many streams it runs at once.
    pub slots: u32,
    /// How many it has in flight.
    pub in_flight: u32,
}

/// Decides whether a prompt that has been read is sent to its generator.
///
/// `first_event_ms` is the predicted time to the first event, `output_ms` the time that the whole
/// output takes. Streams that end within their own objective go first, then those that can still
/// be on time, then the rest.
///
/// ```
/// use anvilhook_core::pacing::{Pace, Slots, Waiting, pace_generating};
/// use anvilhook_core::units::Millis;
///
/// let early = Waiting { age: Millis(50), objective: Millis(250), patience: Millis(2_000) };
/// let late = Waiting { age: Millis(300), ..early };
/// let places = Slots { slots: 64, in_flight: 62 };
/// assert_eq!(pace_generating(&early, 40.0, 1_500.0, places), Pace::Free);
/// assert_eq!(pace_generating(&late, 40.0, 1_500.0, places), Pace::Hold);
/// let due = Waiting { age: Millis(1_800), ..early };
/// assert_eq!(pace_generating(&due, 40.0, 1_500.0, places), Pace::Due);
/// let full = Slots { in_flight: 64, ..places };
/// assert_eq!(pace_generating(&due, 40.0, 1_500.0, full), Pace::Hopeless);
/// ```
pub fn pace_generating(
    waiting: &Waiting,
    first_event_ms: f64,
    output_ms: f64,
    places: Slots,
) -> Pace {
    if waiting.has_lost_its_caller() {
        return Pace::Hopeless;
    }
    let slots = f64::from(places.slots);
    let is_brief = output_ms <= waiting.objective.0 as f64;
    let is_late = waiting.age.0 as f64 + first_event_ms > waiting.objective.0 as f64;
    let extra = if is_brief { slots * BRIEF_EXTRA } else { 0.0 };
    let reserved = if is_late { slots * LATE_RESERVE } else { 0.0 };
    // A service whose engines have a place or two must not keep them all.
    let open = (slots + extra - reserved).max(1.0);
    if f64::from(places.in_flight) < open {
        Pace::Free
    } else if !waiting.is_due() {
        Pace::Hold
    } else if places.in_flight < places.slots {
        Pace::Due
    } else {
        // Behind a full engine its caller would leave before the first event, and not come back. A
        // refusal has it ask again while it still waits for the answer as a whole.
        Pace::Hopeless
    }
}
