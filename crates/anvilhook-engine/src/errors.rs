//! Failures of calls to upstreams.

use std::fmt;

use anvilhook_core::Verdict;
use anvilhook_http::CallError;

/// A result with the upstream's error.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is a failed call to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Returned when the call broke or took too long.
    Call(CallError),
    /// Returned when the upstream said that it refused before running.
    Refused {
        /// The upstream's HTTP status.
        status: u16,
        /// Its reason, for logs.
        message: String,
    },
    /// Returned when what came is not an answer to this attempt: no echo of its id, another's id,
    /// shorter than announced, or a stream without its closing event.
    NotAnAnswer {
        /// What was wrong with it.
        message: String,
    },
    /// Returned when the answer is larger than it may be.
    TooLarge {
        /// The largest that it may be, in bytes.
        max_bytes: usize,
    },
}

impl Error {
    /// Returns an error for what is not an answer to the attempt.
    pub fn not_an_answer(message: impl fmt::Display) -> Self {
        Error::NotAnAnswer { message: message.to_string() }
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Call(err) => err.verdict(),
            Error::Refused { .. } => Verdict::NotRun,
            Error::NotAnAnswer { .. } | Error::TooLarge { .. } => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Call(err) => err.fmt(f),
            Error::Refused { status, message } => {
                write!(f, "refused with status {status}: {message}")
            }
            Error::NotAnAnswer { message } => write!(f, "not an answer to this attempt: {message}"),
            Error::TooLarge { max_bytes } => write!(f, "answer larger than {max_bytes} bytes"),
        }
    }
}

impl std::error::Error for Error {}

impl From<CallError> for Error {
    fn from(err: CallError) -> Self {
        Error::Call(err)
    }
}
