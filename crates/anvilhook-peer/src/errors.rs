//! Errors of the peer link. None of them affects a request, because the link carries only hints.

use std::fmt;

use anvilhook_core::units::Revision;

/// `Result` is a result whose error is a failure of the peer link.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is a failure of the peer link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Returned when the shared key is too short.
    ShortKey {
        /// The minimum length.
        min_bytes: usize,
    },
    /// Returned when the link cannot be started.
    Start {
        /// The cause.
        message: String,
    },
    /// Returned when the remote instance cannot prove that it holds the shared key.
    NotAuthentic,
    /// Returned when the remote instance does not respond in time.
    Timeout,
    /// Returned when the remote instance sends more bytes than allowed.
    LimitExceeded,
    /// Returned when bytes cannot be encoded or decoded.
    Codec {
        /// The cause.
        message: String,
    },
    /// Returned when a change is based on a revision that is not retained.
    UnknownBase {
        /// The revision that the change is based on.
        base: Revision,
    },
    /// Returned when the connection breaks.
    Broken {
        /// The cause.
        message: String,
    },
    /// Returned when a link is not opened or is closed by this instance: another link to the same
    /// instance is preferred, the limit on links is reached, or the remote instance is not the
    /// expected one.
    LinkRejected,
}

impl Error {
    /// Creates an error for bytes that cannot be encoded or decoded.
    pub fn codec(message: impl fmt::Display) -> Self {
        Error::Codec { message: message.to_string() }
    }

    /// Creates an error for a link that cannot be started.
    pub fn start(message: impl fmt::Display) -> Self {
        Error::Start { message: message.to_string() }
    }

    /// Creates an error for a connection that broke.
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
            Error::Start { message } => write!(f, "peer link failed to start: {message}"),
            Error::NotAuthentic => f.write_str("the remote instance does not hold the peer key"),
            Error::Timeout => f.write_str("the remote instance did not respond in time"),
            Error::LimitExceeded => f.write_str("the remote instance sent more bytes than allowed"),
            Error::Codec { message } => write!(f, "cannot encode or decode: {message}"),
            Error::UnknownBase { base } => write!(f, "change based on unknown revision {base}"),
            Error::Broken { message } => write!(f, "connection broke: {message}"),
            Error::LinkRejected => f.write_str("the link was rejected or closed"),
        }
    }
}

impl std::error::Error for Error {}

impl From<capnp::Error> for Error {
    fn from(err: capnp::Error) -> Self {
        Error::broken(err)
    }
}
