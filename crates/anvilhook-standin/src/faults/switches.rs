//! Fault switches: plan which fault is applied to which request.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// `Fault` is a fault of one answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// The connection is reset before the answer's first byte.
    ResetBeforeFirstByte,
    /// The connection is closed without a reset before the answer's first byte.
    CloseWithoutAnswer,
    /// Nothing is sent, and the connection stays open.
    HangBeforeFirstByte,
    /// The connection is reset after part of the answer.
    ResetAfterFirstByte,
    /// Nothing more is sent after part of the answer, and the connection stays open.
    SilentMidAnswer,
    /// The connection is closed without a reset after part of the answer.
    CutShort,
    /// A stream ends without a connection error and without its closing event. A complete answer
    /// has no closing event and is truncated as by `CutShort` instead.
    NoClosingEvent,
    /// The answer does not echo the attempt's id.
    NoEcho,
    /// The answer echoes the id of another attempt.
    ForeignEcho,
    /// A complete answer is sent twice on its connection; of a stream, each event is sent twice.
    Duplicate,
    /// The upstream reports that it refused the request before running it.
    OwnRefusal,
    /// The answer has the status of a refusal, but not the header that marks a refusal.
    BareRefusal,
    /// The upstream's process terminates: every connection is reset, and new ones are refused.
    Crash,
}

impl Fault {
    /// All faults, for tests with a table of cases.
    pub const ALL: [Fault; 13] = [
        Fault::ResetBeforeFirstByte,
        Fault::CloseWithoutAnswer,
        Fault::HangBeforeFirstByte,
        Fault::ResetAfterFirstByte,
        Fault::SilentMidAnswer,
        Fault::CutShort,
        Fault::NoClosingEvent,
        Fault::NoEcho,
        Fault::ForeignEcho,
        Fault::Duplicate,
        Fault::OwnRefusal,
        Fault::BareRefusal,
        Fault::Crash,
    ];
}

/// `When` indicates whether a request has run when its fault occurs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum When {
    /// The request does not run. Except after an own refusal, the caller cannot conclude this from
    /// the answer.
    BeforeRun,
    /// The request runs.
    AfterRun,
}

/// `FaultPlan` is a fault and the point in the request at which it occurs.
///
/// ```
/// use anvilhook_standin::faults::{Fault, FaultPlan, When};
///
/// let plan = FaultPlan::from(Fault::CutShort).after_events(3);
/// assert_eq!(plan.when, When::AfterRun);
/// assert_eq!(FaultPlan::from(Fault::OwnRefusal).when, When::BeforeRun);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FaultPlan {
    /// The fault.
    pub fault: Fault,
    /// Whether the request has run by then. Faults in the middle of an answer always occur after
    /// the run.
    pub when: When,
    /// The number of events that a stream sends before a fault in the middle of the answer.
    pub events: u64,
}

impl FaultPlan {
    /// Returns the plan with the fault before the run, so that the request does not run.
    pub fn before_run(self) -> Self {
        Self { when: When::BeforeRun, ..self }
    }

    /// Returns the plan with a fault in the middle of a stream after this many events.
    pub fn after_events(self, events: u64) -> Self {
        Self { events, ..self }
    }
}

impl From<Fault> for FaultPlan {
    /// Creates a plan in which the request runs, except for `OwnRefusal`.
    fn from(fault: Fault) -> Self {
        let when = if fault == Fault::OwnRefusal { When::BeforeRun } else { When::AfterRun };
        Self { fault, when, events: 1 }
    }
}

#[derive(Debug, Default)]
struct Plans {
    next: VecDeque<FaultPlan>,
    always: Option<FaultPlan>,
}

/// `Switches` holds the planned faults.
///
/// ```
/// use anvilhook_standin::faults::{Fault, Switches};
///
/// let switches = Switches::default();
/// switches.next(1, Fault::NoEcho);
/// assert_eq!(switches.take().map(|plan| plan.fault), Some(Fault::NoEcho));
/// assert_eq!(switches.take(), None);
/// ```
#[derive(Debug, Default)]
pub struct Switches {
    plans: Mutex<Plans>,
    armed: AtomicBool,
}

impl Switches {
    /// Plans the fault for `count` requests, after the faults already planned.
    pub fn next(&self, count: usize, plan: impl Into<FaultPlan>) {
        let plan = plan.into();
        let mut plans = self.plans();
        plans.next.extend(std::iter::repeat_n(plan, count));
        self.arm(&plans);
    }

    /// Plans the fault for every request without another planned fault; `None` removes it.
    pub fn always(&self, plan: Option<FaultPlan>) {
        let mut plans = self.plans();
        plans.always = plan;
        self.arm(&plans);
    }

    /// Removes all planned faults.
    pub fn clear(&self) {
        let mut plans = self.plans();
        *plans = Plans::default();
        self.arm(&plans);
    }

    /// Takes the fault planned for the current request, if there is one.
    pub fn take(&self) -> Option<FaultPlan> {
        if !self.armed.load(Ordering::Acquire) {
            return None;
        }
        let mut plans = self.plans();
        let plan = plans.next.pop_front().or(plans.always);
        self.arm(&plans);
        plan
    }

    fn arm(&self, plans: &Plans) {
        let armed = plans.always.is_some() || !plans.next.is_empty();
        self.armed.store(armed, Ordering::Release);
    }

    fn plans(&self) -> MutexGuard<'_, Plans> {
        self.plans.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
