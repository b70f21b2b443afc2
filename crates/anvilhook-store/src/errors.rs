//! Errors of the store. Each of them indicates whether the change may have been accepted.

use std::fmt;

use anvilhook_core::Verdict;
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::{Resource, ResourceKey};
use anvilhook_core::units::Revision;
use anvilhook_platform::RowKey;

/// A result with the store's error.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is the reason why a read or a change failed.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// Returned when the platform failed a read, or a write that is safe to repeat.
    Platform(anvilhook_platform::Error),
    /// Returned when a stored row or object has invalid content.
    BadRow {
        /// The row's or object's key.
        key: String,
        /// The problem.
        message: String,
    },
    /// Returned when a change was not accepted because the platform could not be reached or too many
    /// other changes were made at the same time.
    NotAccepted {
        /// The reason, for display only.
        message: String,
    },
    /// Returned when a change was not accepted because it breaks a rule.
    Invalid(anvilhook_core::Error),
    /// Returned when a change was not accepted because its resource is not in the expected state.
    Conflict {
        /// The resource's key.
        key: ResourceKey,
        /// The current resource, if there is one.
        standing: Option<Box<Resource>>,
    },
    /// Returned when a change was not accepted because its id belongs to a different change.
    ChangeIdReused {
        /// The id.
        id: ChangeId,
        /// The revision that the other change made.
        revision: Revision,
    },
    /// Returned when it is not known whether a change was accepted.
    Unknown {
        /// The id by which the outcome can be looked up.
        id: ChangeId,
        /// The revision on which the change was conditioned. If the head has advanced beyond it and no
        /// change with this id is recorded, the change was not accepted and never will be.
        base: Revision,
    },
    /// Returned when the table's head is behind the revision that is already applied. Such a table is
    /// not followed, because an accepted configuration never reverts.
    Reverted {
        /// The applied revision.
        held: Revision,
        /// The table's revision.
        head: Revision,
    },
    /// Returned when changes are requested that are no longer in the table.
    TooOld {
        /// The revision after which changes were requested.
        after: Revision,
        /// The oldest change in the table.
        oldest: Revision,
    },
}

impl Error {
    /// Creates an error for a row or object with invalid content.
    pub fn bad_row(key: impl fmt::Display, message: impl fmt::Display) -> Self {
        Error::BadRow { key: key.to_string(), message: message.to_string() }
    }

    pub(crate) fn undecodable(key: &RowKey, err: serde_json::Error) -> Self {
        Error::bad_row(key, err)
    }

    /// Returns whether the change that failed may have been accepted.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Unknown { .. } => Verdict::MayHaveRun,
            Error::Platform(err) => err.verdict(),
            _ => Verdict::NotRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Platform(err) => write!(f, "{err}"),
            Error::BadRow { key, message } => write!(f, "stored {key} is unreadable: {message}"),
            Error::NotAccepted { message } => write!(f, "not accepted: {message}"),
            Error::Invalid(err) => write!(f, "{err}"),
            Error::Conflict { key, standing: Some(standing) } => {
                write!(f, "{key} stands at version {}, which was not expected", standing.version.0)
            }
            Error::Conflict { key, standing: None } => write!(f, "{key} does not exist"),
            Error::ChangeIdReused { id, revision } => {
                write!(f, "change id {id} belongs to another change, accepted as {revision}")
            }
            Error::Unknown { id, base } => write!(
                f,
                "it is not known whether change {id} on {base} was accepted; look it up by its id"
            ),
            Error::Reverted { held, head } => {
                write!(f, "the table is at {head}, behind the applied {held}; it is not followed")
            }
            Error::TooOld { after, oldest } => {
                write!(f, "changes after {after} are archived; the oldest in the table is {oldest}")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<anvilhook_platform::Error> for Error {
    fn from(err: anvilhook_platform::Error) -> Self {
        Error::Platform(err)
    }
}

impl From<anvilhook_core::Error> for Error {
    fn from(err: anvilhook_core::Error) -> Self {
        Error::Invalid(err)
    }
}
