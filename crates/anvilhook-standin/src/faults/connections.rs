//! The open connections of a stand-in, held so that they can be reset or fall silent.

use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::units::Millis;
use socket2::SockRef;

/// Connections are looked through for closed ones when this many more have been accepted.
const PRUNE_AFTER: usize = 64;

/// `Connection` is one accepted connection.
#[derive(Debug, Default)]
pub struct Connection {
    /// A second handle on the socket that the server reads and writes.
    socket: Mutex<Option<TcpStream>>,
    silent: AtomicBool,
}

impl Connection {
    /// Holds a connection by a second handle on its socket.
    fn new(stream: &tokio::net::TcpStream) -> Self {
        let socket = SockRef::from(stream).try_clone().ok().map(TcpStream::from);
        Self { socket: Mutex::new(socket), silent: AtomicBool::new(false) }
    }

    /// Resets the connection.
    ///
    /// The kernel sends a reset when the last handle on a socket that does not linger is dropped.
    /// The server drops its own as soon as it reads the end of the connection.
    pub fn reset(&self) {
        let Some(socket) = self.take() else { return };
        // A socket that its peer has already closed takes no option, and needs none.
        let _ = SockRef::from(&socket).set_linger(Some(Millis::ZERO.as_duration()));
        let _ = socket.shutdown(Shutdown::Read);
    }

    /// Closes the connection in the ordinary way.
    pub fn close(&self) {
        let Some(socket) = self.take() else { return };
        let _ = socket.shutdown(Shutdown::Both);
    }

    /// Sends bytes past the server, as an upstream does that answers twice.
    pub fn send_raw(&self, buf: &[u8]) {
        if let Some(socket) = self.socket().as_mut() {
            // The caller may have gone, and a stand-in's short answer fits the socket's buffer.
            let _ = socket.write_all(buf);
        }
    }

    /// Has the connection fall silent for good, as when something between its ends forgot it.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }

    /// Returns whether the connection is silent.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }

    /// Waits for good if the connection is silent. The wait ends with the connection.
    pub async fn pass(&self) {
        if self.is_silent() {
            std::future::pending::<()>().await;
        }
    }

    fn is_closed(&self) -> bool {
        let socket = self.socket();
        let Some(socket) = socket.as_ref() else { return true };
        match socket.peek(&mut [0]) {
            Ok(len) => len == 0,
            Err(err) => err.kind() != ErrorKind::WouldBlock,
        }
    }

    fn take(&self) -> Option<TcpStream> {
        self.socket().take()
    }

    fn socket(&self) -> MutexGuard<'_, Option<TcpStream>> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, Default)]
struct Held {
    by_peer: HashMap<SocketAddr, Arc<Connection>>,
    prune_at: usize,
}

/// `Connections` holds the open connections by their peers' addresses.
#[derive(Debug, Default)]
pub struct Connections {
    held: Mutex<Held>,
}

impl Connections {
    /// Holds a connection.
    pub(super) fn insert(&self, peer: SocketAddr, stream: &tokio::net::TcpStream) {
        let connection = Arc::new(Connection::new(stream));
        let mut held = self.held();
        if held.by_peer.len() >= held.prune_at {
            held.by_peer.retain(|_, connection| !connection.is_closed());
            held.prune_at = held.by_peer.len() + PRUNE_AFTER;
        }
        held.by_peer.insert(peer, connection);
    }

    /// Returns the connection from a peer if it is held.
    pub fn find(&self, peer: SocketAddr) -> Option<Arc<Connection>> {
        self.held().by_peer.get(&peer).cloned()
    }

    /// Returns the connection from a peer, or one that cannot fail if none is held.
    pub fn get(&self, peer: SocketAddr) -> Arc<Connection> {
        self.find(peer).unwrap_or_default()
    }

    /// Has every connection that is open now fall silent; later ones work.
    pub fn silence_all(&self) {
        self.each(|connection| connection.silence());
    }

    /// Resets every connection that is open now.
    pub fn reset_all(&self) {
        self.each(|connection| connection.reset());
    }

    /// Closes every connection that is open now in the ordinary way.
    pub fn close_all(&self) {
        self.each(|connection| connection.close());
    }

    fn each(&self, act: impl Fn(&Connection)) {
        self.held().by_peer.values().for_each(|connection| act(connection));
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the address by which a connection is held.
pub(crate) fn peer_of(address: &volo::net::Address) -> SocketAddr {
    match address {
        volo::net::Address::Ip(peer) => *peer,
        // The stand-ins listen on TCP only.
        _ => SocketAddr::from(([0, 0, 0, 0], 0)),
    }
}
