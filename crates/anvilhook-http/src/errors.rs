//! Failures of a call over HTTP, each with the stage it failed at and the verdict on it.

use std::error::Error as StdError;
use std::fmt;

use anvilhook_core::Verdict;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;

/// `Stage` is how far a call had come when it failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// The request could not be built from its parts.
    Build,
    /// No connection could be made, so no byte was sent.
    Connect,
    /// The request had been handed to a connection, and no head of an answer came.
    FirstByte,
    /// The head of the answer had come, and its body did not come whole.
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
}

/// `CallError` is a failed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallError {
    /// How far the call had come.
    pub stage: Stage,
    /// Whether the call took longer than it was given.
    pub timed_out: bool,
    /// What went wrong, for logs.
    pub message: String,
}

impl CallError {
    /// Returns an error for a call that broke.
    pub fn broken(stage: Stage, message: impl fmt::Display) -> Self {
        Self { stage, timed_out: false, message: message.to_string() }
    }

    /// Returns an error for a call that took too long.
    pub fn timed_out(stage: Stage) -> Self {
        Self { stage, timed_out: true, message: format!("timeout at {}", stage.as_str()) }
    }

    /// Returns whether the request may have run at the other side.
    ///
    /// Only a call that handed no byte to a connection is known not to have run. A pooled
    /// connection that turns out to be closed after the hand-over may have carried the request.
    pub fn verdict(&self) -> Verdict {
        match self.stage {
            Stage::Build | Stage::Connect => Verdict::NotRun,
            Stage::FirstByte | Stage::Body => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} failed: {}", self.stage.as_str(), self.message)
    }
}

impl StdError for CallError {}

impl From<ClientError> for CallError {
    /// Maps the library's error to the stage.
    ///
    /// The library reports a refused connection as a failed request whose source is the socket's
    /// own error, and a failure after the hand-over as one whose source is the protocol's error.
    /// Everything that is not clearly before the hand-over counts as after it.
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
