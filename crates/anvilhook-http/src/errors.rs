//! Errors of HTTP calls, with the stage at which the call failed and the resulting verdict.

use std::error::Error as StdError;
use std::fmt;

use anvilhook_core::Verdict;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;

use crate::bodies::SendProgress;

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

impl CallError {
    /// Returns the error for a call that the library reports as failed.
    ///
    /// The library's kinds of errors don't show whether a connection has taken the request, so its progress decides.
    pub(crate) fn of_client(err: ClientError, progress: &SendProgress) -> Self {
        let stage = match (progress.withdraw(), err.kind()) {
            (false, _) => Stage::FirstByte,
            (true, ErrorKind::Builder) => Stage::Build,
            (true, _) => Stage::Connect,
        };
        CallError::broken(stage, err)
    }
}

impl From<ClientError> for CallError {
    /// Returns the error for a client that can't be built.
    fn from(err: ClientError) -> Self {
        CallError::broken(Stage::Build, err)
    }
}
