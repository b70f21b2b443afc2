//! Opens the listeners of an instance.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use super::errors::StartError;
use super::handles::Addresses;
use crate::settings::ListenSettings;

/// `Listeners` holds the open listeners of an instance.
#[derive(Debug)]
pub(super) struct Listeners {
    pub callers: TcpListener,
    pub operators: TcpListener,
    pub peers: TcpListener,
}

impl Listeners {
    /// Opens all listeners.
    pub async fn open(listen: &ListenSettings) -> Result<Self, StartError> {
        Ok(Self {
            callers: bind("listen.callers", listen.callers).await?,
            operators: bind("listen.operators", listen.operators).await?,
            peers: bind("listen.peers", listen.peers).await?,
        })
    }

    /// Returns the addresses of the listeners, with the ports that the kernel chose.
    pub fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.local_addr()?,
        })
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let opened = TcpListener::bind(address).await;
    opened.map_err(|source| StartError::Listen { field, address, source })
}
