//! Errors of calls to the platform's services.

use std::fmt;

use anvilhook_core::Verdict;

/// A result whose error is a failed call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is a failed call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Returned when the call had no effect: the service could not be reached or refused it.
    Unavailable {
        /// The cause, for logs.
        message: String,
    },
    /// Returned when the answer was lost: a write may have taken effect and must be read back.
    AnswerLost {
        /// The cause, for logs.
        message: String,
    },
    /// Returned when the answer cannot be decoded.
    BadAnswer {
        /// What is wrong with the answer.
        message: String,
    },
}

impl Error {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Unavailable { .. } => Verdict::NotRun,
            Error::AnswerLost { .. } | Error::BadAnswer { .. } => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unavailable { message } => write!(f, "platform unavailable: {message}"),
            Error::AnswerLost { message } => write!(f, "platform's answer lost: {message}"),
            Error::BadAnswer { message } => write!(f, "platform's answer unreadable: {message}"),
        }
    }
}

impl std::error::Error for Error {}
