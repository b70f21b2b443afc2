//! Exit codes and failures of commands.

use std::fmt;

use anvilhook_api::{Code, Error, Refusal};
use anvilhook_core::Verdict;

/// A result whose error is a command's failure.
pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// `Exit` is the exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The arguments, a file or a field in a file are wrong. Nothing was changed.
    BadInput = 1,
    /// The instance or its platform cannot be reached at the moment. Nothing was changed; try again.
    Unavailable = 2,
    /// The token is missing, unknown or has insufficient rights. Nothing was changed.
    NotAllowed = 3,
    /// The requested object does not exist.
    NotFound = 4,
    /// A concurrent change conflicts, or another resource still needs this one. Nothing was changed.
    Conflict = 5,
    /// It is not known whether the change was accepted. Query its state with `anvilhook change`.
    Unknown = 6,
    /// Any other failure, such as an answer that cannot be decoded.
    Failed = 7,
}

impl Exit {
    /// Returns the exit code.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// `Failure` describes why a command failed and what the operator can do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// The cause and what to do.
    pub message: String,
}

impl Failure {
    /// Creates a failure.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into() }
    }

    /// Creates a failure for wrong input.
    pub fn bad_input(message: impl Into<String>) -> Self {
        Self::new(Exit::BadInput, message)
    }

    /// Creates a failure for output that cannot be written.
    pub(crate) fn output(err: impl fmt::Display) -> Self {
        Self::new(Exit::Failed, format!("cannot write the output: {err}"))
    }

    /// Prefixes the message with the context of the failure.
    pub fn with_context(self, context: impl fmt::Display) -> Self {
        Self { message: format!("{context}: {}", self.message), ..self }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl From<Error> for Failure {
    fn from(err: Error) -> Self {
        let message = err.to_string();
        match err {
            Error::Refused(refusal) => from_refusal(&refusal),
            Error::Call(call) if call.verdict() == Verdict::NotRun => Failure::new(
                Exit::Unavailable,
                format!("{message}. Check --server, or ask another instance"),
            ),
            Error::Call(_) => Failure::new(
                Exit::Unavailable,
                format!("{message}. Try again, or another instance"),
            ),
            Error::BadAnswer { .. } => Failure::new(
                Exit::Failed,
                format!("{message}. Check that --server is an operators' front of this version"),
            ),
        }
    }
}

fn from_refusal(refusal: &Refusal) -> Failure {
    let exit = match refusal.code {
        Code::BadRequest | Code::BadField | Code::VersionMissing | Code::TooLarge => Exit::BadInput,
        Code::TooManyWatchers | Code::NotAccepted | Code::Unavailable => Exit::Unavailable,
        Code::Unauthenticated | Code::Forbidden => Exit::NotAllowed,
        Code::NotFound | Code::TooOld => Exit::NotFound,
        Code::Conflict | Code::InUse | Code::ChangeIdReused => Exit::Conflict,
        Code::Unknown => Exit::Unknown,
        Code::Internal => Exit::Failed,
    };
    let advice = match refusal.code {
        Code::Unauthenticated => ". Set ANVILHOOK_TOKEN, or give --token-file",
        _ => "",
    };
    Failure::new(exit, format!("{}{advice}", refusal.message))
}
