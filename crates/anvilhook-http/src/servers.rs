//! The server shell: a listener given by its owner, and a shutdown that cuts no request.

use std::convert::Infallible;
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

/// How long the kernel keeps a connection whose peer acknowledges nothing.
const TCP_USER_TIMEOUT: Millis = Millis::from_secs(20);

/// How long a connection lies idle before the kernel probes it.
const KEEPALIVE_AFTER: Millis = Millis::from_secs(15);

/// How long the end is put off when nothing is in flight, for what still has to be written.
const FLUSH_TIME: Millis = Millis(200);

/// `Phase` is where a server is between its start and its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// New requests are taken.
    Serving,
    /// New requests are refused as not run; those in flight go on.
    Draining,
    /// Nothing is in flight; connections may be closed.
    Closed,
}

/// `Shutdown` carries a server's phase from its owner to all its parts. Clones share the phase.
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
    /// The phase for requests, which read it without the channel's lock.
    now: Arc<AtomicU8>,
    phase: watch::Sender<Phase>,
}

impl Shutdown {
    /// Starts in phase `Serving`.
    pub fn new() -> Self {
        let now = Arc::new(AtomicU8::new(Phase::Serving as u8));
        Self { now, phase: watch::Sender::new(Phase::Serving) }
    }

    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        match self.now.load(Ordering::SeqCst) {
            now if now == Phase::Serving as u8 => Phase::Serving,
            now if now == Phase::Draining as u8 => Phase::Draining,
            _ => Phase::Closed,
        }
    }

    /// Goes on to a later phase; an earlier one changes nothing.
    pub fn advance(&self, to: Phase) {
        // Whoever is woken by the channel must already read the new phase.
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
        // The sender lives in `self`, so the channel cannot close during the wait.
        let _ = rx.wait_for(|phase| *phase >= at_least).await;
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

/// Serves `router` on `listener` until the phase is `Closed`.
///
/// The library stops by itself on a signal, and then gives open connections some 30 s before it
/// cuts them. A long answer would be cut. It awaits its hooks before it counts, so a hook holds it
/// back until the owner says that nothing is in flight. New connections are accepted meanwhile, so
/// that a late caller hears that its request was not run.
///
/// # Errors
///
/// The library's error if the server cannot run.
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
    let incoming = StoppableIncoming { listener: Some(listener), shutdown: shutdown.clone() };
    let hook_shutdown = shutdown.clone();
    let signalled = Arc::new(AtomicBool::new(false));
    let hook_signalled = Arc::clone(&signalled);
    // All clients speak HTTP/1; looking for another version would cost every connection a buffer.
    let server =
        Server::new(HeadChecks::new(router)).http1_only().register_shutdown_hook(move || {
            hook_signalled.store(true, Ordering::Release);
            Box::pin(async move { hook_shutdown.reached(Phase::Closed).await })
        });
    let running = pin!(server.run(incoming));
    run_until_closed(running, &shutdown, &signalled).await
}

/// Drives the library's server until the phase is `Closed`, and on to its own end after a signal.
///
/// The last bytes of an answer may still lie in the process when nothing is in flight any more. The
/// process ends after a signal, and a slow caller's answer would be cut. The library then waits
/// until its connections have been flushed, at most some 30 s. Without a signal it would wait for
/// ever, and the connections' own tasks flush them.
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

/// `StoppableIncoming` accepts connections until the phase is `Closed`, then frees the address.
#[derive(Debug)]
struct StoppableIncoming {
    listener: Option<TcpListener>,
    shutdown: Shutdown,
}

impl MakeIncoming for StoppableIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for StoppableIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let Some(listener) = &self.listener else {
            // The library's loop asks again at once after the end; waiting keeps it from spinning.
            return std::future::pending().await;
        };
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _peer) = accepted?;
                bound_silence(&stream);
                Ok(Some(Conn::from(stream)))
            }
            () = self.shutdown.reached(Phase::Closed) => {
                self.listener = None;
                Ok(None)
            }
        }
    }
}

/// Has the kernel close a connection whose other end has silently gone.
fn bound_silence(stream: &tokio::net::TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_AFTER.as_duration());
    // A connection without these options still works; only its end is noticed later.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.as_duration()));
}
