//! Errors of HTTP calls, with the stage at which the call failed and the resulting verdict.

use std::error::Error as StdError;
use std::fmt;

use anvilhook_core::Verdict;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;

/// `Stage` is the step of a call at which it failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// The request could not be built from its parts.
    Build,
    /// No connection could be opened, so no byte was sent.
    Connect,
    /// The request was passed to a connection, but the head of the answer was not received.
    FirstByte,
    /// The head of the answer was received, but not its complete body.
    Body,
}

impl Stage {
    /// Returns the text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Build => "build",
            Stage::Connect => "connect",
            Stage::FirstByte => "first-byte",
            Stage::Body => "body",
        }
    }

    /// Returns whether a call that fails at this step may have sent a part of its request.
    fn is_after_sending(self) -> bool {
        matches!(self, Stage::FirstByte | Stage::Body)
    }
}

/// `CallError` is a failed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallError {
    /// The step at which the call failed.
    pub stage: Stage,
    /// Whether the call timed out.
    pub timed_out: bool,
    /// What went wrong, for logs.
    pub message: String,
}

impl CallError {
    /// Returns an error for a call that failed for a reason other than a timeout.
    pub fn broken(stage: Stage, message: impl fmt::Display) -> Self {
        Self { stage, timed_out: false, message: message.to_string() }
    }

    /// Returns an error for a call that timed out.
    pub fn timed_out(stage: Stage) -> Self {
        Self { stage, timed_out: true, message: format!("timeout at {}", stage.as_str()) }
    }

    /// Returns whether the server may have run the request.
    ///
    /// A call is known not to have run only if no byte of it was passed to a connection. A pooled
    /// connection that turns out to be closed afterwards may already have carried the request.
    pub fn verdict(&self) -> Verdict {
        if self.stage.is_after_sending() { Verdict::MayHaveRun } else { Verdict::NotRun }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} failed: {}", self.stage.as_str(), self.message)
    }
}

impl StdError for CallError {}

impl From<ClientError> for CallError {
    /// Determines the stage of the library's error.
    ///
    /// The library reports a refused connection as a failed request whose source is an I/O error,
    /// and a failure after the request was passed to a connection as a failed request whose source
    /// is a protocol error. An error that is not clearly from before that point counts as after it.
    fn from(err: ClientError) -> Self {
        let from_socket = err.source().is_some_and(|source| source.is::<std::io::Error>());
        let stage = match err.kind() {
            ErrorKind::Builder => Stage::Build,
            ErrorKind::Connect => Stage::Connect,
            ErrorKind::Request if from_socket => Stage::Connect,
            _ => Stage::FirstByte,
        };
        CallError::broken(stage, err)
    }
}
