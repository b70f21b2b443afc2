//! The evidence against one request or part.

use crate::units::Millis;

/// `SuspectStatus` is the status of a request or a part in the quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// There is no evidence against it.
    Clear,
    /// This many engines ended while they ran it, too few to decide.
    Suspected(usize),
    /// Enough engines ended while they ran it, but perhaps all for one other reason. One request at a time is run to
    /// learn whether it is the cause.
    OnTrial,
    /// It must be sent to no engine.
    Quarantined,
}

/// `EngineEnd` is the end of an engine that ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineEnd {
    /// The hash of the engine's id and start.
    pub engine: u32,
    /// When the runs there were interrupted.
    pub at: Millis,
    /// When the first of the runs began that were interrupted.
    pub began_at: Millis,
}

/// `EndOutcome` is the outcome of recording an end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndOutcome {
    /// The end was already known, or the request's runs complete successfully.
    Ignored,
    /// The end counts; the request is suspected.
    Counted,
    /// From this end on, the request is run only to learn whether it is the cause.
    OnTrial,
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
    /// Whether enough engines ended under it to run it only on trial.
    pub is_on_trial: bool,
    /// The engine whose end caused the quarantine, if it is quarantined.
    pub quarantined_by: Option<u32>,
    /// The newest run that was begun to learn whether it is the cause.
    pub trial: Option<TrialRun>,
}

/// `TrialRun` is a run that is to show whether a suspect makes engines terminate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TrialRun {
    /// The hash of the request's id.
    pub request: u64,
    pub began_at: Millis,
    /// How long the suspect had been due for a trial.
    pub waited: Millis,
}

impl Suspect {
    /// Returns whether this suspect explains the end of an engine, so that the end is no evidence against
    /// others. The end that caused the quarantine is not explained yet: anything else that ran at that engine
    /// may be the cause as well.
    pub fn explains(&self, end: &EngineEnd, newest: u32) -> bool {
        self.quarantined_by.is_some_and(|engine| engine != newest) && self.ended_under(end.engine)
    }

    /// Adds an end, or the earlier beginning of a run at an engine whose end is known. Returns whether the end is new.
    pub fn add_end(&mut self, end: EngineEnd) -> bool {
        match self.ends.iter_mut().find(|known| known.engine == end.engine) {
            Some(known) => {
                known.began_at = known.began_at.min(end.began_at);
                false
            }
            None => {
                self.ends.push(end);
                true
            }
        }
    }

    /// Returns how many of the ends are independent of each other.
    ///
    /// Engines that end at one moment may do so for a reason that has nothing to do with what ran there. An end is
    /// independent of the earlier ones if the run that it interrupted had begun after them.
    pub fn independent_ends(&self) -> usize {
        let mut ends: Vec<&EngineEnd> = self.ends.iter().collect();
        ends.sort_unstable_by_key(|end| (end.at, end.engine));
        let mut count = 0;
        let mut last_at = None;
        for end in ends {
            count += usize::from(last_at.is_none_or(|at| end.began_at >= at));
            last_at = Some(end.at);
        }
        count
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
