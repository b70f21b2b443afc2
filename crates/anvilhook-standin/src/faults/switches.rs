//! Which fault meets which request.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// `Fault` is what can go wrong with one answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// The connection is reset before the answer's first byte.
    ResetBeforeFirstByte,
    /// The connection is closed in the ordinary way before the answer's first byte.
    CloseWithoutAnswer,
    /// Nothing comes, and the connection stays open.
    HangBeforeFirstByte,
    /// The connection is reset after a part of the answer.
    ResetAfterFirstByte,
    /// Nothing more comes after a part of the answer, and the connection stays open.
    SilentMidAnswer,
    /// The connection is closed in the ordinary way after a part of the answer.
    CutShort,
    /// A stream ends in the ordinary way without its closing event. A whole answer has none, and is
    /// cut short instead.
    NoClosingEvent,
    /// The answer does not echo the attempt's id.
    NoEcho,
    /// The answer echoes the id of another attempt.
    ForeignEcho,
    /// A whole answer comes twice on its connection; of a stream, each event comes twice.
    Duplicate,
    /// The upstream says that it refused before running.
    OwnRefusal,
    /// The status of a refusal comes without the header that makes it one.
    BareRefusal,
    /// The upstream's process ends: every connection is reset and new ones are refused.
    Crash,
}

impl Fault {
    /// All faults, for tables of tests.
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

/// `When` says whether a request has run when its fault strikes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum When {
    /// The request does not run, though nobody may conclude that from what is seen.
    BeforeRun,
    /// The request runs.
    AfterRun,
}

/// `FaultPlan` is a fault with its circumstances.
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
    /// What goes wrong.
    pub fault: Fault,
    /// Whether the request has run by then. Faults amid an answer strike after the run always.
    pub when: When,
    /// How many events of a stream come before a fault amid the answer.
    pub events: u64,
}

impl FaultPlan {
    /// Has the request not run.
    pub fn before_run(self) -> Self {
        Self { when: When::BeforeRun, ..self }
    }

    /// Has a fault amid a stream strike after this many events.
    pub fn after_events(self, events: u64) -> Self {
        Self { events, ..self }
    }
}

impl From<Fault> for FaultPlan {
    /// Has the request run, except under a refusal of the upstream's own.
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

/// `Switches` holds the faults to come.
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
    /// Has the fault meet the next `count` requests, after those already planned.
    pub fn next(&self, count: usize, plan: impl Into<FaultPlan>) {
        let plan = plan.into();
        let mut plans = self.plans();
        plans.next.extend(std::iter::repeat_n(plan, count));
        self.arm(&plans);
    }

    /// Has the fault meet every request that no other is planned for; `None` ends that.
    pub fn always(&self, plan: Option<FaultPlan>) {
        let mut plans = self.plans();
        plans.always = plan;
        self.arm(&plans);
    }

    /// Forgets all faults.
    pub fn clear(&self) {
        let mut plans = self.plans();
        *plans = Plans::default();
        self.arm(&plans);
    }

    /// Takes the fault that meets the present request.
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
