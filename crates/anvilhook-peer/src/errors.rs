//! Failures of the peer link. None of them touches a request: the link only carries hints.

use std::fmt;

use anvilhook_core::units::Revision;

/// A result with the link's error.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is a failure of the link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Returned when the shared key is too short.
    ShortKey {
        /// The fewest bytes.
        min_bytes: usize,
    },
    /// Returned when the link cannot be started.
    Start {
        /// Why.
        message: String,
    },
    /// Returned when the other side does not hold the shared key.
    NotAuthentic,
    /// Returned when the other side is silent for too long.
    Timeout,
    /// Returned when the other side says more than it may.
    LimitExceeded,
    /// Returned when bytes cannot be encoded or decoded.
    Codec {
        /// What was wrong with them.
        message: String,
    },
    /// Returned when a change is of a revision that is not held.
    UnknownBase {
        /// The revision.
        base: Revision,
    },
    /// Returned when the connection breaks.
    Broken {
        /// Why.
        message: String,
    },
    /// Returned when another connection to the same instance stands already, or all places are
    /// taken.
    LinkRejected,
}

impl Error {
    /// Returns an error for bytes that cannot be encoded or decoded.
    pub fn codec(message: impl fmt::Display) -> Self {
        Error::Codec { message: message.to_string() }
    }

    /// Returns an error for a link that cannot be started.
    pub fn start(message: impl fmt::Display) -> Self {
        Error::Start { message: message.to_string() }
    }

    /// Returns an error for a connection that broke.
    pub fn broken(message: impl fmt::Display) -> Self {
        Error::Broken { message: message.to_string() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::ShortKey { min_bytes } => {
                write!(f, "peer key: expected at least {min_bytes} bytes")
            }
            Error::Start { message } => write!(f, "peer link cannot start: {message}"),
            Error::NotAuthentic => f.write_str("the other side does not hold the peer key"),
            Error::Timeout => f.write_str("the other side is silent"),
            Error::LimitExceeded => f.write_str("the other side says more than it may"),
            Error::Codec { message } => write!(f, "unreadable: {message}"),
            Error::UnknownBase { base } => write!(f, "change of {base}, which is not held"),
            Error::Broken { message } => write!(f, "connection broke: {message}"),
            Error::LinkRejected => f.write_str("the connection is not wanted"),
        }
    }
}

impl std::error::Error for Error {}

impl From<capnp::Error> for Error {
    fn from(err: capnp::Error) -> Self {
        Error::broken(err)
    }
}
