//! The evidence against one request or part.

use crate::units::Millis;

/// `SuspectStatus` is the status of a request or a part in the quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// There is no evidence against it.
    Clear,
    /// This many engines ended while they ran it, too few to decide.
    Suspected(usize),
    /// It must be sent to no engine.
    Quarantined,
}

/// `EngineEnd` is the end of an engine that ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineEnd {
    /// The hash of the engine's id and start.
    pub engine: u32,
    /// When it was recorded.
    pub at: Millis,
}

/// `EndOutcome` is the outcome of recording an end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndOutcome {
    /// The end was already known, or the request's runs complete successfully.
    Ignored,
    /// The end counts; the request is suspected.
    Counted,
    /// This end causes the request's quarantine.
    Quarantined,
    /// The request was already quarantined and explains the end.
    Explained,
}

/// `Suspect` is the evidence against a request or a part.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    pub ends: Vec<EngineEnd>,
    /// When an engine last ended under it, or when it last arrived while quarantined.
    pub seen_at: Millis,
    /// The engine whose end caused the quarantine, if it is quarantined.
    pub quarantined_by: Option<u32>,
}

impl Suspect {
    /// Returns whether this suspect explains the end of an engine, so that the end is no evidence against
    /// others. The end that caused the quarantine is not explained yet: anything else that ran at that engine
    /// may be the cause as well.
    pub fn explains(&self, end: &EngineEnd, newest: u32) -> bool {
        self.quarantined_by.is_some_and(|engine| engine != newest) && self.ended_under(end.engine)
    }

    pub fn ended_under(&self, engine: u32) -> bool {
        self.ends.iter().any(|end| end.engine == engine)
    }

    /// Returns whether all engines that ended under `other` also ended under this suspect, so that neither is more
    /// likely to be the cause. The newest end may still be unrecorded here.
    pub fn is_as_suspect_as(&self, other: &Suspect, newest: Option<u32>) -> bool {
        other.ends.iter().all(|end| newest == Some(end.engine) || self.ended_under(end.engine))
    }
}
