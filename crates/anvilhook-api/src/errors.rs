//! Failures of a call of the API, as its client sees them.

use std::fmt;

use anvilhook_core::Verdict;
use anvilhook_http::CallError;

use crate::refusals::{Code, Refusal};

/// A result with the client's error.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is why a call of the API brought no answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// Returned when the instance could not be reached, or its answer did not come whole.
    Call(CallError),
    /// Returned when the instance refused.
    Refused(Box<Refusal>),
    /// Returned when the answer cannot be understood.
    BadAnswer {
        /// What was wrong with it.
        message: String,
    },
}

impl Error {
    /// Returns an error for an answer that cannot be understood.
    pub fn bad_answer(message: impl fmt::Display) -> Self {
        Error::BadAnswer { message: message.to_string() }
    }

    /// Returns the refusal's code, if the instance refused.
    pub fn code(&self) -> Option<Code> {
        match self {
            Error::Refused(refusal) => Some(refusal.code),
            Error::Call(_) | Error::BadAnswer { .. } => None,
        }
    }

    /// Returns whether a change that failed with this error may have been accepted.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Call(err) => err.verdict(),
            Error::Refused(refusal) if refusal.code == Code::Unknown => Verdict::MayHaveRun,
            Error::Refused(_) => Verdict::NotRun,
            Error::BadAnswer { .. } => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Call(err) => write!(f, "the instance cannot be asked: {err}"),
            Error::Refused(refusal) => f.write_str(&refusal.message),
            Error::BadAnswer { message } => write!(f, "the answer cannot be read: {message}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<CallError> for Error {
    fn from(err: CallError) -> Self {
        Error::Call(err)
    }
}
