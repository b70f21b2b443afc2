//! The errors of the pure core.

use std::fmt;

/// A result with the core's error.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what the core reports about its input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Returned when a text cannot be a name.
    BadName {
        /// What the text was to name.
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
    /// Returned when a change would leave something else without what it needs.
    WouldStrand {
        /// The resource that was to be changed, as `Kind/name`.
        key: String,
        /// What would be stranded, and by which field.
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

    /// Returns an error for a change that would strand something.
    pub fn would_strand(key: impl fmt::Display, by: Vec<String>) -> Self {
        Error::WouldStrand { key: key.to_string(), by }
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
            Error::WouldStrand { key, by } => {
                write!(f, "{key} is still needed by {}; change that first", by.join(", "))
            }
        }
    }
}

impl std::error::Error for Error {}
