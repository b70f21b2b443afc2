//! Serves the connection of one client within the bounds of its listener.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use anvilhook_core::client_bounds::Stage;
use anvilhook_core::units::Millis;
use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use motore::service::Service;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep, timeout};
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::client_budgets::Command;
use crate::client_holds::{ClientConnection, ClientHold};
use crate::client_streams::{ClientStream, StreamEnd};
use crate::servers::{Closed, ConnectionCheck, ConnectionLimits};

/// How long a client may go on sending a request that has been answered already. Closing its connection earlier could
/// destroy the answer before it is read.
const DISCARD_TIME: Millis = Millis::from_secs(10);

/// How many bytes of an oversized head are discarded, so that its sender can read the answer.
const DISCARDED_HEAD_BYTES: usize = 64 << 10;

/// The size of the buffer for discarded bytes.
const DISCARD_BUFFER: usize = 2 << 10;

/// The answers to clients whose requests have no complete head.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";
const HEAD_TIMED_OUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const NO_ROOM: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";

/// `ConnectionEnd` is why a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionEnd {
    /// The HTTP library has finished.
    Finished,
    /// A head or the next request took too long.
    TimedOut(Stage),
    /// Another client needs the room.
    Evicted,
}

/// Serves a connection until it ends.
pub(crate) async fn serve_connection<S, A>(
    stream: TcpStream,
    service: Arc<S>,
    connection: ClientConnection,
    check: Arc<A>,
) where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
    A: ConnectionCheck,
{
    let hold = connection.hold().clone();
    let Ok(peer) = stream.peer_addr() else { return };
    let requests = Requests {
        service,
        peer: Address::from(peer),
        hold: hold.clone(),
        check: Arc::clone(&check),
    };
    let io = TokioIo::new(ClientStream::new(stream, hold.clone(), Arc::clone(&check)));
    let mut http = http1::Builder::new().serve_connection(io, requests);
    let mut timer = Timer::new(&hold);
    let mut is_closing = false;
    let end = poll_fn(|cx| {
        hold.wake_by_commands(cx.waker());
        let command = hold.command();
        if command == Command::Evict && matches!(hold.stage(), Stage::Idle | Stage::Head) {
            return Poll::Ready(ConnectionEnd::Evicted);
        }
        if command > Command::Serve && !std::mem::replace(&mut is_closing, true) {
            Pin::new(&mut http).graceful_shutdown();
        }
        // It writes the whole answer before it is ready, unlike `poll_without_shutdown`.
        if Pin::new(&mut http).poll(cx).is_ready() {
            return Poll::Ready(ConnectionEnd::Finished);
        }
        timer.poll_expired(cx, &hold, &check.limits()).map(ConnectionEnd::TimedOut)
    });
    let end = end.await;
    let stream = http.into_parts().io.into_inner();
    close(stream, end, &hold, &*check).await;
}

/// `Timer` expires when a client takes too long for a head or for the next request.
struct Timer {
    sleep: Pin<Box<Sleep>>,
    expires_at: Millis,
}

impl Timer {
    fn new(hold: &ClientHold) -> Self {
        // The first poll sets the time.
        Self { sleep: Box::pin(sleep(Duration::ZERO)), expires_at: hold.now() }
    }

    /// Returns the stage that has taken too long.
    fn poll_expired(
        &mut self,
        cx: &mut Context<'_>,
        hold: &ClientHold,
        limits: &ConnectionLimits,
    ) -> Poll<Stage> {
        let stage = hold.stage();
        let due_at = match stage {
            Stage::Idle => hold.since() + limits.idle_timeout,
            Stage::Head => hold.head_since() + limits.head_timeout,
            Stage::Body | Stage::Serving | Stage::Closing => return Poll::Pending,
        };
        // A timer that expires too early is set again then, so that a request need not set it.
        if due_at < self.expires_at {
            self.set(due_at, hold.now());
        }
        while self.sleep.as_mut().poll(cx).is_ready() {
            let now = hold.now();
            if now >= due_at {
                return Poll::Ready(stage);
            }
            self.set(due_at, now);
        }
        Poll::Pending
    }

    fn set(&mut self, expires_at: Millis, now: Millis) {
        let in_time = (expires_at - now).as_duration();
        self.sleep.as_mut().reset(tokio::time::Instant::now() + in_time);
        self.expires_at = expires_at;
    }
}

/// Closes a connection, so that its client can read the last answer.
async fn close<A: ConnectionCheck>(
    stream: ClientStream<A>,
    end: ConnectionEnd,
    hold: &ClientHold,
    check: &A,
) {
    let (answer, closed) = match (end, stream.end()) {
        (ConnectionEnd::Evicted, _) => (None, Some(Closed::Evicted)),
        (ConnectionEnd::TimedOut(Stage::Head), _) => {
            (Some(HEAD_TIMED_OUT), Some(Closed::HeadTimedOut))
        }
        (ConnectionEnd::TimedOut(_), _) => (None, Some(Closed::Idle)),
        (_, Some(StreamEnd::HeadTooLarge)) => (Some(HEAD_TOO_LARGE), Some(Closed::HeadTooLarge)),
        (_, Some(StreamEnd::NoRoom)) => (Some(NO_ROOM), Some(Closed::NoRoom)),
        (ConnectionEnd::Finished, None) => (None, None),
    };
    if let Some(closed) = closed {
        check.record_closed(closed);
    }
    let is_refused = answer.is_some() || hold.stage() == Stage::Closing;
    let is_blocked = stream.is_write_blocked();
    let is_at_eof = stream.is_at_eof();
    let mut stream = stream.into_inner();
    if let Some(answer) = answer.filter(|_| !is_blocked) {
        // A new answer fits into the empty buffer of the socket.
        let _ = stream.try_write(answer);
    }
    hold.enter(Stage::Closing);
    hold.end_request();
    if is_at_eof || hold.command() == Command::Evict {
        return;
    }
    // Its client learns that nothing more follows; a failure means that it has left.
    let _ = stream.shutdown().await;
    if is_refused || has_unread(&stream) {
        let limits = check.limits();
        let most = if answer.is_some() { DISCARDED_HEAD_BYTES } else { limits.max_body_bytes };
        let _ = timeout(DISCARD_TIME.as_duration(), discard(&stream, hold, most)).await;
    }
}

/// Returns whether a client has sent bytes that have not been read. Closing its connection would reset it.
fn has_unread(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0; 1]), Ok(1))
}

/// Discards what a client still sends, until it closes the connection, has sent more than `most` bytes, or another client
/// needs the room.
async fn discard(stream: &TcpStream, hold: &ClientHold, most: usize) {
    let mut discarded = 0;
    while discarded <= most {
        let readable = pin!(stream.readable());
        if !readable_unless_evicted(readable, hold).await {
            return;
        }
        match stream.try_read(&mut [0; DISCARD_BUFFER]) {
            Ok(0) => return,
            Ok(read) => discarded += read,
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Waits until a connection is readable. Returns false if it is evicted or has failed.
async fn readable_unless_evicted(
    mut readable: Pin<&mut impl Future<Output = std::io::Result<()>>>,
    hold: &ClientHold,
) -> bool {
    poll_fn(|cx| {
        hold.wake_by_commands(cx.waker());
        if hold.command() == Command::Evict {
            return Poll::Ready(false);
        }
        readable.as_mut().poll(cx).map(|result| result.is_ok())
    })
    .await
}

/// `Requests` passes the requests of one connection to a service, and counts what they take.
struct Requests<S, A> {
    service: Arc<S>,
    peer: Address,
    hold: ClientHold,
    check: Arc<A>,
}

impl<S, A> hyper::service::Service<http::Request<Incoming>> for Requests<S, A>
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
    A: ConnectionCheck,
{
    type Response = http::Response<AnswerBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn call(&self, req: http::Request<Incoming>) -> Self::Future {
        let has_room = self.hold.begin_request(!req.body().is_end_stream());
        let served = Served(self.hold.clone());
        let (service, check) = (Arc::clone(&self.service), Arc::clone(&self.check));
        let mut cx = ServerContext::new(self.peer.clone());
        Box::pin(async move {
            let mut answer = if has_room {
                let mut req = req.map(Body::from_incoming);
                req.extensions_mut().insert(served.0.clone());
                service.call(&mut cx, req).await?
            } else {
                check.record_closed(Closed::NoRoom);
                check.refusal()
            };
            // The rest of a request that was answered early is not the next request.
            if !has_room || served.0.stage() == Stage::Body {
                served.0.enter(Stage::Closing);
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(answer.map(|body| AnswerBody { body, _served: served }))
        })
    }
}

/// `Served` ends a request when it is dropped.
struct Served(ClientHold);

impl Drop for Served {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// `AnswerBody` is the body of an answer, whose request ends once the library has taken all of it.
pub(crate) struct AnswerBody {
    body: Body,
    _served: Served,
}

impl http_body::Body for AnswerBody {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
