//! The HTTP server: serves on a given listener and shuts down without aborting requests.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

use anvilhook_core::units::Millis;
use http::StatusCode;
use http::header::{HeaderValue, RETRY_AFTER};
use motore::service::Service;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::route::Router;

use crate::answers;
use crate::client_budgets::ClientBudget;
use crate::connections::serve_connection;
use crate::heads::HeadChecks;

/// How long the kernel retains a connection whose peer does not acknowledge sent data.
const TCP_USER_TIMEOUT: Millis = Millis::from_secs(20);

/// How long a connection is idle before the kernel sends keepalive probes.
const KEEPALIVE_AFTER: Millis = Millis::from_secs(15);

/// The pause after a failed accept. Without file descriptors each further one fails as well, at once.
const ACCEPT_PAUSE: Millis = Millis(10);

/// How long the server's end is delayed after the last request, so that pending data is written.
const FLUSH_TIME: Millis = Millis(200);

/// How long idle connections stay open after the phase has become `Closed`, and how long the others may take then.
const IDLE_CLOSE_DELAY: Millis = Millis::from_secs(2);
const CLOSE_TIME: Millis = Millis::from_secs(28);

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

/// `ConnectionLimits` limits what clients may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// The maximum size of a head: its fields and its path, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time from the first byte of a head to its last.
    pub head_timeout: Millis,
    /// The maximum time that a connection may be idle between two requests.
    pub idle_timeout: Millis,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 64 << 10,
            max_body_bytes: 32 << 20,
            head_timeout: Millis::from_secs(10),
            idle_timeout: Millis::from_secs(60),
        }
    }
}

/// `Closed` is why the server closes a connection before its client does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Closed {
    /// There are too many connections, or no memory for one.
    Full,
    /// Its client sent nothing for a while, and another one needed the room.
    Evicted,
    /// There is no room for a request.
    NoRoom,
    /// The head of a request is too large.
    HeadTooLarge,
    /// The head of a request took too long.
    HeadTimedOut,
    /// No request came for too long.
    Idle,
}

impl Closed {
    /// Returns the text used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Closed::Full => "full",
            Closed::Evicted => "evicted",
            Closed::NoRoom => "no_room",
            Closed::HeadTooLarge => "head_too_large",
            Closed::HeadTimedOut => "head_timeout",
            Closed::Idle => "idle",
        }
    }
}

/// `ConnectionCheck` decides, when a connection arrives, whether it is served, and limits what its client may send.
pub trait ConnectionCheck: fmt::Debug + Send + Sync + 'static {
    /// Returns whether the connection is served. Otherwise it is closed unread.
    fn admits(&self) -> bool {
        true
    }

    /// Returns the limits that apply now.
    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::default()
    }

    /// Returns the answer to a request for which there is no room. It has not run.
    fn refusal(&self) -> Response {
        let mut answer = answers::text(StatusCode::SERVICE_UNAVAILABLE, "no memory for a request");
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        answer
    }

    /// Records that a connection is closed.
    fn record_closed(&self, _reason: Closed) {}
}

/// `AdmitAll` admits every connection.
#[derive(Clone, Copy, Debug)]
pub struct AdmitAll;

impl ConnectionCheck for AdmitAll {}

/// Serves `router` on `listener` until the phase is `Closed`, like [`serve_checked`], and admits every connection. Its
/// clients must be trusted: nothing bounds what they make the process hold.
///
/// # Errors
///
/// The operating system's error if the signals can't be caught.
pub async fn serve<E>(
    listener: TcpListener,
    router: Router<Body, E>,
    shutdown: Shutdown,
) -> io::Result<()>
where
    E: IntoResponse + Send + 'static,
    Router<Body, E>: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    serve_checked(listener, router, shutdown, AdmitAll, ClientBudget::unbounded()).await
}

/// Serves `router` on `listener` until the phase is `Closed`. Connections that `check` does not admit, or for which
/// `budget` has no room, are closed unread.
///
/// Until the phase is `Closed`, new connections are accepted, so that a late caller is informed that its request was not
/// run. After a signal, this waits until all connections have been closed, for at most [`CLOSE_TIME`]: when no request is
/// in flight any more, the last bytes of an answer may still be buffered in the process, whose end would truncate the
/// answer to a slow caller. Without a signal, the connections' own tasks flush them.
///
/// # Errors
///
/// The operating system's error if the signals can't be caught.
pub async fn serve_checked<E, A>(
    listener: TcpListener,
    router: Router<Body, E>,
    shutdown: Shutdown,
    check: A,
    budget: ClientBudget,
) -> io::Result<()>
where
    A: ConnectionCheck,
    E: IntoResponse + Send + 'static,
    Router<Body, E>: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    let signalled = Arc::new(AtomicBool::new(false));
    let _catching = CatchingTask(tokio::spawn(catch_signals(Arc::clone(&signalled))?));
    // Connections inherit the size, and have it already while they wait to be accepted. Without it, the kernel lets the
    // queue of each grow to megabytes.
    let _ = SockRef::from(&listener).set_recv_buffer_size(budget.bounds().queue_bytes());
    let service = Arc::new(HeadChecks::new(router));
    let accepting = accept(listener, service, Arc::new(check), budget.clone());
    tokio::select! {
        never = accepting => match never {},
        () = shutdown.reached(Phase::Closed) => {}
    }
    let _ = timeout(FLUSH_TIME.as_duration(), budget.emptied()).await;
    if signalled.load(Ordering::Acquire) {
        let _ = timeout(IDLE_CLOSE_DELAY.as_duration(), budget.emptied()).await;
        budget.close();
        let _ = timeout(CLOSE_TIME.as_duration(), budget.emptied()).await;
    }
    Ok(())
}

/// Accepts connections and serves each in a task of its own.
async fn accept<S, A>(
    listener: TcpListener,
    service: Arc<S>,
    check: Arc<A>,
    budget: ClientBudget,
) -> Infallible
where
    A: ConnectionCheck,
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE.as_duration()).await;
            continue;
        };
        if !check.admits() {
            continue;
        }
        let Some(connection) = budget.connect() else {
            check.record_closed(Closed::Full);
            continue;
        };
        set_options(&stream);
        let (service, check) = (Arc::clone(&service), Arc::clone(&check));
        tokio::spawn(serve_connection(stream, service, connection, check));
    }
}

/// Returns a future that records whether a signal to stop has arrived. From the call on, the signals no longer end the
/// process.
fn catch_signals(
    signalled: Arc<AtomicBool>,
) -> io::Result<impl Future<Output = ()> + Send + 'static> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    Ok(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = hangup.recv() => {}
            _ = terminate.recv() => {}
        }
        signalled.store(true, Ordering::Release);
    })
}

/// `CatchingTask` ends its task when it is dropped.
struct CatchingTask(JoinHandle<()>);

impl Drop for CatchingTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Makes the kernel send small writes at once, and close a connection whose peer has disappeared without closing it.
fn set_options(stream: &tokio::net::TcpStream) {
    // Otherwise the events of a stream would wait for the acknowledgements of earlier ones.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_AFTER.as_duration());
    // A connection without these options still works, but the loss of its peer is detected later.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.as_duration()));
}
