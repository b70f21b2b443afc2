//! Errors of calls to upstreams.

use std::fmt;

use anvilhook_core::Verdict;
use anvilhook_http::CallError;

/// A result whose error is a failed call to an upstream.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is a failed call to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Returned when the call failed or timed out.
    Call(CallError),
    /// Returned when the upstream reported that it refused the request before running it.
    Refused {
        /// The upstream's HTTP status.
        status: u16,
        /// The upstream's reason, for logs.
        message: String,
    },
    /// Returned when the answer is not a valid answer to this attempt: it does not echo the
    /// attempt's id, echoes another id, is shorter than announced, or is a stream without its
    /// closing event.
    InvalidAnswer {
        /// What is wrong with the answer.
        message: String,
    },
    /// Returned when the answer is larger than allowed.
    TooLarge {
        /// The maximum size of the answer, in bytes.
        max_bytes: usize,
    },
}

impl Error {
    /// Returns the error for an answer that is not a valid answer to the attempt.
    pub fn invalid_answer(message: impl fmt::Display) -> Self {
        Error::InvalidAnswer { message: message.to_string() }
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Call(err) => err.verdict(),
            Error::Refused { .. } => Verdict::NotRun,
            Error::InvalidAnswer { .. } | Error::TooLarge { .. } => Verdict::MayHaveRun,
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
            Error::InvalidAnswer { message } => {
                write!(f, "not an answer to this attempt: {message}")
            }
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
