//! The errors of starting an instance.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use anvilhook_http::CallError;

/// `StartError` is the reason why an instance could not start. No part of it is left running.
#[derive(Debug)]
pub enum StartError {
    /// Returned when a listener can't be opened.
    Listen {
        /// The setting, such as `listen.callers`.
        field: &'static str,
        /// The address in the setting.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Returned when another operation of the operating system on a listener fails.
    System(io::Error),
    /// Returned when the part that uses a setting rejects it.
    Setting(anvilhook_core::Error),
    /// Returned when the HTTP client can't be created.
    Client(CallError),
    /// Returned when the peer link can't start.
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
            StartError::Client(err) => write!(f, "cannot create an HTTP client: {err}"),
            StartError::Peers(err) => write!(f, "cannot start the peer link: {err}"),
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
