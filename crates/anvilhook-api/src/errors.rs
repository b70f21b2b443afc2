//! Errors of calls to the API on the client's side.

use std::fmt;

use anvilhook_core::Verdict;
use anvilhook_http::CallError;

use crate::refusals::{Code, Refusal};

/// A result whose error is a failed call to the API.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is a failed call to the API.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// Returned when the instance could not be reached, or its answer was not received completely.
    Call(CallError),
    /// Returned when the instance refused the request.
    Refused(Box<Refusal>),
    /// Returned when the answer cannot be decoded.
    BadAnswer {
        /// What is wrong with the answer.
        message: String,
    },
}

impl Error {
    /// Returns an error for an answer that cannot be decoded.
    pub fn bad_answer(message: impl fmt::Display) -> Self {
        Error::BadAnswer { message: message.to_string() }
    }

    /// Returns the refusal's code, if the instance refused the request.
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
