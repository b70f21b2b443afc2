//! How a command ends.

use std::fmt;

use anvilhook_api::{Code, Error, Refusal};
use anvilhook_core::Verdict;

/// A result with the command's failure.
pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// `Exit` is the exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// What was asked for was done.
    Done = 0,
    /// The arguments, a file or a field of it are wrong. Nothing was changed.
    BadInput = 1,
    /// The instance or the platform behind it cannot be asked now. Nothing was changed; try again.
    Unavailable = 2,
    /// The token is missing, unknown or gives too few rights. Nothing was changed.
    NotAllowed = 3,
    /// There is no such thing.
    NotFound = 4,
    /// Something else was changed meanwhile, or still needs the resource. Nothing was changed.
    Conflict = 5,
    /// It is not known whether the change was accepted. Ask by its id with `anvilhook change`.
    Unknown = 6,
    /// Anything else, such as an answer that cannot be read.
    Failed = 7,
}

impl Exit {
    /// Returns the exit code.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// `Failure` is why a command did not do what was asked, and what to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// Why, and what to do.
    pub message: String,
}

impl Failure {
    /// Makes a failure.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into() }
    }

    /// Makes the failure of wrong input.
    pub fn bad_input(message: impl Into<String>) -> Self {
        Self::new(Exit::BadInput, message)
    }

    /// Makes the failure of an output that cannot be written.
    pub(crate) fn output(err: impl fmt::Display) -> Self {
        Self::new(Exit::Failed, format!("cannot write the output: {err}"))
    }

    /// Puts what was being done before the message.
    pub fn while_doing(self, what: impl fmt::Display) -> Self {
        Self { message: format!("{what}: {}", self.message), ..self }
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
            Error::Refused(refusal) => of_refusal(&refusal),
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

fn of_refusal(refusal: &Refusal) -> Failure {
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
