//! The errors of this crate.

use std::fmt;

/// A result with the core's error.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is an error in the input of a function of this crate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Returned when a text cannot be a name.
    BadName {
        /// The kind of thing that the text was to name.
        kind: &'static str,
        /// The text as given.
        text: String,
    },
    /// Returned when a field of a resource or an option breaks its rule.
    BadField {
        /// The field's path, such as `spec.first_token_ms`.
        field: String,
        /// What was expected there.
        expected: String,
    },
    /// Returned when other resources still need what a change would remove or alter.
    StillNeeded {
        /// The resource that was to be changed, as `Kind/name`.
        key: String,
        /// The resources that need it, each with the field that refers to it.
        by: Vec<String>,
    },
}

impl Error {
    /// Returns an error for a text that cannot be a name.
    pub fn bad_name(kind: &'static str, text: &str) -> Self {
        Error::BadName { kind, text: text.to_owned() }
    }

    /// Returns an error for a field that breaks its rule.
    pub fn bad_field(field: impl Into<String>, expected: impl Into<String>) -> Self {
        Error::BadField { field: field.into(), expected: expected.into() }
    }

    /// Returns an error for a change to something that is still needed.
    pub fn still_needed(key: impl fmt::Display, by: Vec<String>) -> Self {
        Error::StillNeeded { key: key.to_string(), by }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::BadName { kind, text } => write!(
                f,
                "{text:?} cannot name an {kind}: expected 1 to 63 characters of a-z, 0-9, '-' and \
                 '.', beginning and ending with a letter or digit"
            ),
            Error::BadField { field, expected } => write!(f, "{field}: expected {expected}"),
            Error::StillNeeded { key, by } => {
                write!(f, "{key} is still needed by {}; change that first", by.join(", "))
            }
        }
    }
}

impl std::error::Error for Error {}
