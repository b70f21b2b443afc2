//! What became of a request, as its caller sees it.

use std::time::Duration;

use anvilhook_core::Verdict;

/// `Answer` is a whole answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// The text of a completion, or the body of a plain answer.
    pub text: String,
    /// From sending to the first event or byte.
    pub first: Duration,
    /// Between one event and the next.
    pub gaps: Vec<Duration>,
    /// From sending to the end.
    pub whole: Duration,
}

/// `Outcome` is what became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer came whole.
    Answered(Answer),
    /// The instance said that the request failed, with its verdict and code.
    Failed {
        /// Whether the request may have run, by the instance's word.
        verdict: Verdict,
        /// The instance's code, such as `draining`.
        code: String,
    },
    /// No connection could be made.
    Unreachable,
    /// The answer was cut, or did not come, without a word of the instance.
    Lost {
        /// What was seen.
        message: String,
    },
}

impl Outcome {
    /// Returns the answer, if it came whole.
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
