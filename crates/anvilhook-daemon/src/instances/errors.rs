//! Why an instance could not start.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use anvilhook_http::CallError;

/// `StartError` says why an instance could not start. Nothing of it is left running.
#[derive(Debug)]
pub enum StartError {
    /// Returned when an address cannot be listened on.
    Listen {
        /// The setting, such as `listen.callers`.
        field: &'static str,
        /// Its address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Returned when the system does not tell an address or take a listener.
    System(io::Error),
    /// Returned when a setting is refused by the part that it is for.
    Setting(anvilhook_core::Error),
    /// Returned when the HTTP library refuses its options.
    Client(CallError),
    /// Returned when the peer link cannot start.
    Peers(anvilhook_peer::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen { field, address, source } => {
                write!(f, "{field}: cannot listen on {address}: {source}")
            }
            StartError::System(err) => err.fmt(f),
            StartError::Setting(err) => err.fmt(f),
            StartError::Client(err) => write!(f, "no client can be made: {err}"),
            StartError::Peers(err) => write!(f, "the peer link cannot start: {err}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<io::Error> for StartError {
    fn from(err: io::Error) -> Self {
        StartError::System(err)
    }
}

impl From<anvilhook_core::Error> for StartError {
    fn from(err: anvilhook_core::Error) -> Self {
        StartError::Setting(err)
    }
}

impl From<CallError> for StartError {
    fn from(err: CallError) -> Self {
        StartError::Client(err)
    }
}

impl From<anvilhook_peer::Error> for StartError {
    fn from(err: anvilhook_peer::Error) -> Self {
        StartError::Peers(err)
    }
}
