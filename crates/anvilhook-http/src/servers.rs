//! The HTTP server: serves on a given listener and shuts down without aborting requests.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

use anvilhook_core::units::Millis;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpListener;
use tokio::sync::watch;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};
use volo_http::server::route::Router;
use volo_http::server::{IntoResponse, Server};

use crate::heads::HeadChecks;

/// How long the kernel retains a connection whose peer does not acknowledge sent data.
const TCP_USER_TIMEOUT: Millis = Millis::from_secs(20);

/// How long a connection is idle before the kernel sends keepalive probes.
const KEEPALIVE_AFTER: Millis = Millis::from_secs(15);

/// The pause after a failed accept. Without file descriptors each further one fails as well, at once.
const ACCEPT_PAUSE: Millis = Millis(10);

/// How long the server's end is delayed after the last request, so that pending data is written.
const FLUSH_TIME: Millis = Millis(200);

/// `Phase` is a step of a server's life cycle.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// New requests are accepted.
    Serving,
    /// New requests are refused as not run; requests in flight continue.
    Draining,
    /// No request is in flight; connections may be closed.
    Closed,
}

/// `Shutdown` publishes a server's phase from its owner to all its parts. Clones share the phase.
///
/// ```
/// use anvilhook_http::{Phase, Shutdown};
///
/// let shutdown = Shutdown::new();
/// shutdown.advance(Phase::Draining);
/// shutdown.advance(Phase::Serving);
/// assert_eq!(shutdown.phase(), Phase::Draining);
/// ```
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// The same phase as in the channel; requests read it here without taking the channel's lock.
    now: Arc<AtomicU8>,
    phase: watch::Sender<Phase>,
}

impl Shutdown {
    /// Starts in phase `Serving`.
    pub fn new() -> Self {
        let now = Arc::new(AtomicU8::new(Phase::Serving as u8));
        Self { now, phase: watch::Sender::new(Phase::Serving) }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        match self.now.load(Ordering::SeqCst) {
            now if now == Phase::Serving as u8 => Phase::Serving,
            now if now == Phase::Draining as u8 => Phase::Draining,
            _ => Phase::Closed,
        }
    }

    /// Advances to a later phase. An earlier phase has no effect.
    pub fn advance(&self, to: Phase) {
        // Stored before the channel is updated, so that a task woken by the channel reads the new
        // phase.
        self.now.fetch_max(to as u8, Ordering::SeqCst);
        self.phase.send_if_modified(|phase| {
            let later = to > *phase;
            if later {
                *phase = to;
            }
            later
        });
    }

    /// Waits until the phase is `at_least` or later.
    pub async fn reached(&self, at_least: Phase) {
        let mut rx = self.phase.subscribe();
        // `self` owns the sender, so the channel cannot close during the wait.
        let _ = rx.wait_for(|phase| *phase >= at_least).await;
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

/// `ConnectionCheck` decides, when a connection arrives, whether it is served.
pub trait ConnectionCheck: fmt::Debug + Send + Sync + 'static {
    /// Returns whether the connection is served. Otherwise it is closed unread.
    fn admits(&self) -> bool;
}

/// `AdmitAll` admits every connection.
#[derive(Clone, Copy, Debug)]
pub struct AdmitAll;

impl ConnectionCheck for AdmitAll {
    fn admits(&self) -> bool {
        true
    }
}

/// Serves `router` on `listener` until the phase is `Closed`, like [`serve_checked`], and admits every connection.
///
/// # Errors
///
/// The library's error if the server fails.
pub async fn serve<E>(
    listener: TcpListener,
    router: Router<volo_http::body::Body, E>,
    shutdown: Shutdown,
) -> io::Result<()>
where
    E: IntoResponse + Send + 'static,
    Router<volo_http::body::Body, E>: motore::service::Service<
            volo_http::context::ServerContext,
            volo_http::request::Request,
            Response = volo_http::response::Response,
            Error = Infallible,
        > + Send
        + Sync
        + 'static,
{
    serve_checked(listener, router, shutdown, AdmitAll).await
}

/// Serves `router` on `listener` until the phase is `Closed`. Connections that `check` does not admit are closed unread.
///
/// On a signal, the library shuts down by itself and closes open connections after about 30 s, which
/// would truncate a long answer. It waits for its shutdown hooks before it starts this timeout, so a
/// hook delays it until the owner reports that no request is in flight. Until then new connections
/// are accepted, so that a late caller is informed that its request was not run.
///
/// # Errors
///
/// The library's error if the server fails.
pub async fn serve_checked<E, A>(
    listener: TcpListener,
    router: Router<volo_http::body::Body, E>,
    shutdown: Shutdown,
    check: A,
) -> io::Result<()>
where
    A: ConnectionCheck,
    E: IntoResponse + Send + 'static,
    Router<volo_http::body::Body, E>: motore::service::Service<
            volo_http::context::ServerContext,
            volo_http::request::Request,
            Response = volo_http::response::Response,
            Error = Infallible,
        > + Send
        + Sync
        + 'static,
{
    let incoming =
        StoppableIncoming { listener: Some(listener), shutdown: shutdown.clone(), check };
    let hook_shutdown = shutdown.clone();
    let signalled = Arc::new(AtomicBool::new(false));
    let hook_signalled = Arc::clone(&signalled);
    // All clients use HTTP/1; detecting other versions would cost a buffer for each connection.
    let server =
        Server::new(HeadChecks::new(router)).http1_only().register_shutdown_hook(move || {
            hook_signalled.store(true, Ordering::Release);
            Box::pin(async move { hook_shutdown.reached(Phase::Closed).await })
        });
    let running = pin!(server.run(incoming));
    run_until_closed(running, &shutdown, &signalled).await
}

/// Runs the library's server until the phase is `Closed` and, after a signal, until it ends by itself.
///
/// When no request is in flight any more, the last bytes of an answer may still be buffered in the
/// process. After a signal the process ends, which would truncate the answer to a slow caller, so
/// this waits for the library, which flushes its connections for at most about 30 s. Without a signal
/// the library would never end, and the connections' own tasks flush them.
async fn run_until_closed<R, E>(
    mut running: Pin<&mut R>,
    shutdown: &Shutdown,
    signalled: &AtomicBool,
) -> io::Result<()>
where
    R: Future<Output = Result<(), E>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    tokio::select! {
        ended = running.as_mut() => return ended.map_err(io::Error::other),
        () = shutdown.reached(Phase::Closed) => {}
    }
    let flushed = tokio::time::timeout(FLUSH_TIME.as_duration(), running.as_mut()).await;
    match flushed {
        Ok(ended) => ended.map_err(io::Error::other),
        Err(_elapsed) if signalled.load(Ordering::Acquire) => {
            running.await.map_err(io::Error::other)
        }
        Err(_elapsed) => Ok(()),
    }
}

/// `StoppableIncoming` accepts connections until the phase is `Closed` and then closes the listener,
/// which frees its address.
#[derive(Debug)]
struct StoppableIncoming<A> {
    listener: Option<TcpListener>,
    shutdown: Shutdown,
    check: A,
}

impl<A: ConnectionCheck> MakeIncoming for StoppableIncoming<A> {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl<A: ConnectionCheck> Incoming for StoppableIncoming<A> {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let Some(listener) = &self.listener else {
            // The library's loop calls `accept` again immediately; never returning keeps it from
            // spinning.
            return std::future::pending().await;
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) if self.check.admits() => {
                    set_peer_timeouts(&stream);
                    Ok(Some(Conn::from(stream)))
                }
                Ok(_closed) => Ok(None),
                Err(err) => {
                    tokio::time::sleep(ACCEPT_PAUSE.as_duration()).await;
                    Err(err)
                }
            },
            () = self.shutdown.reached(Phase::Closed) => {
                self.listener = None;
                Ok(None)
            }
        }
    }
}

/// Makes the kernel close a connection whose peer has disappeared without closing it.
fn set_peer_timeouts(stream: &tokio::net::TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_AFTER.as_duration());
    // A connection without these options still works, but the loss of its peer is detected later.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.as_duration()));
}
