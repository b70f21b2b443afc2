//! The open connections of a stand-in, tracked so that they can be reset, closed or silenced.

use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::units::Millis;
use socket2::SockRef;

/// The number of further connections after which closed ones are removed.
const PRUNE_AFTER: usize = 64;

/// `Connection` is one accepted connection.
#[derive(Debug, Default)]
pub struct Connection {
    /// A second handle on the socket that the server reads and writes.
    socket: Mutex<Option<TcpStream>>,
    silent: AtomicBool,
}

impl Connection {
    /// Creates a connection with a second handle on its socket.
    fn new(stream: &tokio::net::TcpStream) -> Self {
        let socket = SockRef::from(stream).try_clone().ok().map(TcpStream::from);
        Self { socket: Mutex::new(socket), silent: AtomicBool::new(false) }
    }

    /// Resets the connection.
    ///
    /// The kernel sends a reset when the last handle on a socket with a linger time of zero is
    /// dropped. The server drops its handle as soon as it reads the end of the connection.
    pub fn reset(&self) {
        let Some(socket) = self.take() else { return };
        // Setting the option fails if the peer has already closed the connection; a reset is not
        // needed then.
        let _ = SockRef::from(&socket).set_linger(Some(Millis::ZERO.as_duration()));
        let _ = socket.shutdown(Shutdown::Read);
    }

    /// Closes the connection without a reset.
    pub fn close(&self) {
        let Some(socket) = self.take() else { return };
        let _ = socket.shutdown(Shutdown::Both);
    }

    /// Sends bytes on the socket without the server, to imitate an upstream that answers twice.
    pub fn send_raw(&self, buf: &[u8]) {
        if let Some(socket) = self.socket().as_mut() {
            // An error is ignored because the caller may have closed the connection. The write does
            // not block because a stand-in's short answer fits into the socket's buffer.
            let _ = socket.write_all(buf);
        }
    }

    /// Silences the connection permanently: the server no longer handles its requests or sends on
    /// it, as when a device between both ends has dropped the connection from its tables.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }

    /// Returns whether the connection has been silenced.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }

    /// Never returns if the connection is silent. Closing the connection cancels the wait.
    pub async fn block_if_silent(&self) {
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
struct Tracked {
    by_peer: HashMap<SocketAddr, Arc<Connection>>,
    prune_at: usize,
}

/// `Connections` tracks the open connections by peer address.
#[derive(Debug, Default)]
pub struct Connections {
    tracked: Mutex<Tracked>,
}

impl Connections {
    /// Tracks a connection.
    pub(super) fn insert(&self, peer: SocketAddr, stream: &tokio::net::TcpStream) {
        let connection = Arc::new(Connection::new(stream));
        let mut tracked = self.tracked();
        if tracked.by_peer.len() >= tracked.prune_at {
            tracked.by_peer.retain(|_, connection| !connection.is_closed());
            tracked.prune_at = tracked.by_peer.len() + PRUNE_AFTER;
        }
        tracked.by_peer.insert(peer, connection);
    }

    /// Returns the connection from a peer, if it is tracked.
    pub fn find(&self, peer: SocketAddr) -> Option<Arc<Connection>> {
        self.tracked().by_peer.get(&peer).cloned()
    }

    /// Returns the connection from a peer. If none is tracked, returns a placeholder that cannot be
    /// made to fail.
    pub fn get(&self, peer: SocketAddr) -> Arc<Connection> {
        self.find(peer).unwrap_or_default()
    }

    /// Silences every connection that is open now. Later connections work.
    pub fn silence_all(&self) {
        self.for_each(|connection| connection.silence());
    }

    /// Resets every connection that is open now.
    pub fn reset_all(&self) {
        self.for_each(|connection| connection.reset());
    }

    /// Closes every connection that is open now, without a reset.
    pub fn close_all(&self) {
        self.for_each(|connection| connection.close());
    }

    fn for_each(&self, act: impl Fn(&Connection)) {
        self.tracked().by_peer.values().for_each(|connection| act(connection));
    }

    fn tracked(&self) -> MutexGuard<'_, Tracked> {
        self.tracked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the peer address under which a connection is tracked.
pub(crate) fn peer_of(address: &volo::net::Address) -> SocketAddr {
    match address {
        volo::net::Address::Ip(peer) => *peer,
        // The stand-ins listen on TCP only.
        _ => SocketAddr::from(([0, 0, 0, 0], 0)),
    }
}
