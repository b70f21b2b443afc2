//! The outcomes of requests, as their callers see them.

use std::time::Duration;

use anvilhook_core::Verdict;

/// `Answer` is a complete answer with its times.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// The text of a completion, or the body of a plain answer.
    pub text: String,
    /// The time from sending the request to the first event or byte.
    pub first: Duration,
    /// The times between successive events.
    pub gaps: Vec<Duration>,
    /// The time from sending the request to the end of the answer.
    pub whole: Duration,
}

/// `Outcome` is the result of a request, as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete answer was received.
    Answered(Answer),
    /// The instance reported that the request failed, with a verdict and a code.
    Failed {
        /// Whether the request ran, as the instance reported.
        verdict: Verdict,
        /// The error code, such as `draining`.
        code: String,
    },
    /// No connection could be established.
    Unreachable,
    /// The answer was truncated or missing, and no failure was reported.
    Lost {
        /// The error that the caller observed.
        message: String,
    },
}

impl Outcome {
    /// Returns the answer if it was received completely.
    pub fn answer(&self) -> Option<&Answer> {
        match self {
            Outcome::Answered(answer) => Some(answer),
            Outcome::Failed { .. } | Outcome::Unreachable | Outcome::Lost { .. } => None,
        }
    }

    /// Returns whether the caller knows that the request did not run.
    pub fn is_not_run(&self) -> bool {
        match self {
            Outcome::Failed { verdict, .. } => *verdict == Verdict::NotRun,
            Outcome::Unreachable => true,
            Outcome::Answered(_) | Outcome::Lost { .. } => false,
        }
    }
}
